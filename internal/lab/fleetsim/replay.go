package fleetsim

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// replayFaults returns the faults that only the replayed scripts need.
func replayFaults() map[string]faultKind {
	return map[string]faultKind{
		"cross": {target: "camera", to: "zone", apply: func(f *Fleet, x Fault) func() {
			c, z := f.deviceByName[x.Target], f.zoneByName(x.To)
			c.zone = z
			f.cluster.reportDevice(c, z)
			return nil
		}},
		"sick": {target: "unit", apply: func(f *Fleet, x Fault) func() { // the node refuses the connections of requests
			u := f.nodeByName[x.Target]
			u.refusing++
			f.forcedDrains++
			return func() { u.refusing-- }
		}},
		"hot": {target: "zone", apply: func(f *Fleet, x Fault) func() { // the zone's nodes warm by 8 degrees per second, up to 89 degrees
			ended := false
			var warm func()
			warm = func() {
				for _, u := range f.zoneByName(x.Target).nodes {
					u.battery.Temperature = min(89, u.battery.Temperature+0.8)
				}
				if !ended {
					f.after(tick.Second/10, warm)
				}
			}
			f.forcedDrains++
			warm()
			return func() { ended = true }
		}},
	}
}

// ReplayedScript is a script that runs both in the model, which is this package, and in real processes. Test is the name of the
// test in internal/standin/testcluster that runs the processes.
type ReplayedScript struct {
	Name, Test      string
	Nodes           int // number of nodes, half of them in zone north and half in zone south
	Relays, Devices int
	RequestRate     float64 // requests per second; the model uses 20 if the value is lower
	Script          string
	Instance        string   // instance whose events are compared
	From, Until     string   // first and last event to compare, as patterns for Event.Is
	Order           []string // patterns of events that must occur in this order in both runs
}

// ReplayedScripts are the fault scenarios that the model and real processes both run. Names of events and nodes are those of
// the processes, except in Script.
var ReplayedScripts = []ReplayedScript{
	{Name: "owner killed between stop and switch", Test: "TestOwnerKilledBetweenStopAndSwitch", Nodes: 2, Instance: "cam-1",
		Script: "10000 cross cam-1 zone-2\n10012 cut edge-1 keeper-1 for 9000\n10012 cut edge-1 keeper-2 for 9000\n" +
			"10012 cut edge-1 keeper-3 for 9000\n10040 crash edge-1 for 9000",
		From: "desk crosses cam-1", Until: "edge-b acts cam-1@2",
		Order: []string{"desk crosses cam-1", "edge-a stops cam-1@1 handed", "edge-a kill", "* placed cam-1@2 edge-b", "edge-b acts cam-1@2"}},
	{Name: "link of owner and keepers cut one way", Test: "TestLinkOfOwnerAndKeepersCutOneWay-asks", Nodes: 2, Instance: "cam-1",
		Script: "10000 cut edge-1 keeper-1 for 2500\n10000 cut edge-1 keeper-2 for 2500\n10000 cut edge-1 keeper-3 for 2500",
		From:   "edge-a stops cam-1@1", Until: "edge-b acts cam-1@2",
		Order: []string{"edge-a stops cam-1@1 lease", "* placed cam-1@2 edge-b", "edge-b acts cam-1@2"}},
	{Name: "owner stopped past its lease and woken", Test: "TestOwnerStoppedPastItsLeaseAndWoken", Nodes: 2, Instance: "cam-1",
		Script: "10000 stall edge-1 for 2100",
		From:   "edge-a stop", Until: "edge-b acts cam-1@2",
		Order: []string{"edge-a stop", "* placed cam-1@2 edge-b", "edge-b acts cam-1@2", "edge-a wake", "edge-a stops cam-1@1"}},
	{Name: "two zones apart while cameras cross", Test: "TestTwoZonesApartWhileCamerasCross", Nodes: 4, Devices: 3, Instance: "cam-3",
		Script: "10000 cross cam-1 zone-2\n10050 split zone-2 for 10000\n10051 cross cam-2 zone-2\n15060 cross cam-2 zone-1\n15180 cross cam-3 zone-2",
		From:   "desk crosses cam-3", Until: "* acts cam-3@2",
		Order: []string{"desk crosses cam-3", "edge-a stops cam-3@1", "* placed cam-3@2", "* acts cam-3@2"}},
	{Name: "all units of a zone tired at once", Test: "TestAllUnitsOfAZoneTiredAtOnce", Nodes: 4, Devices: 4, Instance: "cam-1",
		Script: "10000 hot zone-1 for 20000",
		From:   "edge-a strength hands-on", Until: "* acts cam-1@2",
		Order: []string{"edge-a strength hands-on", "edge-a stops cam-1@1", "* placed cam-1@2", "* acts cam-1@2"}},
	{Name: "tenfold load, seven in ten relays killed", Test: "TestTenfoldLoadWithSevenInTenRelaysKilled", Nodes: 2, Relays: 10, Devices: 4,
		RequestRate: 300, Instance: "cam-1",
		Script: "10000 relaydown relay-1 for 500\n10000 relaydown relay-2 for 500\n10000 relaydown relay-3 for 500\n10000 relaydown relay-4 for 500\n" +
			"10000 relaydown relay-5 for 500\n10000 relaydown relay-6 for 500\n10000 relaydown relay-7 for 500",
		From: "relay-1 kill", Until: "relay-7 start", Order: []string{"relay-1 kill", "relay-7 start"}},
	{Name: "a sick unit under many relays", Test: "TestSickUnitUnderManyRelays", Nodes: 2, Relays: 12, Instance: "cam-1", RequestRate: 40,
		Script: "10000 sick edge-1 for 20000",
		From:   "edge-a stops cam-1@1", Until: "edge-b acts cam-1@2",
		Order: []string{"edge-a stops cam-1@1", "* placed cam-1@2 edge-b", "edge-b acts cam-1@2"}},
	{Name: "majority of keepers gone and back", Test: "TestKeepersMajorityGoneAndOneBackWithAnOldDisk", Nodes: 2, Instance: "cam-1",
		Script: "10000 keeper keeper-2 for 5135\n10000 keeper keeper-3 for 5135",
		From:   "edge-a stops cam-1@1", Until: "edge-a acts cam-1@1",
		Order: []string{"keeper-3 kill", "edge-a stops cam-1@1", "keeper-3 start", "* leads", "edge-a acts cam-1@1"}},
	{Name: "owner ends on purpose in a roll", Test: "TestRollOfAllProcessesUnderLoad", Nodes: 4, Instance: "cam-1",
		Script: "10000 drain edge-1 for 4000\n10500 crash edge-1 for 300",
		From:   "edge-a end", Until: "* acts cam-1@2",
		Order: []string{"edge-a end", "edge-a stops cam-1@1", "* placed cam-1@2", "* acts cam-1@2"}},
}

