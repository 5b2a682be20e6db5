package migration_test

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/standin/golden"
	"silvercove/internal/tick"
)

const ms = tick.Second / 1000

// simulation is a fleet in simulated time, with the real planner and table, and simplified nodes and log.
type simulation struct {
	t           interface{ Fatalf(string, ...any) }
	now         tick.Tick
	queue       events
	eventCount  int
	random      *rand.Rand
	settings    map[string]any
	table       *placement.Table
	planner     *Planner
	term        int // term of the current leader; the leader learns only of refusals of its own proposals
	ticks       int
	nodes       map[string]*simulatedNode
	names       []string
	partitioned func(from, to string) bool // reports whether two nodes can't reach each other; nil if all nodes can
	lossShare   float64                    // share of the operations with a simulated loss: half of these operations are never applied; the other half are applied, but the planner is not told if the leader has changed since the proposal
	noMajority  bool                       // the controllers have no majority
	moves       map[string]int             // number of cut-overs by instance
	maxMoves    int                        // highest number of moves in progress at once
	lines       []string
	cells       map[string]string
	proposals   int
	trace       *plannerTrace // nil if decisions are not traced
}

// simulatedNode simulates an edge node.
type simulatedNode struct {
	NodeStatus
	simulation   *simulation
	down         bool       // the node's process has failed
	disconnected bool       // the node can't reach the controllers
	ownLeaseEnd  tick.Tick  // end of the node's lease by its own clock
	leaseCounted bool       // the controllers count the node's lease as active
	reported     NodeStatus // the status that the node last reported to the controllers
	serving      map[string]placement.Assignment
	generation   map[string]int
}

type event struct {
	at     tick.Tick
	order  int
	action func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

const lease = tick.Second

// newSimulation returns a simulated fleet. zones lists nodes by zone, as in "north a b; south c".
func newSimulation(t interface{ Fatalf(string, ...any) }, seed uint64, zones string, settings map[string]any) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), settings: map[string]any{"fleet.lease": 1.0}, table: placement.New(),
		nodes: map[string]*simulatedNode{}, moves: map[string]int{}, cells: map[string]string{}}
	maps.Copy(sim.settings, settings)
	for _, z := range strings.Split(zones, ";") {
		words := strings.Fields(z)
		for _, name := range words[1:] {
			sim.nodes[name] = &simulatedNode{simulation: sim, serving: map[string]placement.Assignment{}, generation: map[string]int{},
				NodeStatus: NodeStatus{Name: name, Zone: words[0], Incarnation: 1, Accepting: true, Risk: 0.1, FreeSlots: 20}}
			sim.names = append(sim.names, name)
		}
	}
	sim.electLeader()
	for i, name := range sim.names {
		sim.after(tick.Tick(i)*7*ms, func() { sim.nodes[name].renew() })
	}
	return sim
}

// electLeader replaces the planner with that of a new leader, which learns the table's assignments.
func (sim *simulation) electLeader() {
	sim.term++
	sim.planner = NewPlanner(simulationHost{sim, sim.term}, sim.now, 7, ConfigFrom(sim.settings))
	sim.planner.OnElected(sim.now)
	for _, a := range sim.table.All() {
		sim.planner.OnAssignment(sim.now, a)
	}
	for _, name := range sim.names { // a new leader counts every lease as renewed now
		n := sim.nodes[name]
		n.leaseCounted = true
		n.LeaseEnd = sim.now + lease*104/100
		sim.watchLease(n, n.LeaseEnd)
	}
	sim.tick()
}

// watchLease reports to the planner that a lease has ended, unless the lease is renewed before its end.
func (sim *simulation) watchLease(n *simulatedNode, until tick.Tick) {
	sim.after(until-sim.now, func() {
		if n.LeaseEnd == until && n.leaseCounted {
			n.leaseCounted = false
			sim.planner.OnLeaseExpired(sim.now, n.Name)
			sim.tick()
		}
	})
}

func (sim *simulation) after(d tick.Tick, do func()) {
	sim.eventCount++
	heap.Push(&sim.queue, event{sim.now + d, sim.eventCount, do})
}

// tick calls OnTick now and again at each time that OnTick returns, until the next call of tick.
func (sim *simulation) tick() {
	sim.ticks++
	tickNumber := sim.ticks
	next := sim.planner.OnTick(sim.now)
	sim.trace.nextTick(sim.now, next)
	if next <= sim.now {
		sim.t.Fatalf("OnTick at %d returned %d", sim.now, next)
	}
	sim.after(next-sim.now, func() {
		if sim.ticks == tickNumber {
			sim.tick()
		}
	})
}

func (sim *simulation) run(span tick.Tick) {
	end := sim.now + span
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.action()
		sim.endLine()
	}
	sim.now = end
}

// simulationHost is the Host of the planner that leads in one term.
type simulationHost struct {
	simulation *simulation
	term       int
}

