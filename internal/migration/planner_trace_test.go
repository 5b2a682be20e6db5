package migration_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/standin/golden"
	"silvercove/internal/tick"
)

var plannerTraces = flag.String("planner-traces", "", "folder that gets each planner trace in full, for comparing two programs")

// plannerSeeds is the number of seeds that each scenario of the golden traces runs with.
const plannerSeeds = 24

// plannerTrace records a planner's decisions: each proposed operation as JSON, and the time that each OnTick returned.
type plannerTrace struct {
	sum     hash.Hash
	out     io.Writer
	entries int
}

func newPlannerTrace(tb testing.TB, name string) *plannerTrace {
	tb.Helper()
	trace := &plannerTrace{sum: sha256.New()}
	trace.out = trace.sum
	if *plannerTraces == "" {
		return trace
	}
	file, err := os.Create(filepath.Join(*plannerTraces, name+".txt"))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = file.Close() })
	trace.out = io.MultiWriter(trace.sum, file)
	return trace
}

func (p *plannerTrace) line(format string, args ...any) {
	if p != nil {
		_, _ = fmt.Fprintf(p.out, format+"\n", args...)
	}
}

func (p *plannerTrace) proposed(now tick.Tick, op placement.Operation) {
	if p == nil {
		return
	}
	text, err := json.Marshal(op)
	if err != nil {
		panic(err)
	}
	p.entries++
	p.line("%d %s", now, text)
}

func (p *plannerTrace) nextTick(now, next tick.Tick) { p.line("%d alarm %d", now, next) }

// comparePlannerTraces runs a scenario with each seed and compares the traces' hashes with the scenario's golden file.
func comparePlannerTraces(t *testing.T, scenario string, run func(t *testing.T, seed uint64, trace *plannerTrace)) {
	t.Helper()
	var got strings.Builder
	for seed := range uint64(plannerSeeds) {
		trace := newPlannerTrace(t, fmt.Sprintf("%s_%d", scenario, seed))
		run(t, seed, trace)
		fmt.Fprintf(&got, "seed %d: %d entries, sha256 %s\n", seed, trace.entries, hex.EncodeToString(trace.sum.Sum(nil)))
		if trace.entries == 0 {
			t.Errorf("seed %d: nothing was proposed", seed)
		}
	}
	golden.File(t, "planner_"+scenario+".txt", got.String())
}

// tracedSimulation returns a simulation that traces the decisions of its planners.
func tracedSimulation(t *testing.T, seed uint64, zones string, settings map[string]any, trace *plannerTrace) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, zones, settings)
	sim.trace = trace
	return sim
}

// TestPlannerTrace_DevicesMove traces a fleet whose devices move between three zones, some of them repeatedly, while links
// between zones are full.
func TestPlannerTrace_DevicesMove(t *testing.T) {
	comparePlannerTraces(t, "devices", func(t *testing.T, seed uint64, trace *plannerTrace) {
		t.Helper()
		sim := tracedSimulation(t, seed, "north a b c; south d e; west f", map[string]any{"fleet.copies": float64(seed % 3),
			"fleet.away": float64(seed % 2), "fleet.moves.link": float64(1 + seed%4)}, trace)
		zones := []string{"north", "south", "west", "east"}
		for i := range 24 {
			sim.create(fmt.Sprint("cam-", i), sim.names[i%len(sim.names)], zones[i%3], float64(1+sim.random.IntN(100)))
		}
		sim.run(2 * second)
		for range 60 {
			sim.moveDevice(fmt.Sprint("cam-", sim.random.IntN(24)), zones[sim.random.IntN(3+int(seed%2))])
			sim.run(tick.Tick(sim.random.IntN(int(2 * second))))
		}
		sim.run(60 * second)
	})
}

