package peertransport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// openNetwork starts the network of a process, which runs until the test ends.
func openNetwork(t *testing.T, name string, peers ...Peer) *Network {
	t.Helper()
	n, err := Open("vans", Peer{Name: name, Role: "edge", Zone: "z", Address: "127.0.0.1:0"}, peers, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return n
}

// helloLine returns a hello as it is sent.
func helloLine(fleet, from, to string, kind Kind, v int) []byte {
	b, _ := json.Marshal(hello{v, kind, fleet, from, to})
	return append(b, '\n')
}

// exchangeHello sends a hello and returns the answer.
func exchangeHello(t *testing.T, address string, sent []byte) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.Write(sent)
	text, err := readLine(c)
	return string(text), err
}

func TestHandshake_RefusalReasons(t *testing.T) {
	b := openNetwork(t, "b", Peer{Name: "a", Role: "edge", Address: "127.0.0.1:1"})
	address := b.Self().Address
	b.Listener(KindHTTP)
	for _, c := range []struct{ sent, want string }{
		{string(helloLine("cars", "a", "b", KindHTTP, 1)), "this is fleet vans, not cars"},
		{string(helloLine("vans", "a", "c", KindHTTP, 1)), "this is b, not c"},
		{string(helloLine("vans", "x", "b", KindHTTP, 1)), "no process named x is in the file of b"},
		{string(helloLine("vans", "", "b", KindHTTP, 1)), "no process named  is in the file of b"},
		{string(helloLine("vans", "a", "b", KindLog, 1)), `no connections of kind "log" are taken`},
		{string(helloLine("vans", "a", "b", KindHTTP, 2)), "version 2 is not spoken here, 1 is"},
		{string(helloLine("vans", "a", "b", "mail", 1)), `no connections of kind "mail" are taken`},
	} {
		got, err := exchangeHello(t, address, []byte(c.sent))
		var why string
		if err != nil || json.Unmarshal([]byte(got), &why) != nil || why != c.want {
			t.Errorf("%q: %q, %v", c.sent, got, err)
		}
	}
	for _, bad := range []string{"\n", "{}x\n", "GET / HTTP/1.1\r\n", strings.Repeat("x", maxHello+1), `{"v":"1"}` + "\n"} {
		if got, err := exchangeHello(t, address, []byte(bad)); err == nil {
			t.Errorf("%.20q: %q", bad, got)
		}
	}
}

func TestDial_ReturnsRefusal(t *testing.T) {
	b := openNetwork(t, "b", Peer{Name: "a", Role: "edge", Address: "127.0.0.1:1"})
	b.Listener(KindHTTP)
	dialAs := func(fleet, name, to string) error {
		n, err := Open(fleet, Peer{Name: name, Address: "127.0.0.1:0"}, []Peer{{Name: to, Address: b.Self().Address}}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = n.listener.Close() }()
		c, err := n.Dial(t.Context(), to, KindHTTP)
		if err == nil {
			_ = c.Close()
		}
		return err
	}
	for _, err := range []error{dialAs("cars", "a", "b"), dialAs("vans", "a", "c"), dialAs("vans", "x", "b")} {
		if !errors.Is(err, ErrRefused) {
			t.Error(err)
		}
	}
	if err := dialAs("vans", "a", "b"); err != nil {
		t.Error(err)
	}
	if _, err := b.Dial(t.Context(), "x", KindHTTP); err == nil {
		t.Error("dialed x, which is unknown")
	}
	if _, err := Open("vans", Peer{Name: "a"}, []Peer{{Name: "a"}}, zerolog.Nop()); err == nil {
		t.Error("opened a network with two processes named a")
	}
}

