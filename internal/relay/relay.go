// Package relay puts one relay together: the gate, its front and its peers, with limits shared out, signals, the
// configuration and the operator's file. Programs start one with Run.
package relay

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"silvercove/balancer"
	"silvercove/internal/discovery"
	"silvercove/internal/dispatch"
	"silvercove/internal/downstream"
	"silvercove/internal/logging"
	"silvercove/internal/overload"
	"silvercove/internal/releaseapi"
	"silvercove/internal/transport"
	"silvercove/internal/upstream"
)

// How the limits are shared out.
const (
	otherSockets = 24 // standard files, the poller, the listener, list and platform
	leastSockets = 3 * otherSockets
	handOver     = 500 * time.Millisecond // after SIGTERM, until no new connections come
	mostKill     = 3 * time.Second        // SIGKILL comes 0.7 s after the longest command timeout, or after this
	mostStart    = 3 * time.Second        // for the first list and connections to units; a restart has 6 s to be ready
)

// relay is the parts of the program.
type relay struct {
	log   zerolog.Logger
	room  *transport.BufferBudget
	gate  *dispatch.Dispatcher
	pools *upstream.Pool
	front *downstream.Server
	watch *discovery.Watcher
	desk  *releaseapi.Client
	left  time.Duration // from SIGTERM until all has to be answered

	discovery, platform *transport.Address
	memory              *memory // nil without an operator's file that speaks of verdicts
}

// Start runs a relay as env names it. Signals are heard before anything is read: until then SIGHUP would end the process.
func Start(env func(string) string) error {
	signals := hear()
	t, err := ReadConfig(env)
	if err != nil {
		return err
	}
	t.signals = signals
	return Run(t, env)
}

// hear has the signals come to a channel. Those that come before the relay looks at them wait there.
func hear() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// Run runs a relay until a signal has ended it and all that it took is answered. env is the environment: the
// configuration that it names is read again at SIGHUP. beside are parts of the same process, which end with the relay.
func Run(t Config, env func(string) string, beside ...func(context.Context, *dispatch.Dispatcher) error) error {
	signals := t.signals
	if signals == nil {
		signals = hear()
	}
	defer signal.Stop(signals)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(t.cores))))
	debug.SetMemoryLimit(t.memory * 3 / 4)
	growTable(t.sockets)
	r := build(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.gate.RunTimers(ctx) })
	group.Go(func() error { return r.pools.Run(ctx) })
	mode := discovery.Pushed
	if t.site.Balancer.Discovery == balancer.DiscoverySubscribe {
		mode = discovery.Subscribe
	}
	pushed := !t.FollowsPlacements && mode == discovery.Pushed
	if t.FollowsPlacements {
		r.gate.FollowPlacements()
	} else {
		group.Go(func() error { return r.watch.Run(ctx, r.gate, mode) })
	}
	if t.platform != "" {
		group.Go(func() error { return r.desk.Run(ctx, r.gate) })
	}
	if r.memory != nil {
		group.Go(func() error { return r.memory.run(ctx, r) })
	}
	for _, part := range beside {
		group.Go(func() error { return part(ctx, r.gate) })
	}
	listening := make(chan net.Listener, 1)
	group.Go(func() error {
		r.heed(ctx, cancel, signals, listening, env)
		return nil
	})
	listener, err := r.open(ctx, t, pushed)
	if err != nil {
		cancel()
		_ = group.Wait()
		return err
	}
	if listener != nil {
		if listening <- listener; ctx.Err() != nil { // ended as it began to listen: nobody has been taken in
			_ = listener.Close()
		}
		group.Go(func() error {
			defer cancel() // the rest is needed as long as there are sessions
			return r.front.Serve(listener)
		})
		r.log.Info().Str("name", t.name).Str("listen", t.listen).Int("units", len(t.known)).Float64("cores", t.cores).Int64("memory", t.memory).Int("sockets", t.sockets).Msg("serving")
	}
	err = group.Wait()
	r.print("stopped")
	return err
}