// TestPlannerTrace_NodesFail traces a fleet whose nodes fail and come back, alone and with their whole zone. With even seeds,
// the failed node is the primary of the instance cam-0, if that instance runs.
func TestPlannerTrace_NodesFail(t *testing.T) {
	comparePlannerTraces(t, "falls", func(t *testing.T, seed uint64, trace *plannerTrace) {
		t.Helper()
		sim := tracedSimulation(t, seed, "north a b c d; south e f g", map[string]any{"fleet.copies": float64(seed % 3),
			"fleet.away": float64(seed / 3 % 2), "fleet.falls": float64(2 + seed%3)}, trace)
		for i := range 20 {
			sim.create(fmt.Sprint("cam-", i), sim.names[i%len(sim.names)], "north", float64(1+sim.random.IntN(100)))
		}
		sim.run(2 * second)
		for range 12 {
			down := []*simulatedNode{sim.nodes[sim.names[sim.random.IntN(len(sim.names))]]}
			switch assignment := sim.assignment("cam-0"); {
			case seed%2 == 0 && assignment.State == placement.Running:
				down[0] = sim.nodes[assignment.Primary]
			case sim.random.IntN(4) == 0:
				for _, name := range sim.names {
					if node := sim.nodes[name]; node.Zone == down[0].Zone {
						down = append(down, node)
					}
				}
			}
			for _, node := range down {
				node.down = true
			}
			sim.run(tick.Tick(sim.random.IntN(int(6 * second))))
			for _, node := range down {
				node.down = false
			}
			sim.run(tick.Tick(sim.random.IntN(int(4 * second))))
		}
		sim.run(60 * second)
	})
}

// TestPlannerTrace_NodesEvacuate traces a fleet whose nodes evacuate, drain, shut down, run a version that is rolled back, warm
// up, or have more instances than slots.
func TestPlannerTrace_NodesEvacuate(t *testing.T) {
	comparePlannerTraces(t, "tired", func(t *testing.T, seed uint64, trace *plannerTrace) {
		t.Helper()
		sim := tracedSimulation(t, seed, "north a b c; south d e f", map[string]any{"fleet.copies": float64(seed % 2),
			"fleet.moves.unit": float64(1 + seed%5), "fleet.moves.all": float64(4 + seed%9)}, trace)
		for i := range 24 {
			sim.create(fmt.Sprint("cam-", i), sim.names[i%len(sim.names)], []string{"north", "south"}[i%2], float64(1+sim.random.IntN(100)))
		}
		sim.run(2 * second)
		for range 40 {
			node := sim.nodes[sim.names[sim.random.IntN(len(sim.names))]]
			node.Evacuating, node.ListedDraining, node.RollingBack, node.ShuttingDown, node.Limited = false, false, false, false, false
			node.Accepting, node.FreeSlots, node.Risk = true, 20, sim.random.Float64()
			switch sim.random.IntN(9) {
			case 0:
				node.Evacuating, node.Accepting = true, false
			case 1:
				node.ListedDraining = true
			case 2:
				node.RollingBack = true
			case 3:
				node.ShuttingDown, node.Accepting = true, false
			case 4:
				node.Limited = true
			case 5:
				node.Accepting, node.FreeSlots = false, -1-sim.random.IntN(4)
			case 6:
				node.WarmingUp, node.FreeSlots = true, sim.random.IntN(3)
			case 7:
				node.Accepting = false
			}
			sim.run(tick.Tick(sim.random.IntN(int(3 * second))))
		}
		sim.run(20 * second)
	})
}

// TestPlannerTrace_ZonesArePartitioned traces a fleet that keeps replicas in other zones, which are partitioned for a while.
func TestPlannerTrace_ZonesArePartitioned(t *testing.T) {
	comparePlannerTraces(t, "zones", func(t *testing.T, seed uint64, trace *plannerTrace) {
		t.Helper()
		copies := 1 + seed%3
		sim := tracedSimulation(t, seed, "north a b; south c d; west e f", map[string]any{"fleet.copies": float64(copies),
			"fleet.away": float64(1 + seed%copies), "fleet.moves.link": float64(2 + seed%6)}, trace)
		for i := range 18 {
			sim.create(fmt.Sprint("cam-", i), sim.names[i%len(sim.names)], []string{"north", "south", "west"}[i%3], 5)
		}
		sim.run(3 * second)
		for range 5 {
			zone := sim.nodes[sim.names[sim.random.IntN(len(sim.names))]].Zone
			isolated := func(name string) bool { return sim.nodes[name].Zone == zone }
			sim.partitioned = func(from, to string) bool { return isolated(from) != isolated(to) }
			disconnected := sim.random.IntN(2) == 0
			for _, name := range sim.names {
				sim.nodes[name].disconnected = disconnected && isolated(name)
			}
			sim.run(tick.Tick(sim.random.IntN(int(30 * second))))
			for _, name := range sim.names {
				sim.nodes[name].disconnected = false
			}
			sim.partitioned = nil
			sim.run(tick.Tick(sim.random.IntN(int(30 * second))))
		}
		sim.run(60 * second)
	})
}