// TestHandshake_IncompleteHelloBlocksNoOther checks that a hello which breaks off at any byte does not delay other
// connections, whether its connection is closed or stays open. A connection that stays open must be closed by the
// server.
func TestHandshake_IncompleteHelloBlocksNoOther(t *testing.T) {
	t.Parallel()
	b := openNetwork(t, "b", Peer{Name: "a", Role: "edge", Address: "127.0.0.1:1"})
	b.Listener(KindHTTP)
	a := openNetwork(t, "a", b.Self())
	whole := helloLine("vans", "a", "b", KindHTTP, 1)
	var open []net.Conn
	for n := range len(whole) {
		for _, cut := range []bool{true, false} {
			c, err := net.Dial("tcp", b.Self().Address)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = c.Write(whole[:n])
			if cut {
				_ = c.Close()
			} else {
				open = append(open, c)
			}
		}
	}
	var accepted sync.WaitGroup
	accepted.Go(func() {
		c, err := b.Listener(KindHTTP).Accept()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		if from := c.(*Conn).From; from != "a" {
			t.Errorf("connection from %s, want a", from)
		}
		_, _ = io.Copy(c, c)
	})
	start := time.Now()
	c, err := a.Dial(t.Context(), "b", KindHTTP)
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > helloTimeout/2 {
		t.Errorf("connected after %v", took)
	}
	_, _ = io.WriteString(c, "behind")
	_ = c.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(c); string(got) != "behind" {
		t.Errorf("%q %v", got, err)
	}
	_ = c.Close()
	accepted.Wait()
	for _, c := range open {
		_ = c.SetDeadline(time.Now().Add(3 * helloTimeout))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection with half a hello: %v", err)
		}
		_ = c.Close()
	}
}

// TestHandshake_SilentConnectionsBlockNoOther checks that connections on which nothing is sent block other connections
// for little longer than helloTimeout, even if more than maxPendingConns of them are open.
func TestHandshake_SilentConnectionsBlockNoOther(t *testing.T) {
	t.Parallel()
	b := openNetwork(t, "b", Peer{Name: "a", Role: "edge", Address: "127.0.0.1:1"})
	b.Listener(KindHTTP)
	a := openNetwork(t, "a", b.Self())
	for range maxPendingConns + 20 {
		c, err := net.Dial("tcp", b.Self().Address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if c, err := b.Listener(KindHTTP).Accept(); err == nil {
			_ = c.Close()
		}
	}()
	for end := time.Now().Add(3 * helloTimeout); ; {
		c, err := a.Dial(t.Context(), "b", KindHTTP)
		if err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	<-done
}

// TestListener_UnacceptedKindBlocksNoOther checks that connections of a kind for which nothing calls Accept do not keep
// connections of another kind from being accepted.
func TestListener_UnacceptedKindBlocksNoOther(t *testing.T) {
	b := openNetwork(t, "b", Peer{Name: "a", Role: "edge", Address: "127.0.0.1:1"})
	a := openNetwork(t, "a", b.Self())
	for range 20 {
		if _, err := a.Dial(t.Context(), "b", KindLog); !errors.Is(err, ErrRefused) {
			t.Fatal(err)
		}
	}
	b.Listener(KindLog) // from now on, b admits connections of this kind; the test never accepts them
	for range 20 {
		c, err := a.Dial(t.Context(), "b", KindLog)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, "yes") })}
	ended := make(chan struct{})
	go func() {
		_ = server.Serve(b.Listener(KindHTTP)) // returns an error when the test closes the server
		close(ended)
	}()
	defer func() {
		_ = server.Close()
		<-ended
	}()
	client := a.Client()
	defer client.CloseIdleConnections()
	res, err := client.Get("http://b/")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if got, _ := io.ReadAll(res.Body); string(got) != "yes" {
		t.Errorf("%s", got)
	}
}

func TestDial_EndsWithContext(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // the test never calls Accept, so no hello is answered
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a := openNetwork(t, "a", Peer{Name: "b", Address: l.Addr().String()})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := a.Dial(ctx, "b", KindHTTP); err == nil {
		t.Error("connected although the context ended without an answer")
	}
	if _, err := a.Dial(t.Context(), "b", KindHTTP); err == nil {
		t.Error("connected without an answer to the hello")
	}
}
