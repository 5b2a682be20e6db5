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

// fleetNodeCmd is the sub-command that runs an edge node.
type fleetNodeCmd struct {
	File string `arg:"" help:"The operator's file of this process."`
}

// Run runs an edge node until SIGTERM or SIGINT. The node then migrates its instances to other nodes and ends within
// ten lease durations. A second signal ends the node at once.
func (c *fleetNodeCmd) Run() error {
	p, err := openProcess(c.File, "edge")
	if err != nil {
		return err
	}
	return p.runWhile(func(alive context.Context) error { return c.serve(p, alive) })
}

// serve runs the edge node. The first SIGTERM or SIGINT starts the node's drain. A second signal stops the node at
// once. The end of the context alive also stops it at once.
func (c *fleetNodeCmd) serve(p *fleetProcess, alive context.Context) error {
	node, err := edgenode.Open(edgenode.Options{File: p.file, Network: p.net, Log: p.log, Seed: uint64(time.Now().UnixNano())})
	if err != nil {
		return withDiskFull(err)
	}
	signals := make(chan os.Signal, 2) // room for a second signal that arrives before the first one is received
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	drain, startDrain := context.WithCancel(context.Background())
	defer startDrain()
	running, stop := context.WithCancel(alive)
	defer stop()
	done := make(chan struct{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		for _, onSignal := range []func(){startDrain, stop} {
			select {
			case <-signals:
				onSignal()
			case <-done:
				return
			}
		}
	}()
	p.log.Info().Str("event", "starts").Str("component", "edgenode").Str("why", "requests at "+node.Addr().String()).Msg("process started")
	err = node.Run(drain, running)
	close(done)
	<-watcherDone
	if err != nil && !errors.Is(err, context.Canceled) {
		return withDiskFull(err)
	}
	p.log.Info().Str("event", "ends").Str("component", "edgenode").Msg("process ended")
	return nil
}