// TestPlannerTrace_AllFaults traces a fleet with all faults combined: failed nodes, partitions, evacuations, device moves, lost
// operations and changes of leader.
func TestPlannerTrace_AllFaults(t *testing.T) {
	comparePlannerTraces(t, "faults", func(t *testing.T, seed uint64, trace *plannerTrace) {
		t.Helper()
		sim := faultySimulation(t, seed, 3+int(seed%13), 5+int(seed*7%50))
		sim.trace = trace
		sim.run(80 * second)
	})
}

// eventScript reports random events to a planner, also in orders that do not occur in a fleet. It gives proposals their result
// at once, late, as a refusal, or never.
type eventScript struct {
	random     *rand.Rand
	trace      *plannerTrace
	table      *placement.Table
	planner    *Planner
	now        tick.Tick
	nodes      []NodeStatus
	created    int
	unanswered []placement.Operation // proposals that have had no result yet
}

func (s *eventScript) Explain(string) {}

func (s *eventScript) Propose(op placement.Operation) {
	s.trace.proposed(s.now, op)
	s.unanswered = append(s.unanswered, op)
}

func (s *eventScript) randomNode() *NodeStatus { return &s.nodes[s.random.IntN(len(s.nodes))] }

func (s *eventScript) randomAssignment() (placement.Assignment, bool) {
	all := s.table.All()
	if len(all) == 0 {
		return placement.Assignment{}, false
	}
	return all[s.random.IntN(len(all))], true
}

// apply applies an operation of a primary or an operator to the table and reports the assignment.
func (s *eventScript) apply(op placement.Operation) {
	op.Version = 1
	if assignment, err := s.table.Apply(op); err == nil {
		s.planner.OnAssignment(s.now, assignment)
	}
}

// answerProposal gives one of the unanswered proposals its result.
func (s *eventScript) answerProposal() {
	if len(s.unanswered) == 0 {
		return
	}
	i := s.random.IntN(len(s.unanswered))
	op := s.unanswered[i]
	s.unanswered = append(s.unanswered[:i:i], s.unanswered[i+1:]...)
	switch s.random.IntN(12) {
	case 0: // the proposal is lost
	case 1:
		s.planner.OnProposalRefused(s.now, op, placement.ErrWrongState)
	default:
		assignment, err := s.table.Apply(op)
		if err != nil {
			s.planner.OnProposalRefused(s.now, op, err)
			return
		}
		s.planner.OnAssignment(s.now, assignment)
	}
}

// changeStatus changes a node's status at random.
func (s *eventScript) changeStatus(n *NodeStatus) {
	switch s.random.IntN(14) {
	case 0:
		n.Accepting = !n.Accepting
	case 1:
		n.Limited = !n.Limited
	case 2:
		n.Evacuating = !n.Evacuating
	case 3:
		n.ShuttingDown = !n.ShuttingDown
	case 4:
		n.ListedDraining = !n.ListedDraining
	case 5:
		n.RollingBack = !n.RollingBack
	case 6:
		n.FreeSlots = s.random.IntN(14) - 3
	case 7, 8:
		n.Risk = s.random.Float64()
	case 9:
		n.Incarnation++
		n.LostCopies = s.random.IntN(2) == 0
	case 10:
		n.Zone = fmt.Sprint("z", s.random.IntN(4))
	case 11:
		*n = NodeStatus{Name: n.Name, Zone: n.Zone, Incarnation: n.Incarnation, Accepting: true, Risk: s.random.Float64(), FreeSlots: 12}
	}
	n.LeaseEnd = s.now + tick.Tick(s.random.IntN(int(2*lease)))
	if s.random.IntN(5) == 0 {
		n.LeaseEnd = 0
	}
}

// actAsPrimary applies an operation that an instance's primary may propose.
func (s *eventScript) actAsPrimary() {
	assignment, ok := s.randomAssignment()
	if !ok {
		return
	}
	op := placement.Operation{Instance: assignment.Instance, Epoch: assignment.Epoch, Node: assignment.Primary, Target: assignment.CopyTarget, Index: assignment.Index + 1}
	switch s.random.IntN(8) {
	case 0, 1, 2:
		op.Kind, op.Size = placement.OpReplicaReady, s.random.IntN(1<<21)
	case 3, 4:
		op.Kind = placement.OpCutOver
	case 5:
		op.Kind = placement.OpMarkServed
	case 6, 7:
		if len(assignment.Replicas) == 0 {
			return
		}
		op.Kind, op.Target = placement.OpDropReplica, assignment.Replicas[s.random.IntN(len(assignment.Replicas))]
		if s.random.IntN(3) == 0 {
			op.Kind, op.Node, op.Target = placement.OpReportIncomplete, op.Target, ""
		}
	}
	s.apply(op)
}

