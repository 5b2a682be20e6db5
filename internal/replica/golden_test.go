package replica_test

import (
	"bytes"
	"cmp"
	"container/heap"
	"encoding/binary"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

var update = flag.Bool("update", false, "write testdata/golden_owner_calls.txt anew")

const (
	goldenFile = "testdata/golden_owner_calls.txt"

	// goldenCheckpoint is how many calls lie between two hashes of a trace.
	goldenCheckpoint = 1000

	// goldenSeeds is how many worlds are traced, by seed from 1.
	goldenSeeds = 40

	goldenMilli = tick.Second / 1000
	goldenLease = tick.Second
	goldenSpan  = 60 * tick.Second
)

// The calls on a host, as numbers in the trace.
const (
	goldenSend = iota + 1
	goldenStep
	goldenAnswer
	goldenKeep
	goldenCut
	goldenBegin
	goldenForget
	goldenTell
	goldenAlarm
	goldenLook
)

// recordedAs maps a kind of event to the word that it had when the golden traces were recorded. An entry is added where
// a word is renamed, so that the traces need not be written anew for it.
var recordedAs = map[string]string{}

// goldenWorld is a few units with their owners around the real table, on links, disks and processes that fail, all drawn
// from one seed. There is no planner: what is asked of the table is drawn, too, so that more of an owner is reached than
// a sensible planner would bring about.
type goldenWorld struct {
	rng       *rand.Rand
	now       tick.Tick
	queue     goldenQueue
	planned   int
	table     *placement.Table
	nodes     []*goldenNode
	instances []string
	loss      float64 // part of the messages that get lost
	cut       map[[2]int]bool
	writes    tick.Tick // mean time between two commands
	state     float64   // bytes that an instance may have
	line      int       // of the table: raised where it is rebuilt

	hash        *xxhash.Digest
	calls       int
	checkpoints []uint64
	times       []tick.Tick // of the checkpoints
	kinds       [goldenLook + 1]int
}

// goldenNode is one unit: its process, where one runs, and its disk.
type goldenNode struct {
	w       *goldenWorld
	id      int
	name    string
	o       *replica.Manager // nil: it is down
	run     uint64
	until   tick.Tick // end of its last lease
	version uint64    // of the table, as it has seen it
	frozen  bool
	waiting []func()
	full    bool // its disk
	judged  bool // this run knows whether its disk was put back
	back    bool // it was
	slow    tick.Tick
	disk    map[string]*replica.Log
	old     map[string]*replica.Log // the disk of some time ago
	ops     []func() func()
	pending int // commands without an answer
}

type goldenEvent struct {
	at tick.Tick
	n  int
	do func()
}

type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].n, q[j].n)) < 0
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *goldenWorld) after(span tick.Tick, do func()) {
	w.planned++
	heap.Push(&w.queue, goldenEvent{w.now + span, w.planned, do})
}

// between is a drawn span.
func (w *goldenWorld) between(least, most tick.Tick) tick.Tick {
	return least + tick.Tick(w.rng.Int64N(int64(most-least)+1))
}

func (w *goldenWorld) chance(part float64) bool { return w.rng.Float64() < part }

