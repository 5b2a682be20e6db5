// Package scriptedbackend is a backend for tests that does on each connection what a test says, byte by byte: it may reset,
// stall or answer twice at any point of PostgreSQL's protocol. It keeps every query that it got whole, answered or not.
//
// Start owns a goroutine for the listener and one for each connection, and ends and awaits them when the test ends. Unless
// said otherwise everything may be called from any goroutine.
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

// Backend is one listening stand-in. It is made by Start.
type Backend struct {
	// Address is where it listens, as host:port.
	Address string

	tb       testing.TB
	listener net.Listener
	tasks    sync.WaitGroup

	mu       sync.Mutex // guards all that follows
	queries  []string
	accepted int
	open     map[*net.TCPConn]struct{}
}

// Script is what a backend does with a connection, which is closed after it. Connections are numbered from 0.
type Script func(b *Backend, number int, conn *net.TCPConn)

// Start listens on a free port of the loopback until the test ends.
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
	_ = conn.Close() // the script may have done so
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, conn)
}

func (b *Backend) stop() {
	_ = b.listener.Close() // ends accept
	b.mu.Lock()
	for conn := range b.open {
		_ = conn.Close() // ends its script
	}
	b.mu.Unlock()
	b.tasks.Wait()
}

// Accepted is how many connections have come.
func (b *Backend) Accepted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

// OpenConnections is how many connections have a script that has not ended.
func (b *Backend) OpenConnections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open)
}

// Queries are the texts of all queries that came whole, in their order.
func (b *Backend) Queries() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.queries)
}

// QueryCount is how many queries came whole. Each is an effect.
func (b *Backend) QueryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queries)
}

// ReadStartup reads a startup message, or up to the connection's end.
func (b *Backend) ReadStartup(conn net.Conn) {
	_, _ = io.ReadFull(conn, make([]byte, len(pgwire.StartupMessage()))) // the script's next read fails too
}

// Greet reads a startup message and says that the backend is ready.
func (b *Backend) Greet(conn net.Conn) {
	b.ReadStartup(conn)
	Write(conn, pgwire.AuthenticationOK())
}

// ReadQuery reads one whole query and keeps it; false: the connection has ended before. Number counts the backend's queries
// from 1. Any other message fails the test.
func (b *Backend) ReadQuery(conn net.Conn) (text string, number int, ok bool) {
	header := make([]byte, pgwire.HeaderSize)
	if _, err := io.ReadFull(conn, header); err != nil {
		return "", 0, false
	}
	if header[0] != pgwire.FrontendQuery {
		b.tb.Errorf("the backend got a message of type %q", header[0])
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

// Reply answers each query with what reply says, up to the connection's end. Nothing is sent where that is empty.
func (b *Backend) Reply(conn net.Conn, reply func(text string, number int) string) {
	for {
		text, number, ok := b.ReadQuery(conn)
		if !ok {
			return
		}
		Write(conn, []byte(reply(text, number)))
	}
}

// Write sends bytes. A test that needs them to arrive sees that they don't.
func Write(conn net.Conn, bytes []byte) {
	_, _ = conn.Write(bytes)
}

// Kill ends a connection as the death of its process does.
func Kill(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}

// AwaitBytes waits until bytes or the other side's close have come, and leaves them unread. The connection's deadlines don't
// count; its own close ends the wait.
func AwaitBytes(conn *net.TCPConn) {
	const poll = 100 * time.Microsecond
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for {
		nothing := false
		err := raw.Control(func(fd uintptr) {
			_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			nothing = err == syscall.EAGAIN || err == syscall.EINTR
		})
		if err != nil || !nothing {
			return
		}
		time.Sleep(poll)
	}
}

// Message is a message of a type with a body.
func Message(messageType byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{messageType}, uint32(4+len(body)))) + body
}

// Row is the messages of one row of one column, without the word that the backend is ready.
func Row(value string) string {
	const attributes = 18 // bytes that describe a column behind its name
	return Message(pgwire.BackendRowDescription, "\x00\x01content\x00"+strings.Repeat("\x00", attributes)) +
		Message(pgwire.BackendDataRow, "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))+value) +
		Message(pgwire.BackendCommandComplete, "SELECT 1\x00")
}

// RowReply is a whole reply of one row.
func RowReply(value string) string { return Row(value) + string(pgwire.ReadyForQuery()) }
