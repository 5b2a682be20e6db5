package replica_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// goldenWorld simulates a few nodes with their managers and the real placement table, on links, disks and processes
// that fail. All random decisions depend on one seed. There is no planner: the operations on the table are random, so
// that a manager reaches more states than with the operations of a real planner.
type goldenWorld struct {
	rng             *rand.Rand
	now             tick.Tick
	queue           goldenQueue
	eventCount      int
	table           *placement.Table
	nodes           []*goldenNode
	instances       []string
	lossRate        float64 // fraction of the messages that are lost
	cutLinks        map[[2]int]bool
	requestInterval tick.Tick // mean time between two requests
	maxStateBytes   float64   // setting fleet.state of all nodes, in bytes
	generation      int       // number of times that the table was rebuilt; answers of the table from before a rebuild are ignored

	hash            *xxhash.Digest
	calls           int
	checkpoints     []uint64
	checkpointTimes []tick.Tick // simulated time of each checkpoint
	callsByKind     [callStatus + 1]int
}

type goldenEvent struct {
	at    tick.Tick
	order int
	do    func()
}

type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }

func (q goldenQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}

func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *goldenQueue) Push(x any) { *q = append(*q, x.(goldenEvent)) }

func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *goldenWorld) after(span tick.Tick, do func()) {
	w.eventCount++
	heap.Push(&w.queue, goldenEvent{w.now + span, w.eventCount, do})
}

// between returns a random duration from least to most, both included.
func (w *goldenWorld) between(least, most tick.Tick) tick.Tick {
	return least + tick.Tick(w.rng.Int64N(int64(most-least)+1))
}

func (w *goldenWorld) chance(probability float64) bool { return w.rng.Float64() < probability }

func newGoldenWorld(seed uint64) *goldenWorld {
	w := &goldenWorld{rng: rand.New(rand.NewPCG(seed, 0x601d)), now: 1, table: placement.New(), hash: xxhash.New(),
		cutLinks: map[[2]int]bool{}, requestInterval: 25 * milli, maxStateBytes: 60000}
	if seed%6 == 0 { // more than LogCapacity writes, so that the first entries are no longer kept
		w.requestInterval, w.maxStateBytes = 3*milli, 300000
	}
	for i := range 3 + int(seed%3) {
		n := &goldenNode{w: w, id: i, name: fmt.Sprintf("edge-%d", i+1), incarnation: 1, disk: map[string]*replica.Log{}, maxWriteDelay: milli}
		w.nodes = append(w.nodes, n)
		w.after(w.between(1, 100*milli), n.start)
	}
	w.after(50*milli, w.injectFault)
	w.after(200*milli, w.changePlacement)
	w.after(300*milli, w.sendRequest)
	w.after(500*milli, w.recordStatus)
	return w
}

func (w *goldenWorld) run(until tick.Tick) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(goldenEvent)
		w.now = e.at
		e.do()
	}
	w.now = until
	w.checkpoint()
}

// recordStatus adds the results of the status methods of all managers to the trace.
func (w *goldenWorld) recordStatus() {
	w.after(400*milli, w.recordStatus)
	for _, n := range w.nodes {
		if n.manager == nil {
			continue
		}
		w.call(n, callStatus)
		for _, h := range n.manager.Copies(w.now) {
			w.words(h.Instance)
			w.numbers(h.Epoch, h.Index, h.LastEpoch, h.Checksum, uint64(h.Size))
			w.flags(h.IsPrimary, h.Serving, h.IsReplica, h.Incomplete, n.manager.Serves(w.now, h.Instance))
		}
		for _, d := range n.manager.UnverifiedCopies(9) {
			w.wire(d)
		}
		w.words(n.manager.KnownInstances()...)
		w.flags(n.manager.HoldsLease(w.now), n.manager.LostAllCopies(), n.manager.AllVerified())
	}
}

