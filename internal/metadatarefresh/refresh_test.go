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
	r.OnRefreshed(0)
	if r.Due(s-1, false) || r.Stale(s-1) || !r.Due(s, false) || !r.Stale(s) || !r.Due(1, true) {
		t.Error("a timestamp counts for a second, unless something is lacking")
	}
	at, wait := s, Tick(0)
	for i := range 12 {
		r.OnFailed(at)
		if r.Due(at, true) {
			t.Fatal("mirrors are asked again at once")
		}
		next := at
		for !r.Due(next, true) {
			next++
		}
		if got := next - at; got > maxBackoff || i > 8 && got < maxBackoff/2 || got < wait/4 {
			t.Errorf("failure %d: asked again after %d", i, got)
		}
		wait = next - at
		if back := r.RetryAfter(at); back < wait || back > 2*wait+1 {
			t.Errorf("clients are told %d, mirrors are asked after %d", back, wait)
		}
		at = next
	}
	r.OnRefreshed(at)
	r.OnFailed(at + s)
	if r.Stale(at+5*s-1) || !r.Stale(at+5*s) {
		t.Error("with dead mirrors it counts for five seconds")
	}
	r.OnRefreshed(at + 6*s)
	if !r.Due(at+7*s, false) {
		t.Error("failures are not forgotten")
	}
}

func TestRefusalResponse(t *testing.T) {
	for _, c := range []struct {
		why    tufverify.Reason
		role   string
		status int
		later  bool
	}{
		{tufverify.ReasonOlderVersion, "snapshot", 404, false}, {tufverify.ReasonNotListed, "x", 404, false}, {tufverify.ReasonMissing, "root", 404, false},
		{tufverify.ReasonMissing, "targets", 503, true}, {tufverify.ReasonExpired, "timestamp", 503, true}, {tufverify.ReasonNotDurable, "timestamp", 503, true},
		{tufverify.ReasonDisagreement, "app", 503, true}, {tufverify.ReasonUnknownKey, "targets", 503, true},
	} {
		if a := RefusalResponse(&tufverify.RefusalError{Reason: c.why, Role: c.role}); a.Status != c.status || a.RetryLater != c.later || a.Text == "" {
			t.Errorf("%v of %s: %+v", c.why, c.role, a)
		}
	}
	for why := range tufverify.ReasonCount {
		if why != tufverify.ReasonNone && RefusalResponse(&tufverify.RefusalError{Reason: why}).Status < 400 {
			t.Errorf("%v is no refusal", why)
		}
	}
	for why, status := range map[tufverify.Reason]int{tufverify.ReasonAlreadyHeld: 200, tufverify.ReasonTooLarge: 413, tufverify.ReasonMalformed: 400, tufverify.ReasonUnknownKey: 403,
		tufverify.ReasonOlderVersion: 409, tufverify.ReasonConflict: 409, tufverify.ReasonNotDurable: 503} {
		if a := ReportResponse(&tufverify.RefusalError{Reason: why}); a.Status != status {
			t.Errorf("%v: %+v", why, a)
		}
	}
	if ReportResponse(nil).Status != 200 {
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
			if x.NextCheck() != now+firstByteTimeout {
				t.Errorf("the first byte may take until %d", x.NextCheck())
			}
			slow := false
			for range 100 {
				now += s / 10
				slow = slow || x.OnBytes(now, c.bytes)
				if c.held > 0 {
					now += c.held
					x.OnClientStall(c.held)
				}
			}
			if slow != c.slow {
				t.Errorf("too slow: %v", slow)
			}
		})
	}
	if AttemptTooLate(maxChoiceAge-1, 0) || !AttemptTooLate(maxChoiceAge, 0) {
		t.Error("a delivery may wait half a second")
	}
}

func TestClientLimiter(t *testing.T) {
	d := NewClientLimiter(8)
	for range 4 {
		if !d.Acquire("greedy") {
			t.Fatal("half of the places are anyone's")
		}
	}
	if d.Acquire("greedy") {
		t.Error("one client takes more than its part of the rest")
	}
	for i := range 4 {
		if !d.Acquire(fmt.Sprint("c", i)) {
			t.Errorf("client %d finds no place", i)
		}
	}
	if d.Acquire("late") {
		t.Error("a ninth is let in")
	}
	for range 4 {
		d.Release("greedy")
	}
	if d.InUse() != 4 || len(d.perClient) != 4 || !d.Acquire("late") {
		t.Errorf("%d are in, %d clients kept", d.InUse(), len(d.perClient))
	}
}

func TestMirrorSurvey(t *testing.T) {
	listed := []string{"a", "b", "c", "d"}
	v := NewMirrorSurvey(true)
	for _, c := range []struct {
		mirror string
		why    tufverify.Reason
		done   bool
	}{{"a", tufverify.ReasonNone, false}, {"a", tufverify.ReasonAlreadyHeld, false}, {"b", tufverify.ReasonUnknownKey, false}, {"b", tufverify.ReasonExpired, false},
		{"c", tufverify.ReasonOlderVersion, false}, {"x", tufverify.ReasonNone, false}, {"d", tufverify.ReasonAlreadyHeld, true}} {
		var refusal *tufverify.RefusalError
		if c.why != tufverify.ReasonNone {
			refusal = &tufverify.RefusalError{Reason: c.why}
		}
		v.OnTimestamp(c.mirror, refusal, listed)
		if v.Done != c.done {
			t.Errorf("after %s, %v: done %v", c.mirror, c.why, v.Done)
		}
	}
	if !NewMirrorSurvey(false).Done {
		t.Error("one that is not wanted is not done")
	}
	v = NewMirrorSurvey(true)
	if v.OnTimestamp("a", nil, nil); v.Done {
		t.Error("no mirrors are a majority")
	}
}

