package migration_test

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "silvercove/internal/migration"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

var update = flag.Bool("update", false, "write the expected pictures anew")

const ms = tick.Second / 1000

// world is a fleet in simulated time: the planner and the table are the real ones, units and the log are simple.
type world struct {
	t     interface{ Fatalf(string, ...any) }
	now   tick.Tick
	queue events
	count int
	r     *rand.Rand
	set   map[string]any
	table *placement.Table
	plan  *Planner
	term  int // of leaders: what was asked of an earlier one is not answered
	alarm int
	edges map[string]*edge
	names []string
	cut   func(from, to string) bool // between two edge units
	loss  float64                    // part of the entries that get lost, or whose answer does
	gone  bool                       // the keepers' majority
	moves map[string]int             // handovers of each instance
	most  int                        // handovers under way at once
	lines []string
	cells map[string]string
	steps int
	trace *plannerTrace // nil: none is kept
}

// edge is an edge unit.
type edge struct {
	NodeStatus
	w     *world
	down  bool // has fallen
	deaf  bool // can't reach the keepers
	until tick.Tick
	told  bool       // the keepers count its lease
	last  NodeStatus // what they heard of it last
	acts  map[string]placement.Assignment
	busy  map[string]int
}

type event struct {
	at tick.Tick
	n  int
	do func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

const lease = tick.Second

// made makes a fleet: zones lists units by zone, as "north a b; south c".
func made(t interface{ Fatalf(string, ...any) }, seed uint64, zones string, set map[string]any) *world {
	w := &world{t: t, r: rand.New(rand.NewPCG(seed, 1)), set: map[string]any{"fleet.lease": 1.0}, table: placement.New(),
		edges: map[string]*edge{}, moves: map[string]int{}, cells: map[string]string{}}
	maps.Copy(w.set, set)
	for _, z := range strings.Split(zones, ";") {
		words := strings.Fields(z)
		for _, name := range words[1:] {
			w.edges[name] = &edge{w: w, acts: map[string]placement.Assignment{}, busy: map[string]int{},
				NodeStatus: NodeStatus{Name: name, Zone: words[0], Incarnation: 1, Accepting: true, Risk: 0.1, FreeSlots: 20}}
			w.names = append(w.names, name)
		}
	}
	w.lead()
	for i, name := range w.names {
		w.after(tick.Tick(i)*7*ms, func() { w.edges[name].renew() })
	}
	return w
}

// lead makes a new planner lead, from what the table has.
func (w *world) lead() {
	w.term++
	w.plan = NewPlanner(host{w, w.term}, w.now, 7, w.set)
	w.plan.OnElected(w.now)
	for _, p := range w.table.All() {
		w.plan.OnAssignment(w.now, p)
	}
	for _, name := range w.names { // every lease counts as renewed now
		e := w.edges[name]
		e.told = true
		e.LeaseEnd = w.now + lease*104/100
		w.watch(e, e.LeaseEnd)
	}
	w.ring()
}

// watch tells the planner of a lease that was not renewed.
func (w *world) watch(e *edge, until tick.Tick) {
	w.after(until-w.now, func() {
		if e.LeaseEnd == until && e.told {
			e.told = false
			w.plan.OnLeaseExpired(w.now, e.Name)
			w.ring()
		}
	})
}

func (w *world) after(d tick.Tick, do func()) {
	w.count++
	heap.Push(&w.queue, event{w.now + d, w.count, do})
}

// ring calls Alarm now and when it wants to be called.
func (w *world) ring() {
	w.alarm++
	mine := w.alarm
	next := w.plan.OnTick(w.now)
	w.trace.alarm(w.now, next)
	if next <= w.now {
		w.t.Fatalf("Alarm at %d wants to be called at %d", w.now, next)
	}
	w.after(next-w.now, func() {
		if w.alarm == mine {
			w.ring()
		}
	})
}

func (w *world) run(span tick.Tick) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.flush()
	}
	w.now = end
}

// host is what the planner of one term acts through.
type host struct {
	w    *world
	term int
}