// sendRequest sends a node, most often the primary, a request that may repeat an earlier one.
func (w *goldenWorld) sendRequest() {
	w.after(w.between(1, 2*w.requestInterval), w.sendRequest)
	if len(w.instances) == 0 {
		return
	}
	name := w.instances[w.rng.IntN(len(w.instances))]
	if w.requestInterval < 10*milli {
		name = w.instances[w.rng.IntN(len(w.instances))/3]
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if p, ok := w.table.Get(name); ok && w.chance(0.9) {
		for _, v := range w.nodes {
			if v.name == p.Primary {
				n = v
			}
		}
	}
	c := &replica.Request{ID: fmt.Sprint("c", w.eventCount), Instance: name, Write: w.chance(0.75),
		Deadline: w.now + w.between(0, 900*milli)}
	switch w.rng.IntN(60) {
	case 0:
		c.ID = strings.Repeat("i", 300)
	case 1:
		c.Body = make([]byte, int(w.maxStateBytes)) // the body alone is as large as fleet.state allows for all entries, so the entry is too large
	case 2:
		c.Instance = "nobody"
	case 3, 4, 5, 6, 7, 8:
		c.ID = fmt.Sprint("c", max(1, w.eventCount-w.rng.IntN(300)))
	default:
		c.Body = make([]byte, w.rng.IntN(40))
	}
	n.run(n.incarnation, func() {
		n.pending++
		n.manager.OnRequest(w.now, c)
	})
}

// changePlacement applies a random operation to the table, as the controllers might.
func (w *goldenWorld) changePlacement() {
	w.after(w.between(20*milli, 250*milli), w.changePlacement)
	if len(w.instances) < 5 && w.chance(0.2) || len(w.instances) == 0 {
		name := fmt.Sprintf("cam-%d", len(w.instances)+1)
		w.instances = append(w.instances, name)
		w.apply(placement.Operation{Kind: placement.OpCreate, Instance: name, Target: w.randomNode().name, Zone: "north", Weight: 1})
		return
	}
	p, ok := w.table.Get(w.instances[w.rng.IntN(len(w.instances))])
	if !ok {
		if w.chance(0.1) {
			w.apply(placement.Operation{Kind: placement.OpCreate, Instance: w.instances[w.rng.IntN(len(w.instances))], Target: w.randomNode().name, Zone: "north"})
		}
		return
	}
	e := placement.Operation{Instance: p.Instance, Epoch: p.Epoch, Target: w.randomNode().name}
	leaseOver := p.Primary == "" || w.leaseEnd(p.Primary)+goldenLease/10 < w.now
	switch draw := w.rng.IntN(40); {
	case p.State != placement.Running:
		w.resume(&e, p)
	case leaseOver && draw < 30:
		e.Kind, e.Node, e.Target = placement.OpFailOver, p.Primary, w.randomName(p.Replicas, "")
	case leaseOver && draw == 30:
		e.Kind, e.Node = placement.OpQuarantine, p.Primary
	case draw < 28:
		w.changeCopies(&e, p, draw)
	case draw == 28:
		e.Kind, e.Zone = placement.OpMoveDevice, "south"
	case draw == 29:
		e.Kind = placement.OpResetFailures
	case draw == 31 && w.chance(0.3):
		e.Kind, e.Node = placement.OpDelete, p.Primary
	case draw == 32 && w.chance(0.05):
		w.rebuild()
	}
	if e.Kind != "" {
		w.apply(e)
	}
}

// randomName returns a random element of names, or fallback if names is empty.
func (w *goldenWorld) randomName(names []string, fallback string) string {
	if len(names) == 0 {
		return fallback
	}
	return names[w.rng.IntN(len(names))]
}

// resume turns e into an operation that makes a lost or quarantined instance run again.
func (w *goldenWorld) resume(e *placement.Operation, p placement.Assignment) {
	if p.State == placement.Quarantined {
		e.Kind, e.Target = placement.OpRelease, w.randomName(p.Replicas, e.Target)
		return
	}
	e.Kind, e.Index = placement.OpRestart, p.Index
	if len(p.Replicas) > 0 {
		e.Target = p.Replicas[0]
	}
}

// changeCopies turns e into an operation that starts, cancels or drops a copy, or starts to move the instance. draw is
// a random number below 28 that selects the operation.
func (w *goldenWorld) changeCopies(e *placement.Operation, p placement.Assignment, draw int) {
	switch {
	case p.CopyTarget != "" && draw < 3:
		e.Kind, e.Target = placement.OpCancelCopy, p.CopyTarget
	case draw < 14:
		e.Kind = placement.OpStartCopy
		if len(p.StaleCopies) > 0 && w.chance(0.7) { // the new copy starts from a stale copy, which may have entries that were never acknowledged
			e.Target = p.StaleCopies[w.rng.IntN(len(p.StaleCopies))].Node
		}
	case draw < 24 && len(p.Replicas) > 0:
		e.Kind, e.CutOver, e.Target = placement.OpStartCopy, true, w.randomName(p.Replicas, "")
	case draw < 26:
		e.Kind, e.CutOver = placement.OpStartCopy, true
	case draw < 28 && len(p.Replicas) > 1:
		e.Kind, e.Target = placement.OpDropReplica, w.randomName(p.Replicas, "")
	}
}

func (w *goldenWorld) apply(e placement.Operation) {
	e.Version = placement.FormatVersion
	_, _ = w.table.Apply(e) // the table refuses many of these operations
}

// rebuild replaces the table by one with higher epochs, as when the controllers have lost their disks.
func (w *goldenWorld) rebuild() {
	assignments := w.table.All()
	for i := range assignments {
		assignments[i].Epoch += 1000
		assignments[i].Revision = 1
	}
	table, err := placement.FromAssignments(assignments)
	if err != nil {
		panic(err)
	}
	w.table = table
	w.generation++
	for _, n := range w.nodes {
		n.version = table.Version()
		n.leaseEnd = 0
		n.run(n.incarnation, func() { n.manager.OnPlacementRebuilt(w.now, assignments, table.Version()) })
	}
}

func (w *goldenWorld) randomNode() *goldenNode { return w.nodes[w.rng.IntN(len(w.nodes))] }

// leaseEnd returns the end of a node's last lease, or 0 if there is none.
func (w *goldenWorld) leaseEnd(name string) tick.Tick {
	for _, n := range w.nodes {
		if n.name == name {
			return n.leaseEnd
		}
	}
	return 0
}

// injectFault injects a random fault into a node, a link or a disk.
func (w *goldenWorld) injectFault() {
	w.after(w.between(100*milli, 900*milli), w.injectFault)
	n, span := w.randomNode(), w.between(50*milli, 2500*milli)
	switch w.rng.IntN(16) {
	case 0, 1, 2:
		n.crash(span)
	case 3:
		n.crash(span)
		n.disk = map[string]*replica.Log{}
	case 4:
		n.crash(span)
		if n.backup != nil {
			n.disk, n.backup, n.restored = n.backup, nil, true
		}
	case 5, 6:
		n.backup = cloneDisk(n.disk)
	case 7, 8:
		key := [2]int{n.id, w.randomNode().id} // if both elements are n.id, the key stands for the link between n and the placement table
		w.cutLinks[key] = true
		w.after(span, func() { delete(w.cutLinks, key) })
	case 9:
		w.lossRate += 0.15
		w.after(span, func() { w.lossRate -= 0.15 })
	case 10:
		n.diskFull = true
		w.after(span/4, func() { n.diskFull = false })
	case 11:
		n.maxWriteDelay = 80 * milli
		w.after(span, func() { n.maxWriteDelay = milli })
	case 12:
		n.freeze(span)
	case 13:
		n.sendMalformed()
	}
}

func (w *goldenWorld) anyInstance() string {
	if len(w.instances) == 0 {
		return "cam-1"
	}
	return w.instances[w.rng.IntN(len(w.instances))]
}
