package fleetsim

import "silvercove/internal/tick"

// The wheel covers 2048 slots of 1 ms, because most events are due within the delay of a link or a fraction of a lease.
const (
	wheelSlots = 2048
	slotSpan   = milli
)

// wheel holds the scheduled events. It returns them in order of time; events of the same time come in order of their sequence
// numbers. The events of a slot are sorted only when they move to the heap in the field current. Events that are due after the
// last slot wait in the heap in the field later.
type wheel struct {
	currentSlot tick.Tick // number of the slot whose events are in current
	current     events
	slots       [][]event // events of the following slots, by slot number modulo wheelSlots
	inSlots     int       // number of events in slots
	later       events
}

func (w *wheel) add(e event) {
	if w.slots == nil {
		w.slots = make([][]event, wheelSlots)
	}
	switch slot := e.at / slotSpan; {
	case slot <= w.currentSlot:
		w.current.push(e)
	case slot < w.currentSlot+wheelSlots:
		w.slots[slot%wheelSlots] = append(w.slots[slot%wheelSlots], e)
		w.inSlots++
	default:
		w.later.push(e)
	}
}

// next removes and returns the first event if it is due no later than the time in the parameter by. The bool result reports
// whether there is such an event.
func (w *wheel) next(by tick.Tick) (event, bool) {
	for len(w.current) == 0 {
		switch {
		case w.inSlots > 0:
			w.currentSlot++
		case len(w.later) > 0 && w.later[0].at <= by:
			w.currentSlot = w.later[0].at / slotSpan
		default:
			return event{}, false
		}
		if w.currentSlot > by/slotSpan {
			w.currentSlot-- // the slot begins after the time in the parameter by, so its events wait
			return event{}, false
		}
		s := w.slots[w.currentSlot%wheelSlots]
		w.inSlots -= len(s)
		for _, e := range s {
			w.current.push(e)
		}
		clear(s)
		w.slots[w.currentSlot%wheelSlots] = s[:0]
		for len(w.later) > 0 && w.later[0].at/slotSpan <= w.currentSlot {
			w.current.push(w.later.pop())
		}
	}
	if w.current[0].at > by {
		return event{}, false
	}
	return w.current.pop(), true
}