func TestIssue(t *testing.T) {
	fresh := Issue{Held: true, IssuedAt: 0, ExpiresAt: 60 * s, Assigned: true, ImageAgrees: true}
	with := func(change func(i *Issue)) Issue { i := fresh; change(&i); return i }
	for _, c := range []struct {
		name         string
		is           Issue
		now          Tick
		renew, lasts bool
	}{
		{"fresh", fresh, 1, false, true}, {"before half its life", fresh, 30*s - 1, false, true},
		{"at half its life", fresh, 30 * s, true, true}, {"expired", fresh, 60 * s, true, false},
		{"told another", with(func(i *Issue) { i.Assigned = false }), 1, true, false},
		{"the image says otherwise", with(func(i *Issue) { i.ImageAgrees = false }), 1, true, true},
		{"none yet", Issue{Assigned: true, ImageAgrees: true}, 1, true, false},
	} {
		if c.is.MustRenew(c.now) != c.renew || c.is.MayServeStale(c.now) != c.lasts {
			t.Errorf("%s: renewed %v, lasts %v", c.name, c.is.MustRenew(c.now), c.is.MayServeStale(c.now))
		}
	}
	if PersistTime(s, 0) || !PersistTime(s+1, 0) {
		t.Error("the time is kept in steps of a second")
	}
}

// TestResponses_EveryReason goes through every reason once for each function that depends on one.
func TestResponses_EveryReason(t *testing.T) {
	in := func(why tufverify.Reason, of ...tufverify.Reason) bool {
		for _, w := range of {
			if w == why {
				return true
			}
		}
		return false
	}
	for why := tufverify.ReasonNone + 1; why < tufverify.ReasonCount; why++ {
		r := &tufverify.RefusalError{Reason: why}
		if got := LastAnswerMayServe(r); got != in(why, tufverify.ReasonMissing, tufverify.ReasonExpired) {
			t.Errorf("%v stands in: %v", why, got)
		}
		if got := FetchNewerRoots(r, false); got != in(why, tufverify.ReasonUnknownKey, tufverify.ReasonBelowThreshold, tufverify.ReasonMissing) {
			t.Errorf("%v is chased: %v", why, got)
		}
		if got := FetchNewerRoots(r, true); got != in(why, tufverify.ReasonUnknownKey, tufverify.ReasonBelowThreshold) {
			t.Errorf("%v is chased further: %v", why, got)
		}
		if got := MirrorBlameless(r, true); got != in(why, tufverify.ReasonMissing) || MirrorBlameless(r, false) {
			t.Errorf("%v blames nobody: %v", why, got)
		}
	}
	if FetchNewerRoots(nil, false) || MirrorBlameless(nil, true) {
		t.Error("what was believed is chased")
	}
}

func TestConfirmed(t *testing.T) {
	lacking := &tufverify.RefusalError{Reason: tufverify.ReasonExpired}
	for _, c := range []struct {
		name     string
		f        tufverify.File
		says     *tufverify.RefusalError
		surveyed bool
		asked    Tick // ago
		want     tufverify.Reason
	}{
		{"a timestamp, asked just now", tufverify.File{Role: "timestamp"}, nil, true, 0, tufverify.ReasonNone},
		{"a timestamp, asked long ago", tufverify.File{Role: "timestamp"}, nil, true, 2 * s, tufverify.ReasonMissing},
		{"a timestamp before the survey", tufverify.File{Role: "timestamp"}, nil, false, 0, tufverify.ReasonMissing},
		{"a snapshot, asked long ago", tufverify.File{Role: "snapshot", Version: 3}, nil, true, 2 * s, tufverify.ReasonNone},
		{"a snapshot before the survey", tufverify.File{Role: "snapshot", Version: 3}, nil, false, 0, tufverify.ReasonMissing},
		{"a root of the chain before the survey", tufverify.File{Role: "root", Version: 1}, nil, false, 2 * s, tufverify.ReasonNone},
		{"the newest root, asked long ago", tufverify.File{Role: "root"}, nil, true, 2 * s, tufverify.ReasonMissing},
		{"what trust refuses", tufverify.File{Role: "targets", Version: 1}, lacking, true, 0, tufverify.ReasonExpired},
	} {
		r := NewRefresh(s, s, 1)
		r.OnRefreshed(100 * s)
		got := Confirmed(100*s+c.asked, c.f, c.says, NewMirrorSurvey(!c.surveyed), r, "r")
		if why := tufverify.ReasonNone; got != nil && got.Reason != c.want || got == nil && c.want != why {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
