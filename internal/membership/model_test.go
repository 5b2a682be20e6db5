package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"silvercove/internal/tick"
)

// world drives many tables in simulated time: each turn every process that runs pings the targets of its table, and
// passes its own and some other records on to one or two others, over links that may be cut.
type world struct {
	now   tick.Tick
	rand  *rand.Rand
	nodes []*node
	cut   map[[2]int]bool // from, to
}

type node struct {
	*Table
	name string
	run  uint64
	down bool
}

func newWorld(seed uint64, n int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 5)), cut: map[[2]int]bool{}}
	for i := range n {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("n%02d", i)})
	}
	for i := range n {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	n := w.nodes[i]
	n.run++
	n.down = false
	var others []Record
	for j, o := range w.nodes {
		if j != i {
			others = append(others, Record{Name: o.name})
		}
	}
	n.Table = NewTable(w.now, Record{Name: n.name, Incarnation: n.run, StartedEmpty: true}, others, map[string]any{"fleet.silence": 1.0})
}

func (w *world) hears(from, to int) bool { return !w.nodes[to].down && !w.cut[[2]int{from, to}] }

func (w *world) turn() {
	w.now += w.nodes[0].ProbeInterval()
	for i, n := range w.nodes {
		if n.down {
			continue
		}
		n.Reassess(w.now)
		n.Heartbeat(w.now)
		for _, name := range n.ProbeTargets() {
			var j int
			_, _ = fmt.Sscanf(name, "n%d", &j)
			if w.hears(i, j) && w.hears(j, i) {
				n.RecordReply(w.now, name, ms)
			} else {
				n.RecordTimeout(w.now, name)
			}
		}
		for range 1 + w.rand.IntN(2) {
			j := w.rand.IntN(len(w.nodes))
			if j != i && w.hears(i, j) {
				for _, raw := range n.Records() {
					_ = w.nodes[j].Merge(w.now, raw)
				}
			}
		}
	}
}

func (w *world) turns(seconds int) {
	for range seconds * probesPerSilence {
		w.turn()
	}
}

// Under seeds: a member that is cut off from some only is never held to be dead by them, one that is gone is by all, and
// when links are back and processes run, all are alive to all.
func TestTable_SimulatedTime(t *testing.T) {
	t.Parallel()
	seeds := 40
	if testing.Short() {
		seeds = 5
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			const gone = 2
			w := newWorld(seed, 6+int(seed%5))
			w.turns(3)
			w.nodes[gone].down = true
			checkCutOff(t, w, seed%2 == 0)
			for i, o := range w.nodes {
				if s := o.of(w.nodes[gone].name).State; i != gone && s != StateDead {
					t.Fatalf("who is gone is %s to %s", s, o.name)
				}
			}
			clear(w.cut)
			w.start(gone)
			w.splitRepeatedly()
			w.turns(60)
			checkAllAlive(t, w)
			if m := w.nodes[0].of(w.nodes[gone].name); m.Incarnation != 2 {
				t.Fatalf("incarnation %d of one that was started again", m.Incarnation)
			}
		})
	}
}

// checkCutOff cuts the link between the first two nodes, one way or both, and checks that the first holds the second to
// be unreachable in the end, and never to be dead, while others hear it.
func checkCutOff(t *testing.T, w *world, bothWays bool) {
	t.Helper()
	const from, to = 0, 1
	w.cut[[2]int{from, to}] = true
	if bothWays {
		w.cut[[2]int{to, from}] = true
	}
	for range 12 * probesPerSilence {
		w.turn()
		if s := w.nodes[from].of(w.nodes[to].name).State; s == StateDead {
			t.Fatalf("at %d: a member is held to be dead that others hear", w.now)
		}
	}
	if s := w.nodes[from].of(w.nodes[to].name).State; s != StateUnreachable {
		t.Fatalf("it is %s, not unreachable", s)
	}
}

// splitRepeatedly has a split come and go three times.
func (w *world) splitRepeatedly() {
	for range 3 {
		for i := range w.nodes {
			for j := range w.nodes {
				if i%2 != j%2 {
					w.cut[[2]int{i, j}] = true
				}
			}
		}
		w.turns(4)
		clear(w.cut)
		w.turns(2)
	}
}

func checkAllAlive(t *testing.T, w *world) {
	t.Helper()
	for _, o := range w.nodes {
		for _, m := range o.Members(w.now) {
			if m.State != StateAlive {
				t.Fatalf("%s is %s to %s long after all is well", m.Name, m.State, o.name)
			}
		}
		if o.Superseded() {
			t.Fatalf("%s is superseded", o.name)
		}
	}
}
