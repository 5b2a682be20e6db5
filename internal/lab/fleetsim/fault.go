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

// Fault is one line of a script: a kind of fault, its target, its start and its duration.
type Fault struct {
	At       tick.Tick
	Kind     string
	Target   string // name of a process, zone or device, or "all"
	To       string // second process or zone, for kinds of faults that take two, such as "cut", "part" and "swarm"; else ""
	Duration tick.Tick
	Amount   float64 // strength of the fault, such as the loss rate or the fraction of a zone's devices that move
}

// String returns the fault as a line of a script.
func (x Fault) String() string {
	text := fmt.Sprintf("%d %s %s", x.At/milli, x.Kind, x.Target)
	if x.To != "" {
		text += " " + x.To
	}
	if x.Duration > 0 {
		text += fmt.Sprintf(" for %d", x.Duration/milli)
	}
	if x.Amount > 0 {
		text += fmt.Sprintf(" by %.2f", x.Amount)
	}
	return text
}

// Script is a list of faults, which may overlap in time.
type Script []Fault

// String returns the script as text, one fault per line.
func (s Script) String() string {
	var lines []string
	for _, x := range s {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// ParseScript parses a script. A line is, for example, "1200 cut edge-1 edge-2 for 3000", with times in milliseconds.
func ParseScript(text string) (s Script, err error) {
	for n, line := range strings.Split(text, "\n") {
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		var x Fault
		ms, err := strconv.ParseInt(w[0], 10, 40)
		if err != nil || len(w) < 3 || faultKinds[w[1]].apply == nil {
			return nil, fmt.Errorf("line %d: want MS KIND TARGET [TARGET] [for MS] [by AMOUNT], got %.60q",
				n+1, line)
		}
		x.At, x.Kind, x.Target = tick.Tick(ms)*milli, w[1], w[2]
		rest := w[3:]
		if len(rest)%2 == 1 {
			x.To, rest = rest[0], rest[1:]
		}
		for i := 0; i < len(rest); i += 2 {
			v, err := strconv.ParseFloat(rest[i+1], 64)
			switch {
			case err == nil && rest[i] == "for":
				x.Duration = tick.Tick(v) * milli
			case err == nil && rest[i] == "by":
				x.Amount = v
			default:
				return nil, fmt.Errorf("line %d: want [for MS] [by AMOUNT] at the end of %.60q", n+1, line)
			}
		}
		s = append(s, x)
	}
	return s, nil
}

// Play schedules the start and the end of each fault of a script. A fault that restores disks uses a backup taken up to 6 s
// before the fault.
func (f *Fleet) Play(s Script) {
	for _, x := range s {
		if nodes := f.nodes; x.Kind == "putback" || x.Kind == "putbacks" {
			if u := f.nodeByName[x.Target]; u != nil {
				nodes = []*edgeNode{u}
			}
			nodes = slices.Clone(nodes)
			f.after(x.At-f.now-tick.Tick(f.rng.IntN(int(6*tick.Second))), func() {
				for _, u := range nodes {
					u.backupLogs, u.backupRecords = cloneLogs(u.logs), u.diskRecords
				}
			})
		}
		f.after(x.At-f.now, func() {
			f.logEvent(testcluster.Event{Node: "script", Name: x.Kind, Instance: x.Target, To: x.To, Script: true})
			f.faultsUnderway++
			for _, name := range []string{x.Target, x.To} {
				if f.nodeByName[name] != nil {
					f.checker.disturbed[name] = true
					f.checker.nodeFaults++
				}
			}
			f.activeFaults[x.Kind]++
			undo := faultKinds[x.Kind].apply(f, x)
			f.cluster.onLinksChanged()
			f.after(max(x.Duration, 1), func() {
				if undo != nil {
					undo()
				}
				f.cluster.onLinksChanged()
				f.faultsUnderway--
				if f.activeFaults[x.Kind]--; f.activeFaults[x.Kind] == 0 {
					delete(f.activeFaults, x.Kind)
				}
				f.lastFaultEnd = f.now
				f.logEvent(testcluster.Event{Node: "script", Name: "heals", Instance: x.Target, Why: x.Kind, Script: true})
			})
		})
	}
}

// drawFault draws a random fault. Its start is drawn from the span that begins 1 s after the start of the run.
func drawFault(r *rand.Rand, f *Fleet, span tick.Tick) Fault {
	name := faultNames[r.IntN(len(faultNames))]
	k := faultKinds[name]
	x := Fault{At: tick.Second + tick.Tick(r.Int64N(int64(span))), Kind: name,
		Duration: tick.Tick(100+r.IntN(1+[]int{900, 3000, 9000}[r.IntN(3)])) * milli}
	pick := func(on string) string {
		switch on {
		case "unit":
			return f.nodes[r.IntN(len(f.nodes))].name
		case "node":
			return f.endpoints[r.IntN(len(f.endpoints))].name
		case "zone":
			return f.zones[r.IntN(len(f.zones))].name
		case "keeper":
			return f.cluster.controllers[r.IntN(len(f.cluster.controllers))].endpoint.name
		case "relay":
			return f.relays[r.IntN(len(f.relays))].endpoint.name
		case "camera":
			return f.devices[r.IntN(len(f.devices))].name
		}
		return "all"
	}
	x.Target = pick(k.target)
	if k.to != "" {
		for x.To = pick(k.to); x.To == x.Target; {
			x.To = pick(k.to)
		}
	}
	if k.amount[1] > 0 {
		x.Amount = float64(int(100*(k.amount[0]+(k.amount[1]-k.amount[0])*r.Float64()))) / 100
	}
	return x
}
