package fleetsim

import (
	"strings"
	"testing"

	"silvercove/internal/tick"
)

// script parses a script and fails the test if the script is invalid.
func script(t *testing.T, text string) Script {
	t.Helper()
	s, err := ParseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The only device of a zone moves to another zone. Its instance must follow in one move, without a broken rule and with few
// rejected requests.
func TestFleet_InstanceFollowsDeviceToOtherZone(t *testing.T) {
	s := Small()
	s.Instances = 3
	f := New(1, s)
	f.Play(script(t, "8000 swarm zone-1 zone-2 for 9000 by 1"))
	f.Run(15 * tick.Second)
	if f.Broken() != "" || f.checker.Moves != 1 || !strings.Contains(f.Timeline(), "move cam-1") {
		t.Errorf("broken rule %q, %d moves, want 1\n%s", f.Broken(), f.checker.Moves, f.Timeline())
	}
	p, _ := f.cluster.table.Get("cam-1")
	if z := f.nodeByName[p.Primary].zone.name; z != "zone-2" {
		t.Errorf("cam-1 runs in %s", z)
	}
	if k := &f.checker; k.Succeeded < 150 || k.Unknown > 0 || k.Rejected > 5 {
		t.Errorf("%d requests succeeded, %d rejected, %d unknown", k.Succeeded, k.Rejected, k.Unknown)
	}
	if since, quiet := f.Quiet(); !quiet {
		t.Errorf("not quiet: %d unsettled instances, not served %v, last change at %d", f.checker.unsettled, f.checker.idleSince, since)
	}
}

// Two runs with the same seed give the same timeline, line for line. A run with another seed gives another timeline.
func TestFleet_SameSeedGivesSameTimeline(t *testing.T) {
	play := func(seed uint64) string {
		f := New(seed, Small())
		f.Play(script(t, "5000 crash edge-1 for 3000\n6000 leader all for 2000\n7000 swarm zone-2 zone-3 for 5000 by 1\n8000 loss edge-2 for 9000 by 0.3\n9000 tiredzone zone-3 for 4000"))
		f.Run(30 * tick.Second)
		return f.Timeline()
	}
	a, b := play(7), play(7)
	if a != b {
		x, y := strings.Split(a, "\n"), strings.Split(b, "\n")
		for i := range x {
			if i >= len(y) || x[i] != y[i] {
				t.Fatalf("line %d differs:\n%s\n%s", i, x[i], y[min(i, len(y)-1)])
			}
		}
	}
	if a == play(8) || len(strings.Split(a, "\n")) < 40 {
		t.Errorf("another seed gives the same timeline, or it has fewer than 40 lines:\n%s", a)
	}
}
