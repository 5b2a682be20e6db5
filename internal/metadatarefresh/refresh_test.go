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
		t.Error("at the start the mirrors must be asked and nothing is current")
	}
	r.OnRefreshed(0)
	if r.Due(s-1, false) || r.Stale(s-1) || !r.Due(s, false) || !r.Stale(s) || !r.Due(1, true) {
		t.Error("a timestamp must count as current for a second, unless the set is incomplete")
	}
	at, wait := s, Tick(0)
	for i := range 12 {
		r.OnFailed(at)
		if r.Due(at, true) {
			t.Fatal("mirrors are asked again without a delay")
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
			t.Errorf("clients must wait %d, mirrors are asked after %d", back, wait)
		}
		at = next
	}
	r.OnRefreshed(at)
	r.OnFailed(at + s)
	if r.Stale(at+5*s-1) || !r.Stale(at+5*s) {
		t.Error("with dead mirrors a timestamp must count as current for five seconds")
	}
	r.OnRefreshed(at + 6*s)
	if !r.Due(at+7*s, false) {
		t.Error("the backoff of earlier failures is still in effect after a success")
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
			t.Errorf("reason %v, role %s: %+v", c.reason, c.role, a)
		}
	}
	for reason := range tufverify.ReasonCount {
		if reason != tufverify.ReasonNone && RefusalResponse(&tufverify.RefusalError{Reason: reason}).Status < 400 {
			t.Errorf("reason %v gives a status below 400", reason)
		}
	}
	for reason, status := range map[tufverify.Reason]int{tufverify.ReasonAlreadyHeld: 200, tufverify.ReasonTooLarge: 413, tufverify.ReasonMalformed: 400, tufverify.ReasonUnknownKey: 403,
		tufverify.ReasonOlderVersion: 409, tufverify.ReasonConflict: 409, tufverify.ReasonNotDurable: 503} {
		if a := ReportResponse(&tufverify.RefusalError{Reason: reason}); a.Status != status {
			t.Errorf("%v: %+v", reason, a)
		}
	}
	if ReportResponse(nil).Status != 200 {
		t.Error("an accepted report is refused")
	}
}

