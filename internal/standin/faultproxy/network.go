// Package faultproxy simulates the network between processes. Each Link listens on loopback and forwards to one process, with
// faults that a script sets while it runs. Random faults are drawn from a seed, and each change of a fault is reported with
// its time.
//
// TCP does not lose bytes, so a network fault must not show as missing bytes on a connection. The verb cut discards the bytes of a
// direction. When the link heals, each connection whose bytes were discarded is reset, as TCP does when its retransmissions run
// out. The verb stall makes the bytes wait and arrive later. The verb drop breaks a connection with a given probability for each
// chunk, which is the bytes of one read. The break may be in the middle of a message.
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	chunkBytes = 16 << 10 // maximum size of one read
	// maxQueuedChunks is the maximum number of chunks queued in one direction. If the queue is full, the reader blocks, like a
	// sender with a full TCP window.
	maxQueuedChunks = 64
	dialTimeout     = 2 * time.Second // time limit for connecting to a link's target
)

// Direction is the direction in which bytes pass a link.
type Direction int

// Forward is the direction from the connecting to the listening process, Backward the reverse.
const (
	Forward Direction = iota
	Backward
)

// Fault describes how a link treats the bytes of one direction.
type Fault struct {
	Silent      bool          // bytes are discarded
	Stall       bool          // bytes wait until the stall ends
	Delay       time.Duration // bytes are delayed by Delay plus a random time of up to a quarter of Delay
	Rate        float64       // bytes a second; 0: no limit
	BreakChance float64       // probability with which each chunk breaks its connection
}

// String returns the fault in the words of a script, for example "delay 20ms", or "up" if there is none.
func (f Fault) String() string {
	var w []string
	if f.Silent {
		w = append(w, "cut")
	}
	if f.Stall {
		w = append(w, "stall")
	}
	if f.Delay > 0 {
		w = append(w, "delay "+f.Delay.String())
	}
	if f.Rate > 0 {
		w = append(w, fmt.Sprintf("rate %.0f", f.Rate))
	}
	if f.BreakChance > 0 {
		w = append(w, fmt.Sprintf("drop %g%%", f.BreakChance*100))
	}
	if len(w) == 0 {
		return "up"
	}
	return strings.Join(w, " ")
}

// Event is a change of a link's fault.
type Event struct {
	At       time.Time
	From, To string
	Text     string
}

// Network is a set of links between processes.
type Network struct {
	onChange   func(Event)
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	links  []*Link
}

// New returns a network without links. onChange is called for each change of a fault, and may be nil. It must not call methods of the
// network or its links.
func New(seed uint64, onChange func(Event)) *Network {
	ctx, stop := context.WithCancel(context.Background())
	if onChange == nil {
		onChange = func(Event) {}
	}
	return &Network{onChange: onChange, ctx: ctx, stop: stop, random: rand.New(rand.NewPCG(seed, 0x11))}
}

