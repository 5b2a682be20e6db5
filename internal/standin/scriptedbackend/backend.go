// Package scriptedbackend provides a backend for tests that handles each connection as the test's script demands, byte by byte:
// the script may reset the connection, stall or answer twice at any point of PostgreSQL's protocol. The backend records every
// query that it received whole, whether it answered the query or not.
//
// Start starts a goroutine for the listener and one for each connection. When the test ends, the goroutines are ended and
// awaited. Unless stated otherwise, all functions and methods may be called from any goroutine.
package scriptedbackend

import (
	"encoding/binary"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silvercove/internal/pgwire"
)

// Backend is a backend that listens on loopback. Start creates it.
type Backend struct {
	// Address is the address on which the backend listens, as host:port.
	Address string

	tb       testing.TB
	listener net.Listener
	tasks    sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	queries  []string
	accepted int
	open     map[*net.TCPConn]struct{}
}

// Script handles one connection of a backend. The connection is closed after the script returns. number counts the backend's
// connections from 0.
type Script func(b *Backend, number int, conn *net.TCPConn)

// Start listens on a free loopback port until the test ends, and handles each connection with script.
func Start(tb testing.TB, script Script) *Backend {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	b := &Backend{
		Address:  listener.Addr().String(),
		tb:       tb,
		listener: listener,
		open:     map[*net.TCPConn]struct{}{},
	}
	b.tasks.Go(func() { b.accept(script) })
	tb.Cleanup(b.stop)
	return b
}

func (b *Backend) accept(script Script) {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		tcp := conn.(*net.TCPConn)
		b.mu.Lock()
		number := b.accepted
		b.accepted++
		b.open[tcp] = struct{}{}
		b.mu.Unlock()
		b.tasks.Go(func() {
			defer b.close(tcp)
			script(b, number, tcp)
		})
	}
}

func (b *Backend) close(conn *net.TCPConn) {
	_ = conn.Close() // fails if the script has closed the connection already
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, conn)
}

func (b *Backend) stop() {
	_ = b.listener.Close() // makes Accept fail, which ends accept
	b.mu.Lock()
	for conn := range b.open {
		_ = conn.Close() // makes the script's reads and writes fail, which ends the script
	}
	b.mu.Unlock()
	b.tasks.Wait()
}

// Accepted returns the number of accepted connections.
func (b *Backend) Accepted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

// OpenConnections returns the number of connections whose script has not ended.
func (b *Backend) OpenConnections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open)
}

// Queries returns the texts of all queries that were received whole, in their order.
func (b *Backend) Queries() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.queries)
}

// QueryCount returns the number of queries that were received whole. Each of them counts as executed, whether it was answered or
// not.
func (b *Backend) QueryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queries)
}

// ReadStartup reads a startup message. It returns early if the connection ends.
func (b *Backend) ReadStartup(conn net.Conn) {
	_, _ = io.ReadFull(conn, make([]byte, len(pgwire.StartupMessage()))) // after an error, the script's next read fails too
}

// Greet reads a startup message and answers that the backend is ready.
func (b *Backend) Greet(conn net.Conn) {
	b.ReadStartup(conn)
	Write(conn, pgwire.AuthenticationOK())
}

// ReadQuery reads and keeps one whole query. ok is false if no whole query was received. number counts the backend's queries
// from 1. Any other message fails the test.
func (b *Backend) ReadQuery(conn net.Conn) (text string, number int, ok bool) {
	header := make([]byte, pgwire.HeaderSize)
	if _, err := io.ReadFull(conn, header); err != nil {
		return "", 0, false
	}
	if header[0] != pgwire.FrontendQuery {
		b.tb.Errorf("the backend received a message of type %q, want a query", header[0])
		return "", 0, false
	}
	body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
	if _, err := io.ReadFull(conn, body); err != nil {
		return "", 0, false
	}
	text = strings.TrimSuffix(string(body), "\x00")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queries = append(b.queries, text)
	return text, len(b.queries), true
}

// Reply answers each query with the result of reply until the connection ends. If the result is empty, Reply sends no answer.
func (b *Backend) Reply(conn net.Conn, reply func(text string, number int) string) {
	for {
		text, number, ok := b.ReadQuery(conn)
		if !ok {
			return
		}
		Write(conn, []byte(reply(text, number)))
	}
}

// Write sends bytes and ignores errors. A test that needs the bytes fails in its own checks if the bytes do not arrive.
func Write(conn net.Conn, bytes []byte) {
	_, _ = conn.Write(bytes)
}

// Kill resets a connection, as if the process of the backend had been killed.
func Kill(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}

// AwaitBytes waits until bytes or the other side's close have arrived, and leaves them unread. The connection's deadlines do not
// apply; closing the connection ends the wait.
func AwaitBytes(conn *net.TCPConn) {
	const poll = 100 * time.Microsecond
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for {
		empty := false
		err := raw.Control(func(fd uintptr) {
			_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			empty = err == syscall.EAGAIN || err == syscall.EINTR
		})
		if err != nil || !empty {
			return
		}
		time.Sleep(poll)
	}
}

// Message returns a protocol message with a type and a body.
func Message(messageType byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{messageType}, uint32(4+len(body)))) + body
}

// Row returns the protocol messages of a result with one row of one column, without ReadyForQuery.
func Row(value string) string {
	const attributes = 18 // size in bytes of a column's description after the column's name
	return Message(pgwire.BackendRowDescription, "\x00\x01content\x00"+strings.Repeat("\x00", attributes)) +
		Message(pgwire.BackendDataRow, "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))+value) +
		Message(pgwire.BackendCommandComplete, "SELECT 1\x00")
}

// RowReply returns a whole reply of one row.
func RowReply(value string) string { return Row(value) + string(pgwire.ReadyForQuery()) }
