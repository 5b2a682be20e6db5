package metadatarefresh

import (
	"fmt"
	"testing"

	"silvercove/internal/tufverify"
)

const s = tufverify.Second

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
		why    tufverify.Why
		role   string
		status int
		later  bool
	}{
		{tufverify.Older, "snapshot", 404, false}, {tufverify.Unnamed, "x", 404, false}, {tufverify.Missing, "root", 404, false},
		{tufverify.Missing, "targets", 503, true}, {tufverify.Expired, "timestamp", 503, true}, {tufverify.Unkept, "timestamp", 503, true},
		{tufverify.Disagree, "app", 503, true}, {tufverify.Foreign, "targets", 503, true},
	} {
		if a := Refused(&tufverify.RefusalError{Why: c.why, Role: c.role}); a.Status != c.status || a.Later != c.later || a.Text == "" {
			t.Errorf("%v of %s: %+v", c.why, c.role, a)
		}
	}
	for why := range tufverify.Whys {
		if why != tufverify.None && Refused(&tufverify.RefusalError{Why: why}).Status < 400 {
			t.Errorf("%v is no refusal", why)
		}
	}
	for why, status := range map[tufverify.Why]int{tufverify.Same: 200, tufverify.Overlong: 413, tufverify.Malformed: 400, tufverify.Foreign: 403,
		tufverify.Older: 409, tufverify.Conflict: 409, tufverify.Unkept: 503} {
		if a := Reported(&tufverify.RefusalError{Why: why}); a.Status != status {
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
		why    tufverify.Why
		done   bool
	}{{"a", tufverify.None, false}, {"a", tufverify.Same, false}, {"b", tufverify.Foreign, false}, {"b", tufverify.Expired, false},
		{"c", tufverify.Older, false}, {"x", tufverify.None, false}, {"d", tufverify.Same, true}} {
		var refusal *tufverify.RefusalError
		if c.why != tufverify.None {
			refusal = &tufverify.RefusalError{Why: c.why}
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

func TestIssue(t *testing.T) {
	fresh := Issue{Any: true, At: 0, End: 60 * s, Told: true, Agreed: true}
	with := func(change func(i *Issue)) Issue { i := fresh; change(&i); return i }
	for _, c := range []struct {
		name         string
		is           Issue
		now          Tick
		renew, lasts bool
	}{
		{"fresh", fresh, 1, false, true}, {"before half its life", fresh, 30*s - 1, false, true},
		{"at half its life", fresh, 30 * s, true, true}, {"expired", fresh, 60 * s, true, false},
		{"told another", with(func(i *Issue) { i.Told = false }), 1, true, false},
		{"the image says otherwise", with(func(i *Issue) { i.Agreed = false }), 1, true, true},
		{"none yet", Issue{Told: true, Agreed: true}, 1, true, false},
	} {
		if c.is.Renew(c.now) != c.renew || c.is.Lasts(c.now) != c.lasts {
			t.Errorf("%s: renewed %v, lasts %v", c.name, c.is.Renew(c.now), c.is.Lasts(c.now))
		}
	}
	if KeepTime(s, 0) || !KeepTime(s+1, 0) {
		t.Error("the time is kept in steps of a second")
	}
}

// TestReasons goes through every reason once for each decision that hangs on one.
func TestReasons(t *testing.T) {
	in := func(why tufverify.Why, of ...tufverify.Why) bool {
		for _, w := range of {
			if w == why {
				return true
			}
		}
		return false
	}
	for why := tufverify.None + 1; why < tufverify.Whys; why++ {
		r := &tufverify.RefusalError{Why: why}
		if got := StandsIn(r); got != in(why, tufverify.Missing, tufverify.Expired) {
			t.Errorf("%v stands in: %v", why, got)
		}
		if got := Chase(r, false); got != in(why, tufverify.Foreign, tufverify.UnderThreshold, tufverify.Missing) {
			t.Errorf("%v is chased: %v", why, got)
		}
		if got := Chase(r, true); got != in(why, tufverify.Foreign, tufverify.UnderThreshold) {
			t.Errorf("%v is chased further: %v", why, got)
		}
		if got := Blameless(r, true); got != in(why, tufverify.Missing) || Blameless(r, false) {
			t.Errorf("%v blames nobody: %v", why, got)
		}
	}
	if Chase(nil, false) || Blameless(nil, true) {
		t.Error("what was believed is chased")
	}
}

func TestConfirmed(t *testing.T) {
	lacking := &tufverify.RefusalError{Why: tufverify.Expired}
	for _, c := range []struct {
		name     string
		f        tufverify.File
		says     *tufverify.RefusalError
		surveyed bool
		asked    Tick // ago
		want     tufverify.Why
	}{
		{"a timestamp, asked just now", tufverify.File{Role: "timestamp"}, nil, true, 0, tufverify.None},
		{"a timestamp, asked long ago", tufverify.File{Role: "timestamp"}, nil, true, 2 * s, tufverify.Missing},
		{"a timestamp before the survey", tufverify.File{Role: "timestamp"}, nil, false, 0, tufverify.Missing},
		{"a snapshot, asked long ago", tufverify.File{Role: "snapshot", Version: 3}, nil, true, 2 * s, tufverify.None},
		{"a snapshot before the survey", tufverify.File{Role: "snapshot", Version: 3}, nil, false, 0, tufverify.Missing},
		{"a root of the chain before the survey", tufverify.File{Role: "root", Version: 1}, nil, false, 2 * s, tufverify.None},
		{"the newest root, asked long ago", tufverify.File{Role: "root"}, nil, true, 2 * s, tufverify.Missing},
		{"what trust refuses", tufverify.File{Role: "targets", Version: 1}, lacking, true, 0, tufverify.Expired},
	} {
		r := NewRefresh(s, s, 1)
		r.Had(100 * s)
		got := Confirmed(100*s+c.asked, c.f, c.says, NewSurvey(!c.surveyed), r, "r")
		if why := tufverify.None; got != nil && got.Why != c.want || got == nil && c.want != why {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