// step reports one random event.
func (s *eventScript) step() {
	switch s.random.IntN(16) {
	case 0, 1, 2, 3:
		s.answerProposal()
	case 4, 5:
		n := s.randomNode()
		s.changeStatus(n)
		s.planner.OnNodeStatus(s.now, *n)
	case 6:
		name := s.randomNode().Name
		s.trace.line("%s fails: %v", name, s.planner.FailOverPending(name))
		s.planner.OnLeaseExpired(s.now, name)
	case 7, 8, 9:
		s.actAsPrimary()
	case 10:
		if assignment, ok := s.randomAssignment(); ok {
			s.planner.OnDeviceMoved(s.now, assignment.Instance, fmt.Sprint("z", s.random.IntN(4)))
		}
	case 11, 12:
		if s.created >= 40 {
			return
		}
		s.created++
		name, zone := fmt.Sprint("cam-", s.created), fmt.Sprint("z", s.random.IntN(4))
		to := s.planner.ChooseNode(s.now, name, zone)
		s.trace.line("%s begins at %q", name, to)
		if to == "" {
			to = s.randomNode().Name
		}
		s.apply(placement.Operation{Kind: placement.OpCreate, Instance: name, Target: to, Zone: zone, Weight: float64(1 + s.random.IntN(9))})
	case 13:
		s.rareEvent()
	default:
		s.now += tick.Tick(s.random.IntN(int(lease)))
		s.trace.nextTick(s.now, s.planner.OnTick(s.now))
	}
}

// rareEvent reports one of the rarer events.
func (s *eventScript) rareEvent() {
	assignment, ok := s.randomAssignment()
	if !ok {
		return
	}
	switch s.random.IntN(8) {
	case 0:
		s.planner.OnDeposed(s.now)
	case 1, 2:
		s.planner.OnElected(s.now)
	case 3:
		s.apply(placement.Operation{Kind: placement.OpDelete, Instance: assignment.Instance, Epoch: assignment.Epoch, Node: assignment.Primary})
	case 4:
		s.apply(placement.Operation{Kind: placement.OpRelease, Instance: assignment.Instance, Epoch: assignment.Epoch, Target: s.randomNode().Name})
	case 5:
		s.planner.OnAssignment(s.now, assignment) // an assignment that is known already
	case 6:
		s.planner.OnProposalRefused(s.now, placement.Operation{Version: 1, Kind: placement.OpStartCopy, Instance: assignment.Instance, Epoch: assignment.Epoch, Target: assignment.CopyTarget}, errors.New("no majority"))
	case 7:
		s.now += 20 * lease
		s.trace.nextTick(s.now, s.planner.OnTick(s.now))
	}
}

// TestPlannerTrace_EventsInAnyOrder traces a planner to which events and results of proposals come in any order.
func TestPlannerTrace_EventsInAnyOrder(t *testing.T) {
	comparePlannerTraces(t, "facts", func(t *testing.T, seed uint64, trace *plannerTrace) {
		t.Helper()
		s := &eventScript{random: rand.New(rand.NewPCG(seed, 11)), trace: trace, table: placement.New(), now: 1}
		s.planner = NewPlanner(s, s.now, seed, ConfigFrom(map[string]any{
			"fleet.lease":         1.0,
			"fleet.copies":        float64(seed % 4),
			"fleet.away":          float64(seed / 4 % 3),
			"fleet.falls":         float64(2 + seed%3),
			"fleet.dwell":         float64(seed % 7),
			"fleet.restart_after": float64(2 + seed%9),
			"fleet.moves.unit":    float64(1 + seed%8),
			"fleet.moves.link":    float64(1 + seed/2%4),
			"fleet.moves.all":     float64(4 + seed%40),
		}))
		s.planner.OnElected(s.now)
		for i := range 6 + int(seed%20) {
			s.nodes = append(s.nodes, NodeStatus{Name: fmt.Sprintf("u%02d", i), Zone: fmt.Sprint("z", i%4), Incarnation: 1, Accepting: true,
				Risk: s.random.Float64() / 2, FreeSlots: 12})
			s.planner.OnNodeStatus(s.now, s.nodes[i])
		}
		for range 3000 {
			s.step()
		}
	})
}