func (h simulationHost) Explain(string) {}
func (h simulationHost) Propose(op placement.Operation) {
	sim := h.simulation
	sim.trace.proposed(sim.now, op)
	sim.proposals++
	if sim.needsEligibleTarget(op) {
		n := sim.nodes[op.Target].reported
		if !n.Accepting || n.ListedDraining || n.RollingBack || n.ShuttingDown || n.Evacuating || n.FreeSlots <= 0 {
			sim.t.Fatalf("%d ms: proposed for a node that is not eligible: %+v: %+v", sim.now/ms, op, n)
		}
	}
	sim.propose(op, h.term)
}

// needsEligibleTarget reports whether an operation requires an eligible target. A copy does, and so does the restart of a lost
// instance on a node that is not one of its replicas.
func (sim *simulation) needsEligibleTarget(op placement.Operation) bool {
	a, _ := sim.table.Get(op.Instance)
	switch op.Kind {
	case placement.OpStartCopy:
		return true
	case placement.OpRestart:
		return a.Epoch == op.Epoch && a.State == placement.Lost && !slices.Contains(a.Replicas, op.Target)
	}
	return false
}

// propose sends an operation through the simulated log. The operation or its result may be lost.
func (sim *simulation) propose(op placement.Operation, term int) {
	roll := sim.random.Float64()
	sim.after(2*ms+tick.Tick(sim.random.IntN(20)), func() {
		refuse := func(err error) {
			if term == sim.term {
				sim.planner.OnProposalRefused(sim.now, op, err)
				sim.tick()
			}
		}
		if sim.noMajority {
			refuse(errors.New("no majority"))
			return
		}
		if roll < sim.lossShare/2 {
			return
		}
		if (op.Kind == placement.OpFailOver || op.Kind == placement.OpQuarantine) && term != sim.term {
			return // the controllers' log refuses an operation that relies on a lease expiry observed in another term
		}
		before, _ := sim.table.Get(op.Instance)
		a, err := sim.table.Apply(op)
		if err != nil {
			refuse(err)
			return
		}
		if failed := sim.nodes[op.Node]; (op.Kind == placement.OpFailOver || op.Kind == placement.OpQuarantine) && sim.now < failed.ownLeaseEnd && !failed.down {
			sim.t.Fatalf("%d ms: %+v was agreed, but %s may act until %d ms", sim.now/ms, op, op.Node, failed.ownLeaseEnd/ms)
		}
		sim.recordOperation(op, before, a)
		sim.checkBounds()
		if roll < sim.lossShare && term != sim.term {
			return
		}
		sim.planner.OnAssignment(sim.now, a)
		sim.tick()
		for _, name := range slices.Compact([]string{before.Primary, a.Primary}) {
			if n := sim.nodes[name]; n != nil {
				sim.after(ms, func() { n.onAssignment(a) })
			}
		}
	})
}

// checkBounds checks that the copies in progress stay within the bounds on moves.
func (sim *simulation) checkBounds() {
	node, link, all := map[string]int{}, map[string]int{}, 0
	for _, a := range sim.table.All() {
		if a.CopyTarget == "" {
			continue
		}
		zoneA, zoneB := sim.nodes[a.Primary].Zone, sim.nodes[a.CopyTarget].Zone
		all++
		node[a.Primary]++
		node[a.CopyTarget]++
		if zoneA != zoneB {
			link[min(zoneA, zoneB)+max(zoneA, zoneB)]++
		}
	}
	sim.maxMoves = max(sim.maxMoves, all)
	checkBound := func(m map[string]int, name string, defaultBound float64) {
		bound := defaultBound
		if v, ok := sim.settings[name].(float64); ok {
			bound = v
		}
		for key, n := range m {
			if float64(n) > bound {
				sim.t.Fatalf("%d ms: more moves than %s allows: %d at %s", sim.now/ms, name, n, key)
			}
		}
	}
	if sim.term == 1 { // in later terms, operations of an earlier leader may still arrive and exceed the bounds
		checkBound(node, "fleet.moves.unit", 8)
		checkBound(link, "fleet.moves.link", 4)
		checkBound(map[string]int{"": all}, "fleet.moves.all", 64)
	}
}

// renew renews the node's lease now, and repeats after a third of a lease.
func (n *simulatedNode) renew() {
	sim := n.simulation
	sim.after(lease/3, n.renew)
	if n.down || n.disconnected || sim.noMajority {
		return
	}
	if sim.planner.FailOverPending(n.Name) {
		return
	}
	n.ownLeaseEnd, n.leaseCounted = sim.now+lease, true
	n.LeaseEnd = sim.now + lease*104/100
	sim.watchLease(n, n.LeaseEnd)
	n.reported = n.NodeStatus
	sim.planner.OnNodeStatus(sim.now, n.NodeStatus)
	sim.tick()
	for _, a := range sim.table.ByPrimary(n.Name) {
		n.onAssignment(a)
	}
}

