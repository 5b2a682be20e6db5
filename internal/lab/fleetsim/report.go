package fleetsim

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"silvercove/internal/tick"
)

// Scenario is a fault whose recovery time is measured.
type Scenario struct {
	Name    string
	Script  func(f *Fleet) string // returns a script that applies the fault at 20 s
	FromEnd bool                  // whether recovery is measured from the end of the fault instead of its start
}

// Scenarios are the faults in the rows of RecoveryTable.
var Scenarios = []Scenario{
	{Name: "a unit falls for good", Script: func(*Fleet) string { return "20000 crash edge-1 for 3000000" }},
	{Name: "a unit loses its disk and is back after 3 s",
		Script: func(*Fleet) string { return "20000 wipe edge-1 for 3000" }, FromEnd: true},
	{Name: "the leading keeper falls", Script: func(*Fleet) string { return "20000 leader all for 3000000" }},
	{Name: "a zone is cut off for 20 s", Script: func(*Fleet) string { return "20000 split zone-1 for 20000" },
		FromEnd: true},
	{Name: "a zone is cut off for 60 s, longer than restart_after",
		Script: func(*Fleet) string { return "20000 split zone-1 for 60000" }, FromEnd: true},
	{Name: "a tenth of a zone's cameras go to another zone",
		Script: func(*Fleet) string { return "20000 swarm zone-1 zone-2 for 3000000 by 0.1" }},
	{Name: "one unit in ten falls at once and is back after 8 s", Script: func(f *Fleet) (text string) {
		for i := 0; i < f.Nodes; i += 10 {
			text += fmt.Sprintf("20000 crash edge-%d for 8000\n", i+1)
		}
		return text
	}, FromEnd: true},
}

// Recovery describes how a fleet recovered from one fault.
type Recovery struct {
	Quiet, Idle tick.Tick // Quiet: time from the start of the fault, or from its end if Scenario.FromEnd is set, until Fleet.Quiet reports true; Idle: longest time for which an instance had no serving node
	Moves       int       // maximum number of moves at once
	Operations  int       // number of operations that the controllers agreed on
	Lost        int       // number of instances that restarted without a current replica, once per restart
	Broken      string    // a broken rule or an instance that has not settled; "" if there is none
}

// MeasureRecovery runs a scenario in a fleet until Fleet.Quiet has reported true for three leases. It gives up 1800 s after the
// start of the fault, or after its end if Scenario.FromEnd is set.
func MeasureRecovery(seed uint64, s Size, t Scenario) (c Recovery) {
	f := New(seed, s)
	script, err := ParseScript(t.Script(f))
	if err != nil {
		panic(err)
	}
	f.Play(script)
	f.Run(20*tick.Second - 2)
	operations, from := f.cluster.Operations, 20*tick.Second
	f.checker.longestIdle = 0
	if t.FromEnd {
		from += script[0].Duration
	}
	f.Run(from + 2 - f.now)
	since, quiet := f.Quiet()
	for f.Broken() == "" && f.now < from+1800*tick.Second && (!quiet ||
		f.now < max(since, from)+3*tick.Tick(s.Lease*float64(tick.Second))) {
		f.Run(tick.Second)
		since, quiet = f.Quiet()
	}
	c = Recovery{Quiet: max(0, since-from), Idle: f.checker.longestIdle, Moves: f.checker.MostMoves,
		Operations: f.cluster.Operations - operations, Lost: f.checker.Lost,
		Broken: f.Broken()}
	if !quiet {
		c.Broken = f.describeUnsettled()
	}
	return c
}

// RecoveryTable writes a Markdown table of the recovery times after each scenario, for fleets with the given numbers of nodes
// and the given number of remote replicas.
func RecoveryTable(w io.Writer, seed uint64, nodes []int, remoteReplicas int) {
	_, _ = fmt.Fprintf(w, "| fault | nodes | quiet after, s | longest without a primary, s | moves at once | operations agreed | lost |\n")
	_, _ = fmt.Fprintf(w, "| --- | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, t := range Scenarios {
		for _, n := range nodes {
			s := Large(n)
			s.RemoteReplicas = remoteReplicas
			c := MeasureRecovery(seed, s, t)
			_, _ = fmt.Fprintf(w, "| %s | %d | %.1f | %.1f | %d | %d | %d |", t.Name, n, seconds(c.Quiet),
				seconds(c.Idle), c.Moves, c.Operations, c.Lost)
			if c.Broken != "" {
				_, _ = fmt.Fprintf(w, " %s", c.Broken)
			}
			_, _ = fmt.Fprintln(w)
		}
	}
}