// IdleTolerance returns how much the time without a primary may differ between the model and the processes. A node renews its
// lease after each third of the lease, so the time from the last renewal to a fault varies by up to that much. 300 ms more
// allow for a busy machine.
func IdleTolerance(lease time.Duration) time.Duration { return lease/3 + 300*time.Millisecond }

// replaySeed is the seed of the model's runs, which makes their timelines reproducible.
const replaySeed = 1

// play runs the script in the model for 30 s.
func (w ReplayedScript) play() *Fleet {
	f := New(replaySeed, Size{Relays: max(2, w.Relays), Nodes: w.Nodes, Zones: 2, Instances: max(1, w.Devices), Controllers: 3, Lease: 1, Dwell: 0,
		RestartAfter: 1, Replicas: 1, RequestRate: max(20, w.RequestRate), ReportInterval: tick.Second, UplinkRate: 1e6, KeepTimeline: true, AllOnFirstNode: true, VerifyClaims: true})
	f.Play(mustScript(w.Script))
	f.Run(30 * tick.Second)
	return f
}

// processEvents returns the model's events with the names that the processes use for nodes, zones and events.
func (f *Fleet) processEvents() (translated []testcluster.Event) {
	processNames := map[string]string{"zone-1": "north", "zone-2": "south"}
	for i, u := range f.nodes[:f.Nodes] {
		index := i/2 + i%2*(f.Nodes/2)
		processNames[u.name] = "edge-" + string(rune('a'+index))
	}
	processName := func(name string) string {
		if mapped, ok := processNames[name]; ok {
			return mapped
		}
		return name
	}
	for _, c := range f.devices {
		translated = append(translated, testcluster.Event{At: timelineStart, Node: "keeper-1", Name: "placed", Instance: c.name, Epoch: 1, To: processName(f.nodes[0].name)})
	}
	for _, e := range f.timeline {
		e.Node, e.From, e.To = processName(e.Node), processName(e.From), processName(e.To)
		replace := func(node, name string) {
			at := e.At
			if e.Name == "heals" { // the model logs the end of a fault after the effects of this end; a time 1 ms earlier puts the end first
				at = at.Add(-time.Millisecond)
			}
			e = testcluster.Event{At: at, Node: processName(node), Name: name, Script: true}
		}
		switch {
		case e.Name == "FALLS":
			replace(e.Node, "kill")
		case e.Node == "script" && e.Name == "stall":
			replace(e.Instance, "stop")
		case e.Node == "script" && e.Name == "drain":
			replace(e.Instance, "end")
		case e.Node == "script" && e.Name == "relaydown":
			replace(e.Instance, "kill")
		case e.Node == "script" && e.Name == "cross":
			e = testcluster.Event{At: e.At, Node: testcluster.TestNode, Name: "crosses", Instance: e.Instance, To: e.To}
		case e.Node == "script" && e.Name == "heals" && e.Why == "stall":
			replace(e.Instance, "wake")
		case e.Node == "script" && e.Name == "heals" && (e.Why == "relaydown" || e.Why == "keeper"):
			replace(e.Instance, "start")
		case slices.Contains([]string{"switch", "fail", "restart", "lacks"}, e.Name) && e.To != "":
			e.Name = "placed"
		}
		translated = append(translated, e)
	}
	return translated
}

