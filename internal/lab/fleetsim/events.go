package fleetsim

import (
	"silvercove/internal/tick"
)

// event is a function that runs at a simulated time.
type event struct {
	at       tick.Tick
	sequence uint64
	run      func()
}

// events is a heap with four children per entry, ordered by time and then by sequence number.
type events []event

func (e events) less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].sequence < e[b].sequence
}

func (e *events) push(x event) {
	*e = append(*e, x)
	q := *e
	for i := len(q) - 1; i > 0; {
		p := (i - 1) / 4
		if !q.less(i, p) {
			break
		}
		q[i], q[p] = q[p], q[i]
		i = p
	}
}

func (e *events) pop() event {
	q := *e
	top, n := q[0], len(q)-1
	q[0], q[n] = q[n], event{}
	q = q[:n]
	*e = q
	for i := 0; ; {
		best := i
		for c := 4*i + 1; c <= 4*i+4 && c < n; c++ {
			if q.less(c, best) {
				best = c
			}
		}
		if best == i {
			return top
		}
		q[i], q[best] = q[best], q[i]
		i = best
	}
}
