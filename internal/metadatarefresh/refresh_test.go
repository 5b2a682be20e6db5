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
		reason     tufverify.Reason
		role       string
		status     int
		retryLater bool
	}{
		{tufverify.ReasonOlderVersion, "snapshot", 404, false}, {tufverify.ReasonNotListed, "x", 404, false}, {tufverify.ReasonMissing, "root", 404, false},
		{tufverify.ReasonMissing, "targets", 503, true}, {tufverify.ReasonExpired, "timestamp", 503, true}, {tufverify.ReasonNotDurable, "timestamp", 503, true},
		{tufverify.ReasonDisagreement, "app", 503, true}, {tufverify.ReasonUnknownKey, "targets", 503, true},
	} {
		if a := RefusalResponse(&tufverify.RefusalError{Reason: c.reason, Role: c.role}); a.Status != c.status || a.RetryLater != c.retryLater || a.Text == "" {
			t.Errorf("%v of %s: %+v", c.reason, c.role, a)
		}
	}
	for reason := range tufverify.ReasonCount {
		if reason != tufverify.ReasonNone && RefusalResponse(&tufverify.RefusalError{Reason: reason}).Status < 400 {
			t.Errorf("%v is no refusal", reason)
		}
	}
	for reason, status := range map[tufverify.Reason]int{tufverify.ReasonAlreadyHeld: 200, tufverify.ReasonTooLarge: 413, tufverify.ReasonMalformed: 400, tufverify.ReasonUnknownKey: 403,
		tufverify.ReasonOlderVersion: 409, tufverify.ReasonConflict: 409, tufverify.ReasonNotDurable: 503} {
		if a := ReportResponse(&tufverify.RefusalError{Reason: reason}); a.Status != status {
			t.Errorf("%v: %+v", reason, a)
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
		stall Tick  // by which the client holds each up
		slow  bool
	}{{"fast", 1 << 20, 0, false}, {"just fast enough", 210, 0, false}, {"a byte now and then", 1, 0, true},
		{"a slow client", 1 << 10, s, false}} {
		t.Run(c.name, func(t *testing.T) {
			var transfer Transfer
			now := Tick(1000)
			transfer.Begin(now)
			if transfer.NextCheck() != now+firstByteTimeout {
				t.Errorf("the first byte may take until %d", transfer.NextCheck())
			}
			slow := false
			for range 100 {
				now += s / 10
				slow = slow || transfer.OnBytes(now, c.bytes)
				if c.stall > 0 {
					now += c.stall
					transfer.OnClientStall(c.stall)
				}
			}
			if slow != c.slow {
				t.Errorf("too slow: %v", slow)
			}
		})
	}
	if AttemptTooLate(maxSendDelay-1, 0) || !AttemptTooLate(maxSendDelay, 0) {
		t.Error("a delivery may wait half a second")
	}
}

func TestClientLimiter(t *testing.T) {
	limiter := NewClientLimiter(8)
	for range 4 {
		if !limiter.Acquire("greedy") {
			t.Fatal("half of the places are anyone's")
		}
	}
	if limiter.Acquire("greedy") {
		t.Error("one client takes more than its part of the rest")
	}
	for i := range 4 {
		if !limiter.Acquire(fmt.Sprint("c", i)) {
			t.Errorf("client %d finds no place", i)
		}
	}
	if limiter.Acquire("late") {
		t.Error("a ninth is let in")
	}
	for range 4 {
		limiter.Release("greedy")
	}
	if limiter.InUse() != 4 || len(limiter.perClient) != 4 || !limiter.Acquire("late") {
		t.Errorf("%d are in, %d clients kept", limiter.InUse(), len(limiter.perClient))
	}
}

func TestMirrorSurvey(t *testing.T) {
	listed := []string{"a", "b", "c", "d"}
	survey := NewMirrorSurvey(true)
	for _, c := range []struct {
		mirror string
		reason tufverify.Reason
		done   bool
	}{{"a", tufverify.ReasonNone, false}, {"a", tufverify.ReasonAlreadyHeld, false}, {"b", tufverify.ReasonUnknownKey, false}, {"b", tufverify.ReasonExpired, false},
		{"c", tufverify.ReasonOlderVersion, false}, {"x", tufverify.ReasonNone, false}, {"d", tufverify.ReasonAlreadyHeld, true}} {
		var refusal *tufverify.RefusalError
		if c.reason != tufverify.ReasonNone {
			refusal = &tufverify.RefusalError{Reason: c.reason}
		}
		survey.OnTimestamp(c.mirror, refusal, listed)
		if survey.Done != c.done {
			t.Errorf("after %s, %v: done %v", c.mirror, c.reason, survey.Done)
		}
	}
	if !NewMirrorSurvey(false).Done {
		t.Error("one that is not wanted is not done")
	}
	survey = NewMirrorSurvey(true)
	if survey.OnTimestamp("a", nil, nil); survey.Done {
		t.Error("no mirrors are a majority")
	}
}