// Close ends all links and waits for their goroutines.
func (n *Network) Close() {
	n.stop()
	n.mu.Lock()
	for _, l := range n.links {
		_ = l.listener.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// Refuse turns the refusal of connections on or off. Turning it on resets all connections. While it is on, new connections are
// reset too.
func (l *Link) Refuse(on bool) {
	l.mu.Lock()
	was := l.refuse
	if l.refuse = on; on {
		for c := range l.connections {
			c.reset()
		}
	}
	l.mu.Unlock()
	if was != on {
		l.network.onChange(Event{time.Now(), l.From, l.To, map[bool]string{true: "reset", false: "up"}[on]})
	}
}

// Fault returns the current fault of one direction.
func (l *Link) Fault(direction Direction) Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[direction]
}

func (l *Link) current(direction Direction) (Fault, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[direction], l.changed
}

// reset ends a connection with a TCP reset, so that both ends see an error instead of the end of the stream.
func (c *connection) reset() {
	for _, s := range []net.Conn{c.client, c.server} {
		if t, ok := s.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	c.stop()
}

func (l *Link) run() {
	for {
		client, err := l.listener.Accept()
		switch {
		case l.network.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			if err == nil {
				_ = client.Close()
			}
			return
		case err != nil: // a temporary error of Accept, for example too many open file descriptors
			select {
			case <-l.network.ctx.Done():
			case <-time.After(dialTimeout / 100):
			}
			continue
		}
		l.network.goroutines.Go(func() { l.proxy(client) })
	}
}

// proxy forwards one connection until either end has closed it or it is reset.
func (l *Link) proxy(client net.Conn) {
	defer func() { _ = client.Close() }()
	l.mu.Lock()
	l.opened++
	target, refuse := l.target, l.refuse
	l.mu.Unlock()
	var server net.Conn
	var err error
	if !refuse && target != "" {
		server, err = (&net.Dialer{Timeout: dialTimeout}).DialContext(l.network.ctx, "tcp", target)
	}
	if refuse || target == "" || err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer func() { _ = server.Close() }()
	ctx, stop := context.WithCancel(l.network.ctx)
	c := &connection{client: client, server: server, stop: stop}
	l.mu.Lock()
	if l.refuse {
		l.mu.Unlock()
		stop()
		return
	}
	l.connections[c] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(ctx, c, Forward, client, server) })
	both.Go(func() { l.forward(ctx, c, Backward, server, client) })
	closer := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = server.Close()
	})
	both.Wait()
	stop()
	closer()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

type queuedChunk struct {
	data []byte
	due  time.Time
}

// forward copies the bytes of one direction. The end of the stream is subject to the same faults as the bytes.
func (l *Link) forward(ctx context.Context, c *connection, direction Direction, from, to net.Conn) {
	queue := make(chan queuedChunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		for {
			b := make([]byte, chunkBytes)
			n, err := from.Read(b)
			if n > 0 {
				f, _ := l.current(direction)
				due := time.Now()
				if f.Delay > 0 {
					due = due.Add(f.Delay + time.Duration(l.network.randomFloat()*float64(f.Delay)/4))
				}
				if f.BreakChance > 0 && l.network.randomFloat() < f.BreakChance {
					l.mu.Lock()
					c.reset()
					l.mu.Unlock()
					return
				}
				select {
				case queue <- queuedChunk{b[:n], due}:
				case <-ctx.Done():
					return
				}
			}
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				c.stop()
				return
			}
		}
	})
	defer reader.Wait()
	var last time.Time
	for chunk := range queue {
		if chunk.due.Before(last) {
			chunk.due = last // later chunks do not overtake earlier ones
		}
		last = chunk.due
		wait(ctx, time.Until(chunk.due), nil)
		if !l.waitForRelease(ctx, direction, len(chunk.data)) {
			l.mu.Lock()
			c.lostBytes = true
			l.mu.Unlock()
			continue
		}
		if _, err := to.Write(chunk.data); err != nil {
			c.stop()
			return
		}
		l.mu.Lock()
		l.passed[direction] += int64(len(chunk.data))
		l.mu.Unlock()
	}
	if l.waitForRelease(ctx, direction, 0) {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
}

// waitForRelease waits while a direction is stalled or limited by its rate. It returns false if the direction discards bytes or the
// connection ends.
func (l *Link) waitForRelease(ctx context.Context, direction Direction, size int) bool {
	for {
		f, changed := l.current(direction)
		switch {
		case ctx.Err() != nil || f.Silent:
			return false
		case f.Stall:
			wait(ctx, time.Hour, changed)
			continue
		case f.Rate > 0 && size > 0:
			wait(ctx, time.Duration(float64(size)/f.Rate*float64(time.Second)), changed)
			size = 0
			continue
		}
		return true
	}
}

func wait(ctx context.Context, span time.Duration, changed chan struct{}) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

func (n *Network) randomFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}
