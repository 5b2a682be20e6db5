package lab

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat/distuv"

	"silvercove/internal/discovery"
	"silvercove/internal/dispatch"
	"silvercove/internal/downstream"
	"silvercove/internal/overload"
	"silvercove/internal/pgwire"
	"silvercove/internal/releaseapi"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
	"silvercove/internal/upstream"
)

// Loopback runs the rollout in real time. The relays are real and use sockets on loopback. The backends and the
// platform, which serves the endpoint list, are stand-ins. Only Errors and FaultDelay of the package take effect, and
// the condition has no effect.
func (r Rollout) Loopback(ctx context.Context) (Result, error) {
	result := Result{Package: r.Package.Name, Condition: "loopback", Seed: r.Seed, Bad: r.Package.Bad}
	ctx, cancel := context.WithTimeout(ctx, time.Duration((r.MaxSpan+10)*float64(time.Second)))
	defer cancel()
	answer := r.backendAnswers()
	var servers []*backends.Backend
	defer func() {
		for _, u := range servers {
			u.Close()
		}
	}()
	for i := range r.Backends {
		u, err := backends.NewBackend(fmt.Sprintf("u-%d", i), stableVersion, answer)
		if err != nil {
			return result, err
		}
		servers = append(servers, u)
	}
	var shares []float64
	for _, w := range r.Stages {
		shares = append(shares, w.Share)
	}
	platform, err := backends.NewPlatform(servers, stableVersion, shares, time.Duration(r.Bake*float64(time.Second)))
	if err != nil {
		return result, err
	}
	defer platform.Close()
	group, inner := errgroup.WithContext(ctx)
	inner, stop := context.WithCancel(inner)
	defer stop()
	var requests, failed atomic.Int64
	for i := range r.Relays {
		n, err := r.newRelay(i, platform)
		if err != nil {
			stop()
			_ = group.Wait()
			return result, err
		}
		group.Go(func() error { return n.run(inner) })
		group.Go(func() error { return r.runClients(inner, i, n.address(), &requests, &failed) })
	}
	group.Go(func() error {
		defer stop()
		offerTimer := time.NewTimer(2 * time.Second)
		defer offerTimer.Stop()
		select {
		case <-offerTimer.C:
		case <-inner.Done():
			return nil
		}
		platform.Offer(inner, stableVersion+1, time.Duration(r.WatchSpan*float64(time.Second)))
		return nil
	})
	err = group.Wait()
	result.StagesPassed, result.Released, result.RolledBack = platform.StagesPassed, platform.Released, platform.RolledBack
	result.VerdictSeconds = platform.TimeToVerdict.Seconds()
	result.Undecided = !platform.Released && !platform.RolledBack
	result.Requests, result.Failed = int(requests.Load()), int(failed.Load())
	return result, err
}

// backendAnswers returns the function that decides for each query at a stand-in backend whether the query fails and how
// long it takes. The rollout's seed determines the random numbers.
func (r Rollout) backendAnswers() func(u *backends.Backend, class string, version uint16, since time.Time) (fails bool, latency time.Duration) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(r.Seed, 7))
	work := distuv.LogNormal{Mu: -4.6, Sigma: 0.5, Src: rand.NewPCG(r.Seed, 8)} // service time in seconds, with a median of 10 ms
	return func(_ *backends.Backend, class string, version uint16, since time.Time) (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		fails := r.BaseFailures
		if version != stableVersion && time.Since(since).Seconds() >= r.Package.FaultDelay {
			fails += r.Package.Errors["all"] + r.Package.Errors[class]
		}
		return random.Float64() < fails, time.Duration(work.Rand() * float64(time.Second))
	}
}

// loopbackRelay is a real relay with all its components.
type loopbackRelay struct {
	dispatcher *dispatch.Dispatcher
	pool       *upstream.Pool
	server     *downstream.Server
	watcher    *discovery.Watcher
	releases   *releaseapi.Client
	listener   net.Listener
}

// newRelay makes a relay that knows the platform's endpoint list and stage, and listens on loopback. no is the number
// of the relay.
func (r Rollout) newRelay(no int, platform *backends.Platform) (*loopbackRelay, error) {
	n := &loopbackRelay{}
	set := (&model{Rollout: r}).settings()
	buffers := transport.NewBufferBudget(16 << 20)
	n.watcher = discovery.New(discovery.Config{Address: transport.NewAddress(platform.Address()), PollWait: time.Second,
		AnswerTimeout: time.Second / 2, OpenTimeout: time.Second, Buffers: buffers})
	n.releases = releaseapi.New(releaseapi.Config{Address: transport.NewAddress(platform.Address()), Timeout: time.Second, Buffers: buffers})
	n.dispatcher = dispatch.New(r.Seed<<8^uint64(no), settings.Site{Balancer: set}, dispatch.Callbacks{Vote: n.releases.Vote, WatchEndpoints: n.watcher.SetWatching, FetchEndpoints: n.watcher.Fetch,
		Probe: func(u dispatch.Backend) { n.pool.Probe(u) }, CloseIdle: func(name string) { n.pool.CloseIdle(name) }})
	n.pool = upstream.New(buffers, 256, time.Second/2, 5*time.Second, n.dispatcher)
	n.server = downstream.New(n.dispatcher, n.pool, buffers, overload.LimitsFor(256), 2*time.Second, time.Second)
	page, err := discovery.ParsePage([]byte(platform.EndpointList()))
	if err != nil {
		return nil, err
	}
	n.dispatcher.UpdateEndpoints(true, page.Endpoints)
	stage, err := releaseapi.ParseStage(json.RawMessage(platform.StageText()))
	if err != nil {
		return nil, err
	}
	n.dispatcher.UpdateStage(stage)
	n.listener, err = net.Listen("tcp", "127.0.0.1:0")
	return n, err
}

