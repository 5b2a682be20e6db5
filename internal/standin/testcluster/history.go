package testcluster

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// history is the state of the porcupine model of an instance: the last effect in the instance's log.
type history struct {
	lastIndex, epoch uint64
}

// operation is one operation of the porcupine model: a read, or a write with all its retries, which have the same ID.
type operation struct {
	Request
	outcomeUnknown bool
}

var model = porcupine.Model{
	Init: func() any { return history{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(history), input.(operation)
		switch {
		case o.outcomeUnknown: // assignSequenceNumbers set o.Seq to a sequence number that no client received in an acknowledgement
			return o.Seq == s.lastIndex+1, history{o.Seq, s.epoch}
		case o.Write:
			return o.Seq == s.lastIndex+1 && o.Epoch >= s.epoch, history{o.Seq, o.Epoch}
		}
		return o.Seq == s.lastIndex && (o.Epoch >= s.epoch || s.lastIndex == 0), s
	},
	DescribeOperation: func(input, _ any) string {
		o := input.(operation)
		return fmt.Sprintf("%s write %v: %s %d@%d %s", o.ID, o.Write, o.Outcome, o.Seq, o.Epoch, o.Node)
	},
}

// CheckHistory checks the responses that clients observed against the log of effects that each instance keeps. Each
// acknowledged effect is in the log once. An effect that was acknowledged before another effect was requested comes earlier in
// the log. Sequence numbers rise by one, and an epoch never falls. A read returns the last effect, and a retry of an ID returns
// the first response. An effect whose client does not know its outcome may be in the log or not. requests must contain the
// requests of all clients that write to the instances.
func CheckHistory(requests []Request) error {
	var faults []error
	instances := map[string][]Request{}
	for _, m := range requests {
		instances[m.Instance] = append(instances[m.Instance], m)
	}
	names := make([]string, 0, len(instances))
	for name := range instances {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := checkInstance(instances[name]); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", name, err))
		}
	}
	return errors.Join(faults...)
}

func checkInstance(requests []Request) error {
	slices.SortStableFunc(requests, func(a, b Request) int { return a.Start.Compare(b.Start) })
	writes := map[string]*operation{}
	var ops []*operation
	for _, m := range requests {
		switch {
		case !m.Write && m.Outcome == Succeeded:
			ops = append(ops, &operation{Request: m})
		case !m.Write || m.Outcome == NotRun:
		case writes[m.ID] == nil:
			o := &operation{Request: m, outcomeUnknown: m.Outcome != Succeeded}
			writes[m.ID], ops = o, append(ops, o)
		default:
			// A retry requests the same effect as the first request with its ID. Both are one operation, which lasts from the start of
			// the first request to the first acknowledgement.
			o := writes[m.ID]
			if m.Outcome != Succeeded {
				continue
			}
			if o.outcomeUnknown {
				start := o.Start
				*o = operation{Request: m}
				o.Start = start
			} else if o.Seq != m.Seq || o.Epoch != m.Epoch {
				return fmt.Errorf("%s was acknowledged as %d@%d, and when retried as %d@%d: done twice", m.ID, o.Seq, o.Epoch, m.Seq,
					m.Epoch)
			} else if m.End.Before(o.End) {
				o.End = m.End
			}
		}
	}
	acked := map[uint64]*operation{}
	for _, o := range ops {
		if !o.Write || o.outcomeUnknown {
			continue
		}
		if first := acked[o.Seq]; first != nil {
			return fmt.Errorf("%s@%d by %s and %s@%d by %s were both acknowledged as effect %d: one is lost", first.ID, first.Epoch,
				first.Node, o.ID, o.Epoch, o.Node, o.Seq)
		}
		acked[o.Seq] = o
	}
	ops, err := assignSequenceNumbers(ops, acked)
	if err != nil {
		return errors.New(err.Error() + explain(ops, requests, acked))
	}
	history := make([]porcupine.Operation, len(ops))
	for i, o := range ops {
		history[i] = porcupine.Operation{ClientId: i, Input: *o, Call: o.Start.UnixNano(), Return: o.End.UnixNano()}
		if o.outcomeUnknown {
			history[i].Return = math.MaxInt64
		}
	}
	switch porcupine.CheckOperationsTimeout(model, history, 20*time.Second) {
	case porcupine.Illegal:
		return errors.New("no order of effects agrees with what clients observed" + explain(ops, requests, acked))
	case porcupine.Unknown:
		return errors.New("the check did not finish within 20 s")
	}
	return nil
}