func (h host) Log(string) {}
func (h host) Propose(e placement.Operation) {
	w := h.w
	w.trace.proposed(w.now, e)
	if w.steps++; e.Kind == placement.OpStartCopy || e.Kind == placement.OpRestart {
		u := w.edges[e.Target]
		p, _ := w.table.Get(e.Instance)
		if e.Kind == placement.OpStartCopy || p.Epoch == e.Epoch && p.State == placement.Lost && !slices.Contains(p.Replicas, e.Target) {
			if u := u.last; !u.Accepting || u.Draining || u.RollingBack || u.ShuttingDown || u.Evacuating || u.FreeSlots <= 0 {
				w.t.Fatalf("%d ms: rule 4: %+v: %+v", w.now/ms, e, u)
			}
		}
	}
	w.propose(e, h.term)
}

// propose is an entry on its way through the log. It may be lost, and its answer may.
func (w *world) propose(e placement.Operation, term int) {
	chance := w.r.Float64()
	w.after(2*ms+tick.Tick(w.r.IntN(20)), func() {
		refuse := func(err error) {
			if term == w.term {
				w.plan.OnProposalRefused(w.now, e, err)
				w.ring()
			}
		}
		if w.gone {
			refuse(errors.New("the majority is gone"))
			return
		}
		if chance < w.loss/2 {
			return
		}
		if (e.Kind == placement.OpFailOver || e.Kind == placement.OpQuarantine) && term != w.term {
			return // the keepers' log refuses what rests on a lapse in another term than its maker's
		}
		before, _ := w.table.Get(e.Instance)
		p, err := w.table.Apply(e)
		if err != nil {
			refuse(err)
			return
		}
		if by := w.edges[e.Node]; (e.Kind == placement.OpFailOver || e.Kind == placement.OpQuarantine) && w.now < by.until && !by.down {
			w.t.Fatalf("%d ms: rule 1: %+v, and %s may act until %d ms", w.now/ms, e, e.Node, by.until/ms)
		}
		w.show(e, before, p)
		w.bounds()
		if chance < w.loss && term != w.term {
			return
		}
		w.plan.OnAssignment(w.now, p)
		w.ring()
		for _, name := range slices.Compact([]string{before.Primary, p.Primary}) {
			if e := w.edges[name]; e != nil {
				w.after(ms, func() { e.placed(p) })
			}
		}
	})
}

// bounds checks rule 5's bounds on what is under way.
func (w *world) bounds() {
	unit, link, all := map[string]int{}, map[string]int{}, 0
	for _, p := range w.table.All() {
		if p.CopyTarget == "" {
			continue
		}
		a, b := w.edges[p.Primary].Zone, w.edges[p.CopyTarget].Zone
		all++
		unit[p.Primary]++
		unit[p.CopyTarget]++
		if a != b {
			link[min(a, b)+max(a, b)]++
		}
	}
	w.most = max(w.most, all)
	over := func(m map[string]int, name string, usual float64) {
		most := usual
		if v, ok := w.set[name].(float64); ok {
			most = v
		}
		for what, n := range m {
			if float64(n) > most {
				w.t.Fatalf("%d ms: %s: %d at %s", w.now/ms, name, n, what)
			}
		}
	}
	if w.term == 1 { // an earlier leader's entries may still come in
		over(unit, "fleet.moves.unit", 8)
		over(link, "fleet.moves.link", 4)
		over(map[string]int{"": all}, "fleet.moves.all", 64)
	}
}

// renew asks for the lease a third of it later, and again.
func (e *edge) renew() {
	w := e.w
	w.after(lease/3, e.renew)
	if e.down || e.deaf || w.gone {
		return
	}
	if w.plan.FailOverPending(e.Name) {
		return
	}
	e.until, e.told = w.now+lease, true
	e.LeaseEnd = w.now + lease*104/100
	w.watch(e, e.LeaseEnd)
	e.last = e.NodeStatus
	w.plan.OnNodeStatus(w.now, e.NodeStatus)
	w.ring()
	for _, p := range w.table.ByPrimary(e.Name) {
		e.placed(p)
	}
}

