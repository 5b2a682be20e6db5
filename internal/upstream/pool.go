// Package upstream keeps connections to the backends, which speak PostgreSQL's wire protocol, and runs attempts on
// them, one at a time on each connection. The package never sends a query again: each further attempt is the balancer's
// decision. If a connection turns out to be closed, or to hold unsolicited bytes, before anything was written on it,
// the attempt gets another connection.
//
// The caller creates one Pool, runs Run for as long as the pool is used, and calls Attempt from the goroutine of each
// request. Prewarm starts goroutines and waits for them. Probe starts one goroutine, for which Run waits.
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

// A backend may answer a query twice, with some milliseconds between the replies. If the connection is used for another
// request before the second reply arrives, the second reply is taken for the reply to that request. The pool therefore
// prefers connections that have settled, which means that settleTime has passed since their last reply. On a settled
// connection, a second reply has already arrived, and the pool notices it. If no idle connection has settled, the pool
// usually opens a new one, because that costs less than a wrong reply. It uses an idle connection that has not settled
// only if half of the pool's slots are taken (see Pool.slots). For unsolicitedExpectedTime after unsolicited bytes have
// arrived, it does so only if seven eighths of the slots are taken. A backend that sends an error message before it
// closes an idle connection also sends unsolicited bytes. This does no harm: the pool only opens more connections than
// it needs.
const (
	settleTime              = 25 * time.Millisecond // a connection has settled when this time has passed since its last reply
	unsolicitedExpectedTime = time.Minute           // after unsolicited bytes have arrived, more of them are expected for this time
)

const (
	idleMarginDivisor   = 8  // an idle connection is closed when an eighth (1/idleMarginDivisor) of the backends' idle timeout is left
	sweepsPerIdleTime   = 16 // number of checks of the idle connections per Pool.maxIdleTime
	minSweepInterval    = 50 * time.Millisecond
	prewarmSlotsDivisor = 2 // Prewarm opens connections on at most half of the slots
)

// Pool holds the connections to all backends. New creates one. Its exported methods may be called from any goroutine.
type Pool struct {
	// New sets the fields below, which do not change afterwards.
	buffers        *transport.BufferBudget
	connectTimeout time.Duration // time limit from the dial of a connection until the backend reports that it is ready
	maxIdleTime    time.Duration // longest time that a connection may be idle
	dispatcher     *dispatch.Dispatcher
	loadColumns    []string // names of the values of a load report, in their order

	slots  chan struct{}  // holds one element for each connection that is open or being opened
	probes sync.WaitGroup // goroutines of Probe

	mu                       sync.Mutex         // guards the fields below up to the counters
	idle                     map[string][]*conn // idle connections by name of the backend, the most recently used one at the end; a backend without idle connections has no entry
	unsolicitedExpectedUntil time.Time          // time until which more unsolicited bytes are expected

	// Opened counts dials, Reused counts idle connections that acquire returned, Failed counts attempts and probes for
	// which there was no connection, and Unsolicited counts idle connections on which unsolicited bytes had arrived.
	Opened, Reused, Failed, Unsolicited atomic.Int64
}

// conn is a connection to a backend.
type conn struct {
	*transport.Conn
	backend   dispatch.Backend
	idleSince time.Time // time at which the connection last became idle; zero if it has never been idle
}

// New returns a pool of at most maxConnections connections in all. idleTimeout is the time after which a backend closes
// an idle connection. The pool closes an idle connection earlier, after seven eighths of that time. If idleTimeout is 0
// or less, the pool reuses no connection.
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

// Run closes connections that have been idle for maxIdleTime, which is a little less than the backends' idle timeout.
// When the context ends, Run waits for the probes, closes all idle connections and returns nil.
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

// sweepInterval returns the interval at which idle connections are checked. Without the minimum, an idle relay would do
// nothing but sweep if the backends' idle timeout were absent or close to 0. The minimum does not let the pool reuse a
// connection too late, because acquire checks the idle time itself.
func (p *Pool) sweepInterval() time.Duration {
	return max(p.maxIdleTime/sweepsPerIdleTime, minSweepInterval)
}

// sweep closes the connections that have been idle for maxIdleTime or longer.
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

// InUse returns how many connections are open or being opened, and how many of them are idle.
func (p *Pool) InUse() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return len(p.slots), idle
}

// addIdle makes a connection available to takeIdle and records when it became idle.
func (p *Pool) addIdle(c *conn) {
	c.ReleaseBuffers()
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.backend.Name] = append(p.idle[c.backend.Name], c)
}

// takeIdle removes and returns an idle connection to a backend: the most recently used one of those that have settled.
// If none has settled and at least slotsForUnsettled slots are taken, it returns the connection that has been idle the
// longest. It returns nil if the caller should open a new connection.
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

// slotsForUnsettled returns how many slots must be taken before the pool reuses connections that have not settled. mu
// must be held.
func (p *Pool) slotsForUnsettled(now time.Time) int {
	if now.Before(p.unsolicitedExpectedUntil) {
		return cap(p.slots) * 7 / 8
	}
	return cap(p.slots) / 2
}

// setIdle replaces the idle connections to a backend. mu must be held.
func (p *Pool) setIdle(backend string, conns []*conn) {
	if len(conns) == 0 {
		delete(p.idle, backend)
		return
	}
	p.idle[backend] = conns
}

// closeOldest closes the connection that has been idle the longest. It returns false if no connection is idle.
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

// discard closes a connection that was idle, and records whether unsolicited bytes have arrived on it.
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
