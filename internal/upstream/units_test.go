package upstream

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
)

// house is pools before units, with a gate that chooses among them.
type house struct {
	t *testing.T
	*Pool
	gate *dispatch.Dispatcher
	room *transport.BufferBudget
	pad  int // bytes that the ids of commands are longer by
}

const connects = 300 * time.Millisecond // time limit of a new connection

func newHouse(t *testing.T, most int, rest time.Duration, dials ...string) *house {
	t.Helper()
	return houseOf(t, time.Second, func(s *balancer.Settings) { s.Limits.MaxAttempts = 1 }, most, rest, dials...)
}

// houseOf is the same with another service target and other settings.
func houseOf(t *testing.T, target time.Duration, more func(*balancer.Settings), most int, rest time.Duration, dials ...string) *house {
	t.Helper()
	h := &house{t: t, room: transport.NewBufferBudget(1 << 20)}
	op := func(name string, repeats balancer.Idempotency) balancer.RequestClass {
		return balancer.RequestClass{Name: name, Idempotency: repeats, DedupScope: balancer.DedupEverywhere, DedupWindow: 0.4,
			LatencyObjective: balancer.Seconds(target.Seconds()), Deadline: balancer.Seconds(2 * target.Seconds()), PriorityWeight: 1}
	}
	set := settings.Site{Balancer: balancer.Settings{
		Relays:  1,
		Classes: []balancer.RequestClass{op("read", balancer.Idempotent), op("edit", balancer.IdempotentWithKey), op("sell", balancer.AtMostOnce)},
		Limits:  balancer.Limits{MayCancel: true, MaxAttempts: 3},
	}}
	if more != nil {
		more(&set.Balancer)
	}
	h.gate = dispatch.New(1, set, dispatch.Callbacks{WatchEndpoints: func(bool) {},
		CloseIdle: func(name string) { h.CloseIdle(name) }})
	h.Pool = New(h.room, most, connects, rest, h.gate)
	var hosts []dispatch.Endpoint
	for i, dial := range dials {
		hosts = append(hosts, dispatch.Endpoint{Name: fmt.Sprint("s-", i), Address: dial, State: "up", Version: 1})
	}
	h.gate.UpdateEndpoints(true, hosts)
	h.gate.UpdateStage(dispatch.RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- h.Run(ctx) }()
	go func() { ended <- h.gate.RunTimers(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
		if open, _ := h.InUse(); open != 0 {
			t.Errorf("%d connections are left open", open)
		}
	})
	return h
}

// ask makes one command and gives how its delivery ended; wait is its client's patience.
func (h *house) ask(wait time.Duration) (state string, end transport.CloseStatus) {
	h.t.Helper()
	q, fault := pgwire.ParseQuery([]byte("SELECT content FROM kv WHERE name = 'k' /* id=1,c=read,t=a,d=2000 */"))
	if fault != nil {
		h.t.Fatal(fault)
	}
	cmd, _ := h.gate.Accept(dispatch.Request{Class: "read", ReceivedAt: time.Now(), Timeout: wait})
	step := h.gate.Next(cmd)
	if step.Attempt == nil {
		h.t.Fatal("no delivery")
	}
	r := h.Attempt(step.Attempt, q)
	state, end = r.SQLState, r.End
	if h.gate.Report(step.Attempt, r.SQLState, r.End, r.Load) && len(r.Rows) != rowParts {
		h.t.Errorf("a row of %d parts", len(r.Rows))
	}
	r.Release()
	return state, end
}

func unit(t *testing.T, fails bool, took time.Duration) (*backends.Backend, string) {
	t.Helper()
	u, err := backends.NewBackend("u", 1, func(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) { return fails, took })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u, u.Address()
}

// scripted takes connections and does one thing with each.
func scripted(t *testing.T, do func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				do(c)
			}()
		}
	}()
	return l.Addr().String()
}

// ready takes a startup and says that it is ready, then reads a query.
func ready(c net.Conn) bool {
	b := make([]byte, 4<<10)
	if _, err := c.Read(b); err != nil {
		return false
	}
	_, _ = c.Write(pgwire.AuthenticationOK())
	_, err := c.Read(b)
	return err == nil
}