// placed is news of a place: the owner acts, copies and switches.
func (e *edge) placed(p placement.Assignment) {
	w := e.w
	if stands, _ := w.table.Get(p.Instance); e.down || stands.Revision != p.Revision || stands.Epoch != p.Epoch {
		return
	}
	if e.deaf && p.Primary != e.Name {
		return
	}
	if p.Primary != e.Name || p.State != placement.Running {
		delete(e.acts, p.Instance)
		return
	}
	e.acts[p.Instance] = p
	e.busy[p.Instance]++
	mine := e.busy[p.Instance]
	step := func(d tick.Tick, n placement.Operation) {
		w.after(d, func() {
			if e.busy[p.Instance] != mine || e.down || w.now > e.until {
				return
			}
			to := w.edges[n.Target]
			if to != nil && (to.down || w.cut != nil && w.cut(e.Name, n.Target)) && n.Kind != placement.OpDropReplica {
				return
			}
			n.Version, n.Instance, n.Epoch, n.Node, n.Index = 1, p.Instance, p.Epoch, e.Name, p.Index+1
			w.propose(n, -1)
			w.after(300*ms, func() { // until it is answered
				if e.busy[p.Instance] == mine {
					if stands, _ := w.table.Get(p.Instance); stands.Revision == p.Revision {
						e.placed(p)
					}
				}
			})
		})
	}
	switch {
	case p.CopyTarget != "" && !slices.Contains(p.Replicas, p.CopyTarget):
		step(40*ms, placement.Operation{Kind: placement.OpReplicaReady, Target: p.CopyTarget})
	case p.CutOver:
		step(5*ms, placement.Operation{Kind: placement.OpCutOver, Target: p.CopyTarget})
	default:
		for _, h := range p.Replicas {
			if to := w.edges[h]; to.down || w.cut != nil && w.cut(e.Name, h) {
				step(300*ms, placement.Operation{Kind: placement.OpDropReplica, Target: h})
				break
			}
		}
	}
}

func (w *world) device(name, zone string) {
	w.plan.OnDeviceMoved(w.now, name, zone)
	w.ring()
}

func (w *world) create(name, to, zone string, weight float64) {
	w.propose(placement.Operation{Version: 1, Kind: placement.OpCreate, Instance: name, Target: to, Zone: zone, Weight: weight}, 0)
}

// show draws an agreed entry.
func (w *world) show(e placement.Operation, before, p placement.Assignment) {
	short := fmt.Sprintf("%s@%d", p.Instance, p.Epoch)
	if p.Primary != before.Primary || p.State != before.State {
		if before.Primary != "" {
			w.cell(before.Primary, fmt.Sprintf("not %s@%d", p.Instance, before.Epoch))
		}
		if p.Primary != "" {
			w.cell(p.Primary, "owns "+short)
		}
		if e.Kind == placement.OpCutOver {
			w.moves[p.Instance]++
		}
	}
	text := fmt.Sprintf("%s %s", e.Kind, p.Instance)
	switch e.Kind {
	case placement.OpStartCopy, placement.OpReplicaReady, placement.OpDropReplica, placement.OpCancelCopy, placement.OpRestart:
		text += " " + e.Target
	case placement.OpMoveDevice:
		text += " " + e.Zone
	}
	if e.Reason != "" && (e.Kind == placement.OpStartCopy || e.Kind == placement.OpCancelCopy || e.Kind == placement.OpFailOver || e.Kind == placement.OpQuarantine || e.Kind == placement.OpRestart) {
		text += ": " + e.Reason
	}
	w.cell("keepers", text)
}

func (w *world) cell(node, text string) {
	if w.cells[node] != "" {
		text = w.cells[node] + ", " + text
	}
	w.cells[node] = text
}

// flush ends the line of a moment.
func (w *world) flush() {
	if len(w.cells) == 0 {
		return
	}
	line := fmt.Sprintf("%-9.1f", float64(w.now)/float64(ms))
	for _, name := range w.names {
		cell := w.cells[name]
		if cell == "" {
			cell = "-"
		}
		line += fmt.Sprintf("%-18s", cell)
	}
	w.lines = append(w.lines, strings.TrimRight(line+w.cells["keepers"], " "))
	clear(w.cells)
}

// picture compares the timeline with the one that is expected.
func (w *world) picture(t *testing.T, name string) {
	t.Helper()
	head := fmt.Sprintf("%-9s", "ms")
	for _, n := range w.names {
		head += fmt.Sprintf("%-18s", n+" ("+w.edges[n].Zone+")")
	}
	got := head + "agreed\n" + strings.Join(w.lines, "\n") + "\n"
	path := filepath.Join("testdata", name+".txt")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("%v: expected\n%s\ncame\n%s", err, want, got)
	}
}

func (w *world) place(name string) placement.Assignment {
	p, _ := w.table.Get(name)
	return p
}
