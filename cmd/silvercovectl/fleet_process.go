package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/fleet"
	"silvercove/internal/membership"
	"silvercove/internal/peertransport"
)

// fleetProcess holds what every process of a fleet has: its configuration, its logger, its connections and its membership
// agent.
type fleetProcess struct {
	file    *fleet.File
	log     zerolog.Logger
	net     *peertransport.Network
	members *membership.Agent

	metricsListener net.Listener // nil: metrics are not served
}

// openProcess opens a process with the configuration file at path, which must name the given role. The process's
// connections work only once run has been called.
func openProcess(path, role string) (*fleetProcess, error) {
	f, err := fleet.ReadRole(path, role)
	if err != nil {
		return nil, err
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00"
	p := &fleetProcess{file: f, log: logger(f.LogLevel).With().Str("node", f.Self.Name).Logger()}
	if p.net, err = peertransport.Open(f.FleetName, f.Self, f.Peers, p.log); err != nil {
		return nil, err
	}
	if f.MetricsAddress != "" {
		if p.metricsListener, err = net.Listen("tcp", f.MetricsAddress); err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	incarnation, startedEmpty, err := membership.NextIncarnation(f.DataDir, time.Now())
	if err != nil {
		return nil, withDiskFull(err)
	}
	p.members, err = membership.Open(p.net, incarnation, startedEmpty, f.Settings, func(m membership.Member) {
		p.log.Info().Str("event", "member").Str("component", "membership").Str("from", m.Name).Str("why", string(m.State)).
			Uint64("run", m.Incarnation).Msg("member state changed")
	})
	if err == nil && p.metricsListener != nil {
		p.registerGauges()
	}
	return p, err
}

// registerGauges registers one gauge for each membership state. The gauge shows the number of members in that state.
func (p *fleetProcess) registerGauges() {
	for _, state := range []membership.State{membership.StateAlive, membership.StateSuspect, membership.StateUnreachable, membership.StateSlow, membership.StateDead, membership.StateLeft} {
		metrics.GetOrCreateGauge(fmt.Sprintf("cove_members{state=%q}", state), func() float64 {
			n := 0.0
			for _, m := range p.members.Members() {
				if m.State == state {
					n++
				}
			}
			return n
		})
	}
}

// serveMetrics serves the process's metrics until the context ends.
func serveMetrics(ctx context.Context, l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 8 << 10}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// run runs the connections, the membership agent and the metrics server until the context ends. If a process of the
// same name that started later becomes known, run logs that and goes on. Leases decide which of the two processes may
// act, and a second process that was started by mistake must not end the first.
func (p *fleetProcess) run(ctx context.Context) error {
	networkCtx, stopNetwork := context.WithCancel(context.WithoutCancel(ctx)) // the network outlives ctx, because the membership agent sends a leave message after ctx has ended
	done := make(chan error, 1)
	go func() { done <- p.net.Run(networkCtx) }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.members.Run(ctx) })
	if p.metricsListener != nil {
		group.Go(func() error { return serveMetrics(ctx, p.metricsListener) })
	}
	group.Go(func() error {
		select {
		case <-p.members.Superseded():
			p.log.Error().Str("event", "outrun").Str("component", "membership").
				Str("why", "a later start of this name is running; other processes treat this one as an old copy").Msg("process superseded")
		case <-ctx.Done():
		}
		return nil
	})
	err := group.Wait()
	stopNetwork()
	return errors.Join(err, <-done)
}

// runWhile calls the function do, and runs p.run in the background until do returns. If p.run returns first, the
// context that do got is cancelled. The result joins the errors of do and p.run.
func (p *fleetProcess) runWhile(do func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- p.run(ctx)
		cancel()
	}()
	err := do(ctx)
	cancel()
	return errors.Join(err, <-done)
}
