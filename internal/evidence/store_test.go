package evidence

import (
	"strings"
	"testing"

	"silvercove/balancer"
)

const s = balancer.Second

func filledStore() *Store {
	store := New([]string{"read", "sell"})
	store.UpdateVersion(10*s, 7, "testing")
	for i := range 40 {
		store.RecordOutcome(11*s, 7, i%2, i/20, i%10 == 0)
	}
	store.RecordOutcome(11*s, 7, 0, 0, true)
	store.RecordReleaseMetrics(11*s, 7, 1, 0, 50, 9)
	store.RecordReleaseMetrics(11*s, 7, 1, 0, 5, 9) // must be ignored, because 9 failures in 5 outcomes are impossible
	store.RecordWrongAnswer(12*s, 7, 0, 1, 30*s)
	store.RecordVote(13*s, 7, 1, "go on", "evidence")
	return store
}

func TestStore_Estimates(t *testing.T) {
	store := filledStore()
	estimates := store.Estimates(7)
	if len(estimates) != 2 || estimates[0].Outcomes != 21 || estimates[0].Failures != 5 || estimates[1].Outcomes != 20 || estimates[1].Failures != 0 {
		t.Errorf("%+v", estimates)
	}
	if store.Estimates(8) != nil {
		t.Error("there are estimates of a version that was never seen")
	}
	store.RecordOutcome(14*s, 8, 0, 0, true)
	store.RecordOutcome(14*s, 7, 9, 0, true)
	store.RecordWrongAnswer(14*s, 8, 0, 0, 0)
	store.RecordVote(14*s, 8, 0, "go on", "x")
	if store.Orphans != 4 {
		t.Errorf("%d reports and votes are orphans, want 4", store.Orphans)
	}
	store.UpdateVersion(15*s, 7, "recalled")
	store.RecordWrongAnswer(900*s, 7, 0, 0, 900*s)
	if v := store.findVersion(7); v.WrongAnswerDelays != (WrongAnswerDelays{0, 0, 1, 0, 1}) || v.WrongAnswersAfterRollback != 1 {
		t.Errorf("%+v", v)
	}
	text := strings.Join(store.Explain(), "\n")
	for _, want := range []string{"Build 7, recalled", "read: 5 of 21 outcomes failed", "vote to go on at stage 1, because of evidence",
		"1 of them after it was sent back", "counted 9 failures among 50 outcomes", "4 reports were on builds"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
}

func TestStore_IsBounded(t *testing.T) {
	store := New(make([]string, 1000)[:300])
	for i := range uint16(20) {
		store.UpdateVersion(s, i, "testing")
		for j := range 300 {
			store.RecordOutcome(s, i, j, j, true)
			store.RecordVote(s, i, j, "hold", "x")
		}
	}
	counts := 0
	for _, v := range store.versions {
		counts += len(v.Counts)
		if len(v.Votes) > maxVotes || v.DroppedVotes != 300-maxVotes {
			t.Errorf("%d votes are kept and %d are dropped", len(v.Votes), v.DroppedVotes)
		}
	}
	if len(store.versions) != maxVersions || counts > maxVersions*maxClasses*maxStages {
		t.Errorf("%d versions and %d counts are kept", len(store.versions), counts)
	}
	if store.findVersion(19) == nil || store.findVersion(0) != nil {
		t.Error("the kept versions are not the newest")
	}
}

func TestDecayedCounts_HalveAndRoundUpFailures(t *testing.T) {
	store := filledStore()
	for _, c := range []struct {
		after  balancer.Tick
		n, bad int
	}{{0, 21, 5}, {600 * s, 10, 3}, {6000 * s, 1, 1}} {
		n, bad := store.DecayedCounts(12*s+c.after, 7, 600*s)
		if n[0] != c.n || bad[0] != c.bad {
			t.Errorf("after %d s: %d failures among %d outcomes", c.after/s, bad[0], n[0])
		}
	}
	if n, _ := store.DecayedCounts(12*s, 9, s); n != nil {
		t.Error("there are counts of an unknown version")
	}
}
