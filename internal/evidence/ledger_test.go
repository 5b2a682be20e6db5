package evidence

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silvercove/balancer"
)

const s = balancer.Second

func filled() *Store {
	l := New([]string{"read", "sell"})
	l.UpdateVersion(10*s, 7, "testing")
	for i := range 40 {
		l.RecordOutcome(11*s, 7, i%2, i/20, i%10 == 0)
	}
	l.RecordOutcome(11*s, 7, 0, 0, true)
	l.RecordPlatformCount(11*s, 7, 1, 0, 50, 9)
	l.RecordPlatformCount(11*s, 7, 1, 0, 5, 9) // makes no sense
	l.RecordFlag(12*s, 7, 0, 1, 30*s)
	l.RecordVote(13*s, 7, 1, "go on", "evidence")
	return l
}

func TestKnown(t *testing.T) {
	l := filled()
	all := l.Estimates(7)
	if len(all) != 2 || all[0].Outcomes != 21 || all[0].Failures != 5 || all[1].Outcomes != 20 || all[1].Failures != 0 {
		t.Errorf("%+v", all)
	}
	if l.Estimates(8) != nil {
		t.Error("a build that was never offered is known")
	}
	l.RecordOutcome(14*s, 8, 0, 0, true)
	l.RecordOutcome(14*s, 7, 9, 0, true)
	l.RecordFlag(14*s, 8, 0, 0, 0)
	l.RecordVote(14*s, 8, 0, "go on", "x")
	if l.Orphans != 4 {
		t.Errorf("%d orphans", l.Orphans)
	}
	l.UpdateVersion(15*s, 7, "recalled")
	l.RecordFlag(900*s, 7, 0, 0, 900*s)
	if b := l.find(7); b.FlagDelays != (FlagDelays{0, 0, 1, 0, 1}) || b.FlagsAfterEnd != 1 {
		t.Errorf("%+v", b)
	}
	text := strings.Join(l.Explain(), "\n")
	for _, want := range []string{"Build 7, recalled", "read: 5 of 21 outcomes failed", "vote to go on at stage 1, because of evidence",
		"1 of them after it was sent back", "counted 9 failures among 50 outcomes", "4 reports were on builds"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not said in\n%s", want, text)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	l := New(make([]string, 1000)[:300])
	for i := range uint16(20) {
		l.UpdateVersion(s, i, "testing")
		for j := range 300 {
			l.RecordOutcome(s, i, j, j, true)
			l.RecordVote(s, i, j, "hold", "x")
		}
	}
	cells := 0
	for _, b := range l.builds {
		cells += len(b.Counts)
		if len(b.Votes) > mostVotes || b.DroppedVotes != 300-mostVotes {
			t.Errorf("%d votes, %d dropped", len(b.Votes), b.DroppedVotes)
		}
	}
	if len(l.builds) != mostBuilds || cells > mostBuilds*mostOps*mostWaves {
		t.Errorf("%d builds, %d cells", len(l.builds), cells)
	}
	if l.find(19) == nil || l.find(0) != nil {
		t.Error("not the newest are kept")
	}
}

// TestBoundsHoldAtAllTimes: the share of runs in which the true share is ever outside stays within the level.
func TestBoundsHoldAtAllTimes(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, p := range []float64{0.01, 0.2, 0.5} {
		out := 0
		const runs = 400
		for range runs {
			bad := 0.0
			for n := 1.0; n <= 300; n++ {
				if r.Float64() < p {
					bad++
				}
				if low, high := ConfidenceBounds(bad, n, 0.05); p < low || p > high {
					out++
					break
				}
			}
		}
		if out > runs*8/100 { // 5 per cent and three deviations
			t.Errorf("share %g: outside in %d of %d runs", p, out, runs)
		}
	}
	for _, c := range []struct{ bad, n, low, high float64 }{{0, 0, 0, 1}, {0, 100, 0, 0.07}, {100, 100, 0.93, 1}} {
		low, high := ConfidenceBounds(c.bad, c.n, 0.05)
		if low < c.low-1e-9 || high > c.high+1e-9 {
			t.Errorf("%g of %g: %g to %g", c.bad, c.n, low, high)
		}
	}
}

func TestAged(t *testing.T) {
	l := filled()
	for _, c := range []struct {
		after  balancer.Tick
		n, bad int
	}{{0, 21, 5}, {600 * s, 10, 3}, {6000 * s, 1, 1}} {
		n, bad := l.DecayedCounts(12*s+c.after, 7, 600*s)
		if n[0] != c.n || bad[0] != c.bad {
			t.Errorf("after %d: %d of %d", c.after/s, bad[0], n[0])
		}
	}
	if n, _ := l.DecayedCounts(12*s, 9, s); n != nil {
		t.Error("another build's outcomes are given")
	}
}

func TestSnapshots(t *testing.T) {
	l := filled()
	text := l.Snapshot()
	again := New([]string{"read", "sell"})
	if err := again.Restore(text); err != nil || strings.Join(again.Explain(), "") != strings.Join(l.Explain(), "") {
		t.Errorf("%v", err)
	}
	for cut := range text { // at any byte
		fresh := New([]string{"read", "sell"})
		if err := fresh.Restore(text[:cut]); !errors.Is(err, ErrCorrupt) || len(fresh.builds) != 0 {
			t.Fatalf("cut at %d: %v", cut, err)
		}
	}
	for i := range text {
		bad := append([]byte(nil), text...)
		bad[i] ^= 1
		fresh := New([]string{"read", "sell"})
		if err := fresh.Restore(bad); err == nil || len(fresh.builds) != 0 {
			t.Fatalf("byte %d flipped: it is taken", i)
		}
	}
	if err := again.Restore([]byte(strings.Replace(string(text), "ledger 1", "ledger 2", 1))); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("%v", err)
	}
	if err := New([]string{"read"}).Restore(text); !errors.Is(err, ErrCorrupt) {
		t.Errorf("one of other op types: %v", err)
	}
	path := filepath.Join(t.TempDir(), "ledger")
	if again.Load(path); again.LoadError != "" {
		t.Error("no file is a loss")
	}
	if err := Save(path, text); err != nil {
		t.Fatal(err)
	}
	if of, err := ReadFile(path); err != nil || len(of.Estimates(7)) != 2 {
		t.Errorf("%v", err)
	}
	_ = os.WriteFile(path, text[:len(text)-1], 0o600)
	if again.Load(path); !strings.Contains(again.LoadError, "damaged") || again.find(7) == nil {
		t.Errorf("lost: %q", again.LoadError)
	}
	if _, err := ReadFile(path); err == nil {
		t.Error("a damaged one is explained")
	}
}

func FuzzRead(f *testing.F) {
	f.Add(filled().Snapshot())
	f.Add([]byte("silvercove-ledger 1 00000000 2\n{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		l := New([]string{"read", "sell"})
		if l.Restore(text) == nil {
			l.Explain()
			l.DecayedCounts(s, 7, s)
		}
	})
}
