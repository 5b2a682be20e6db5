package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"silvercove/internal/tick"
)

// simulation drives several tables in simulated time. In each step every running process probes the targets of its
// table, and passes all records that it knows on to one or two processes, over links that may be cut.
type simulation struct {
	now   tick.Tick
	rand  *rand.Rand
	nodes []*node
	cut   map[[2]int]bool // whether a link is cut, keyed by the indexes of sender and receiver
}

type node struct {
	*Table
	name        string
	incarnation uint64
	down        bool
}

func newSimulation(seed uint64, n int) *simulation {
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, 5)), cut: map[[2]int]bool{}}
	for i := range n {
		sim.nodes = append(sim.nodes, &node{name: fmt.Sprintf("n%02d", i)})
	}
	for i := range n {
		sim.start(i)
	}
	return sim
}

func (s *simulation) start(i int) {
	n := s.nodes[i]
	n.incarnation++
	n.down = false
	var others []Record
	for j, o := range s.nodes {
		if j != i {
			others = append(others, Record{Name: o.name})
		}
	}
	n.Table = NewTable(s.now, Record{Name: n.name, Incarnation: n.incarnation, StartedEmpty: true}, others, map[string]any{"fleet.silence": 1.0})
}

func (s *simulation) linked(from, to int) bool { return !s.nodes[to].down && !s.cut[[2]int{from, to}] }

func (s *simulation) step() {
	s.now += s.nodes[0].ProbeInterval()
	for i, n := range s.nodes {
		if n.down {
			continue
		}
		n.Reassess(s.now)
		n.Heartbeat(s.now)
		for _, name := range n.ProbeTargets() {
			var j int
			_, _ = fmt.Sscanf(name, "n%d", &j)
			if s.linked(i, j) && s.linked(j, i) {
				n.RecordReply(s.now, name, ms)
			} else {
				n.RecordTimeout(s.now, name)
			}
		}
		for range 1 + s.rand.IntN(2) {
			j := s.rand.IntN(len(s.nodes))
			if j != i && s.linked(i, j) {
				for _, raw := range n.Records() {
					_ = s.nodes[j].Merge(s.now, raw)
				}
			}
		}
	}
}

func (s *simulation) runSeconds(seconds int) {
	for range seconds * probesPerSilence {
		s.step()
	}
}

// TestTable_StatesInSimulatedFleet: for each seed, a member whose link to one other member is cut never becomes dead in
// that other member's table. A stopped member becomes dead in the tables of all others. Once links are back and all
// processes run, every member is alive to every other member.
func TestTable_StatesInSimulatedFleet(t *testing.T) {
	t.Parallel()
	seeds := 40
	if testing.Short() {
		seeds = 5
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			const stopped = 2
			sim := newSimulation(seed, 6+int(seed%5))
			sim.runSeconds(3)
			sim.nodes[stopped].down = true
			checkCutOff(t, sim, seed%2 == 0)
			for i, o := range sim.nodes {
				if s := o.memberNamed(sim.nodes[stopped].name).State; i != stopped && s != StateDead {
					t.Fatalf("the stopped member is %s in the table of %s", s, o.name)
				}
			}
			clear(sim.cut)
			sim.start(stopped)
			sim.splitRepeatedly()
			sim.runSeconds(60)
			checkAllAlive(t, sim)
			if m := sim.nodes[0].memberNamed(sim.nodes[stopped].name); m.Incarnation != 2 {
				t.Fatalf("incarnation %d after a restart", m.Incarnation)
			}
		})
	}
}

// checkCutOff cuts the link from the first node to the second, and also the way back if bothWays is true. The other nodes
// still get records of the second node. The first node must therefore see it as unreachable in the end, and never as dead.
func checkCutOff(t *testing.T, sim *simulation, bothWays bool) {
	t.Helper()
	const from, to = 0, 1
	sim.cut[[2]int{from, to}] = true
	if bothWays {
		sim.cut[[2]int{to, from}] = true
	}
	for range 12 * probesPerSilence {
		sim.step()
		if s := sim.nodes[from].memberNamed(sim.nodes[to].name).State; s == StateDead {
			t.Fatalf("at tick %d: a member that other members hear is seen as dead", sim.now)
		}
	}
	if s := sim.nodes[from].memberNamed(sim.nodes[to].name).State; s != StateUnreachable {
		t.Fatalf("the member is %s, not unreachable", s)
	}
}

// splitRepeatedly splits the fleet in two and heals it, three times.
func (s *simulation) splitRepeatedly() {
	for range 3 {
		for i := range s.nodes {
			for j := range s.nodes {
				if i%2 != j%2 {
					s.cut[[2]int{i, j}] = true
				}
			}
		}
		s.runSeconds(4)
		clear(s.cut)
		s.runSeconds(2)
	}
}

func checkAllAlive(t *testing.T, sim *simulation) {
	t.Helper()
	for _, o := range sim.nodes {
		for _, m := range o.Members(sim.now) {
			if m.State != StateAlive {
				t.Fatalf("%s is %s in the table of %s long after the links are back", m.Name, m.State, o.name)
			}
		}
		if o.Superseded() {
			t.Fatalf("%s is superseded", o.name)
		}
	}
}
