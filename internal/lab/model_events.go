package lab

import (
	"silvercove/balancer"
)

// event is a function that a simulation calls at the time at.
type event struct {
	at       balancer.Tick
	sequence int // increases with each scheduled event; orders events of the same time
	run      func()
}

// events is a heap of events for container/heap.
type events []event

// Len returns the number of pending events.
func (e events) Len() int { return len(e) }

// Less orders events by time, and events of the same time by sequence.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

// Swap swaps two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event of the slice and returns it.
func (e *events) Pop() any { last := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return last }
