package fleetsim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Processes of a later landing among those of this one. What they speak beyond this program is one step, one version of
// messages, and one field of places; placement.Reads, handover.Message.Check and placement.Table judge it, as processes do.
const (
	laterStep  = placement.OperationKind("dim")
	laterField = "lights"
	asksLater  = 150 * milli // a later unit asks for its step again
)

func init() {
	kinds["later"] = kind{on: "unit", do: laterUnit}
	kinds["laterkeeper"] = kind{on: "keeper", do: laterKeeper}
	kinds["roll"] = kind{on: "all", do: roll}
	names = slices.Sorted(maps.Keys(kinds))
}

// laterUnit has a unit write what others can't read, and ask for steps that keepers do not know.
func laterUnit(f *Fleet, x Fault) func() {
	u := f.byUnit[x.On]
	u.later++
	asks(f, u)
	return func() { u.later-- }
}

func asks(f *Fleet, u *unit) {
	if u.later == 0 {
		return
	}
	f.in(asksLater, func() { asks(f, u) })
	if u.o == nil || u.frozen > 0 {
		return
	}
	for _, p := range f.keep.table.ByPrimary(u.name)[:min(1, u.owns)] {
		e := placement.Operation{Version: placement.FormatVersion + f.rng.IntN(2), Kind: laterStep, Instance: p.Instance, Epoch: p.Epoch, Node: u.name}
		f.keep.step(u.node, e, func(placement.Assignment, error) {})
	}
}

// laterKeeper starts a keeper with a later program, which adds a field to what it keeps. At the end it is as before,
// unless a step was agreed meanwhile that only later ones know: then it has to stay.
func laterKeeper(f *Fleet, x Fault) func() {
	k := f.keeperOf(x.On)
	k.later++
	f.keep.light()
	return func() {
		f.keep.whole()
		if !f.keep.spoken {
			k.later--
		}
	}
}

// light has the table as a later keeper's snapshot hands it on: with a field that this program does not know.
func (c *cluster) light() {
	var text []byte
	for line := range bytes.Lines(c.table.Snapshot()) {
		var m map[string]json.RawMessage
		if err := json.Unmarshal(line, &m); err != nil {
			c.f.check.fail("a snapshot's line: %v", err)
			return
		}
		m[laterField] = json.RawMessage(`"on"`)
		line, _ = json.Marshal(m)
		text = append(append(text, line...), '\n')
	}
	if err := c.table.Restore(text); err != nil {
		c.f.check.fail("a snapshot with a field of a later version: %v", err)
	}
	c.lit = true
}

// whole holds that a snapshot is read as it was written, and that what a later keeper added is still there.
func (c *cluster) whole() {
	text := c.table.Snapshot()
	other := placement.New()
	if err := other.Restore(text); err != nil || !bytes.Equal(other.Snapshot(), text) {
		c.f.check.fail("rule 6: a snapshot is not what it was: %v", err)
	}
	if n := bytes.Count(text, []byte(`"`+laterField+`":`)); c.lit && n != c.table.Len()+1 {
		c.f.check.fail("rule 6: %d of %d fields of a later version are kept", n, c.table.Len()+1)
	}
	c.f.placesKept++
}

// reads tells whether the leading keeper knows a step; of one that it doesn't nothing may move.
func (l *lead) reads(e placement.Operation) error {
	if l.who.later > 0 || l.c.f.flaw.readsAll {
		return nil
	}
	err := placement.CheckSupported(e)
	if err != nil {
		l.c.f.refused++
	}
	return err
}

// unknown is a step that was agreed and that this program does not know: keepers of before end before anything of it is
// carried out, and are started again with the later program a while after.
func (c *cluster) unknown(o *order, e placement.Operation) {
	f := c.f
	c.spoken = true
	if !o.later {
		f.check.fail("rule 6: %s of %s was agreed under a keeper that does not know it", e.Kind, e.Instance)
	}
	for _, k := range c.all {
		if k.later > 0 {
			continue
		}
		k.later++ // from its next start on
		if k.down > 0 {
			continue
		}
		k.down++
		f.say(testcluster.Event{Node: k.node.name, Name: "ends", Why: "an entry of a later version"})
		f.in(tick.Second, func() {
			k.down--
			c.look()
		})
	}
	f.in(0, c.changed)
}

// roll ends each process and starts it again, a tenth of each kind at a time: keepers first, then units, which are
// drained before, then relays.
func roll(f *Fleet, x Fault) func() {
	var steps []func(span tick.Tick)
	tenths := func(n int, of func(i int, span tick.Tick)) {
		some := max(1, n/10)
		for from := 0; from < n; from += some {
			steps = append(steps, func(span tick.Tick) {
				for i := from; i < min(n, from+some); i++ {
					of(i, span)
				}
			})
		}
	}
	for _, k := range f.keep.all {
		steps = append(steps, func(span tick.Tick) {
			if k.down > 0 {
				return // an operator leaves it for later
			}
			f.keep.whole()
			undo := keeperDown(f, []*keeper{k})
			f.in(min(span/2, 300*milli), func() { undo() })
		})
	}
	units := f.units[:f.Units]
	tenths(len(units), func(i int, span tick.Tick) {
		u := units[i]
		f.check.gone[u.name] = true
		f.check.hits++
		f.leaves++
		u.drains++
		f.in(span*8/10, func() {
			u.down++
			u.falls(false)
		})
		f.in(span-1, func() {
			u.drains--
			u.down--
			u.start()
		})
	})
	tenths(len(f.relays), func(i int, span tick.Tick) {
		r := f.relays[i]
		r.down++
		f.in(span/2, func() { r.down--; r.run++ })
	})
	each := max(x.Span/tick.Tick(len(steps)), 10)
	for i, do := range steps {
		f.in(tick.Tick(i)*each, func() {
			if i == 0 || i%8 == 0 {
				f.say(testcluster.Event{Node: "script", Name: "rolls", Why: fmt.Sprintf("%d of %d", i+1, len(steps)), Script: true})
			}
			do(each)
		})
	}
	return func() { f.keep.whole() }
}