// open gets the relay ready and then listens; nil: it is to end. The waits before have one limit, whatever the settings
// say and whoever is silent: a relay that serves with what it knows is better than none.
func (r *relay) open(ctx context.Context, t Config, pushed bool) (net.Listener, error) {
	limited, cancel := context.WithTimeout(ctx, mostStart)
	defer cancel()
	if pushed { // what the agent has counts as told from the first moment
		r.watch.WaitFirst(limited)
	}
	relays := t.site.Balancer.Relays
	r.pools.Prewarm(limited, r.gate.ReadyBackends(), int(min(max(relays, 1), math.MaxInt32)))
	if t.WaitTurn != nil {
		t.WaitTurn(ctx)
	}
	if ctx.Err() != nil {
		return nil, nil
	}
	return net.Listen("tcp", t.listen) // now it is ready to serve
}

// heed follows the signals, from before the first wait of the start to the end.
func (r *relay) heed(ctx context.Context, end func(), signals chan os.Signal, listening chan net.Listener, env func(string) string) {
	var listener net.Listener
	defer func() {
		<-ctx.Done()
		select {
		case listener = <-listening: // it came as the relay was ended
			r.front.StopBefore(time.Now().Add(r.left))
			r.front.CloseIdleSessions()
		default:
		}
		if listener != nil {
			_ = listener.Close()
		}
	}()
	var next <-chan time.Time
	steps := []func(){r.front.CloseIdleSessions, func() { _ = listener.(*net.TCPListener).SetDeadline(time.Now()) }}
	for stopping := false; ; {
		select {
		case listener = <-listening:
		case s := <-signals:
			if listener == nil && len(listening) > 0 {
				listener = <-listening
			}
			switch {
			case s == syscall.SIGUSR1:
				r.print("counters")
			case s == syscall.SIGHUP: // also after SIGTERM: changes of the list still count
				r.reload(env)
			case listener == nil: // nobody has been taken in
				r.log.Info().Str("signal", s.String()).Msg("stopping before the start")
				end()
				return
			case !stopping: // another changes nothing
				r.log.Info().Str("signal", s.String()).Msg("stopping")
				r.front.StopBefore(time.Now().Add(r.left))
				stopping, next = true, time.After(handOver)
			}
		case <-next:
			steps[0]()
			if steps = steps[1:]; len(steps) > 0 {
				next = time.After(handOver / 10)
			}
		case <-ctx.Done():
			return
		}
	}
}

// growTable makes the kernel's table of descriptors as large as it will be needed. Where it grows
// with the connections, each doubling holds up the process for tens of milliseconds.
func growTable(sockets int) {
	if fd, err := unix.FcntlInt(0, unix.F_DUPFD_CLOEXEC, sockets-1); err == nil {
		_ = unix.Close(fd)
	}
}

