// Package upstream keeps connections to the units and makes deliveries on them, one at a time each.
// Nothing is ever sent again here: each further delivery is the module's.
package upstream

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// Pool holds the idle connections, by unit.
type Pool struct {
	room    *transport.BufferBudget
	connect time.Duration // time limit of a new connection
	rest    time.Duration // how long a connection may stand idle
	gate    *dispatch.Dispatcher
	figures []string      // of a load report
	slots   chan struct{} // one for each connection that may be open
	probes  sync.WaitGroup

	mu   sync.Mutex
	idle map[string][]*conn // the last used at the end
	wary time.Time          // until then unasked answers are expected

	Opened, Reused, Failed, Unsolicited atomic.Int64
}

type conn struct {
	*transport.Conn
	to    dispatch.Backend
	since time.Time // idle since
}

// New makes pools of at most so many connections in all. A connection that would stand idle for
// as long as rest is closed before the unit does it.
func New(room *transport.BufferBudget, most int, connect, rest time.Duration, g *dispatch.Dispatcher) *Pool {
	return &Pool{room: room, connect: connect, rest: rest - rest/8, gate: g, figures: g.LoadColumns(),
		slots: make(chan struct{}, most), idle: map[string][]*conn{}}
}

// A unit may answer twice, the second time some milliseconds late: on a connection that was used again by then it
// would be taken for the next command's answer. Those that have settled are used first; others only where half of the
// places are taken, or most of them while bytes come unasked: a new connection costs less than a wrong answer. The same
// sight has an idle unit that says why it ends; it hurts only by connections.
const (
	settle  = 25 * time.Millisecond
	waryFor = time.Minute
)

// Reply is how a delivery ended. Its rows are valid until Done.
type Reply struct {
	SQLState string // SQLSTATE of the answer, empty with none
	End      transport.CloseStatus
	Load     []float64
	Rows     [][]byte // messages to pass on, byte for byte
	conn     *conn
	pools    *Pool
	keep     bool
}

// Attempt makes one delivery of a query, if that still may begin once there is a connection.
func (p *Pool) Attempt(d *dispatch.Attempt, q *pgwire.Query) Reply {
	c, r := p.open(d.Context, d.Backend)
	if c == nil {
		return r
	}
	c.BindContext(d.Context)
	begins := p.gate.Begin(d) // it may have waited for a place or a dial
	left := time.Until(d.Deadline).Milliseconds()
	if !begins || left < 1 { // nothing is written, and the connection is as good as before
		if c.ReleaseContext() && p.gate.IsCurrent(d.Backend) {
			p.rested(c)
		} else {
			p.close(c)
		}
		return Reply{End: transport.CloseStatus{Reason: transport.Canceled}}
	}
	if !c.Reusable() { // the unit has ended it since: nothing is written
		fresh := c.since.IsZero()
		if p.drop(c); fresh {
			return Reply{End: transport.CloseStatus{Reason: transport.ClosedByPeer}}
		}
		return p.Attempt(d, q)
	}
	c.Append(q.Forward(left)...)
	if end := c.Flush(); end.Closed() {
		p.close(c)
		return Reply{End: end}
	}
	r = p.read(c)
	if r.SQLState == "" && !r.End.Closed() || r.SQLState == pgwire.StateSuccess && len(r.Rows) != rowParts {
		r = Reply{End: transport.CloseStatus{Reason: transport.Malformed, Flushed: true}} // it is ready again without an answer
	}
	r.conn, r.pools, r.keep = c, p, c.ReleaseContext() && r.keep // before its context is cancelled
	return r
}

// rowParts are the messages of a row: its description, itself and the end.
const rowParts = 3

// read reads one answer to its end. A row or an error counts from when it is whole; the unit then
// has the time in which a connection settles to say that it is ready for more, as the client waits meanwhile.
func (p *Pool) read(c *conn) Reply {
	var a pgwire.Response
	for {
		var end transport.CloseStatus
		if err := a.Read(c.Buffered()); err == pgwire.ErrTooLong {
			end = transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
		} else if err != nil {
			end = transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
		} else if a.Ready || a.Fatal {
			return p.reply(c, &a, a.Ready)
		} else {
			if a.SQLState != "" {
				c.SetDeadline(time.Now().Add(min(p.connect, settle)))
			}
			end = c.Fill(a.Need(c.Buffered()))
		}
		if end.Closed() && a.SQLState != "" {
			return p.reply(c, &a, false)
		}
		if end.Closed() {
			return Reply{End: end}
		}
	}
}