func TestIssue(t *testing.T) {
	fresh := Issue{Exists: true, IssuedAt: 0, ExpiresAt: 60 * s, AssignmentCurrent: true, ImageAgrees: true}
	with := func(change func(i *Issue)) Issue { i := fresh; change(&i); return i }
	for _, c := range []struct {
		name                     string
		issue                    Issue
		now                      Tick
		mustRenew, mayServeStale bool
	}{
		{"fresh", fresh, 1, false, true}, {"before half its life", fresh, 30*s - 1, false, true},
		{"at half its life", fresh, 30 * s, true, true}, {"expired", fresh, 60 * s, true, false},
		{"told another", with(func(i *Issue) { i.AssignmentCurrent = false }), 1, true, false},
		{"the image says otherwise", with(func(i *Issue) { i.ImageAgrees = false }), 1, true, true},
		{"none yet", Issue{AssignmentCurrent: true, ImageAgrees: true}, 1, true, false},
	} {
		if c.issue.MustRenew(c.now) != c.mustRenew || c.issue.MayServeStale(c.now) != c.mayServeStale {
			t.Errorf("%s: renewed %v, lasts %v", c.name, c.issue.MustRenew(c.now), c.issue.MayServeStale(c.now))
		}
	}
	if MustPersistTime(s, 0) || !MustPersistTime(s+1, 0) {
		t.Error("the time is kept in steps of a second")
	}
}

// TestResponses_EveryReason goes through every reason once for each function that depends on one.
func TestResponses_EveryReason(t *testing.T) {
	oneOf := func(reason tufverify.Reason, reasons ...tufverify.Reason) bool {
		for _, candidate := range reasons {
			if candidate == reason {
				return true
			}
		}
		return false
	}
	for reason := tufverify.ReasonNone + 1; reason < tufverify.ReasonCount; reason++ {
		r := &tufverify.RefusalError{Reason: reason}
		if got := MayServeLastAnswer(r); got != oneOf(reason, tufverify.ReasonMissing, tufverify.ReasonExpired) {
			t.Errorf("%v stands in: %v", reason, got)
		}
		if got := ShouldFetchNewerRoots(r, false); got != oneOf(reason, tufverify.ReasonUnknownKey, tufverify.ReasonBelowThreshold, tufverify.ReasonMissing) {
			t.Errorf("%v is chased: %v", reason, got)
		}
		if got := ShouldFetchNewerRoots(r, true); got != oneOf(reason, tufverify.ReasonUnknownKey, tufverify.ReasonBelowThreshold) {
			t.Errorf("%v is chased further: %v", reason, got)
		}
		if got := MirrorBlameless(r, true); got != oneOf(reason, tufverify.ReasonMissing) || MirrorBlameless(r, false) {
			t.Errorf("%v blames nobody: %v", reason, got)
		}
	}
	if ShouldFetchNewerRoots(nil, false) || MirrorBlameless(nil, true) {
		t.Error("what was believed is chased")
	}
}

func TestCheckConfirmed(t *testing.T) {
	expired := &tufverify.RefusalError{Reason: tufverify.ReasonExpired}
	for _, c := range []struct {
		name         string
		f            tufverify.File
		refusal      *tufverify.RefusalError
		surveyed     bool
		sinceRefresh Tick // ago
		want         tufverify.Reason
	}{
		{"a timestamp, asked just now", tufverify.File{Role: "timestamp"}, nil, true, 0, tufverify.ReasonNone},
		{"a timestamp, asked long ago", tufverify.File{Role: "timestamp"}, nil, true, 2 * s, tufverify.ReasonMissing},
		{"a timestamp before the survey", tufverify.File{Role: "timestamp"}, nil, false, 0, tufverify.ReasonMissing},
		{"a snapshot, asked long ago", tufverify.File{Role: "snapshot", Version: 3}, nil, true, 2 * s, tufverify.ReasonNone},
		{"a snapshot before the survey", tufverify.File{Role: "snapshot", Version: 3}, nil, false, 0, tufverify.ReasonMissing},
		{"a root of the chain before the survey", tufverify.File{Role: "root", Version: 1}, nil, false, 2 * s, tufverify.ReasonNone},
		{"the newest root, asked long ago", tufverify.File{Role: "root"}, nil, true, 2 * s, tufverify.ReasonMissing},
		{"what trust refuses", tufverify.File{Role: "targets", Version: 1}, expired, true, 0, tufverify.ReasonExpired},
	} {
		r := NewRefresh(s, s, 1)
		r.OnRefreshed(100 * s)
		got := CheckConfirmed(100*s+c.sinceRefresh, c.f, c.refusal, NewMirrorSurvey(!c.surveyed), r, "r")
		if noReason := tufverify.ReasonNone; got != nil && got.Reason != c.want || got == nil && c.want != noReason {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
