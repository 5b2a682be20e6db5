package relay

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"silvercove/internal/pgwire"
)

// client is the client's side of one session.
type client struct {
	*net.TCPConn
	tb testing.TB
	in []byte // received bytes that have not been parsed
}

// answer reads one whole response and returns its SQLSTATE. It returns an empty string if the session ends before the
// first byte of a response.
func (c *client) answer() string {
	c.tb.Helper()
	for b := make([]byte, 4<<10); ; {
		var a pgwire.Response
		if err := a.Read(c.in); err != nil {
			c.tb.Errorf("the response %q is malformed: %v", c.in, err)
			return "?"
		}
		if a.Ready {
			c.in = c.in[a.Consumed:]
			return a.SQLState
		}
		n, err := c.Read(b)
		if c.in = append(c.in, b[:n]...); err != nil {
			if len(c.in) > 0 || os.IsTimeout(err) {
				c.tb.Errorf("incomplete response: %q, %v", c.in, err)
			}
			return ""
		}
	}
}

// wantGreeting checks that the relay's first message of a session is AuthenticationOk.
func (c *client) wantGreeting() {
	c.tb.Helper()
	got := make([]byte, len(pgwire.AuthenticationOK()))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != string(pgwire.AuthenticationOK()) {
		c.tb.Fatalf("the session starts with %q, error %v", got[:n], err)
	}
}

// wantFinal checks that the next response of the session has one of the given SQLSTATEs, and that the session then ends.
// It returns the SQLSTATE.
func (c *client) wantFinal(states ...string) string {
	c.tb.Helper()
	state := c.answer()
	if !strings.Contains(strings.Join(states, " "), state) || state == "" {
		c.tb.Errorf("answered %q, want one of %q", state, states)
	}
	if b, err := io.ReadAll(c); err != nil || len(b) > 0 || len(c.in) > 0 {
		c.tb.Errorf("after the last response: received %q, error %v", append(c.in, b...), err)
	}
	return state
}

func query(id any, ms int) string {
	return string(pgwire.SimpleQuery(fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%v,c=a,t=t,d=%d */", id, ms)))
}

var startup = string(pgwire.StartupMessage())

// answerCounts holds how many requests succeeded and how many were rejected, and an error if a response was incomplete.
type answerCounts struct {
	succeeded, rejected int
	err                 error
}

// send sends one request in a goroutine. The returned channel receives the result.
func send(listen, name string) chan answerCounts {
	out := make(chan answerCounts, 1)
	go func() {
		var a answerCounts
		a.succeeded, a.rejected, a.err = sendRequests(listen, name, 1)
		out <- a
	}()
	return out
}

// wantAnswer waits for the result of a call of send and compares its counts. what names the request in errors.
func wantAnswer(tb testing.TB, what string, got chan answerCounts, succeeded, rejected int) {
	tb.Helper()
	select {
	case a := <-got:
		if a.succeeded != succeeded || a.rejected != rejected || a.err != nil {
			tb.Errorf("%s: succeeded %d, rejected %d, error %v", what, a.succeeded, a.rejected, a.err)
		}
	case <-time.After(10 * time.Second):
		tb.Fatalf("%s: no response", what)
	}
}

// sendRequests sends requests one after the other on one connection. It stops when the relay closes the connection
// between two requests, and after as many requests as the parameter most says. It returns how many succeeded and were
// rejected, and an error if a response was incomplete.
func sendRequests(listen string, name string, most int) (succeeded, rejected int, lost error) {
	c, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, 0, nil // connection refused: the relay accepted no request
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = c.Write(pgwire.StartupMessage())
	var in []byte
	read := func() (a pgwire.Response, err error) {
		b := make([]byte, 4<<10)
		for {
			if err := a.Read(in); err != nil {
				return a, err
			}
			if a.Ready || a.Fatal {
				in = in[a.Consumed:]
				return a, nil
			}
			n, err := c.Read(b)
			if in = append(in, b[:n]...); err != nil {
				return a, err
			}
		}
	}
	if _, err := read(); err != nil {
		return 0, 0, nil // the relay closed the connection before the first request
	}
	for i := range most {
		text := fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%s%d,c=a,t=t,d=2000 */", name, i)
		if _, err := c.Write(pgwire.SimpleQuery(text)); err != nil {
			return succeeded, rejected, nil
		}
		// A relay may close a session between two requests, while the next request is on its way. A real client would then
		// send that request to another relay. The request is therefore counted neither as succeeded nor as rejected.
		switch a, err := read(); {
		case err != nil && len(in) > 0:
			return succeeded, rejected, fmt.Errorf("incomplete response: %w", err)
		case err != nil:
			return succeeded, rejected, nil
		case a.SQLState == pgwire.StateSuccess:
			succeeded++
		default:
			rejected++
		}
	}
	return succeeded, rejected, nil
}
