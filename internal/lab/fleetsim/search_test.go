package fleetsim

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// If a defence is disabled, at least one schedule must break the rule that the defence protects, and the checker must detect
// it. With the defence the same schedule must break no rule.
func TestSchedule_DisabledDefenceBreaksRule(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled disabledDefences
		rule     string
		first    uint64 // lowest seed that the test tries; no schedule of a lower seed broke the rule
	}{
		{"a node that assumes a longer lease", disabledDefences{longLease: true}, "rule 1", 1},
		{"a planner that ignores the status of nodes", disabledDefences{ignoreNodeStatus: true}, "rule 4", 1},
		{"a node that does not check record counts", disabledDefences{ignoreRecordCounts: true}, "rule 2", 87},
		{"a primary that does not wait for replicas", disabledDefences{ackWithoutReplicas: true}, "rule 2", 1},
		{"a start without the current assignments", disabledDefences{noBaseline: true}, "rule 2", 1},
		{"a lease without the newest assignments", disabledDefences{staleAssignments: true}, "rule 1", 1},
		{"a restarted primary that trusts its disk", disabledDefences{trustDisk: true}, "rule 2", 1},
	} {
		found, foundSeed := "", uint64(0)
		for seed := c.first; seed < c.first+400 && found == ""; seed++ {
			if p := drawSchedule(seed).play(c.disabled); strings.HasPrefix(p.Broken, c.rule) {
				found, foundSeed = p.Broken, seed
				if p = drawSchedule(seed).Play(); p.Broken != "" {
					t.Errorf("%s: with the defence, seed %d: %s", c.name, seed, p.Broken)
				}
			}
		}
		if found == "" {
			t.Errorf("%s breaks no rule", c.name)
		}
		t.Logf("%s: seed %d: %s", c.name, foundSeed, found)
	}
}

// Schedules that broke a rule in an earlier search must no longer break any rule.
func TestSchedule_RecordedFindingsBreakNoRule(t *testing.T) {
	files, _ := filepath.Glob("testdata/found/*.txt")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseSchedule(string(text))
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if p := s.Play(); p.Broken != "" {
			t.Errorf("%s: %s\n%s\n%s", file, p.Broken, p.Script, p.Timeline())
		}
	}
}

// The schedules of a search with a fixed seed must break no rule and reach at least 100 pairs of decisions.
func TestSearch_FixedSchedulesBreakNoRule(t *testing.T) {
	n := 2000
	if testing.Short() {
		n = 200
	}
	s := Search(n, 1, runtime.GOMAXPROCS(0), nil)
	for _, p := range s.Broken {
		t.Errorf("%s", p.Text())
	}
	if len(s.Pairs) < 100 {
		t.Errorf("only %d pairs of decisions", len(s.Pairs))
	}
	t.Logf("%d schedules, %d situations, %d pairs of decisions, %d reported losses", s.Played, s.Coverage,
		len(s.Pairs), s.ReportedLosses)
}

// An invalid schedule must be refused, and the text of a valid one must parse to the same script.
func TestParseSchedule_InvalidTextIsRefused(t *testing.T) {
	for _, text := range []string{"", "seed x", "seed 1\n100 crash edge-99 for 5", "seed 1\n100 burn edge-1",
		"seed 1\n100 cut edge-1 for 100",
		"seed 1\n100 crash edge-1 for", "seed 1\n100 crash edge-1 edge-2 for 3", "seed 1\n-x crash edge-1", "seed 1\n100 swarm zone-1 nowhere"} {
		if s, err := ParseSchedule(text); err == nil {
			t.Errorf("%q parses as %v", text, s)
		}
	}
	s := drawSchedule(3)
	if parsed, err := ParseSchedule(ScheduleResult{Schedule: s, fleet: New(1, Small())}.Text()); err != nil ||
		parsed.Script.String() != s.Script.String() {
		t.Errorf("%v: %s\n%s", err, s.Script, parsed.Script)
	}
}