func (n *loopbackRelay) address() string { return n.listener.Addr().String() }

// run runs a relay until the context ends.
func (n *loopbackRelay) run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return n.dispatcher.RunTimers(ctx) })
	group.Go(func() error { return n.pool.Run(ctx) })
	group.Go(func() error { return n.watcher.Run(ctx, n.dispatcher, discovery.Pushed) })
	group.Go(func() error { return n.releases.Run(ctx, n.dispatcher) })
	group.Go(func() error { return n.server.Serve(n.listener) })
	group.Go(func() error {
		<-ctx.Done()
		n.server.CloseIdleSessions()
		return n.listener.Close()
	})
	_ = group.Wait() // the error is ignored: Serve always returns one when the listener is closed
	return nil
}

// runClients sends requests to a relay over 16 sessions, at the rate Rate divided by the number of relays.
func (r Rollout) runClients(ctx context.Context, no int, address string, requests, failed *atomic.Int64) error {
	const sessions = 16
	due := make(chan int, sessions)
	var group errgroup.Group
	group.Go(func() error {
		defer close(due)
		random := rand.New(rand.NewPCG(r.Seed, uint64(100+no)))
		interval := distuv.Exponential{Rate: r.Rate / float64(r.Relays), Src: rand.NewPCG(r.Seed, uint64(200+no))}
		for at := time.Now(); ctx.Err() == nil; {
			at = at.Add(time.Duration(interval.Rand() * float64(time.Second)))
			timer := time.NewTimer(time.Until(at))
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return nil
			}
			draw, class := random.Float64(), 0
			for draw >= r.Classes[class].Share && class < len(r.Classes)-1 {
				draw -= r.Classes[class].Share
				class++
			}
			select {
			case due <- class:
			default: // all sessions are busy: the request counts as failed without being sent
				requests.Add(1)
				failed.Add(1)
			}
		}
		return nil
	})
	for s := range sessions {
		group.Go(func() error {
			var c net.Conn
			defer func() {
				if c != nil {
					_ = c.Close()
				}
			}()
			n := 0
			for class := range due {
				n++
				requests.Add(1)
				succeeded := false
				if c == nil {
					c = openSession(address)
				}
				if c != nil {
					id := fmt.Sprintf("%x-%x-%x", no, s, n)
					var usable bool
					if succeeded, usable = query(c, r.Classes[class].Name, id); !usable {
						_ = c.Close()
						c = nil
					}
				}
				if !succeeded && ctx.Err() == nil {
					failed.Add(1)
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// openSession opens a session and waits until the relay is ready for a query. It returns nil if the session cannot be
// opened.
func openSession(address string) net.Conn {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	if _, err := c.Write(pgwire.StartupMessage()); err != nil {
		_ = c.Close()
		return nil
	}
	if _, ok := readResponse(c); !ok {
		_ = c.Close()
		return nil
	}
	return c
}

// query sends one request in the session c and reads its answer. usable reports whether c can take another request.
func query(c net.Conn, class, id string) (succeeded, usable bool) {
	text := fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%s,c=%s,t=a,d=2000 */", id, class)
	if _, err := c.Write(pgwire.SimpleQuery(text)); err != nil {
		return false, false
	}
	return readResponse(c)
}

// readResponse reads messages until the relay is ready for a query. succeeded reports whether no message was an error.
// usable reports whether the session c can take another request.
func readResponse(c net.Conn) (succeeded, usable bool) {
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	succeeded = true
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(c, head); err != nil {
			return false, false
		}
		size := int64(binary.BigEndian.Uint32(head[1:])) - 4
		if size < 0 || size > 1<<20 {
			return false, false
		}
		if _, err := io.CopyN(io.Discard, c, size); err != nil {
			return false, false
		}
		switch head[0] {
		case 'E':
			succeeded = false
		case 'Z':
			return succeeded, true
		}
	}
}

// CompareLoopback rolls out each package of an experiment the given number of times, without conditions. Each rollout
// runs both with real relays on sockets and in the model, and CompareLoopback prints a comparison. It skips packages
// that the loopback run cannot simulate. At most width rollouts with real relays run at once.
func (e Experiment) CompareLoopback(ctx context.Context, rollouts, width int, to io.Writer, progress func(done, of int)) ([]Result, error) {
	var list []Rollout
	for _, p := range e.Packages {
		if p.Wrong > 0 || p.SlowFactor > 0 || p.PriorPackage != "" { // the loopback run simulates neither wrong answers nor slow packages nor earlier packages
			continue
		}
		for i := range rollouts {
			r := e.Rollout
			r.Package, r.Condition, r.Seed = p, Condition{Name: "loopback"}, uint64(i+1)
			list = append(list, r)
		}
	}
	sockets, model := make([]Result, len(list)), make([]Result, len(list))
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(width)
	var done atomic.Int64
	for i, r := range list {
		group.Go(func() (err error) {
			sockets[i], err = r.Loopback(inner)
			progress(int(done.Add(1)), len(list))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, r := range list {
		model[i] = r.Run()
	}
	return sockets, Compare(to, "sockets", "model", sockets, model)
}
