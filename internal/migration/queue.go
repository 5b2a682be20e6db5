package migration

import (
	"cmp"
	"container/heap"

	"silvercove/internal/tick"
)

// queue is a heap of instances that wait for a move, the most pressing first.
type queue []*row

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].why, q[j].why), cmp.Compare(q[j].danger, q[i].danger), heavier(q[i], q[j])) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].pos, q[j].pos = i, j }
func (q *queue) Push(x any)   { r := x.(*row); r.pos = len(*q); *q = append(*q, r) }
func (q *queue) Pop() any     { r := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return r }

// enqueue puts an instance into the queue of its unit, or with its owner's danger into that of a link.
func (p *Planner) enqueue(q *queue, r *row, danger float64) {
	r.in, r.danger = q, danger
	heap.Push(q, r)
}

// unqueue takes an instance out of the queue that it waits in, if any.
func (p *Planner) unqueue(r *row) {
	if r.in == nil {
		return
	}
	heap.Remove(r.in, r.pos)
	if r.in = nil; r.owner != nil {
		p.urgent(r.owner)
	}
}

// units is a heap of units with instances that wait and room for a move, the most pressing and endangered first.
type units []*unit

func (h units) Len() int { return len(h) }
func (h units) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.wants[0].why, b.wants[0].why), cmp.Compare(b.Risk, a.Risk),
		heavier(a.wants[0], b.wants[0])) < 0
}
func (h units) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].at, h[j].at = i, j }
func (h *units) Push(x any)   { u := x.(*unit); u.at = len(*h); *h = append(*h, u) }
func (h *units) Pop() any     { u := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; u.at = -1; return u }

// urgent brings up a unit's place among those whose instances wait.
func (p *Planner) urgent(u *unit) {
	waits := len(u.wants) > 0 && u.moves < p.most.unit
	switch {
	case waits && u.at < 0:
		heap.Push(&p.busy, u)
	case waits:
		heap.Fix(&p.busy, u.at)
	case u.at >= 0:
		heap.Remove(&p.busy, u.at)
	}
}

// dues is a heap of instances by when they are looked at next.
type dues []*row

func (h dues) Len() int { return len(h) }
func (h dues) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].due, h[j].due), cmp.Compare(h[i].Instance, h[j].Instance)) < 0
}
func (h dues) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].duePos, h[j].duePos = i, j }
func (h *dues) Push(x any)   { r := x.(*row); r.duePos = len(*h); *h = append(*h, r) }
func (h *dues) Pop() any     { r := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; r.duePos = -1; return r }

// setDue says when an instance is looked at next by itself, 0 for never.
func (p *Planner) setDue(r *row, at tick.Tick) {
	r.due = at
	switch {
	case at == 0 && r.duePos >= 0:
		heap.Remove(&p.due, r.duePos)
	case at != 0 && r.duePos >= 0:
		heap.Fix(&p.due, r.duePos)
	case at != 0:
		heap.Push(&p.due, r)
	}
}