func (p *Pool) reply(c *conn, a *pgwire.Response, keep bool) Reply {
	r := Reply{SQLState: a.SQLState, Load: pgwire.ParseLoad(a.Load, p.figures), keep: keep && a.Consumed == len(c.Buffered())}
	if a.SQLState == pgwire.StateSuccess {
		for _, span := range a.Rows {
			r.Rows = append(r.Rows, c.Buffered()[span[0]:span[1]])
		}
	}
	return r
}

// Release gives the connection back. It is used again only after an answer that ended in order.
func (r *Reply) Release() {
	c := r.conn
	if c == nil {
		return
	}
	if !r.keep {
		r.pools.close(c)
		return
	}
	c.Discard(len(c.Buffered()))
	r.pools.rested(c)
}

// rested takes a connection among the idle.
func (p *Pool) rested(c *conn) {
	c.ReleaseBuffers()
	c.since = time.Now()
	p.mu.Lock()
	p.idle[c.to.Name] = append(p.idle[c.to.Name], c)
	p.mu.Unlock()
}

// open finds an idle connection to a unit or makes a new one.
func (p *Pool) open(ctx context.Context, to dispatch.Backend) (*conn, Reply) {
	for c := p.take(to.Name); c != nil; c = p.take(to.Name) {
		if c.to == to && time.Since(c.since) < p.rest && c.Reusable() {
			p.Reused.Add(1)
			return c, Reply{}
		}
		p.drop(c)
	}
	select {
	case p.slots <- struct{}{}:
	default:
		if !p.closeOldest() {
			p.Failed.Add(1)
			return nil, Reply{End: transport.CloseStatus{Reason: transport.Refused}}
		}
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done(): // which speaks for no unit
			return nil, Reply{End: transport.CloseStatus{Reason: transport.Canceled}}
		}
	}
	c, r := p.dial(ctx, to)
	if c == nil {
		p.Failed.Add(1)
		<-p.slots
	}
	return c, r
}

// dial opens a connection up to the unit's word that it is ready.
func (p *Pool) dial(ctx context.Context, to dispatch.Backend) (*conn, Reply) {
	p.Opened.Add(1)
	limited, cancel := context.WithTimeout(ctx, p.connect)
	defer cancel()
	l, end := transport.Dial(limited, to.Address, p.connect, p.room)
	if end.Closed() {
		return nil, Reply{End: end}
	}
	c := &conn{Conn: l, to: to}
	c.BindContext(limited)
	c.Append(pgwire.StartupMessage())
	if end = c.Flush(); !end.Closed() {
		r := p.read(c)
		if end = r.End; r.SQLState == pgwire.StateTooManyConnections {
			c.Close()
			return nil, Reply{SQLState: r.SQLState}
		}
		if r.SQLState == "" && !end.Closed() && r.keep && c.ReleaseContext() {
			c.Discard(len(c.Buffered()))
			return c, Reply{}
		}
	}
	c.Close()
	if end.Closed() {
		return nil, Reply{End: transport.CloseStatus{Reason: end.Reason}} // no query was written
	}
	if ctx.Err() == context.Canceled { // given up just as it came up, which speaks for no unit
		return nil, Reply{End: transport.CloseStatus{Reason: transport.Canceled}}
	}
	return nil, Reply{End: transport.CloseStatus{Reason: transport.ConnectTimeout}}
}

// take takes the idle connection to a unit that was used last, among those that have settled; else the one that has
// rested the longest.
func (p *Pool) take(name string) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[name]
	at := len(list) - 1
	for at >= 0 && now.Sub(list[at].since) < settle {
		at--
	}
	most := cap(p.slots) / 2
	if now.Before(p.wary) {
		most = cap(p.slots) * 7 / 8
	}
	if at < 0 && (len(list) == 0 || len(p.slots) < most) {
		return nil
	}
	at = max(at, 0)
	c := list[at]
	p.left(name, slices.Delete(list, at, at+1))
	return c
}