// answer reads a query and answers it with a value.
func answer(c net.Conn, value string) bool {
	if _, err := c.Read(make([]byte, 4<<10)); err != nil {
		return false
	}
	_, err := c.Write(row(value))
	return err == nil
}

func message(kind byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))) + body
}

func row(value string) []byte {
	return []byte(message('T', "\x00\x01content\x00"+strings.Repeat("\x00", 18)) +
		message('D', "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))+value) +
		message('C', "SELECT 1\x00") + string(pgwire.ReadyForQuery()))
}

// TestLateSecondAnswers: a unit that answers each query again some milliseconds later never has that taken for the
// answer to the next one, however soon that comes.
func TestLateSecondAnswers(t *testing.T) {
	name := regexp.MustCompile("name = '([a-z0-9]+)'")
	dial := scripted(t, func(c net.Conn) {
		b := make([]byte, 4<<10)
		_, _ = c.Read(b)
		_, _ = c.Write(pgwire.AuthenticationOK())
		for {
			n, err := c.Read(b)
			if err != nil {
				return
			}
			again := row(string(name.FindSubmatch(b[:n])[1]))
			_, _ = c.Write(again)
			time.AfterFunc(5*time.Millisecond, func() { _, _ = c.Write(again) })
		}
	})
	h := newHouse(t, 64, time.Minute, dial)
	for i, end := 0, time.Now().Add(20*time.Second); i < 100 || h.Unsolicited.Load() == 0 && time.Now().Before(end); i++ {
		key := fmt.Sprint("k", i)
		q, _ := pgwire.ParseQuery([]byte("SELECT content FROM kv WHERE name = '" + key + "' /* id=1,c=read,t=a,d=2000 */"))
		cmd, _ := h.gate.Accept(dispatch.Request{Class: "read", ReceivedAt: time.Now(), Timeout: time.Second})
		step := h.gate.Next(cmd)
		if step.Attempt == nil {
			t.Fatal("no delivery")
		}
		r := h.Attempt(step.Attempt, q)
		h.gate.Report(step.Attempt, r.SQLState, r.End, r.Load)
		if r.SQLState != pgwire.StateSuccess || !strings.Contains(string(r.Rows[1]), key) {
			t.Errorf("command %d got %q, %v, %q", i, r.SQLState, r.End.Reason, r.Rows)
		}
		r.Release()
	}
	if h.Unsolicited.Load() == 0 {
		t.Error("no second answer was seen")
	}
}

// TestDeliveryEndings: each way in which a delivery ends, and the outcome that it is to the module.
func TestDeliveryEndings(t *testing.T) {
	_, good := unit(t, false, 0)
	_, failing := unit(t, true, 0)
	_, slow := unit(t, false, time.Second)
	for _, c := range []struct {
		name, dial string
		state      string
		want       balancer.Outcome
	}{
		{"acked", good, pgwire.StateSuccess, balancer.Succeeded},
		{"an error", failing, "XX000", balancer.Errored},
		{"past its time", slow, "", balancer.TimedOut},
		{"nothing listens", "127.0.0.1:1", "", balancer.ConnectFailed},
		{"it closes at once", scripted(t, func(net.Conn) {}), "", balancer.ConnectFailed},
		{"no startup answer", scripted(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }), "", balancer.ConnectFailed},
		{"it comes up late", scripted(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			<-time.After(connects / 2)
			_, _ = c.Write(pgwire.AuthenticationOK())
			answer(c, "v")
			_, _ = io.Copy(io.Discard, c)
		}), pgwire.StateSuccess, balancer.Succeeded},
		{"it comes up after the time of a connection", scripted(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			<-time.After(connects * 4 / 3)
			_, _ = c.Write(pgwire.AuthenticationOK())
			if n, _ := c.Read(make([]byte, 1<<10)); n > 0 {
				t.Error("a query was sent on a connection that came up too late")
			}
		}), "", balancer.ConnectFailed},
		{"no room", scripted(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = c.Write(pgwire.ErrorResponse("FATAL", pgwire.StateTooManyConnections, "full", ""))
		}), pgwire.StateTooManyConnections, balancer.AtCapacity},
		{"it resets after the query", scripted(t, func(c net.Conn) {
			if ready(c) {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		}), "", balancer.Reset},
		{"it closes after the query", scripted(t, func(c net.Conn) { ready(c) }), "", balancer.Reset},
		{"bytes that make no sense", scripted(t, func(c net.Conn) {
			if ready(c) {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				_, _ = io.Copy(io.Discard, c)
			}
		}), "", balancer.Reset},
		{"ready without an answer", scripted(t, func(c net.Conn) {
			if ready(c) {
				_, _ = c.Write(pgwire.ReadyForQuery())
				_, _ = io.Copy(io.Discard, c)
			}
		}), "", balancer.Reset},
		{"a length that is too large", scripted(t, func(c net.Conn) {
			if ready(c) {
				_, _ = c.Write([]byte{'D', 0x7f, 0xff, 0xff, 0xff})
				_, _ = io.Copy(io.Discard, c)
			}
		}), "", balancer.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHouse(t, 4, time.Minute, c.dial)
			state, end := h.ask(500 * time.Millisecond)
			if got := dispatch.AttemptOutcome(state, end); got != c.want || state != c.state {
				t.Errorf("outcome %d, wanted %d: state %q, %v, sent %v", got, c.want, state, end.Reason, end.Flushed)
			}
		})
	}
}