func newGoldenWorld(seed uint64) *goldenWorld {
	w := &goldenWorld{rng: rand.New(rand.NewPCG(seed, 0x601d)), now: 1, table: placement.New(), hash: xxhash.New(),
		cut: map[[2]int]bool{}, writes: 25 * goldenMilli, state: 60000}
	if seed%6 == 0 { // so many writes that the first effects are no longer remembered
		w.writes, w.state = 3*goldenMilli, 300000
	}
	for i := range 3 + int(seed%3) {
		n := &goldenNode{w: w, id: i, name: fmt.Sprintf("edge-%d", i+1), run: 1, disk: map[string]*replica.Log{}, slow: goldenMilli}
		w.nodes = append(w.nodes, n)
		w.after(w.between(1, 100*goldenMilli), n.start)
	}
	w.after(50*goldenMilli, w.disturb)
	w.after(200*goldenMilli, w.place)
	w.after(300*goldenMilli, w.command)
	w.after(500*goldenMilli, w.look)
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

func (w *goldenWorld) checkpoint() {
	w.checkpoints = append(w.checkpoints, w.hash.Sum64())
	w.times = append(w.times, w.now)
}

// call begins the record of one call.
func (w *goldenWorld) call(n *goldenNode, kind int) {
	if w.calls++; w.calls%goldenCheckpoint == 0 {
		w.checkpoint()
	}
	w.kinds[kind]++
	w.numbers(uint64(kind), uint64(w.now), uint64(n.id), n.run)
}

func (w *goldenWorld) numbers(all ...uint64) {
	var b [8]byte
	for _, n := range all {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = w.hash.Write(b[:])
	}
}

func (w *goldenWorld) flags(all ...bool) {
	for _, set := range all {
		if set {
			w.numbers(1)
		} else {
			w.numbers(0)
		}
	}
}

func (w *goldenWorld) words(all ...string) {
	for _, text := range all {
		w.numbers(uint64(len(text)))
		_, _ = w.hash.WriteString(text)
	}
}

func (w *goldenWorld) effect(e replica.LogEntry) {
	w.numbers(e.Index, e.Epoch, e.Checksum)
	w.words(e.Node, e.RequestID, string(e.Body))
}

// wire hashes a value in its form on the wire.
func (w *goldenWorld) wire(v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.words(string(text))
}

// does has a run of a node do something now, or once it is woken.
func (n *goldenNode) does(run uint64, do func()) {
	switch {
	case n.o == nil || n.run != run:
	case n.frozen:
		n.waiting = append(n.waiting, do)
	default:
		do()
	}
}

// start is a process's beginning, with the disk as it is and what the table counts on the node for.
func (n *goldenNode) start() {
	if n.o != nil {
		return
	}
	w := n.w
	n.run++
	n.until, n.frozen, n.waiting, n.ops, n.pending, n.judged = 0, false, nil, nil, 0, false
	var records []replica.Log
	for _, r := range n.disk {
		copied := *r
		copied.Entries = slices.Clone(r.Entries)
		records = append(records, copied)
	}
	slices.SortFunc(records, func(a, b replica.Log) int { return cmp.Compare(a.Instance, b.Instance) })
	places := append(w.table.ByPrimary(n.name), w.table.ByReplica(n.name)...)
	n.version = w.table.Version()
	n.o = replica.NewManager(n, w.now, n.name, n.run, map[string]any{"fleet.lease": 1.0, "fleet.state": w.state}, records, places, n.version)
	run := n.run
	w.after(w.between(1, 30*goldenMilli), func() { n.renew(run) })
	w.after(w.between(1, 30*goldenMilli), func() { n.news(run) })
	n.alarm(run)
}

func (n *goldenNode) alarm(run uint64) {
	w := n.w
	next := n.o.OnTick(w.now)
	w.call(n, goldenAlarm)
	w.numbers(uint64(next))
	w.after(next-w.now, func() { n.does(run, func() { n.alarm(run) }) })
}

// renew asks for the lease, each third of it.
func (n *goldenNode) renew(run uint64) {
	w := n.w
	if n.o == nil || n.run != run {
		return
	}
	w.after(goldenLease/3, func() { n.renew(run) })
	if n.frozen || w.cut[[2]int{n.id, n.id}] || w.chance(w.loss) {
		return
	}
	sent, version := w.now, w.table.Version()
	line := w.line
	doubts := n.o.UnverifiedCopies(3)
	n.until = max(n.until, sent+goldenLease)
	w.after(w.between(goldenMilli, 40*goldenMilli), func() {
		n.does(run, func() {
			if w.line != line {
				return
			}
			if !n.judged {
				n.judged = true
				n.o.OnDiskChecked(w.now, n.back)
				n.back = false
			}
			for _, d := range doubts {
				w.table.SetUnverified(d.Instance, d.Epoch, d.Reason)
			}
			n.o.OnUnverifiedReported(w.now, doubts)
			n.o.OnLease(w.now, sent+goldenLease, version)
		})
	})
}

// news brings changes of the table.
func (n *goldenNode) news(run uint64) {
	w := n.w
	if n.o == nil || n.run != run {
		return
	}
	w.after(w.between(20*goldenMilli, 120*goldenMilli), func() { n.news(run) })
	if n.frozen || w.cut[[2]int{n.id, n.id}] || w.chance(w.loss) {
		return
	}
	changes, line := w.table.Since(n.version), w.line
	w.after(w.between(goldenMilli, 20*goldenMilli), func() {
		n.does(run, func() {
			if w.line != line {
				return
			}
			for _, p := range changes.Assignments {
				n.o.OnAssignment(w.now, p)
			}
			for _, name := range changes.Deleted {
				n.o.OnInstanceDeleted(w.now, name)
			}
			n.version = max(n.version, changes.Version)
			n.o.OnPlacementVersion(w.now, changes.Version)
		})
	})
}

func (n *goldenNode) Send(to string, m replica.Message) {
	w := n.w
	w.call(n, goldenSend)
	w.words(to, m.Kind, m.Instance, m.Reason)
	w.numbers(uint64(m.Version), m.Epoch, m.SenderIncarnation, m.ReceiverIncarnation, m.PrevIndex, m.PrevChecksum, m.LastIndex, m.ReplacedIndex, m.ReplacedChecksum, m.Index, m.Checksum, m.ChecksumsFrom, m.ReplyTo,
		uint64(len(m.Entries)), uint64(len(m.Checksums)))
	w.flags(m.Unverified, m.Truncate, m.Reset)
	for _, e := range m.Entries {
		w.effect(e)
	}
	w.numbers(m.Checksums...)
	at := slices.IndexFunc(w.nodes, func(v *goldenNode) bool { return v.name == to })
	if at < 0 {
		return
	}
	got := m
	got.Entries = slices.Clone(m.Entries)
	if m.ReplyTo == 0 {
		got.ReplyTo = n.run<<8 + uint64(n.id)
	} else {
		got.ReplyTo = 0
	}
	copies := 1
	if w.chance(0.02) {
		copies = 2
	}
	v := w.nodes[at]
	for range copies {
		late := w.chance(0.03)
		if w.cut[[2]int{n.id, v.id}] || w.chance(w.loss) {
			continue
		}
		delay := w.between(goldenMilli, 6*goldenMilli)
		if late {
			delay += w.between(0, 2*goldenLease)
		}
		w.after(delay, func() { v.does(v.run, func() { v.o.OnMessage(w.now, n.name, got) }) })
	}
}

func (n *goldenNode) Propose(e placement.Operation) {
	w := n.w
	w.call(n, goldenStep)
	w.wire(e)
	run, line := n.run, w.line
	if w.cut[[2]int{n.id, n.id}] || w.chance(w.loss) {
		return
	}
	w.after(w.between(2*goldenMilli, 30*goldenMilli), func() {
		if w.line != line {
			return
		}
		p, err := w.table.Apply(e)
		if w.chance(w.loss) {
			return
		}
		w.after(w.between(goldenMilli, 10*goldenMilli), func() {
			n.does(run, func() {
				if w.line != line {
					return
				}
				if err != nil {
					n.o.OnProposalRefused(w.now, e, err)
				}
				if p.Instance != "" {
					n.o.OnAssignment(w.now, p)
				}
			})
		})
	})
}

func (n *goldenNode) Respond(c *replica.Request, a replica.Response) {
	n.w.call(n, goldenAnswer)
	n.w.words(c.ID, c.Instance, a.Node, a.Detail)
	n.w.numbers(uint64(a.Outcome), a.Index, a.Epoch, uint64(c.Deadline))
	n.w.flags(c.Write, a.LeaseLost)
	n.pending--
}

func (n *goldenNode) Notify(e replica.Event) {
	n.w.call(n, goldenTell)
	what := e.Kind
	if was, renamed := recordedAs[what]; renamed {
		what = was
	}
	n.w.words(what, e.Instance, e.From, e.To)
	n.w.numbers(e.Epoch, uint64(e.SinceLeaseEnd))
}

// op asks the disk for something; it is done in order, a while later.
func (n *goldenNode) op(name string, seq uint64, do func(rec *replica.Log) bool) {
	n.ops = append(n.ops, func() func() {
		ok := !n.full && do(n.disk[name])
		return func() {
			if ok {
				n.o.OnDurable(n.w.now, name, seq)
				return
			}
			n.o.OnDiskError(n.w.now, name, errors.New("no space left"))
		}
	})
	if len(n.ops) == 1 {
		n.write(n.run)
	}
}

// write does what was asked of the disk meanwhile.
func (n *goldenNode) write(run uint64) {
	w := n.w
	w.after(w.between(goldenMilli/4, n.slow), func() {
		if n.o == nil || n.run != run {
			return
		}
		some := min(len(n.ops), 16)
		var tell []func()
		for _, do := range n.ops[:some] {
			tell = append(tell, do())
		}
		if n.ops = n.ops[some:]; len(n.ops) > 0 {
			n.write(run)
		}
		n.does(run, func() {
			for _, do := range tell {
				do()
			}
		})
	})
}

func (n *goldenNode) AppendEntry(name string, e replica.LogEntry) {
	n.w.call(n, goldenKeep)
	n.w.words(name)
	n.w.effect(e)
	n.op(name, e.Index, func(rec *replica.Log) bool {
		if rec == nil || !rec.Continues(e) {
			return false
		}
		rec.Append(e)
		return true
	})
}

func (n *goldenNode) TruncateLog(name string, seq uint64) {
	n.w.call(n, goldenCut)
	n.w.words(name)
	n.w.numbers(seq)
	n.op(name, seq, func(rec *replica.Log) bool {
		if rec == nil {
			return false
		}
		rec.Truncate(seq)
		return true
	})
}

func (n *goldenNode) ResetLog(name string, base, sum uint64) {
	n.w.call(n, goldenBegin)
	n.w.words(name)
	n.w.numbers(base, sum)
	n.op(name, base, func(*replica.Log) bool {
		n.disk[name] = &replica.Log{Instance: name, BaseIndex: base, BaseChecksum: sum}
		return true
	})
}

func (n *goldenNode) DeleteLog(name string) {
	n.w.call(n, goldenForget)
	n.w.words(name)
	n.op(name, 0, func(*replica.Log) bool { delete(n.disk, name); return true })
}

// look records what the owners say of themselves.
func (w *goldenWorld) look() {
	w.after(400*goldenMilli, w.look)
	for _, n := range w.nodes {
		if n.o == nil {
			continue
		}
		w.call(n, goldenLook)
		for _, h := range n.o.Copies(w.now) {
			w.words(h.Instance)
			w.numbers(h.Epoch, h.Index, h.LastEpoch, h.Checksum, uint64(h.Size))
			w.flags(h.IsPrimary, h.Serving, h.IsReplica, h.Incomplete, n.o.Serves(w.now, h.Instance))
		}
		for _, d := range n.o.UnverifiedCopies(9) {
			w.wire(d)
		}
		w.words(n.o.KnownInstances()...)
		w.flags(n.o.HoldsLease(w.now), n.o.LostAllCopies(), n.o.Verified())
	}
}

// command asks a node, most often the owner, for a command that may be a repetition.
func (w *goldenWorld) command() {
	w.after(w.between(1, 2*w.writes), w.command)
	if len(w.instances) == 0 {
		return
	}
	name := w.instances[w.rng.IntN(len(w.instances))]
	if w.writes < 10*goldenMilli {
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
	c := &replica.Request{ID: fmt.Sprint("c", w.planned), Instance: name, Write: w.chance(0.75),
		Deadline: w.now + w.between(0, 900*goldenMilli)}
	switch w.rng.IntN(60) {
	case 0:
		c.ID = strings.Repeat("i", 300)
	case 1:
		c.Body = make([]byte, int(w.state)) // too large
	case 2:
		c.Instance = "nobody"
	case 3, 4, 5, 6, 7, 8:
		c.ID = fmt.Sprint("c", max(1, w.planned-w.rng.IntN(300)))
	default:
		c.Body = make([]byte, w.rng.IntN(40))
	}
	n.does(n.run, func() {
		n.pending++
		n.o.OnRequest(w.now, c)
	})
}

// place steps the table as keepers might.
func (w *goldenWorld) place() {
	w.after(w.between(20*goldenMilli, 250*goldenMilli), w.place)
	if len(w.instances) < 5 && w.chance(0.2) || len(w.instances) == 0 {
		name := fmt.Sprintf("cam-%d", len(w.instances)+1)
		w.instances = append(w.instances, name)
		w.apply(placement.Operation{Kind: placement.OpCreate, Instance: name, Target: w.drawn().name, Zone: "north", Weight: 1})
		return
	}
	p, ok := w.table.Get(w.instances[w.rng.IntN(len(w.instances))])
	if !ok {
		if w.chance(0.1) {
			w.apply(placement.Operation{Kind: placement.OpCreate, Instance: w.instances[w.rng.IntN(len(w.instances))], Target: w.drawn().name, Zone: "north"})
		}
		return
	}
	e := placement.Operation{Instance: p.Instance, Epoch: p.Epoch, Target: w.drawn().name}
	over := p.Primary == "" || w.until(p.Primary)+goldenLease/10 < w.now
	switch draw := w.rng.IntN(40); {
	case p.State == placement.Lost:
		if e.Kind = placement.OpRestart; len(p.Replicas) > 0 {
			e.Target = p.Replicas[0]
		}
		e.Index = p.Index
	case p.State == placement.Quarantined:
		e.Kind = placement.OpRelease
		if len(p.Replicas) > 0 {
			e.Target = p.Replicas[w.rng.IntN(len(p.Replicas))]
		}
	case over && draw < 30:
		e.Kind, e.Node, e.Target = placement.OpFailOver, p.Primary, ""
		if len(p.Replicas) > 0 {
			e.Target = p.Replicas[w.rng.IntN(len(p.Replicas))]
		}
	case over && draw == 30:
		e.Kind, e.Node = placement.OpQuarantine, p.Primary
	case p.CopyTarget != "" && draw < 3:
		e.Kind, e.Target = placement.OpCancelCopy, p.CopyTarget
	case draw < 14:
		e.Kind = placement.OpStartCopy
		if len(p.StaleCopies) > 0 && w.chance(0.7) { // which may have what was never acked
			e.Target = p.StaleCopies[w.rng.IntN(len(p.StaleCopies))].Node
		}
	case draw < 24 && len(p.Replicas) > 0:
		e.Kind, e.CutOver, e.Target = placement.OpStartCopy, true, p.Replicas[w.rng.IntN(len(p.Replicas))]
	case draw < 26:
		e.Kind, e.CutOver = placement.OpStartCopy, true
	case draw < 28 && len(p.Replicas) > 1:
		e.Kind, e.Target = placement.OpDropReplica, p.Replicas[w.rng.IntN(len(p.Replicas))]
	case draw == 28:
		e.Kind, e.Zone = placement.OpMoveDevice, "south"
	case draw == 29:
		e.Kind = placement.OpResetFailures
	case draw == 31 && w.chance(0.3):
		e.Kind, e.Node = placement.OpDelete, p.Primary
	case draw == 32 && w.chance(0.05):
		w.rebuild()
		return
	default:
		return
	}
	w.apply(e)
}

func (w *goldenWorld) apply(e placement.Operation) {
	e.Version = placement.FormatVersion
	_, _ = w.table.Apply(e) // refused as often as not
}

// rebuild makes the table anew with higher epochs, as where keepers lost their disks.
func (w *goldenWorld) rebuild() {
	places := w.table.All()
	for i := range places {
		places[i].Epoch += 1000
		places[i].Revision = 1
	}
	table, err := placement.FromAssignments(places)
	if err != nil {
		panic(err)
	}
	w.table = table
	w.line++
	for _, n := range w.nodes {
		n.version = table.Version()
		n.until = 0
		n.does(n.run, func() { n.o.OnPlacementRebuilt(w.now, places, table.Version()) })
	}
}

func (w *goldenWorld) drawn() *goldenNode { return w.nodes[w.rng.IntN(len(w.nodes))] }

// until is the end of a node's lease.
func (w *goldenWorld) until(name string) tick.Tick {
	for _, n := range w.nodes {
		if n.name == name {
			return n.until
		}
	}
	return 0
}

// disturb does something to a node, a link or a disk.
func (w *goldenWorld) disturb() {
	w.after(w.between(100*goldenMilli, 900*goldenMilli), w.disturb)
	n, span := w.drawn(), w.between(50*goldenMilli, 2500*goldenMilli)
	switch w.rng.IntN(16) {
	case 0, 1, 2:
		n.fall(span)
	case 3:
		n.fall(span)
		n.disk = map[string]*replica.Log{}
	case 4:
		n.fall(span)
		if n.old != nil {
			n.disk, n.old, n.back = n.old, nil, true
		}
	case 5, 6:
		n.old = goldenDisk(n.disk)
	case 7, 8:
		key := [2]int{n.id, w.drawn().id} // to itself: between it and the table
		w.cut[key] = true
		w.after(span, func() { delete(w.cut, key) })
	case 9:
		w.loss += 0.15
		w.after(span, func() { w.loss -= 0.15 })
	case 10:
		n.full = true
		w.after(span/4, func() { n.full = false })
	case 11:
		n.slow = 80 * goldenMilli
		w.after(span, func() { n.slow = goldenMilli })
	case 12:
		n.freeze(span)
	case 13:
		n.odd()
	}
}

func goldenDisk(disk map[string]*replica.Log) map[string]*replica.Log {
	other := map[string]*replica.Log{}
	for name, r := range disk {
		copied := *r
		copied.Entries = slices.Clone(r.Entries)
		other[name] = &copied
	}
	return other
}

// fall ends the process, for a while.
func (n *goldenNode) fall(span tick.Tick) {
	n.o = nil
	n.w.after(span, n.start)
}

// freeze has the process not run, for a while.
func (n *goldenNode) freeze(span tick.Tick) {
	if n.o == nil || n.frozen {
		return
	}
	n.frozen = true
	run := n.run
	n.w.after(span, func() {
		if n.o == nil || n.run != run {
			return
		}
		n.frozen = false
		waiting := n.waiting
		n.waiting = nil
		for _, do := range waiting {
			n.does(run, do)
		}
	})
}

// odd sends a node a message that no program of this version writes.
func (n *goldenNode) odd() {
	w := n.w
	m := replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: w.instances0(), Epoch: uint64(w.rng.IntN(9)), SenderIncarnation: uint64(w.rng.IntN(4)),
		ReceiverIncarnation: n.run, PrevIndex: uint64(w.rng.IntN(3)), ReplyTo: 1}
	switch w.rng.IntN(6) {
	case 0:
		m.Version = 2
	case 1:
		m.Kind = "odd"
	case 2:
		m.Kind, m.Reason = replica.MessageRejected, "no reason"
	case 3:
		m.Kind = replica.MessageStaleEpoch
	case 4:
		m.Kind, m.Index, m.Checksum, m.Checksums = replica.MessageAck, 3, 9, []uint64{0, 1, 2, 9}
	}
	n.does(n.run, func() { n.o.OnMessage(w.now, w.drawn().name, m) })
}

func (w *goldenWorld) instances0() string {
	if len(w.instances) == 0 {
		return "cam-1"
	}
	return w.instances[w.rng.IntN(len(w.instances))]
}

// text is a trace as the golden file keeps it: its seed, its number of calls, and the hashes.
func (w *goldenWorld) text(seed uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d", seed, w.calls)
	for _, sum := range w.checkpoints {
		fmt.Fprintf(&b, " %08x", uint32(sum))
	}
	return b.String()
}

// Owners make the calls on their hosts that were recorded, at the same moments. A change that is meant to leave decisions
// as they are must leave this file as it is.
func TestGoldenOwnerCalls(t *testing.T) {
	worlds := make([]*goldenWorld, goldenSeeds)
	var all sync.WaitGroup
	for i := range worlds {
		all.Go(func() {
			worlds[i] = newGoldenWorld(uint64(i + 1))
			worlds[i].run(goldenSpan)
		})
	}
	all.Wait()
	var file bytes.Buffer
	for i, w := range worlds {
		fmt.Fprintln(&file, w.text(uint64(i+1)))
	}
	if *update {
		if err := os.WriteFile(goldenFile, file.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(recorded)), "\n")
	if len(lines) != goldenSeeds {
		t.Fatalf("%d traces are recorded, %d were played", len(lines), goldenSeeds)
	}
	var kinds [goldenLook + 1]int
	for i, w := range worlds {
		for kind, n := range w.kinds {
			kinds[kind] += n
		}
		if lines[i] != w.text(uint64(i+1)) {
			t.Errorf("seed %d: %s", i+1, w.differs(lines[i]))
		}
	}
	for kind, n := range kinds[1:] {
		if n == 0 {
			t.Errorf("no call of kind %d is reached", kind+1)
		}
	}
	t.Logf("calls by kind: %v", kinds[1:])
}

// differs says where a trace first differs from what was recorded.
func (w *goldenWorld) differs(want string) string {
	words := strings.Fields(want)[2:]
	from := tick.Tick(0)
	for i, sum := range w.checkpoints {
		if i >= len(words) || words[i] != fmt.Sprintf("%08x", uint32(sum)) {
			return fmt.Sprintf("differs from the recorded trace after call %d, between %d and %d ms", i*goldenCheckpoint,
				from/goldenMilli, w.times[i]/goldenMilli)
		}
		from = w.times[i]
	}
	return "ends early"
}
