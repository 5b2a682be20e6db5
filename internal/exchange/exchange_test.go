package exchange

import (
	"fmt"
	"testing"

	"silvercove/internal/trust"
)

const s = trust.Second

func TestRefresh(t *testing.T) {
	r := NewRefresh(s, 5*s, 1)
	if !r.Due(0, false) || !r.Stale(0) {
		t.Error("at the start mirrors are to be asked, and nothing counts")
	}
	r.Had(0)
	if r.Due(s-1, false) || r.Stale(s-1) || !r.Due(s, false) || !r.Stale(s) || !r.Due(1, true) {
		t.Error("a timestamp counts for a second, unless something is lacking")
	}
	at, wait := s, Tick(0)
	for i := range 12 {
		r.Failed(at)
		if r.Due(at, true) {
			t.Fatal("mirrors are asked again at once")
		}
		next := at
		for !r.Due(next, true) {
			next++
		}
		if got := next - at; got > mostBack || i > 8 && got < mostBack/2 || got < wait/4 {
			t.Errorf("failure %d: asked again after %d", i, got)
		}
		wait = next - at
		if back := r.ComeBack(at); back < wait || back > 2*wait+1 {
			t.Errorf("clients are told %d, mirrors are asked after %d", back, wait)
		}
		at = next
	}
	r.Had(at)
	r.Failed(at + s)
	if r.Stale(at+5*s-1) || !r.Stale(at+5*s) {
		t.Error("with dead mirrors it counts for five seconds")
	}
	r.Had(at + 6*s)
	if !r.Due(at+7*s, false) {
		t.Error("failures are not forgotten")
	}
}

func TestRefused(t *testing.T) {
	for _, c := range []struct {
		why    trust.Why
		role   string
		status int
		later  bool
	}{
		{trust.Older, "snapshot", 404, false}, {trust.Unnamed, "x", 404, false}, {trust.Missing, "root", 404, false},
		{trust.Missing, "targets", 503, true}, {trust.Expired, "timestamp", 503, true}, {trust.Unkept, "timestamp", 503, true},
		{trust.Disagree, "app", 503, true}, {trust.Foreign, "targets", 503, true},
	} {
		if a := Refused(&trust.Refusal{Why: c.why, Role: c.role}); a.Status != c.status || a.Later != c.later || a.Text == "" {
			t.Errorf("%v of %s: %+v", c.why, c.role, a)
		}
	}
	for why := range trust.Whys {
		if why != trust.None && Refused(&trust.Refusal{Why: why}).Status < 400 {
			t.Errorf("%v is no refusal", why)
		}
	}
	for why, status := range map[trust.Why]int{trust.Same: 200, trust.Overlong: 413, trust.Malformed: 400, trust.Foreign: 403,
		trust.Older: 409, trust.Conflict: 409, trust.Unkept: 503} {
		if a := Reported(&trust.Refusal{Why: why}); a.Status != status {
			t.Errorf("%v: %+v", why, a)
		}
	}
	if Reported(nil).Status != 200 {
		t.Error("a good report is refused")
	}
}

func TestTransfer(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int64 // that come each tenth of a second
		held  Tick  // by which the client holds each up
		slow  bool
	}{{"fast", 1 << 20, 0, false}, {"just fast enough", 210, 0, false}, {"a byte now and then", 1, 0, true},
		{"a slow client", 1 << 10, s, false}} {
		t.Run(c.name, func(t *testing.T) {
			var x Transfer
			now := Tick(1000)
			x.Begin(now)
			if x.Until() != now+firstByte {
				t.Errorf("the first byte may take until %d", x.Until())
			}
			slow := false
			for range 100 {
				now += s / 10
				slow = slow || x.Came(now, c.bytes)
				if c.held > 0 {
					now += c.held
					x.Held(c.held)
				}
			}
			if slow != c.slow {
				t.Errorf("too slow: %v", slow)
			}
		})
	}
	if TooLate(staleSend-1, 0) || !TooLate(staleSend, 0) {
		t.Error("a delivery may wait half a second")
	}
}

func TestDoors(t *testing.T) {
	d := NewDoors(8)
	for range 4 {
		if !d.Enter("greedy") {
			t.Fatal("half of the places are anyone's")
		}
	}
	if d.Enter("greedy") {
		t.Error("one client takes more than its part of the rest")
	}
	for i := range 4 {
		if !d.Enter(fmt.Sprint("c", i)) {
			t.Errorf("client %d finds no place", i)
		}
	}
	if d.Enter("late") {
		t.Error("a ninth is let in")
	}
	for range 4 {
		d.Leave("greedy")
	}
	if d.In() != 4 || len(d.perEach) != 4 || !d.Enter("late") {
		t.Errorf("%d are in, %d clients kept", d.In(), len(d.perEach))
	}
}

func TestSurvey(t *testing.T) {
	listed := []string{"a", "b", "c", "d"}
	v := NewSurvey(true)
	for _, c := range []struct {
		mirror string
		why    trust.Why
		done   bool
	}{{"a", trust.None, false}, {"a", trust.Same, false}, {"b", trust.Foreign, false}, {"b", trust.Expired, false},
		{"c", trust.Older, false}, {"x", trust.None, false}, {"d", trust.Same, true}} {
		var refusal *trust.Refusal
		if c.why != trust.None {
			refusal = &trust.Refusal{Why: c.why}
		}
		v.Shown(c.mirror, refusal, listed)
		if v.Done != c.done {
			t.Errorf("after %s, %v: done %v", c.mirror, c.why, v.Done)
		}
	}
	if !NewSurvey(false).Done {
		t.Error("one that is not wanted is not done")
	}
	v = NewSurvey(true)
	if v.Shown("a", nil, nil); v.Done {
		t.Error("no mirrors are a majority")
	}
}
