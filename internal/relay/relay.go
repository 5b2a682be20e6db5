// Package relay puts one relay together: the dispatcher, its listener and its peers, with limits shared out, signals, the
// configuration and the operator's file.
//
// A program starts a relay with Start, or reads a Config itself and calls Run. Both return once a signal has ended the relay
// and all that it took is answered. A relay keeps nothing outside of its own parts, but for the limits of the process.
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
	// maxStartWait is for the first list and for connections to backends; a restart has 6 s to be ready.
	maxStartWait = 3 * time.Second
	// maxPendingSignals is how many signals wait while none is read.
	maxPendingSignals = 4
)

// Start runs a relay as env names it. Signals are caught before anything is read: until then SIGHUP would end the process.
func Start(env func(string) string) error {
	signals := catchSignals()
	config, err := ReadConfig(env)
	if err != nil {
		return err
	}
	config.signals = signals
	return Run(config, env)
}

// catchSignals has the signals come to a channel. Those that come before the relay looks at them wait there.
func catchSignals() chan os.Signal {
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// Run runs a relay until a signal has ended it and all that it took is answered. env is the environment: the
// configuration that it names is read again at SIGHUP. beside are parts of the same process, which end with the relay.
// Run owns all goroutines that it starts and waits for them. It returns the error of a listener that cannot be had, or the
// first one of a part.
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
		if ctx.Err() != nil { // ended as it began to listen: no client has been accepted
			_ = listener.Close()
		}
		group.Go(func() error {
			defer cancel() // the other parts are needed as long as there are sessions
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

// limitProcess keeps the process to the limits of the configuration.
func limitProcess(config Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.cores))))
	debug.SetMemoryLimit(config.memoryBytes * 3 / 4)
	growDescriptorTable(config.sockets)
}

// growDescriptorTable makes the kernel's table of descriptors as large as it will be needed. Where it grows with the
// connections, each doubling holds up the process for tens of milliseconds.
func growDescriptorTable(sockets int) {
	if fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, sockets-1); err == nil {
		_ = unix.Close(fd)
	}
}

// startComponents starts what runs beside the listener, each part on a goroutine of the group.
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

// discoveryMode tells who begins the watch of the endpoint list.
func (c Config) discoveryMode() discovery.Mode {
	if c.site.Balancer.Discovery == balancer.DiscoverySubscribe {
		return discovery.Subscribe
	}
	return discovery.Pushed
}

// prepareAndListen gets the relay ready and then listens; nil: it is to end. The waits before have one limit, whatever the settings
// say and whoever is silent: a relay that serves with what it knows is better than none.
func (r *relay) prepareAndListen(ctx context.Context, config Config) (net.Listener, error) {
	limited, cancel := context.WithTimeout(ctx, maxStartWait)
	defer cancel()
	if !config.FollowsPlacements && config.discoveryMode() == discovery.Pushed {
		r.watcher.WaitFirst(limited) // what the agent has counts as notified from the first moment
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