// onAssignment makes the node act on an assignment. If the node is the primary, it serves the instance, and copies or cuts over
// as the assignment asks.
func (n *simulatedNode) onAssignment(a placement.Assignment) {
	sim := n.simulation
	if current, _ := sim.table.Get(a.Instance); n.down || current.Revision != a.Revision || current.Epoch != a.Epoch {
		return
	}
	if n.disconnected && a.Primary != n.Name {
		return
	}
	if a.Primary != n.Name || a.State != placement.Running {
		delete(n.serving, a.Instance)
		return
	}
	n.serving[a.Instance] = a
	n.generation[a.Instance]++
	currentGeneration := n.generation[a.Instance]
	propose := func(d tick.Tick, op placement.Operation) {
		sim.after(d, func() {
			if n.generation[a.Instance] != currentGeneration || n.down || sim.now > n.ownLeaseEnd {
				return
			}
			target := sim.nodes[op.Target]
			if target != nil && (target.down || sim.partitioned != nil && sim.partitioned(n.Name, op.Target)) && op.Kind != placement.OpDropReplica {
				return
			}
			op.Version, op.Instance, op.Epoch, op.Node, op.Index = 1, a.Instance, a.Epoch, n.Name, a.Index+1
			sim.propose(op, -1)
			sim.after(300*ms, func() { // repeat until the assignment changes
				if n.generation[a.Instance] == currentGeneration {
					if current, _ := sim.table.Get(a.Instance); current.Revision == a.Revision {
						n.onAssignment(a)
					}
				}
			})
		})
	}
	switch {
	case a.CopyTarget != "" && !slices.Contains(a.Replicas, a.CopyTarget):
		propose(40*ms, placement.Operation{Kind: placement.OpReplicaReady, Target: a.CopyTarget})
	case a.CutOver:
		propose(5*ms, placement.Operation{Kind: placement.OpCutOver, Target: a.CopyTarget})
	default:
		for _, replica := range a.Replicas {
			if replicaNode := sim.nodes[replica]; replicaNode.down || sim.partitioned != nil && sim.partitioned(n.Name, replica) {
				propose(300*ms, placement.Operation{Kind: placement.OpDropReplica, Target: replica})
				break
			}
		}
	}
}

func (sim *simulation) moveDevice(name, zone string) {
	sim.planner.OnDeviceMoved(sim.now, name, zone)
	sim.tick()
}

func (sim *simulation) create(name, primary, zone string, weight float64) {
	sim.propose(placement.Operation{Version: 1, Kind: placement.OpCreate, Instance: name, Target: primary, Zone: zone, Weight: weight}, 0)
}

// recordOperation adds an agreed operation to the timeline.
func (sim *simulation) recordOperation(op placement.Operation, before, a placement.Assignment) {
	short := fmt.Sprintf("%s@%d", a.Instance, a.Epoch)
	if a.Primary != before.Primary || a.State != before.State {
		if before.Primary != "" {
			sim.addCell(before.Primary, fmt.Sprintf("not %s@%d", a.Instance, before.Epoch))
		}
		if a.Primary != "" {
			sim.addCell(a.Primary, "owns "+short)
		}
		if op.Kind == placement.OpCutOver {
			sim.moves[a.Instance]++
		}
	}
	text := fmt.Sprintf("%s %s", op.Kind, a.Instance)
	switch op.Kind {
	case placement.OpStartCopy, placement.OpReplicaReady, placement.OpDropReplica, placement.OpCancelCopy, placement.OpRestart:
		text += " " + op.Target
	case placement.OpMoveDevice:
		text += " " + op.Zone
	}
	if op.Reason != "" && (op.Kind == placement.OpStartCopy || op.Kind == placement.OpCancelCopy || op.Kind == placement.OpFailOver || op.Kind == placement.OpQuarantine || op.Kind == placement.OpRestart) {
		text += ": " + op.Reason
	}
	sim.addCell("controllers", text)
}

func (sim *simulation) addCell(node, text string) {
	if sim.cells[node] != "" {
		text = sim.cells[node] + ", " + text
	}
	sim.cells[node] = text
}

// endLine ends the timeline's line for the current time.
func (sim *simulation) endLine() {
	if len(sim.cells) == 0 {
		return
	}
	line := fmt.Sprintf("%-9.1f", float64(sim.now)/float64(ms))
	for _, name := range sim.names {
		cell := sim.cells[name]
		if cell == "" {
			cell = "-"
		}
		line += fmt.Sprintf("%-18s", cell)
	}
	sim.lines = append(sim.lines, strings.TrimRight(line+sim.cells["controllers"], " "))
	clear(sim.cells)
}

// compareTimeline compares the timeline with the golden file.
func (sim *simulation) compareTimeline(t *testing.T, name string) {
	t.Helper()
	head := fmt.Sprintf("%-9s", "ms")
	for _, n := range sim.names {
		head += fmt.Sprintf("%-18s", n+" ("+sim.nodes[n].Zone+")")
	}
	got := head + "agreed\n" + strings.Join(sim.lines, "\n") + "\n"
	golden.File(t, name+".txt", got)
}

func (sim *simulation) assignment(name string) placement.Assignment {
	a, _ := sim.table.Get(name)
	return a
}
