package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Fault is one line of a script: what is done to what, from when on and for how long.
type Fault struct {
	At   tick.Tick
	Kind string
	On   string // a node, a zone or a camera
	To   string // for a cut of a pair and a swarm
	Span tick.Tick
	Part float64 // loss, heat, cameras of a swarm in parts of a zone's
}

func (x Fault) String() string {
	text := fmt.Sprintf("%d %s %s", x.At/milli, x.Kind, x.On)
	if x.To != "" {
		text += " " + x.To
	}
	if x.Span > 0 {
		text += fmt.Sprintf(" for %d", x.Span/milli)
	}
	if x.Part > 0 {
		text += fmt.Sprintf(" by %.2f", x.Part)
	}
	return text
}

// Script is faults, which may overlap.
type Script []Fault

func (s Script) String() string {
	var lines []string
	for _, x := range s {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// ParseScript reads lines such as "1200 cut edge-1 edge-2 for 3000".
func ParseScript(text string) (s Script, err error) {
	for n, line := range strings.Split(text, "\n") {
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		var x Fault
		ms, err := strconv.ParseInt(w[0], 10, 40)
		if err != nil || len(w) < 3 || kinds[w[1]].do == nil {
			return nil, fmt.Errorf("line %d: MS KIND NODE [NODE] [for MS] [by PART] is wanted, not %.60q",
				n+1, line)
		}
		x.At, x.Kind, x.On = tick.Tick(ms)*milli, w[1], w[2]
		rest := w[3:]
		if len(rest)%2 == 1 {
			x.To, rest = rest[0], rest[1:]
		}
		for i := 0; i < len(rest); i += 2 {
			v, err := strconv.ParseFloat(rest[i+1], 64)
			switch {
			case err == nil && rest[i] == "for":
				x.Span = tick.Tick(v) * milli
			case err == nil && rest[i] == "by":
				x.Part = v
			default:
				return nil, fmt.Errorf("line %d: %.60q", n+1, line)
			}
		}
		s = append(s, x)
	}
	return s, nil
}

// Play has a script happen, and ends it all at its end.
func (f *Fleet) Play(s Script) {
	for _, x := range s {
		if some := f.units; x.Kind == "putback" || x.Kind == "putbacks" {
			if u := f.byUnit[x.On]; u != nil {
				some = []*unit{u}
			}
			some = slices.Clone(some)
			f.in(x.At-f.now-tick.Tick(f.rng.IntN(int(6*tick.Second))), func() {
				for _, u := range some {
					u.old, u.oldMark = cloned(u.disk), u.mark
				}
			})
		}
		f.in(x.At-f.now, func() {
			f.say(testcluster.Event{Node: "script", Name: x.Kind, Instance: x.On, To: x.To, Script: true})
			f.faults++
			for _, name := range []string{x.On, x.To} {
				if f.byUnit[name] != nil {
					f.check.gone[name] = true
					f.check.hits++
				}
			}
			f.active[x.Kind]++
			undo := kinds[x.Kind].do(f, x)
			f.keep.changed()
			f.in(max(x.Span, 1), func() {
				if undo != nil {
					undo()
				}
				f.keep.changed()
				f.faults--
				if f.active[x.Kind]--; f.active[x.Kind] == 0 {
					delete(f.active, x.Kind)
				}
				f.healed = f.now
				f.say(testcluster.Event{Node: "script", Name: "heals", Instance: x.On, Why: x.Kind, Script: true})
			})
		})
	}
}

// draw makes one fault from the grammar.
func draw(r *rand.Rand, f *Fleet, span tick.Tick) Fault {
	name := names[r.IntN(len(names))]
	k := kinds[name]
	x := Fault{At: tick.Second + tick.Tick(r.Int64N(int64(span))), Kind: name,
		Span: tick.Tick(100+r.IntN(1+[]int{900, 3000, 9000}[r.IntN(3)])) * milli}
	pick := func(on string) string {
		switch on {
		case "unit":
			return f.units[r.IntN(len(f.units))].name
		case "node":
			return f.nodes[r.IntN(len(f.nodes))].name
		case "zone":
			return f.zones[r.IntN(len(f.zones))].name
		case "keeper":
			return f.keep.all[r.IntN(len(f.keep.all))].node.name
		case "relay":
			return f.relays[r.IntN(len(f.relays))].node.name
		case "camera":
			return f.cams[r.IntN(len(f.cams))].name
		}
		return "all"
	}
	x.On = pick(k.on)
	if k.to != "" {
		for x.To = pick(k.to); x.To == x.On; {
			x.To = pick(k.to)
		}
	}
	if k.part[1] > 0 {
		x.Part = float64(int(100*(k.part[0]+(k.part[1]-k.part[0])*r.Float64()))) / 100
	}
	return x
}