// assignSequenceNumbers assigns sequence numbers to the writes of unknown outcome, in the order in which the writes began. It
// assigns the numbers that no client received in an acknowledgement. A write can have a number only if it began before a client
// first observed the effect with that number or a later effect. The remaining writes of unknown outcome did not run, or ran
// after all observed effects, and are left out.
func assignSequenceNumbers(ops []*operation, acked map[uint64]*operation) (all []*operation, err error) {
	var last uint64
	for _, o := range ops {
		last = max(last, o.Seq)
	}
	// observedBy[n] is the earliest time at which a client had observed effect n or a later effect.
	observedBy := make([]time.Time, last+2)
	for _, o := range ops {
		if !o.outcomeUnknown && (observedBy[o.Seq].IsZero() || o.End.Before(observedBy[o.Seq])) {
			observedBy[o.Seq] = o.End
		}
	}
	for seq := last; seq > 0; seq-- {
		if a, b := observedBy[seq], observedBy[seq+1]; a.IsZero() || !b.IsZero() && b.Before(a) {
			observedBy[seq] = b
		}
	}
	var unknown []*operation
	for _, o := range ops {
		if o.outcomeUnknown {
			unknown = append(unknown, o) // the slice unknown is sorted by start time, because ops is
		} else {
			all = append(all, o)
		}
	}
	for seq := uint64(1); seq <= last; seq++ {
		if acked[seq] != nil {
			continue
		}
		if len(unknown) == 0 || unknown[0].Start.After(observedBy[seq]) {
			return ops, fmt.Errorf("effect %d belongs to no request: a refused request ran, or one ran twice", seq)
		}
		unknown[0].Seq = seq
		all, unknown = append(all, unknown[0]), unknown[1:]
	}
	return all, nil
}

// explain describes the most likely errors of a history: sequence numbers that no request has, and reads of an old state or of
// effects that were not yet requested. If it finds no such error, it shows the first requests.
func explain(ops []*operation, requests []Request, acked map[uint64]*operation) string {
	var b strings.Builder
	show := func(o Request) {
		fmt.Fprintf(&b, "\n  %s to %s: %s %s", o.Start.Format("05.000000"), o.End.Format("05.000000"),
			model.DescribeOperation(operation{Request: o}, nil), o.Why)
	}
	var last uint64
	unknown := 0
	for seq := range acked {
		last = max(last, seq)
	}
	for _, o := range ops {
		if o.outcomeUnknown {
			unknown++
		}
	}
	gaps := 0
	for seq := uint64(1); seq < last; seq++ {
		if acked[seq] != nil {
			continue
		}
		if gaps++; gaps > 3 {
			continue
		}
		fmt.Fprintf(&b, "\neffect %d was acknowledged to no client; its neighbours:", seq)
		for _, near := range []*operation{acked[seq-1], acked[seq+1]} {
			if near != nil {
				show(near.Request)
			}
		}
	}
	if gaps > unknown {
		fmt.Fprintf(&b, "\n%d numbers belong to no request, but %d requests have an unknown outcome; refused requests:", gaps, unknown)
		shown := 0
		for _, m := range requests {
			if m.Write && m.Outcome == NotRun {
				if shown++; shown <= 10 {
					show(m)
				}
			}
		}
	}
	for _, o := range ops {
		if o.Write {
			continue
		}
		for _, w := range acked {
			if w.End.Before(o.Start) && w.Seq > o.Seq || w.Start.After(o.End) && w.Seq <= o.Seq {
				b.WriteString("\na read that contradicts the order of time:")
				show(o.Request)
				show(w.Request)
				break
			}
		}
		if b.Len() > 4000 {
			break
		}
	}
	for _, o := range ops[:min(20, len(ops))] {
		if b.Len() == 0 || o != ops[0] && b.Len() < 2000 && gaps == 0 {
			show(o.Request)
		}
	}
	return b.String()
}