// drop closes an idle connection, and minds what has come on it unasked.
func (p *Pool) drop(c *conn) {
	if c.HasUnsolicited() {
		p.Unsolicited.Add(1)
		p.mu.Lock()
		p.wary = time.Now().Add(waryFor)
		p.mu.Unlock()
	}
	p.close(c)
}

// left sets what is idle at a unit; of one that has nothing, nothing is kept.
func (p *Pool) left(name string, list []*conn) {
	if p.idle[name] = list; len(list) == 0 {
		delete(p.idle, name)
	}
}

func (p *Pool) close(c *conn) {
	c.Close()
	<-p.slots
}

// closeOldest closes the connection that has stood idle the longest.
func (p *Pool) closeOldest() bool {
	p.mu.Lock()
	oldest := ""
	for name, list := range p.idle {
		if len(list) > 0 && (oldest == "" || list[0].since.Before(p.idle[oldest][0].since)) {
			oldest = name
		}
	}
	if oldest == "" {
		p.mu.Unlock()
		return false
	}
	c := p.idle[oldest][0]
	p.left(oldest, p.idle[oldest][1:])
	p.mu.Unlock()
	p.drop(c)
	return true
}

// CloseIdle closes the idle connections to a unit.
func (p *Pool) CloseIdle(name string) {
	p.mu.Lock()
	list := p.idle[name]
	delete(p.idle, name)
	p.mu.Unlock()
	for _, c := range list {
		p.drop(c)
	}
}

// Prewarm opens connections to units that have just been listed, part of them to each, so that the first
// commands after a start need not wait for them. All relays together open no more at a unit than one of
// them might alone: many that start at once would spend the units' work on connections that few commands
// use. It waits at most as long as one takes, and not beyond the context: what is not up by then is given up.
func (p *Pool) Prewarm(ctx context.Context, to []dispatch.Backend, relays int) {
	ctx, cancel := context.WithTimeout(ctx, p.connect)
	defer cancel()
	var all sync.WaitGroup
	for i := range min(cap(p.slots)/2/max(1, len(to)), cap(p.slots)/2/max(1, relays)) * len(to) {
		all.Go(func() {
			select {
			case p.slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			c, _ := p.dial(ctx, to[i%len(to)])
			if c == nil {
				<-p.slots
				return
			}
			p.rested(c)
		})
	}
	all.Wait()
}

// Probe checks a unit on a goroutine of its own, which Run waits for.
func (p *Pool) Probe(to dispatch.Backend) {
	p.probes.Add(1)
	go func() {
		defer p.probes.Done()
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), p.connect)
		defer cancel()
		c, r := p.open(ctx, to)
		if c != nil {
			c.BindContext(ctx)
			c.Append(pgwire.SimpleQuery("SELECT 1"))
			if r.End = c.Flush(); !r.End.Closed() {
				r = p.read(c)
			}
			r.conn, r.pools, r.keep = c, p, c.ReleaseContext() && r.keep
			r.Release()
		}
		p.gate.ProbeEnded(to.Name, r.SQLState, r.End, time.Since(began), r.Load)
	}()
}

// Run closes connections ahead of the units' own idle limit until the context ends, then all.
func (p *Pool) Run(ctx context.Context) error {
	beat := time.NewTicker(p.every())
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			p.probes.Wait()
			for p.closeOldest() {
			}
			return nil
		case <-beat.C:
			p.sweep(time.Now())
		}
	}
}

// every is how often idle connections are looked through. Where the units' limit is absent or next to nothing an idle
// relay would do nothing else; open minds the limit itself.
func (p *Pool) every() time.Duration { return max(p.rest/16, 50*time.Millisecond) }

func (p *Pool) sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for name, list := range p.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].since) >= p.rest {
			n++
		}
		old = append(old, list[:n]...)
		p.left(name, list[n:])
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// InUse tells how many connections are open, and how many of them are idle.
func (p *Pool) InUse() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return len(p.slots), idle
}