func TestTransfer(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int64 // number of bytes that arrive from the mirror each tenth of a second
		stall Tick  // how long the client blocks the transfer each time after bytes have arrived
		slow  bool
	}{{"fast", 1 << 20, 0, false}, {"just fast enough", 210, 0, false}, {"a byte now and then", 1, 0, true},
		{"a slow client", 1 << 10, s, false}} {
		t.Run(c.name, func(t *testing.T) {
			var transfer Transfer
			now := Tick(1000)
			transfer.Begin(now)
			if transfer.NextCheck() != now+firstByteTimeout {
				t.Errorf("the first check is at %d", transfer.NextCheck())
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
		t.Error("an attempt may be sent until half a second after the choice of its mirror")
	}
}

func TestClientLimiter(t *testing.T) {
	limiter := NewClientLimiter(8)
	for range 4 {
		if !limiter.Acquire("greedy") {
			t.Fatal("a single client must get half of the limit")
		}
	}
	if limiter.Acquire("greedy") {
		t.Error("one client gets more than its share after half of the limit is in use")
	}
	for i := range 4 {
		if !limiter.Acquire(fmt.Sprint("c", i)) {
			t.Errorf("client %d is refused", i)
		}
	}
	if limiter.Acquire("late") {
		t.Error("a ninth request is admitted")
	}
	for range 4 {
		limiter.Release("greedy")
	}
	if limiter.InUse() != 4 || len(limiter.perClient) != 4 || !limiter.Acquire("late") {
		t.Errorf("%d requests in use, %d clients recorded", limiter.InUse(), len(limiter.perClient))
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
		t.Error("a survey that is not wanted must be complete at once")
	}
	survey = NewMirrorSurvey(true)
	if survey.OnTimestamp("a", nil, nil); survey.Done {
		t.Error("a survey without mirrors is done")
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
		{"fresh", fresh, 1, false, true}, {"before half of its lifetime", fresh, 30*s - 1, false, true},
		{"at half of its lifetime", fresh, 30 * s, true, true}, {"expired", fresh, 60 * s, true, false},
		{"another assignment", with(func(i *Issue) { i.AssignmentCurrent = false }), 1, true, false},
		{"the image repository disagrees", with(func(i *Issue) { i.ImageAgrees = false }), 1, true, true},
		{"not issued yet", Issue{AssignmentCurrent: true, ImageAgrees: true}, 1, true, false},
	} {
		if c.issue.MustRenew(c.now) != c.mustRenew || c.issue.MayServeStale(c.now) != c.mayServeStale {
			t.Errorf("%s: must renew %v, may serve stale %v", c.name, c.issue.MustRenew(c.now), c.issue.MayServeStale(c.now))
		}
	}
	if MustPersistTime(s, 0) || !MustPersistTime(s+1, 0) {
		t.Error("the time must be recorded in steps of a second")
	}
}

// TestResponses_EveryReason checks every refusal reason with each function whose result depends on the reason.
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
			t.Errorf("last answer may serve for %v: %v", reason, got)
		}
		if got := ShouldFetchNewerRoots(r, false); got != oneOf(reason, tufverify.ReasonUnknownKey, tufverify.ReasonBelowThreshold, tufverify.ReasonMissing) {
			t.Errorf("newer roots are fetched for %v: %v", reason, got)
		}
		if got := ShouldFetchNewerRoots(r, true); got != oneOf(reason, tufverify.ReasonUnknownKey, tufverify.ReasonBelowThreshold) {
			t.Errorf("newer roots are fetched for %v after a newer root: %v", reason, got)
		}
		if got := MirrorBlameless(r, true); got != oneOf(reason, tufverify.ReasonMissing) || MirrorBlameless(r, false) {
			t.Errorf("mirror is blameless for %v: %v", reason, got)
		}
	}
	if ShouldFetchNewerRoots(nil, false) || MirrorBlameless(nil, true) {
		t.Error("newer roots are fetched, or a mirror is excused, without a refusal")
	}
}

func TestCheckConfirmed(t *testing.T) {
	expired := &tufverify.RefusalError{Reason: tufverify.ReasonExpired}
	for _, c := range []struct {
		name         string
		f            tufverify.File
		refusal      *tufverify.RefusalError
		surveyed     bool
		sinceRefresh Tick // time between the last refresh and the call of CheckConfirmed
		want         tufverify.Reason
	}{
		{"a timestamp, refreshed just now", tufverify.File{Role: "timestamp"}, nil, true, 0, tufverify.ReasonNone},
		{"a timestamp, refreshed long ago", tufverify.File{Role: "timestamp"}, nil, true, 2 * s, tufverify.ReasonMissing},
		{"a timestamp before the survey", tufverify.File{Role: "timestamp"}, nil, false, 0, tufverify.ReasonMissing},
		{"a snapshot, refreshed long ago", tufverify.File{Role: "snapshot", Version: 3}, nil, true, 2 * s, tufverify.ReasonNone},
		{"a snapshot before the survey", tufverify.File{Role: "snapshot", Version: 3}, nil, false, 0, tufverify.ReasonMissing},
		{"a root of the chain before the survey", tufverify.File{Role: "root", Version: 1}, nil, false, 2 * s, tufverify.ReasonNone},
		{"the newest root, refreshed long ago", tufverify.File{Role: "root"}, nil, true, 2 * s, tufverify.ReasonMissing},
		{"a file that tufverify refuses", tufverify.File{Role: "targets", Version: 1}, expired, true, 0, tufverify.ReasonExpired},
	} {
		r := NewRefresh(s, s, 1)
		r.OnRefreshed(100 * s)
		got := CheckConfirmed(100*s+c.sinceRefresh, c.f, c.refusal, NewMirrorSurvey(!c.surveyed), r, "r")
		if noReason := tufverify.ReasonNone; got != nil && got.Reason != c.want || got == nil && c.want != noReason {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