// CheckDeadlines checks that each request ended within its timeout plus a tolerance.
func CheckDeadlines(requests []Request, tolerance time.Duration) error {
	var faults []error
	for _, m := range requests {
		if took := m.End.Sub(m.Start); took > m.Timeout+tolerance {
			faults = append(faults, fmt.Errorf("%s was answered after %v, its timeout was %v", m.ID, took, m.Timeout))
		}
	}
	return errors.Join(faults...)
}

// CheckOneServes checks by the processes' log events that no two nodes serve an instance at the same time. A killed process
// serves no more. A stopped process (SIGSTOP) does not serve while it is stopped; CheckHistory checks the responses that it sends
// after it is woken.
//
// If a busy machine does not schedule a process until after the end of its lease, the process logs too late that it stops
// serving. The log line states the delay (Event.Late), and CheckOneServes subtracts the delay from the line's time. Programs of
// an earlier version do not state the delay. For them, CheckOneServes uses the time at which the controllers considered the
// lease expired. CheckHistory then shows by the responses whether the process served longer.
func CheckOneServes(events []Event) error {
	events = slices.Clone(events)
	lapsed := map[string]time.Time{}
	for i, e := range events {
		switch {
		case e.Name == "lapsed":
			lapsed[e.To] = e.At
		case e.Name == "stops" && e.Late != nil:
			events[i].At = e.At.Add(-time.Duration(*e.Late) * time.Millisecond)
		case e.Name == "stops" && strings.Contains(e.Why, "lease") && e.At.After(lapsed[e.Node]) && !lapsed[e.Node].IsZero():
			events[i].At = lapsed[e.Node]
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	servingEpochs := map[string]map[string]uint64{} // epoch in which a node serves an instance, by instance and node
	var faults []error
	endAll := func(node string) {
		for _, nodes := range servingEpochs {
			delete(nodes, node)
		}
	}
	for _, e := range events {
		switch {
		case e.Script && (e.Name == "kill" || e.Name == "stop" || e.Name == "start"), e.Name == "ends":
			endAll(e.Node)
		case e.Name == "acts":
			if servingEpochs[e.Instance] == nil {
				servingEpochs[e.Instance] = map[string]uint64{}
			}
			servingEpochs[e.Instance][e.Node] = e.Epoch
			if len(servingEpochs[e.Instance]) > 1 {
				faults = append(faults, fmt.Errorf("at %s two nodes serve %s: %v", e.At.Format("05.000000"), e.Instance, servingEpochs[e.Instance]))
			}
		case e.Name == "stops":
			delete(servingEpochs[e.Instance], e.Node)
		}
	}
	return errors.Join(faults...)
}

// CheckEpochs checks that only one node has acknowledged effects of each epoch of an instance. It also checks that the first
// effect of a later epoch has a higher sequence number than all effects of earlier epochs.
func CheckEpochs(requests []Request) error {
	type epoch struct {
		instance string
		n        uint64
	}
	nodes := map[epoch]string{}
	var acked []Request
	for _, m := range requests {
		if m.Outcome != Succeeded || !m.Write {
			continue
		}
		acked = append(acked, m)
		at := epoch{m.Instance, m.Epoch}
		if u, ok := nodes[at]; ok && u != m.Node {
			return fmt.Errorf("epoch %d of %s: both %s and %s have acknowledged effects", m.Epoch, m.Instance, u, m.Node)
		}
		nodes[at] = m.Node
	}
	slices.SortFunc(acked, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Seq, b.Seq))
	})
	for i := 1; i < len(acked); i++ {
		if a, b := acked[i-1], acked[i]; a.Instance == b.Instance && b.Epoch < a.Epoch {
			return fmt.Errorf("%s: effect %d is of epoch %d, and the later effect %d of epoch %d", a.Instance, a.Seq, a.Epoch, b.Seq, b.Epoch)
		}
	}
	return nil
}

// CheckOrder checks that the events contain a match for each of words (see Event.Is), in the order of words.
func CheckOrder(events []Event, words ...string) error {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	at := 0
	for i, w := range words {
		for at < len(events) && !events[at].Is(w) {
			at++
		}
		if at == len(events) {
			after := "the start"
			if i > 0 {
				after = words[i-1]
			}
			return fmt.Errorf("no %q after %q", w, after)
		}
		at++
	}
	return nil
}
