package migration_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

func contains(s, part string) bool { return strings.Contains(s, part) }
func join(lines []string) string   { return strings.Join(lines, "\n") }
func linesWith(lines []string, part string) []string {
	return slices.DeleteFunc(slices.Clone(lines), func(s string) bool { return !contains(s, part) })
}

// faultySimulation returns the simulation of a fleet that is going to have random faults for 20 s: failed nodes, partitions,
// evacuations, device moves, lost operations and changes of leader.
func faultySimulation(t interface{ Fatalf(string, ...any) }, seed uint64, nodes, instances int) *simulation {
	zones := make([]string, 1+int(seed%4))
	for i := range zones {
		zones[i] = fmt.Sprint("z", i)
	}
	for i := range nodes {
		zones[i%len(zones)] += fmt.Sprintf(" u%02d", i)
	}
	sim := newSimulation(t, seed, strings.Join(zones[:min(len(zones), nodes)], ";"), map[string]any{"fleet.copies": float64(seed % 3),
		"fleet.falls": 50.0})
	zones = strings.Fields(strings.Join(zones, " "))
	zones = slices.DeleteFunc(zones, func(s string) bool { return s[0] != 'z' })
	for i := range instances {
		sim.create(fmt.Sprintf("i%03d", i), sim.names[sim.random.IntN(nodes)], zones[sim.random.IntN(len(zones))], float64(1+sim.random.IntN(100)))
	}
	sim.run(2 * second)
	sim.lossShare = 0.2
	end := sim.now + 20*second
	partitions := map[string]bool{}
	sim.partitioned = func(from, to string) bool { return partitions[from+to] }
	var injectFault func()
	injectFault = func() {
		if sim.now >= end {
			return
		}
		sim.after(tick.Tick(1+sim.random.IntN(8000)), injectFault)
		node := sim.nodes[sim.names[sim.random.IntN(nodes)]]
		for range 1 + sim.random.IntN(3) {
			switch sim.random.IntN(12) {
			case 0:
				node.down = true
				clear(node.serving)
			case 1:
				node.down = false
			case 2:
				node.disconnected = !node.disconnected
			case 3:
				node.Evacuating, node.Accepting, node.Risk = true, false, sim.random.Float64()
			case 4:
				node.Evacuating, node.Accepting, node.Risk, node.FreeSlots = false, true, sim.random.Float64(), sim.random.IntN(30)-5
			case 5:
				node.ListedDraining = !node.ListedDraining
			case 6:
				node.RollingBack = !node.RollingBack
			case 7, 8:
				sim.moveDevice(fmt.Sprintf("i%03d", sim.random.IntN(instances)), zones[sim.random.IntN(len(zones))])
			case 9:
				partitions[sim.names[sim.random.IntN(nodes)]+sim.names[sim.random.IntN(nodes)]] = true
			case 10:
				sim.electLeader()
			case 11:
				sim.noMajority = sim.random.IntN(3) == 0
			}
		}
	}
	injectFault()
	sim.after(end-sim.now, func() {
		sim.lossShare, sim.noMajority, sim.partitioned = 0, false, nil
		for _, node := range sim.nodes {
			node.down, node.disconnected, node.ListedDraining, node.RollingBack, node.Evacuating, node.Accepting, node.FreeSlots = false, false, false, false, false, true, 50
			node.Risk = min(node.Risk, 0.5)
		}
		sim.electLeader() // replaces the planner, as the controllers have a majority again
	})
	return sim
}

// TestPlanner_EveryMigrationEndsDespiteLosses checks that each migration ends, that lost instances are restarted and that a
// fleet at rest stays at rest, whichever operations were lost.
func TestPlanner_EveryMigrationEndsDespiteLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<40).Draw(t, "seed")
		nodes, instances := rapid.IntRange(3, 20).Draw(t, "nodes"), rapid.IntRange(1, 60).Draw(t, "instances")
		sim := faultySimulation(t, seed, nodes, instances)
		sim.run(20 * second)
		inProgress := map[string]uint64{} // by instance: revision of a copy that the faults left unfinished
		for _, assignment := range sim.table.All() {
			if assignment.CopyTarget != "" {
				inProgress[assignment.Instance] = assignment.Revision
			}
		}
		sim.run(10*second + 2*lease)
		for _, assignment := range sim.table.All() {
			if revision, was := inProgress[assignment.Instance]; was && assignment.Revision == revision {
				t.Fatalf("a migration did not end: %+v", assignment)
			}
			if assignment.State == placement.Lost {
				t.Fatalf("an instance was lost for longer than restart_after: %+v", assignment)
			}
		}
		sim.run(60 * second)
		clear(sim.moves)
		proposals := sim.proposals
		sim.run(60 * second)
		for name, n := range sim.moves {
			if n > 2 {
				t.Fatalf("%s moved %d times in a fleet at rest\n%s", name, n, join(linesWith(sim.lines, name)))
			}
		}
		zones := map[string]bool{}
		for _, node := range sim.nodes {
			zones[node.Zone] = true
		}
		for _, assignment := range sim.table.All() {
			want := min(nodes-1, int(sim.settings["fleet.copies"].(float64)))
			if assignment.State != placement.Running || assignment.CopyTarget != "" || zones[assignment.Zone] && assignment.Zone != sim.nodes[assignment.Primary].Zone || len(assignment.Replicas) != want {
				t.Fatalf("an instance has not settled: %+v, primary in zone %s\n%s", assignment, sim.nodes[assignment.Primary].Zone, join(linesWith(sim.lines, assignment.Instance)))
			}
		}
		if n := sim.proposals - proposals; n > 3*instances {
			t.Fatalf("%d proposals in a fleet at rest", n)
		}
	})
}