// summarize summarizes the events of the script's instance, and checks their order.
func (w ReplayedScript) summarize(all []testcluster.Event) (testcluster.RunSummary, error) {
	var relevant []testcluster.Event
	seen, placedEvent := false, testcluster.Event{}
	for _, e := range all {
		if e.Instance != "" && e.Instance != w.Instance {
			continue
		}
		if e.Name == "placed" && !seen {
			placedEvent = e
		}
		if seen = seen || e.Is(w.From); seen || e.Name == "acts" && e.Instance == w.Instance {
			relevant = append(relevant, e)
		}
	}
	if !seen {
		return testcluster.RunSummary{}, fmt.Errorf("no %q", w.From)
	}
	// Only two of the events before From are kept: the last assignment, and the last event at which a node started to serve.
	first := slices.IndexFunc(relevant, func(e testcluster.Event) bool { return e.Is(w.From) })
	head := []testcluster.Event{placedEvent}
	for _, e := range slices.Backward(relevant[:first]) {
		if e.Name == "acts" {
			e.Epoch = 0 // without its epoch, the event does not match Until, which may name this epoch
			head = append(head, e)
			break
		}
	}
	relevant = append(head, relevant[first:]...)
	c := testcluster.Summarize(relevant, w.Until)
	if c.Incomplete {
		return c, fmt.Errorf("no %q", w.Until)
	}
	// On a busy machine the leader may change without a fault of the script. The events of such a run cannot be compared.
	if until := slices.IndexFunc(relevant, func(e testcluster.Event) bool { return e.Is(w.Until) }); !slices.Contains(w.Order, "* leads") &&
		slices.ContainsFunc(relevant[:until], func(e testcluster.Event) bool { return e.Name == "leads" }) {
		return c, errors.New("the leading controller changed, which is not part of the script")
	}
	return c, testcluster.CheckOrder(all, w.Order...)
}

// Comparison is the result of one script in the model and in processes.
type Comparison struct {
	ReplayedScript
	Model, Processes testcluster.RunSummary
	NotRecorded      bool // whether the folder given to Compare has no recorded run of the processes
	Fault            error
}

// Compare runs each script in the model and compares it with the run of processes that is recorded in the folder dir. The tests
// of testcluster record these runs with the flag -courses.
func Compare(dir string) (comparisons []Comparison) {
	for _, w := range ReplayedScripts {
		c := Comparison{ReplayedScript: w}
		f := w.play()
		var faults [4]error
		c.Model, faults[0] = w.summarize(f.processEvents())
		if f.Broken() != "" {
			faults[1] = errors.New(f.Broken())
		}
		text, err := os.ReadFile(filepath.Join(dir, w.Test+".txt"))
		switch c.NotRecorded = errors.Is(err, os.ErrNotExist); {
		case c.NotRecorded:
		case err != nil:
			faults[2] = err
		default:
			var events []testcluster.Event
			if events, faults[2] = testcluster.ReadEvents(string(text)); faults[2] == nil {
				c.Processes, faults[2] = w.summarize(events)
			}
		}
		if difference := (c.Model.Idle - c.Processes.Idle).Abs(); !c.NotRecorded && (difference > IdleTolerance(time.Second) || c.Model.Moves != c.Processes.Moves) {
			faults[3] = fmt.Errorf("the model has %v without a primary and %d moves, the processes have %v and %d", c.Model.Idle, c.Model.Moves, c.Processes.Idle,
				c.Processes.Moves)
		}
		c.Fault = errors.Join(faults[:]...)
		comparisons = append(comparisons, c)
	}
	return comparisons
}

// CompareTable writes a Markdown table of the comparisons.
func CompareTable(w io.Writer, dir string) {
	_, _ = fmt.Fprintln(w, "| script | order of | moves: model, processes | longest without a primary, ms: model, processes | within tolerance |")
	_, _ = fmt.Fprintln(w, "| --- | --- | ---: | ---: | --- |")
	for _, c := range Compare(dir) {
		result := "yes"
		switch {
		case c.Fault != nil:
			result = c.Fault.Error()
		case c.NotRecorded:
			result = "no recorded run of processes"
		}
		_, _ = fmt.Fprintf(w, "| %s | %d events | %d, %d | %d, %d | %s |\n", c.Name, len(c.Order), c.Model.Moves, c.Processes.Moves,
			c.Model.Idle.Milliseconds(), c.Processes.Idle.Milliseconds(), result)
	}
}
