package fleetsim

import "silvercove/internal/tick"

// Of the wheel: most that is planned is a link's delay or a part of a lease away.
const (
	wheelSlots = 2048
	slotSpan   = milli
)

// wheel has what is planned, in order of time and then of coming. What is due within a slot's time is ordered only when
// that comes; what is far away waits in a heap.
type wheel struct {
	currentSlot tick.Tick // the slot whose events are in now, in slots
	current     events
	slots       [][]event // those of the slots after it, by number
	inSlots     int       // in slots
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

// next takes out the first event that is due by a time, if there is one.
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
			w.currentSlot-- // it is for later
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
