package fleetsim

import (
	"maps"
	"slices"

	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// kind is a kind of fault: what it is done to, and what it does. What do returns ends it.
type kind struct {
	on, to string // unit, node, zone, keeper, camera, all
	part   [2]float64
	do     func(f *Fleet, x Fault) (undo func())
}

var kinds map[string]kind

func init() {
	kinds = map[string]kind{}
	for _, group := range []map[string]kind{linkFaults(), processFaults(), strengthFaults(), controllerFaults()} {
		maps.Copy(kinds, group)
	}
	names = slices.Sorted(maps.Keys(kinds))
}

// linkFaults are faults of what is between nodes.
func linkFaults() map[string]kind {
	return map[string]kind{
		"cut": {on: "node", to: "node", do: func(f *Fleet, x Fault) func() { // one way
			a, b := f.byName[x.On], f.byName[x.To]
			f.blocked[[2]int{a.id, b.id}]++
			return func() { f.blocked[[2]int{a.id, b.id}]-- }
		}},
		"part": {on: "node", to: "node", do: func(f *Fleet, x Fault) func() { // both ways
			a, b := f.byName[x.On], f.byName[x.To]
			f.blockBoth(a, b, 1)
			return func() { f.blockBoth(a, b, -1) }
		}},
		"mute": {on: "node", do: func(f *Fleet, x Fault) func() {
			n := f.byName[x.On]
			n.out++
			return func() { n.out-- }
		}},
		"deaf": {on: "node", do: func(f *Fleet, x Fault) func() {
			n := f.byName[x.On]
			n.in++
			return func() { n.in-- }
		}},
		"alone": {on: "node", do: func(f *Fleet, x Fault) func() {
			n := f.byName[x.On]
			n.in++
			n.out++
			return func() { n.in--; n.out-- }
		}},
		"loss": {on: "node", part: [2]float64{0.02, 0.6}, do: func(f *Fleet, x Fault) func() {
			n := f.byName[x.On]
			n.loss += x.Part
			return func() { n.loss -= x.Part }
		}},
		"radio": {on: "zone", part: [2]float64{0.05, 0.5}, do: radio},
		"split": {on: "zone", do: split},
	}
}

// processFaults are faults of units' processes and disks, and of what they may run.
func processFaults() map[string]kind {
	return map[string]kind{
		"stall":   {on: "unit", do: stall},
		"crash":   {on: "unit", do: func(f *Fleet, x Fault) func() { return crash(f, x, false, false) }},
		"wipe":    {on: "unit", do: func(f *Fleet, x Fault) func() { return crash(f, x, true, false) }},
		"putback": {on: "unit", do: func(f *Fleet, x Fault) func() { return crash(f, x, false, true) }},
		// All that have a camera's instance: its owner and its holders.
		"putbacks": {on: "camera", do: func(f *Fleet, x Fault) func() {
			p, _ := f.keep.table.Get(x.On)
			var undo []func()
			for _, name := range append([]string{p.Primary}, p.Replicas...) {
				if f.byUnit[name] != nil {
					f.check.hits++
					undo = append(undo, crash(f, Fault{On: name}, false, true))
				}
			}
			return func() {
				for _, do := range undo {
					do()
				}
			}
		}},
		"full": {on: "unit", do: func(f *Fleet, x Fault) func() {
			u := f.byUnit[x.On]
			u.full++
			return func() { u.full-- }
		}},
		"twin": {on: "unit", do: twin},
		"poison": {on: "camera", do: func(f *Fleet, x Fault) func() {
			c := f.byCam[x.On]
			c.poison = true
			f.check.hits += 2
			p, _ := f.keep.table.Get(c.name)
			if u := f.byUnit[p.Primary]; u != nil && u.o != nil && len(f.check.actors[c.name]) > 0 {
				u.down++
				u.falls(false)
				f.in(tick.Second, func() { u.down--; u.start() })
			}
			return func() { c.poison = false }
		}},
		"clock": {on: "relay", part: [2]float64{0.5, 1}, do: func(f *Fleet, x Fault) func() {
			f.clocks(x.On, tick.Tick(x.Part*3600*float64(tick.Second)))
			return nil
		}},
		"relaydown": {on: "relay", do: func(f *Fleet, x Fault) func() {
			r := f.relayOf(x.On)
			r.down++
			return func() { r.down--; r.run++ }
		}},
	}
}

// strengthFaults are what has units refuse or hand over their instances, and what moves load.
func strengthFaults() map[string]kind {
	return map[string]kind{
		"bad": {on: "unit", do: func(f *Fleet, x Fault) func() {
			u := f.byUnit[x.On]
			u.bad++
			f.leaves++
			return func() { u.bad-- }
		}},
		"drain": {on: "unit", do: func(f *Fleet, x Fault) func() {
			u := f.byUnit[x.On]
			u.drains++
			f.leaves++
			return func() { u.drains-- }
		}},
		"tired": {on: "unit", do: func(f *Fleet, x Fault) func() { return tired(f, f.byUnit[x.On]) }},
		"tiredzone": {on: "zone", do: func(f *Fleet, x Fault) func() {
			var undo []func()
			for _, u := range f.zoneOf(x.On).units {
				undo = append(undo, tired(f, u))
			}
			return func() {
				for _, do := range undo {
					do()
				}
			}
		}},
		"sun": {on: "zone", part: [2]float64{0.3, 1}, do: func(f *Fleet, x Fault) func() {
			z := f.zoneOf(x.On)
			z.sun += x.Part
			f.leaves++
			return func() { z.sun -= x.Part }
		}},
		"crowd": {on: "zone", part: [2]float64{0.2, 0.9}, do: crowd},
		"swarm": {on: "zone", to: "zone", part: [2]float64{0.1, 1}, do: swarm},
	}
}

// controllerFaults are faults of the controllers.
func controllerFaults() map[string]kind {
	return map[string]kind{
		"leader": {on: "all", do: leader},
		"keeper": {on: "keeper", do: func(f *Fleet, x Fault) func() {
			return keeperDown(f, []*keeper{f.keeperOf(x.On)})
		}},
		"majority": {on: "all", do: func(f *Fleet, x Fault) func() {
			return keeperDown(f, f.keep.all[:len(f.keep.all)/2+1])
		}},
		"slowdisk": {on: "keeper", part: [2]float64{0.05, 1}, do: func(f *Fleet, x Fault) func() {
			k, more := f.keeperOf(x.On), tick.Tick(x.Part*float64(tick.Second))
			k.disk += more
			return func() { k.disk -= more }
		}},
	}
}

var names []string // of kinds, sorted

func (f *Fleet) zoneOf(name string) *zone {
	for _, z := range f.zones {
		if z.name == name {
			return z
		}
	}
	return nil
}

func (f *Fleet) keeperOf(name string) *keeper {
	for _, k := range f.keep.all {
		if k.node.name == name {
			return k
		}
	}
	return nil
}

func (f *Fleet) relayOf(name string) *relay {
	for _, r := range f.relays {
		if r.node.name == name {
			return r
		}
	}
	return nil
}

// clocks sets the clock that one relay decides by forward, or with "all" each one's, as after a sleep of its machine.
func (f *Fleet) clocks(name string, by tick.Tick) {
	for _, r := range f.relays {
		if name == "all" || r.node.name == name {
			r.offset += by
		}
	}
}

// radio halves a zone's uplink and more, with loss and delay.
func radio(f *Fleet, x Fault) func() {
	z := f.zoneOf(x.On)
	for _, u := range z.units {
		f.check.gone[u.name] = true
		f.check.hits++
	}
	by, slow := 2+8*x.Part, tick.Tick(x.Part*200*float64(milli))
	z.rate /= by
	z.slow += slow
	z.loss += x.Part / 4
	return func() { z.rate *= by; z.slow -= slow; z.loss -= x.Part / 4 }
}

// split cuts a zone off all others and the keepers.
func split(f *Fleet, x Fault) func() {
	z := f.zoneOf(x.On)
	z.apart++
	for _, u := range z.units {
		f.check.gone[u.name] = true
		if f.Away == 0 {
			f.check.hits++
		}
	}
	if f.Away > 0 {
		f.check.apart[z.name] = true
	}
	return func() { z.apart-- }
}

func stall(f *Fleet, x Fault) func() {
	u := f.byUnit[x.On]
	u.frozen++
	f.check.gone[u.name] = true
	return func() {
		if u.frozen--; u.frozen > 0 || u.o == nil {
			return
		}
		some := u.waiting
		u.waiting = nil
		for _, do := range some {
			if u.o == nil {
				return
			}
			do()
		}
	}
}

// crash ends a process; it is begun again at the end of the span, with its disk, without it, or with an older one.
func crash(f *Fleet, x Fault, wipe, back bool) func() {
	u := f.byUnit[x.On]
	f.check.gone[u.name] = true
	if wipe || back {
		f.check.wiped[u.name] = true
	}
	u.down++
	u.frozen = 0
	u.falls(wipe)
	if wipe && f.circle != nil {
		f.circle.byName[u.name].fresh = true
	}
	if back && u.old != nil {
		u.disk, u.mark = cloned(u.old), u.oldMark
	}
	return func() {
		u.down--
		u.start()
	}
}

func tired(f *Fleet, u *unit) func() {
	charge, mains := u.van.Charge, u.van.Mains
	u.van.Charge, u.van.Mains = 0.0515, false
	f.leaves++
	return func() { u.van.Charge, u.van.Mains = max(charge, 0.5), mains }
}

func crowd(f *Fleet, x Fault) func() {
	z := f.zoneOf(x.On)
	for _, u := range z.units {
		u.hard += x.Part
	}
	return func() {
		for _, u := range z.units {
			u.hard -= x.Part
		}
	}
}

// swarm moves cameras of a zone to another one, over a tenth of the span or 10 s; at its end they go back.
func swarm(f *Fleet, x Fault) func() {
	from, to := f.zoneOf(x.On), f.zoneOf(x.To)
	var some []*camera
	for _, c := range f.cams {
		if c.zone == from {
			some = append(some, c)
		}
	}
	some = some[:int(x.Part*float64(len(some)))]
	go1 := func(z *zone) {
		over := min(x.Span/10, 10*tick.Second) + 1
		for _, c := range some {
			f.in(tick.Tick(f.rng.Int64N(int64(over))), func() { c.zone = z; f.keep.device(c, z) })
		}
	}
	go1(to)
	return func() { go1(from) }
}

// leader fells the keeper that leads.
func leader(f *Fleet, x Fault) func() {
	if f.keep.lead == nil {
		return nil
	}
	return keeperDown(f, []*keeper{f.keep.lead.who})
}

func keeperDown(f *Fleet, some []*keeper) func() {
	for _, k := range some {
		k.down++
		f.say(testcluster.Event{Node: k.node.name, Name: "FALLS"})
	}
	f.keep.look()
	return func() {
		for _, k := range some {
			k.down--
		}
		f.keep.look()
	}
}

// twin runs a unit restored from an image beside it, under its name.
func twin(f *Fleet, x Fault) func() {
	u := f.byUnit[x.On]
	v := f.bareUnit(u.name, u.zone)
	u.twin = v
	v.shown = u.name + "'"
	v.disk, v.mark, v.wrote = cloned(u.disk), u.mark, u.wrote
	v.run = u.run
	f.check.gone[u.name] = true
	f.check.wiped[u.name] = true // its disk is as of now, whenever it comes to have the name
	f.units = append(f.units, v)
	v.start()
	return func() {
		v.down++
		v.falls(false)
		if u.twin == v {
			u.twin = nil
		}
	}
}

// blockBoth adds n cuts to the links between two nodes, in both directions.
func (f *Fleet) blockBoth(a, b *node, n int) {
	f.blocked[[2]int{a.id, b.id}] += n
	f.blocked[[2]int{b.id, a.id}] += n
}
