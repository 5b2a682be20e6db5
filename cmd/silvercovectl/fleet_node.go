package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"silvercove/internal/edgenode"
)

type fleetNodeCmd struct {
	File string `arg:"" help:"The operator's file of this process."`
}

// Run is an edge unit until SIGTERM or SIGINT: then its instances are handed on, and it ends within ten leases. A second
// signal ends it at once.
func (c *fleetNodeCmd) Run() error {
	p, err := openProcess(c.File, "edge")
	if err != nil {
		return err
	}
	return p.during(func(alive context.Context) error { return c.serve(p, alive) })
}

func (c *fleetNodeCmd) serve(p *fleetProcess, alive context.Context) error {
	e, err := edgenode.Open(edgenode.Options{File: p.file, Network: p.net, Log: p.log, Seed: uint64(time.Now().UnixNano())})
	if err != nil {
		return withDiskFull(err)
	}
	signals := make(chan os.Signal, 2) // the second one may come before the first was looked at
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	leave, end := context.WithCancel(context.Background())
	defer end()
	now, kill := context.WithCancel(alive)
	defer kill()
	over := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for _, heard := range []func(){end, kill} {
			select {
			case <-signals:
				heard()
			case <-over:
				return
			}
		}
	}()
	p.log.Info().Str("event", "starts").Str("component", "edgenode").Str("why", "requests at "+e.Addr().String()).Msg("process started")
	err = e.Run(leave, now)
	close(over)
	<-watched
	if err != nil && !errors.Is(err, context.Canceled) {
		return withDiskFull(err)
	}
	p.log.Info().Str("event", "ends").Str("component", "edgenode").Msg("process ended")
	return nil
}