func TestReuseAndClosing(t *testing.T) {
	u, dial := unit(t, false, 0)
	h := newHouse(t, 4, 800*time.Millisecond, dial)
	for range 5 {
		h.ask(time.Second)
	}
	if h.Opened.Load() != 2 || h.Reused.Load() != 3 { // the second as the first has not settled; half of four places
		t.Errorf("opened %d, reused %d", h.Opened.Load(), h.Reused.Load())
	}
	backends.Until(t, "an idle connection is closed ahead of the unit", func() bool { open, _ := h.InUse(); return open == 0 })
	h.ask(time.Second)
	u.Set("up", 2) // another process: its connections are gone, which is seen before anything is sent on one
	backends.Until(t, "the closing has come", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.idle["s-0"]) == 1 && !h.idle["s-0"][0].Reusable()
	})
	if state, end := h.ask(time.Second); state != pgwire.StateSuccess {
		t.Errorf("a query was sent on a closed connection: %q, %v", state, end.Reason)
	}
	h.CloseIdle("s-0")
	if open, idle := h.InUse(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
	h.Prewarm(t.Context(), h.gate.ReadyBackends(), 1)
	if open, idle := h.InUse(); open != 2 || idle != 2 {
		t.Errorf("%d open, %d idle after warming half of four", open, idle)
	}
}

// TestFewPlaces: past its places the pools close the connection that has been idle the longest, for another unit's.
func TestFewPlaces(t *testing.T) {
	var dials []string
	for range 4 {
		_, dial := unit(t, false, 0)
		dials = append(dials, dial)
	}
	h := newHouse(t, 2, time.Minute, dials...)
	for range 40 {
		if state, end := h.ask(time.Second); state != pgwire.StateSuccess {
			t.Fatalf("%q, %v", state, end.Reason)
		}
		if open, _ := h.InUse(); open > 2 {
			t.Fatalf("%d connections are open", open)
		}
	}
}

// TestWarmInALargeFleet: what all relays open at a unit before clients come stays within what one might open alone.
func TestWarmInALargeFleet(t *testing.T) {
	const most, units = 40, 5
	for _, c := range []struct {
		relays int
		each   int64 // at each unit
	}{{1, 4}, {3, 4}, {10, 2}, {300, 0}, {0, 4}} {
		t.Run(fmt.Sprint(c.relays), func(t *testing.T) {
			var dials []string
			for range units {
				_, dial := unit(t, false, 0)
				dials = append(dials, dial)
			}
			h := newHouse(t, most, time.Minute, dials...)
			h.Prewarm(t.Context(), h.gate.ReadyBackends(), c.relays)
			if n := h.Opened.Load(); n != c.each*units || int64(c.relays)*c.each > most/2 {
				t.Errorf("%d connections are opened", n)
			}
		})
	}
}

func TestProbe(t *testing.T) {
	_, dial := unit(t, false, 0)
	h := newHouse(t, 4, time.Minute, dial)
	h.Probe(h.gate.ReadyBackends()[0])
	backends.Until(t, "it has connected", func() bool { return h.Opened.Load() == 1 })
}
