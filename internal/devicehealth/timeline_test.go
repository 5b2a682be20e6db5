package devicehealth_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silvercove/internal/devicehealth"
	"silvercove/internal/devicepower"
	standin "silvercove/internal/standin/battery"
	"silvercove/internal/standin/golden"
	"silvercove/internal/tick"
)

// simulatedNode is one simulated edge node: its machine, and the Monitor that is given the machine's readings.
type simulatedNode struct {
	machine     *standin.Machine
	monitor     *devicehealth.Monitor
	report      devicehealth.Report
	offeredLoad float64 // minimum offered load that step passes to SetLoad; step passes machine.Load if that is higher
}

func newSimulatedNode(tb testing.TB, seed uint64, script string, set map[string]any) *simulatedNode {
	tb.Helper()
	machine, err := standin.New(seed, script)
	if err != nil {
		tb.Fatal(err)
	}
	return &simulatedNode{machine: machine, monitor: devicehealth.NewMonitor(0, set)}
}

// step simulates one second: it passes the readings of the files that the machine shows to the Monitor and returns the
// new report.
func (node *simulatedNode) step(tb testing.TB) devicehealth.Report {
	tb.Helper()
	node.machine.Step(time.Second)
	now := tick.FromDuration(node.machine.Now)
	for _, r := range devicepower.FromFiles(node.machine.VisibleFiles()) {
		node.monitor.AddReading(now, r)
	}
	node.monitor.SetLoad(now, node.machine.Load, max(node.offeredLoad, node.machine.Load))
	node.report = node.monitor.Assess(now)
	return node.report
}

// timeline simulates a node for s seconds and calls each, if not nil, before every second. It returns one line for each
// change of the node's state, and the node.
func timeline(tb testing.TB, seed uint64, script string, s int, each func(node *simulatedNode, s int)) (string, *simulatedNode) {
	tb.Helper()
	node := newSimulatedNode(tb, seed, script, nil)
	node.monitor.SetInstances(0, 3, 3*64<<10)
	var b strings.Builder
	fmt.Fprintf(&b, "%6s  %-8s  %5s  %6s  %5s  %s\n", "s", "state", "share", "danger", "truth", "why")
	previous := devicehealth.State("")
	for i := 1; i <= s; i++ {
		if each != nil {
			each(node, i)
		}
		r := node.step(tb)
		if r.State != previous {
			why := "-"
			if len(r.Reasons) > 0 {
				why = r.Reasons[0]
			}
			fmt.Fprintf(&b, "%6d  %-8s  %5.1f  %6.2f  %2.0f%% %2.0f C  %s\n", i, r.State, r.AcceptFraction, r.Risk, 100*node.machine.Charge,
				node.machine.Temperature, why)
			previous = r.State
		}
		if node.machine.Dead() {
			fmt.Fprintf(&b, "%6d  dark\n", i)
			break
		}
	}
	return b.String(), node
}

// expectTimeline compares a timeline with the file of that name in testdata.
func expectTimeline(tb testing.TB, name, got string) {
	tb.Helper()
	golden.File(tb, name+".txt", got)
}

func TestAssess_Timelines(t *testing.T) {
	for _, c := range []struct {
		name, script string
		s            int
		each         func(node *simulatedNode, s int)
	}{
		{"drains", "0 charge 0.3\n0 load 0.5\n2400 mains on", 3600, nil},
		{"drains to the end", "0 charge 0.12\n0 load 0.5", 3000, nil},
		{"heat swings around a limit", "0 load 0.9\n0 air 30\n0 mains on\n600 swing 0.8 240 8", 4500, nil},
		{"sun on a full load", "0 load 1\n0 air 35\n0 mains on\n60 sun 1\n3000 load 0\n3000 sun 0", 3600, nil},
		{"readings frozen", "0 load 0.6\n0 charge 0.8\n300 freeze\n1800 thaw", 2400, nil},
		{"readings missing", "0 load 0.6\n0 charge 0.8\n300 miss thermal/thermal_zone0\n600 heal\n" +
			"900 write power_supply/BAT0/energy_now garbage\n1200 heal", 1800, nil},
		{"one reading jumps", "0 load 0.6\n0 charge 0.8\n300 write power_supply/BAT0/energy_now 3000000\n303 heal\n" +
			"600 write power_supply/BAT0/energy_now 3000000\n900 heal\n1200 write thermal/thermal_zone0/temp -274000\n" +
			"1260 heal", 1800, nil},
		{"a unit that lies", "0 load 0.6\n0 charge 0.25\n60 lie draw 2\n60 lie charge 0.25", 6000, nil},
		{"a unit that fails its work", "0 load 0.3\n0 mains on", 2400, func(node *simulatedNode, s int) {
			node.monitor.RecordOutcome(tick.FromDuration(node.machine.Now), s < 300 || s > 900)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _ := timeline(t, 7, c.script, c.s, c.each)
			expectTimeline(t, c.name, got)
		})
	}
}

// docs/device-health.md shows recorded timelines, which must equal the files in testdata.
func TestTimelines_MatchDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/device-health.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"drains", "drains to the end", "heat swings around a limit", "readings frozen", "one reading jumps",
		"a unit that lies", "a unit that lies, at the keeper", "all units of one zone tired within 2 s"} {
		recorded, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(page), "```\n"+string(recorded)+"```\n") {
			t.Errorf("docs/device-health.md lacks the timeline %q", name)
		}
	}
}
