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

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any { last := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return last }