// build puts the parts together and hands the module what is known at the start.
func build(t Config) *relay {
	r := &relay{log: zerolog.New(os.Stderr).With().Timestamp().Logger()}
	limits, rollout := t.site.Balancer.Limits, t.site.Balancer.Rollout
	longest := time.Duration(0)
	for _, class := range t.site.Balancer.Classes {
		longest = max(longest, class.Deadline.Duration())
	}
	timeout := max(time.Second, longest) // of a client
	r.left = min(longest, mostKill) + handOver
	calls := max(time.Second, rollout.VoteTimeout.Duration())
	r.room = transport.NewBufferBudget(t.memory / 2)
	r.discovery, r.platform = transport.NewAddress(t.discovery), transport.NewAddress(t.platform)
	// A watch that fell silent is found out before a drain that it should have told is past its grace.
	grace := t.site.Balancer.Endpoints.DrainGrace.Duration()
	if grace == 0 {
		grace = calls
	}
	r.watch = discovery.New(discovery.Config{
		Address:       r.discovery,
		Version:       t.seq,
		PollWait:      grace,
		AnswerTimeout: grace / 2,
		OpenTimeout:   calls,
		Buffers:       r.room,
		Log:           logging.Component(r.log, "discovery"),
	})
	r.desk = releaseapi.New(releaseapi.Config{
		Address: r.platform,
		Timeout: calls,
		Buffers: r.room,
		Log:     logging.Component(r.log, "releaseapi"),
	})
	hands := dispatch.Callbacks{
		Vote: r.desk.Vote, WatchEndpoints: r.watch.SetWatching, FetchEndpoints: r.watch.Fetch, Log: logging.Component(r.log, "dispatch"),
		LoadShedder: t.LoadShedder,
		OnStage:     t.OnStage,
		Probe:       func(u dispatch.Backend) { r.pools.Probe(u) },
		CloseIdle:   func(name string) { r.pools.CloseIdle(name) },
	}
	if r.memory = newMemory(t); r.memory != nil {
		hands.Evidence = r.memory.ledger
	}
	r.gate = dispatch.New(t.seed, t.site, hands)
	comeBack := time.Duration(0)
	if limits.RetryAfter {
		comeBack = limits.MaxRetryAfter.Duration()
	}
	atUnits := (t.sockets - otherSockets) / 6
	r.pools = upstream.New(r.room, atUnits, limits.ConnectTimeout.Duration(), limits.IdleTimeout.Duration(), r.gate)
	r.front = downstream.New(r.gate, r.pools, r.room, overload.LimitsFor(t.sockets-otherSockets-atUnits), timeout, comeBack)
	r.gate.UpdateEndpoints(true, t.known)
	r.gate.UpdateStage(t.news)
	if r.memory != nil {
		r.memory.age(r, t.news)
	}
	return r
}

// reload reads the configuration again. Only the addresses of the list and of the platform can change
// under way; one that cannot be read changes nothing.
func (r *relay) reload(env func(string) string) {
	t, err := ReadConfig(env)
	if err != nil {
		r.log.Error().Err(err).Msg("new configuration not taken")
		return
	}
	list, votes := r.discovery.Update(t.discovery), r.platform.Update(t.platform)
	r.log.Info().Bool("list_moved", list).Bool("platform_moved", votes).Msg("new configuration")
}

// print writes the counters.
func (r *relay) print(why string) {
	c := r.gate.Snapshot()
	for _, op := range c.Classes {
		r.log.Info().Str("op_type", op.Name).Int64("taken", op.Accepted).Int64("acked", op.Succeeded).
			Int64("nacked", op.Rejected).Int64("failed", op.Failed).Int64("left", op.Abandoned).Msg(why)
	}
	set, held := r.room.InUse()
	open, idle := r.pools.InUse()
	var use syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	r.log.Info().Str("gate", fmt.Sprintf("%+v", c)).
		Int64("room_set_aside", set).Int64("room_held", held).Int("unit_connections", open).Int("idle", idle).
		Int64("opened", r.pools.Opened.Load()).Int64("reused", r.pools.Reused.Load()).Int64("connect_failed", r.pools.Failed.Load()).Int64("unasked", r.pools.Unsolicited.Load()).
		Int("sessions", r.front.Sessions()).Int64("accepted", r.front.Accepted.Load()).
		Int64("malformed", r.front.Malformed.Load()).Int64("crowded", r.front.RejectedForSpace.Load()).Int64("evicted", r.front.Evicted.Load()).
		Int64("list_answers", r.watch.Answers.Load()).Int64("list_failures", r.watch.Failures.Load()).
		Int64("platform_lines", r.desk.Lines.Load()).Int64("platform_streams", r.desk.Streams.Load()).
		Int64("cpu_ms", (use.Utime.Nano()+use.Stime.Nano())/1e6).Int64("peak_rss_kb", use.Maxrss).Msg(why)
}
