// Package upstream keeps connections to the backends, in PostgreSQL's wire protocol, and makes attempts on them, one at a
// time each. Nothing is ever sent again here: each further attempt is the balancer's decision. Only a connection that turns
// out to be closed before anything was written on it is replaced by another.
//
// A caller makes one Pool, runs Run for as long as it is used, and calls Attempt from the goroutine of each request. The
// pool's goroutines are those of Prewarm, which waits for them, and one for each Probe, which Run waits for.
package upstream

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/transport"
)

// A backend may answer twice, the second time some milliseconds late: on a connection that was used again by then it would
// be taken for the next request's reply. Connections that have settled are used first; others only where half of the slots
// are taken, or most of them while unsolicited bytes come: a new connection costs less than a wrong reply. An idle backend
// that says why it ends looks the same; there the caution only costs connections.
const (
	settleTime              = 25 * time.Millisecond // after its last reply a connection has settled
	unsolicitedExpectedTime = time.Minute           // after unsolicited bytes more of them are expected
)

const (
	idleMarginDivisor   = 8  // connections are closed by this part of the idle timeout ahead of the backends
	sweepsPerIdleTime   = 16 // idle connections are looked through so often
	minSweepInterval    = 50 * time.Millisecond
	prewarmSlotsDivisor = 2 // half of the slots is used before requests come
)

// Pool holds the connections to all backends. It is made by New; its exported methods may be called from any goroutine.
type Pool struct {
	// Fixed by New.
	buffers        *transport.BufferBudget
	connectTimeout time.Duration // for a new connection, up to the backend's word that it is ready
	maxIdleTime    time.Duration // of a connection
	dispatcher     *dispatch.Dispatcher
	loadColumns    []string // of a load report

	slots  chan struct{}  // holds one element for each connection that is open or being made
	probes sync.WaitGroup // goroutines of Probe

	mu                       sync.Mutex         // guards what follows up to the counters
	idle                     map[string][]*conn // by backend, the last used at the end; no empty lists
	unsolicitedExpectedUntil time.Time          // until then unsolicited bytes are expected

	// Opened counts connections that were begun, Reused attempts on an idle one, Failed those for which there was none, and
	// Unsolicited idle connections on which something had come.
	Opened, Reused, Failed, Unsolicited atomic.Int64
}

// conn is a connection to a backend.
type conn struct {
	*transport.Conn
	backend   dispatch.Backend
	idleSince time.Time // when it last became idle; zero if it never was
}

// New makes a pool of at most so many connections in all. Connections that would be idle for as long as idleTimeout are
// closed before the backend does it; an idleTimeout of 0 or less keeps none.
func New(buffers *transport.BufferBudget, maxConnections int, connectTimeout, idleTimeout time.Duration,
	dispatcher *dispatch.Dispatcher) *Pool {
	return &Pool{
		buffers:        buffers,
		connectTimeout: connectTimeout,
		maxIdleTime:    idleTimeout - idleTimeout/idleMarginDivisor,
		dispatcher:     dispatcher,
		loadColumns:    dispatcher.LoadColumns(),
		slots:          make(chan struct{}, maxConnections),
		idle:           map[string][]*conn{},
	}
}

// Run closes connections ahead of the backends' own idle timeout until the context ends. Then it waits for the probes and
// closes what is idle. It always returns nil.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.sweepInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.probes.Wait()
			for p.closeOldest() {
			}
			return nil
		case <-ticker.C:
			p.sweep(time.Now())
		}
	}
}

// sweepInterval is how often idle connections are looked through. Where the backends' idle timeout is absent or next to
// nothing an idle relay would do nothing else; acquire minds the timeout itself.
func (p *Pool) sweepInterval() time.Duration {
	return max(p.maxIdleTime/sweepsPerIdleTime, minSweepInterval)
}

// sweep closes the connections that have been idle for too long.
func (p *Pool) sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for backend, conns := range p.idle {
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) >= p.maxIdleTime {
			n++
		}
		expired = append(expired, conns[:n]...)
		p.setIdle(backend, conns[n:])
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// CloseIdle closes the idle connections to a backend.
func (p *Pool) CloseIdle(backend string) {
	p.mu.Lock()
	conns := p.idle[backend]
	delete(p.idle, backend)
	p.mu.Unlock()
	for _, c := range conns {
		p.discard(c)
	}
}

// InUse tells how many connections are open or being made, and how many of them are idle.
func (p *Pool) InUse() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return len(p.slots), idle
}

// addIdle takes a connection among the idle ones.
func (p *Pool) addIdle(c *conn) {
	c.ReleaseBuffers()
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.backend.Name] = append(p.idle[c.backend.Name], c)
}

// takeIdle takes the idle connection to a backend that was used last, among those that have settled; else the one that has
// been idle the longest, if new connections are short. Nil: a new one is to be made.
func (p *Pool) takeIdle(backend string) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[backend]
	at := len(conns) - 1
	for at >= 0 && now.Sub(conns[at].idleSince) < settleTime {
		at--
	}
	if at < 0 && (len(conns) == 0 || len(p.slots) < p.slotsForUnsettled(now)) {
		return nil
	}
	at = max(at, 0)
	c := conns[at]
	p.setIdle(backend, slices.Delete(conns, at, at+1))
	return c
}

// slotsForUnsettled is how many slots are taken before a connection that has not settled is used again; mu is held.
func (p *Pool) slotsForUnsettled(now time.Time) int {
	if now.Before(p.unsolicitedExpectedUntil) {
		return cap(p.slots) * 7 / 8
	}
	return cap(p.slots) / 2
}

// setIdle sets what is idle at a backend; mu is held.
func (p *Pool) setIdle(backend string, conns []*conn) {
	if len(conns) == 0 {
		delete(p.idle, backend)
		return
	}
	p.idle[backend] = conns
}

// closeOldest closes the connection that has been idle the longest; false: none is idle.
func (p *Pool) closeOldest() bool {
	c := p.takeOldest()
	if c == nil {
		return false
	}
	p.discard(c)
	return true
}

func (p *Pool) takeOldest() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, conns := range p.idle {
		if oldest == nil || conns[0].idleSince.Before(oldest.idleSince) {
			oldest = conns[0]
		}
	}
	if oldest != nil {
		p.setIdle(oldest.backend.Name, p.idle[oldest.backend.Name][1:])
	}
	return oldest
}

// discard closes a connection that was idle, and minds what has come on it unsolicited.
func (p *Pool) discard(c *conn) {
	if c.HasUnsolicited() {
		p.Unsolicited.Add(1)
		p.mu.Lock()
		p.unsolicitedExpectedUntil = time.Now().Add(unsolicitedExpectedTime)
		p.mu.Unlock()
	}
	p.close(c)
}

// close closes a connection and frees its slot.
func (p *Pool) close(c *conn) {
	c.Close()
	<-p.slots
}
