// Package relay assembles and runs one relay: the dispatcher, the listener for clients, and the clients of discovery and
// the release platform. It reads the configuration and the operator's file, divides the process's limits among the
// components and handles signals.
//
// A program starts a relay with Start, or reads a Config itself and calls Run. Both return once a signal has stopped the
// relay and every accepted request is answered. A relay keeps no state outside its own components, except that it sets
// the processor and memory limits of the process.
package relay

import (
	"context"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"silvercove/balancer"
	"silvercove/internal/discovery"
	"silvercove/internal/dispatch"
)

const (
	// maxStartWait is the longest total wait for the first endpoint list and for connections to backends. A restarted
	// relay must be ready within 6 s.
	maxStartWait = 3 * time.Second
	// maxPendingSignals is the number of signals that are kept until the relay handles them.
	maxPendingSignals = 4
)

// Start reads the configuration from the environment and runs a relay. It starts to receive signals before it reads the
// configuration, because a SIGHUP during the read would otherwise end the process.
func Start(env func(string) string) error {
	signals := catchSignals()
	config, err := ReadConfig(env)
	if err != nil {
		return err
	}
	config.signals = signals
	return Run(config, env)
}

// catchSignals starts to receive signals into a channel, which holds them until the relay handles them.
func catchSignals() chan os.Signal {
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// Run runs a relay until a signal has stopped it and every accepted request is answered. env looks up environment
// variables; on SIGHUP, Run reads the configuration that they name again. Run calls each function in the parameter
// components in a goroutine, with a context that ends with the relay. Run waits for all goroutines that it starts. It
// returns the error of a listener that cannot be opened, or the first error of a component.
func Run(config Config, env func(string) string, components ...func(context.Context, *dispatch.Dispatcher) error) error {
	signals := config.signals
	if signals == nil {
		signals = catchSignals()
	}
	defer signal.Stop(signals)
	limitProcess(config)
	r := newRelay(config)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	r.startComponents(ctx, group, config, components)
	listeners := make(chan net.Listener, 1)
	group.Go(func() error {
		handler := signalHandler{relay: r, env: env, cancel: cancel, signals: signals, listeners: listeners}
		handler.run(ctx)
		return nil
	})
	listener, err := r.prepareAndListen(ctx, config)
	if err != nil {
		cancel()
		_ = group.Wait()
		return err
	}
	if listener != nil {
		listeners <- listener
		if ctx.Err() != nil { // the relay was stopped while it opened the listener; no client has been accepted
			_ = listener.Close()
		}
		group.Go(func() error {
			defer cancel() // sessions need the components, whose context must not end before Serve returns
			return r.server.Serve(listener)
		})
		r.log.Info().Str("name", config.name).Str("listen", config.listen).Int("backends", len(config.endpoints)).
			Float64("cores", config.cores).Int64("memory_bytes", config.memoryBytes).Int("sockets", config.sockets).
			Msg("relay serving")
	}
	err = group.Wait()
	r.logCounters()
	r.log.Info().Msg("relay stopped")
	return err
}

// limitProcess applies the configured limits of processor and memory to the Go runtime, and grows the descriptor table to
// the configured size.
func limitProcess(config Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.cores))))
	debug.SetMemoryLimit(config.memoryBytes * 3 / 4)
	growDescriptorTable(config.sockets)
}

// growDescriptorTable grows the kernel's descriptor table of the process to the configured size at once. If the kernel
// instead grew the table as connections are opened, each doubling would stall the process for tens of milliseconds.
func growDescriptorTable(sockets int) {
	if fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, sockets-1); err == nil {
		_ = unix.Close(fd)
	}
}

// startComponents starts one goroutine of the group for each component of the relay except the listener. It also starts
// one for each function in the parameter components.
func (r *relay) startComponents(ctx context.Context, group *errgroup.Group, config Config, components []func(context.Context, *dispatch.Dispatcher) error) {
	group.Go(func() error { return r.dispatcher.RunTimers(ctx) })
	group.Go(func() error { return r.pool.Run(ctx) })
	if config.FollowsPlacements {
		r.dispatcher.FollowPlacements()
	} else {
		group.Go(func() error { return r.watcher.Run(ctx, r.dispatcher, config.discoveryMode()) })
	}
	if config.platform != "" {
		group.Go(func() error { return r.releaseClient.Run(ctx, r.dispatcher) })
	}
	if r.evidence != nil {
		group.Go(func() error { return r.evidence.run(ctx) })
	}
	for _, component := range components {
		group.Go(func() error { return component(ctx, r.dispatcher) })
	}
}

// discoveryMode returns how the watch of the endpoint list begins: discovery pushes lists, or the balancer requests the
// watch.
func (c Config) discoveryMode() discovery.Mode {
	if c.site.Balancer.Discovery == balancer.DiscoverySubscribe {
		return discovery.Subscribe
	}
	return discovery.Pushed
}

// prepareAndListen waits for the first endpoint list and for connections to backends, and then opens the listener. It
// returns nil if the context has ended. maxStartWait limits both waits together, whichever peer does not respond and
// however long the timeouts in the settings are. After that time, the relay serves with the endpoints that it knows,
// because that is better than not serving.
func (r *relay) prepareAndListen(ctx context.Context, config Config) (net.Listener, error) {
	limited, cancel := context.WithTimeout(ctx, maxStartWait)
	defer cancel()
	if !config.FollowsPlacements && config.discoveryMode() == discovery.Pushed {
		// From its start on, a relay is responsible for acting on the agent's current list, so it waits for that list.
		r.watcher.WaitFirst(limited)
	}
	relays := min(max(config.site.Balancer.Relays, 1), math.MaxInt32)
	r.pool.Prewarm(limited, r.dispatcher.ReadyBackends(), int(relays))
	if config.WaitTurn != nil {
		config.WaitTurn(ctx)
	}
	if ctx.Err() != nil {
		return nil, nil
	}
	return net.Listen("tcp", config.listen)
}