func seconds(t tick.Tick) float64 { return float64(t) / float64(tick.Second) }

// EventScript returns the script of a public event that lasts for span. Some devices of zone-1 move to zone-2 and return near
// the end. In between, half of the devices of zone-2 move to zone-1 for a tenth of the span. Meanwhile nodes, the leading
// controller and a zone fail.
func EventScript(f *Fleet, span tick.Tick) (s Script) {
	at := func(part float64) tick.Tick { return tick.Tick(part * float64(span)) }
	s = append(s, Fault{At: at(0.1), Kind: "swarm", Target: "zone-1", To: "zone-2", Duration: at(0.8), Amount: 0.3},
		Fault{At: at(0.4), Kind: "swarm", Target: "zone-2", To: "zone-1", Duration: at(0.1), Amount: 0.5},
		Fault{At: at(0.4), Kind: "crowd", Target: "zone-1", Duration: at(0.1), Amount: 0.4},
		Fault{At: at(0.3), Kind: "sun", Target: "zone-2", Duration: at(0.3), Amount: 0.7},
		Fault{At: at(0.55), Kind: "leader", Target: "all", Duration: at(0.02)},
		Fault{At: at(0.7), Kind: "split", Target: "zone-2", Duration: 20 * tick.Second})
	for i := range max(1, f.Nodes/50) {
		s = append(s, Fault{At: at(0.05 + 0.9*f.rng.Float64()), Kind: []string{"crash", "stall", "wipe",
			"drain"}[i%4],
			Target: f.nodes[f.rng.IntN(f.Nodes)].name, Duration: 8 * tick.Second})
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// PlayEvent simulates a public event of the given span in a fleet, and writes the cost and the outcome of the simulation.
func PlayEvent(w io.Writer, seed uint64, s Size, span tick.Tick) {
	began, before := time.Now(), cpuTime()
	f := New(seed, s)
	f.Play(EventScript(f, span))
	f.Run(span)
	k := &f.checker
	since, quiet := f.Quiet()
	_, _ = fmt.Fprintf(w, "%d relays, %d nodes in %d zones, %d instances, %d controllers, %.0f s simulated: %.0f s CPU time, %.0f s elapsed, %d events\n",
		s.Relays, s.Nodes, s.Zones, s.Instances, s.Controllers, seconds(span), (cpuTime() - before).Seconds(), time.Since(began).Seconds(), f.Events)
	_, _ = fmt.Fprintf(w, "%d sampled requests: %d succeeded, %d rejected, %d unknown; %d moves, at most %d at once, %d crashes, %d lost; ",
		k.Requests, k.Succeeded, k.Rejected, k.Unknown, k.Moves, k.MostMoves, k.Crashes, k.Lost)
	_, _ = fmt.Fprintf(w, "%d operations in %d entries; quiet: %v since %.0f s; digest of the timeline %016x\n",
		f.cluster.Operations, f.cluster.Entries, quiet, seconds(since), f.Digest())
	if f.Broken() != "" {
		_, _ = fmt.Fprintf(w, "BROKEN: %s\n", f.Broken())
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Report writes the results of a search.
func (s *SearchResult) Report(w io.Writer) {
	quiet := slices.Clone(s.Quiet)
	slices.Sort(quiet)
	at := func(part float64) float64 { return seconds(quiet[int(part*float64(len(quiet)-1))]) }
	_, _ = fmt.Fprintf(w, "%d schedules, %d situations, %d pairs of decisions, %d reported losses; quiet after the last fault: half within %.1f s, 99%% within %.1f s, all within %.1f s\n",
		s.Played, s.Coverage, len(s.Pairs), s.ReportedLosses, at(0.5), at(0.99), at(1))
	s.pairTable(w)
	for _, p := range s.Broken {
		_, _ = fmt.Fprintf(w, "\n%s\n", p.Text())
	}
}

// pairTable writes a Markdown table that lists, for each decision, the decisions that directly followed it for the same
// instance.
func (s *SearchResult) pairTable(w io.Writer) {
	after := map[string][]string{}
	for _, pair := range s.Pairs {
		first, second, _ := strings.Cut(pair, ">")
		after[first] = append(after[first], second)
	}
	_, _ = fmt.Fprintf(w, "\n| decision | of %d | directly followed by |\n| --- | ---: | --- |\n", len(decisions)-1)
	for _, first := range decisions {
		if successors := after[first]; len(successors) > 0 {
			name := first
			if name == "" {
				name = "start"
			}
			_, _ = fmt.Fprintf(w, "| %s | %d | %s |\n", name, len(successors), strings.Join(successors, ", "))
		}
	}
}
