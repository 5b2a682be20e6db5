package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"silvercove/internal/standin/golden"
	"silvercove/internal/tick"
)

// goldenSeeds is the number of seeded runs in each golden trace.
const goldenSeeds = 24

func mergeResult(err error) string {
	for _, known := range []struct {
		err  error
		name string
	}{{nil, "taken"}, {ErrUnknownMember, "unknown"}, {ErrOldIncarnation, "old copy"}, {ErrStale, "old"}, {ErrMalformed, "bad"}} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return "another error"
}

func logMember(trace *golden.Trace, m Member) {
	trace.Logf("member %s role %s zone %s run %d fresh %t state %s since %d heard %d trip %d", m.Name, m.Role, m.Zone, m.Incarnation,
		m.StartedEmpty, m.State, m.StateSince, m.LastHeard, m.RoundTrip)
	for i := range 4 {
		if data, ok := m.Payloads[fmt.Sprint("kind-", i)]; ok {
			trace.Logf("news %d %q", i, data)
		}
	}
}

// TestGolden_Tables records the decisions of one table for seeded random sequences of records, answers to probes,
// missed probes, and calls of MarkDown and MarkUp.
func TestGolden_Tables(t *testing.T) {
	golden.Seeds(t, "tables.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		draw := rand.New(rand.NewPCG(seed, 29))
		names := []string{"a", "b", "c", "d", "e", "f"}[:1+seed%6]
		table := newTestTable(names...)
		now := tick.Tick(0)
		for range 1500 {
			now += tick.Tick(draw.IntN(int(400 * ms)))
			tableStep(trace, draw, table, now, append(names, "me", "z"))
			if draw.IntN(200) == 0 {
				table.Leave()
			}
		}
		for _, m := range table.Members(now) {
			logMember(trace, m)
		}
		for _, raw := range table.Records() {
			trace.Logf("record %s", raw)
		}
	})
}

func tableStep(trace *golden.Trace, draw *rand.Rand, table *Table, now tick.Tick, names []string) {
	member := names[draw.IntN(len(names))]
	switch draw.IntN(12) {
	case 0, 1:
		raw := encodeRecord(member, uint64(draw.IntN(8)), uint64(1+draw.IntN(9)), fmt.Sprint(draw.IntN(3)))
		trace.Logf("record of %s %s", member, mergeResult(table.Merge(now, raw)))
	case 2, 3:
		raw := encodeRecord(member, 9, uint64(now), "x")
		trace.Logf("new record of %s %s", member, mergeResult(table.Merge(now, raw)))
	case 4, 5:
		table.RecordReply(now, member, tick.Tick(draw.IntN(int(300*ms))))
	case 6, 7:
		table.RecordTimeout(now, member)
	case 8:
		table.MarkDown(now, member, draw.IntN(10) == 0)
	case 9:
		table.MarkUp(now, member)
	case 10:
		kind := fmt.Sprint("kind-", draw.IntN(12))
		trace.Logf("tells %s: %t", kind, table.Publish(kind, make([]byte, draw.IntN(550))) == nil)
	case 11:
		table.Reassess(now)
		trace.Logf("beat %t, asks %q, outrun %t", table.Heartbeat(now), table.ProbeTargets(), table.Superseded())
	}
	for _, m := range table.Changes() {
		trace.Logf("at %d", now)
		logMember(trace, m)
	}
	if m, ok := table.Member(member); ok {
		logMember(trace, m)
	}
}

// TestGolden_Worlds records how several tables agree in simulated time while links are cut and processes stop, leave
// and restart.
func TestGolden_Worlds(t *testing.T) {
	golden.Seeds(t, "worlds.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		sim := newSimulation(seed, 2+int(seed%7))
		draw := rand.New(rand.NewPCG(seed, 31))
		for range 60 * probesPerSilence {
			switch i, j := draw.IntN(len(sim.nodes)), draw.IntN(len(sim.nodes)); draw.IntN(60) {
			case 0:
				sim.cut[[2]int{i, j}] = true
			case 1:
				clear(sim.cut)
			case 2:
				sim.nodes[i].down = true
			case 3, 4:
				if sim.nodes[i].down {
					sim.start(i)
				}
			case 5:
				_ = sim.nodes[i].Publish("kind-0", []byte(fmt.Sprint(draw.IntN(100))))
			}
			sim.step()
			for _, n := range sim.nodes {
				trace.Logf("at %d %s down %t", sim.now, n.name, n.down)
				for _, m := range n.Changes() {
					logMember(trace, m)
				}
			}
		}
		for _, n := range sim.nodes {
			for _, m := range n.Members(sim.now) {
				logMember(trace, m)
			}
			trace.Logf("record %s", n.OwnRecord())
		}
	})
}

// TestGolden_SyncCount records how many exchanges of whole states are made within a silence timeout.
func TestGolden_SyncCount(t *testing.T) {
	golden.Seeds(t, "syncs.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		draw := rand.New(rand.NewPCG(seed, 37))
		for range 200 {
			alive, gone, drawn := draw.IntN(300), draw.IntN(300), draw.Float64()
			trace.Logf("%d %d %.9g: %d", alive, gone, drawn, SyncCount(alive, gone, drawn))
		}
	})
}
