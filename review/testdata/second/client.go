package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"silvercove/internal/pgwire"
)

// class is a class of requests that clients send.
type class struct {
	name    string
	share   float64
	timeout time.Duration
	write   bool
}

// clients send requests to one relay: at random times with a mean rate, on connections that are kept. When all connections are
// busy, another one is opened.
type clients struct {
	rec     *record
	relay   string
	address string
	classes []class
	keys    int
	ids     *atomic.Int64
	wrong   func(id, key string, value []byte) // called for a row with another value than the one that units give

	mu   sync.Mutex
	idle []*clientConn

	sent, served, refused, failed, lost atomic.Int64
}

type clientConn struct {
	net.Conn
	buf  []byte
	used bool
}

// run sends requests until the channel is closed, and waits for the last answers.
func (c *clients) run(rate float64, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		open.Go(func() { c.request(c.pickClass()) })
	}
}

func (c *clients) pickClass() class {
	at := rand.Float64()
	for _, k := range c.classes {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return c.classes[0]
}

func (c *clients) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return conn
	}
	return nil
}

// dial opens a connection. The first query may follow right behind the startup.
func (c *clients) dial(wait time.Duration) (*clientConn, error) {
	raw, err := net.DialTimeout("tcp", c.address, wait)
	if err != nil {
		return nil, err
	}
	_, err = raw.Write(pgwire.StartupMessage())
	return &clientConn{Conn: raw}, err
}

// request sends one request and records its answer.
func (c *clients) request(k class) {
	id := fmt.Sprintf("%016x", c.ids.Add(1))
	key := fmt.Sprintf("photo-%05d", rand.IntN(c.keys))
	timeout := time.Duration(float64(k.timeout) * (0.4 + 0.6*rand.Float64()))
	text := fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'", key)
	if k.write {
		text = fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x%s') RETURNING content`, key, id)
	}
	text += fmt.Sprintf(" /* id=%s,c=%s,t=veld-images,d=%d */", id, k.name, timeout.Milliseconds())
	c.sent.Add(1)
	began := time.Now()
	c.rec.lineAt(began, "sent relay=%s id=%s class=%s d=%d", c.relay, id, k.name, timeout.Milliseconds())
	end := began.Add(timeout)
	for try := 0; ; try++ {
		conn := c.take()
		if conn == nil || try > 0 {
			var err error
			if conn, err = c.dial(time.Until(end)); err != nil {
				c.end(id, "unreachable", began)
				c.lost.Add(1)
				return
			}
		}
		again := c.exchange(conn, id, key, text, began, end)
		if !again || try > 0 {
			return
		}
	}
}

// exchange sends a query and reads its answer. again says that the relay closed the connection between two requests.
func (c *clients) exchange(conn *clientConn, id, key, text string, began, end time.Time) (again bool) {
	_ = conn.SetDeadline(end)
	if _, err := conn.Write(pgwire.SimpleQuery(text)); err != nil {
		_ = conn.Close()
		return conn.used
	}
	chunk := make([]byte, 8<<10)
	greeted := conn.used
	var response pgwire.Response
	for {
		if err := response.Read(conn.buf); err != nil {
			_ = conn.Close()
			c.lost.Add(1)
			c.end(id, "unreadable", began)
			return false
		}
		if response.Ready && !greeted {
			greeted = true
			conn.buf = conn.buf[response.Consumed:]
			response = pgwire.Response{}
			continue
		}
		if response.Ready || response.Fatal {
			break
		}
		n, err := conn.Read(chunk)
		conn.buf = append(conn.buf, chunk[:n]...)
		if n == 0 && err != nil {
			_ = conn.Close()
			if e, ok := err.(net.Error); ok && e.Timeout() {
				c.end(id, "left", began)
				c.lost.Add(1)
				return false
			}
			if conn.used && len(conn.buf) == 0 {
				return true
			}
			c.end(id, "closed", began)
			c.lost.Add(1)
			return false
		}
	}
	c.outcome(conn, &response, id, key, began)
	return false
}

func (c *clients) outcome(conn *clientConn, response *pgwire.Response, id, key string, began time.Time) {
	switch response.SQLState {
	case pgwire.StateSuccess:
		value := []byte(nil)
		if len(response.RowMessages) == 3 {
			value, _ = pgwire.RowValue(response.RowMessages[1].Of(conn.buf))
		}
		c.served.Add(1)
		c.end(id, "served", began)
		if string(value) != string(valueOf(id, key)) {
			c.rec.line("wrong id=%s key=%s got=%q", id, key, value)
			if c.wrong != nil {
				c.wrong(id, key, value)
			}
		}
	case pgwire.StateTooManyConnections, "57P03":
		c.refused.Add(1)
		c.end(id, "refused", began)
	default:
		c.failed.Add(1)
		c.end(id, "failed "+response.SQLState, began)
	}
	conn.buf = conn.buf[response.Consumed:]
	conn.used = true
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

func (c *clients) end(id, how string, began time.Time) {
	c.rec.line("answer relay=%s id=%s %s after_ms=%d", c.relay, id, how, time.Since(began).Milliseconds())
}
