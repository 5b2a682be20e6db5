package lab

import (
	"silvercove/balancer"
)

// event is one thing that happens.
type event struct {
	at       balancer.Tick
	sequence int
	run      func()
}

type events []event

// Len is the number of events that wait.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by order of coming.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Swap swaps two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last event out.
func (e *events) Pop() any { last := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return last }
