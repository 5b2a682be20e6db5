package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"silvercove/internal/pgwire"
)

// query is a query that has arrived whole at a unit.
type query struct {
	unit      string
	build     int
	relay     string
	id        string
	class     string
	key       string
	firstByte time.Time
	lastByte  time.Time
}

// unit is a stand-in of a server. It listens at one address for each relay, answers each query with a row that names the
// query's id, and reports each query that has arrived whole.
type unit struct {
	name      string
	build     int
	kind      string // its kind of hardware in the list; "" for k3-fast
	rec       *record
	addresses map[string]string // by relay
	work      func() time.Duration
	arrived   func(query)

	// again, if not nil, says after which time a second copy of an answer is sent, and whether there is one.
	// It is sent only if no other query has arrived on the connection by then.
	again func() (after time.Duration, ok bool)

	// full, if not nil, says of a query whether the unit turns it away, as its queue is full. Such a query never runs.
	full func() bool

	// way is how long bytes are under way between the relay and the unit, each way.
	way func() time.Duration

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
	gone      bool
}

// newUnit starts a unit.
func newUnit(rec *record, name string, build int, relays []string, work func() time.Duration, arrived func(query)) (*unit, error) {
	u := &unit{name: name, build: build, rec: rec, addresses: map[string]string{}, work: work, arrived: arrived, conns: map[net.Conn]bool{},
		way: func() time.Duration { return 0 }}
	for _, relay := range relays {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		u.listeners = append(u.listeners, l)
		u.addresses[relay] = l.Addr().String()
		go u.accept(l, relay)
	}
	return u, nil
}

func (u *unit) accept(l net.Listener, relay string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if u.gone {
			u.mu.Unlock()
			_ = c.Close()
			continue
		}
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c, relay)
	}
}

// stop ends the unit, as when its process ends: connections end and new ones are refused.
func (u *unit) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gone = true
	for _, l := range u.listeners {
		_ = l.Close()
	}
	for c := range u.conns {
		_ = c.Close()
	}
}

// valueOf is the value that units give for a request.
func valueOf(id, key string) []byte { return fmt.Appendf(nil, "value of %s for %s", key, id) }

func (u *unit) serve(c net.Conn, relay string) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	var buf []byte
	var first, last time.Time
	chunk := make([]byte, 32<<10)
	more := func() bool {
		n, err := c.Read(chunk)
		time.Sleep(u.way())
		last = time.Now()
		if len(buf) == 0 {
			first = last
		}
		buf = append(buf, chunk[:n]...)
		return err == nil
	}
	for {
		_, size, err := pgwire.ParseStartup(buf)
		if err != nil {
			return
		}
		if size > 0 {
			buf = buf[size:]
			break
		}
		if !more() {
			return
		}
	}
	if _, err := c.Write(pgwire.AuthenticationOK()); err != nil {
		return
	}
	var writing sync.Mutex
	var arrivals atomic.Int64
	for {
		kind, size, err := pgwire.ClientHeader(buf)
		if err != nil || kind == 'X' {
			return
		}
		if size == 0 || len(buf) < size {
			if !more() {
				return
			}
			continue
		}
		text := bytes.TrimSuffix(bytes.Clone(buf[pgwire.HeaderSize:size]), []byte{0})
		buf = buf[size:]
		arrivals.Add(1)
		if !u.answer(c, &writing, &arrivals, relay, text, first, last) {
			return
		}
		first = time.Now()
	}
}

// answer runs one statement and writes its answer.
func (u *unit) answer(c net.Conn, writing *sync.Mutex, arrivals *atomic.Int64, relay string, text []byte, first, last time.Time) bool {
	q, fault := pgwire.ParseQuery(text)
	if fault != nil {
		_, err := c.Write(append(pgwire.ErrorResponse("ERROR", "08P01", fault.Text, ""), pgwire.ReadyForQuery()...))
		return err == nil
	}
	if u.full != nil && u.full() {
		u.rec.line("full unit=%s relay=%s id=%s class=%s", u.name, relay, q.ID, q.Class)
		refusal := append(pgwire.ErrorResponse("ERROR", pgwire.StateTooManyConnections, "queue full", ""), pgwire.ReadyForQuery()...)
		return u.send(c, writing, arrivals, relay, q.ID, refusal)
	}
	u.arrived(query{u.name, u.build, relay, q.ID, q.Class, q.Key, first, last})
	time.Sleep(u.work())
	tag := "SELECT 1"
	if q.Write {
		tag = "INSERT 0 1"
	}
	row := pgwire.DataRow(valueOf(q.ID, q.Key), tag)
	return u.send(c, writing, arrivals, relay, q.ID, row)
}

// send sends an answer, and perhaps a second copy of it later.
func (u *unit) send(c net.Conn, writing *sync.Mutex, arrivals *atomic.Int64, relay, id string, answer []byte) bool {
	if u.again != nil {
		if after, ok := u.again(); ok {
			u.sendAgain(c, writing, arrivals, relay, id, answer, after)
		}
	}
	time.Sleep(u.way())
	writing.Lock()
	defer writing.Unlock()
	_, err := c.Write(answer)
	return err == nil
}

// sendAgain sends a second copy of an answer some time after the first one, unless another query waits on the connection then.
func (u *unit) sendAgain(c net.Conn, writing *sync.Mutex, arrivals *atomic.Int64, relay, id string, answer []byte, after time.Duration) {
	arrived := arrivals.Load()
	time.AfterFunc(after, func() {
		if arrivals.Load() != arrived {
			return
		}
		time.Sleep(u.way())
		writing.Lock()
		defer writing.Unlock()
		u.rec.line("again unit=%s relay=%s id=%s after_ms=%.1f", u.name, relay, id, float64(after.Microseconds())/1000)
		_, _ = c.Write(answer)
	})
}

// between returns a random duration between two.
func between(low, high time.Duration) time.Duration {
	return low + time.Duration(rand.Int64N(int64(high-low)+1))
}
