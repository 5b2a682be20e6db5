package relay

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/standin/backends"
)

// asks sends commands one after the other on one connection until the relay closes it between two, or there are
// enough. It tells how many were answered, and whether one was not.
func asks(listen string, name string, most int) (acked, refused int, lost error) {
	c, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, 0, nil // refused: nothing was taken
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
		return 0, 0, nil // closed before a command
	}
	for i := range most {
		text := fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%s%d,c=a,t=t,d=2000 */", name, i)
		if _, err := c.Write(pgwire.SimpleQuery(text)); err != nil {
			return acked, refused, nil
		}
		// Between commands a relay may close; that crosses the command, which the client sends again elsewhere.
		switch a, err := read(); {
		case err != nil && len(in) > 0:
			return acked, refused, fmt.Errorf("half an answer: %v", err)
		case err != nil:
			return acked, refused, nil
		case a.SQLState == pgwire.StateSuccess:
			acked++
		default:
			refused++
		}
	}
	return acked, refused, nil
}

// TestRoll: amid a new configuration that moves the list, and units that pause, SIGTERM ends a relay only when all that
// it took is answered; what still connects in the time of the hand-over is served, not met with silence.
func TestRoll(t *testing.T) {
	var paused atomic.Bool
	var served atomic.Int64
	u, err := backends.NewBackend("s-1", 1, func(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) {
		served.Add(1)
		if paused.Load() {
			return false, 300 * time.Millisecond
		}
		return false, 5 * time.Millisecond
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	first, second := newDesk(t, u.Address()), newDesk(t, u.Address())
	replace, listen, ended := started(t, first, first)
	var all sync.WaitGroup
	var acked, refused atomic.Int64
	client := func(name string, most int) {
		all.Go(func() {
			n, no, lost := asks(listen, name, most)
			acked.Add(int64(n))
			refused.Add(int64(no))
			if lost != nil {
				t.Errorf("client %s: %v", name, lost)
			}
		})
	}
	for i := range 8 {
		client(fmt.Sprintf("c%d-", i), 1<<20) // until the relay closes
	}
	backends.Until(t, "commands are served", func() bool { return served.Load() > 20 })
	paused.Store(true)
	replace(config(second.Addr().String(), first.Addr().String(), first.page()))
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	second.want(t, "GET /v1/servers")
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	time.Sleep(acceptGrace / 2) // connections still come in this time
	before := served.Load()
	client("late-", 1)
	paused.Store(false)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
	all.Wait()
	if acked.Load() < 20 || served.Load() <= before {
		t.Errorf("%d acked, %d refused, %d served after SIGTERM", acked.Load(), refused.Load(), served.Load()-before)
	}
	if n := acked.Load() + refused.Load(); n < served.Load() {
		t.Errorf("the unit answered %d commands, clients have %d answers", served.Load(), n)
	}
}
