// Package backends simulates the peers of a relay on loopback: backends that speak PostgreSQL's wire protocol, the agent that
// serves the endpoint list, and the release platform. The platform takes votes on a package and rolls the package out or back in
// stages. A backend's response to a query is built as PostgreSQL's documentation describes it (PostgreSQL 15, "Message Formats").
package backends

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"silvercove/internal/pgwire"
)

// Backend is one simulated database server.
type Backend struct {
	Name       string
	listener   net.Listener
	answer     func(u *Backend, opType string, version uint16, since time.Time) (fails bool, took time.Duration)
	goroutines sync.WaitGroup

	mu          sync.Mutex
	version     uint16
	started     time.Time
	state       string
	connections map[net.Conn]bool
	closed      bool
}

// NewBackend starts a backend that runs a software version. The backend calls the function answer for each query. The function
// returns whether the query fails, and how long the query takes. The function's parameter since is the time of the backend's last
// restart by Set, or the zero time if Set has not restarted the backend.
func NewBackend(name string, version uint16, answer func(u *Backend, opType string, version uint16, since time.Time) (bool, time.Duration)) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Backend{Name: name, listener: l, answer: answer, version: version, state: "up", connections: map[net.Conn]bool{}}
	u.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			if u.closed || u.state != "up" {
				u.mu.Unlock()
				_ = c.Close()
				continue
			}
			u.connections[c] = true
			u.mu.Unlock()
			u.goroutines.Go(func() { u.serve(c) })
		}
	})
	return u, nil
}

// Close stops the backend and waits for its goroutines.
func (u *Backend) Close() {
	u.mu.Lock()
	u.closed = true
	u.closeConnections()
	u.mu.Unlock()
	_ = u.listener.Close()
	u.goroutines.Wait()
}

func (u *Backend) closeConnections() {
	for c := range u.connections {
		_ = c.Close()
	}
	clear(u.connections)
}

// Address returns the address on which the backend listens.
func (u *Backend) Address() string { return u.listener.Addr().String() }

// Set puts the backend into a state: up, draining or removed. If the backend goes up with another version or after a removal,
// this counts as a restart of the process: the connections are closed and the start time is set anew.
func (u *Backend) Set(state string, version uint16) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == "up" && (version != u.version || u.state == "removed") {
		u.version, u.started = version, time.Now()
		u.closeConnections()
	}
	if state == "removed" {
		u.closeConnections()
	}
	u.state = state
}

// Version returns the version that the backend runs.
func (u *Backend) Version() uint16 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.version
}

func frame(kind byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))) + body
}

var rowReply = frame('T', "\x00\x01content\x00"+strings.Repeat("\x00", 18)) + frame('D', "\x00\x01\x00\x00\x00\x02hi") +

	frame('C', "SELECT 1\x00")

func (u *Backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.connections, c)
		u.mu.Unlock()
	}()
	var buf []byte
	more := func() bool {
		b := make([]byte, 4<<10)
		n, err := c.Read(b)
		buf = append(buf, b[:n]...)
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
		text := strings.TrimSuffix(string(buf[5:size]), "\x00")
		buf = buf[size:]
		q, fault := pgwire.ParseQuery([]byte(text))
		if fault != nil {
			_, _ = c.Write(append(pgwire.ErrorResponse("ERROR", fault.SQLState, fault.Text, ""), pgwire.ReadyForQuery()...))
			continue
		}
		u.mu.Lock()
		version, since := u.version, u.started
		u.mu.Unlock()
		fails, took := u.answer(u, q.Class, version, since)
		time.Sleep(took) // simulates the query's processing time
		out := rowReply
		if fails {
			out = string(pgwire.ErrorResponse("ERROR", "XX000", "by script", ""))
		}
		if _, err := io.WriteString(c, out+string(pgwire.ReadyForQuery())); err != nil {
			return
		}
	}
}

func waitFor(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}
