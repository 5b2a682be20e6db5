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

// Trouble is one fault of the table of times to quiet.
type Trouble struct {
	Name string
	Line func(f *Fleet) string // its fault, at 20 s
	End  bool                  // quiet is counted from the fault's end, else from its beginning
}

// Troubles are the faults of the table.
var Troubles = []Trouble{
	{Name: "a unit falls for good", Line: func(*Fleet) string { return "20000 crash edge-1 for 3000000" }},
	{Name: "a unit loses its disk and is back after 3 s",
		Line: func(*Fleet) string { return "20000 wipe edge-1 for 3000" }, End: true},
	{Name: "the leading keeper falls", Line: func(*Fleet) string { return "20000 leader all for 3000000" }},
	{Name: "a zone is cut off for 20 s", Line: func(*Fleet) string { return "20000 split zone-1 for 20000" },
		End: true},
	{Name: "a zone is cut off for 60 s, longer than restart_after",
		Line: func(*Fleet) string { return "20000 split zone-1 for 60000" }, End: true},
	{Name: "a tenth of a zone's cameras go to another zone",
		Line: func(*Fleet) string { return "20000 swarm zone-1 zone-2 for 3000000 by 0.1" }},
	{Name: "one unit in ten falls at once and is back after 8 s", Line: func(f *Fleet) (text string) {
		for i := 0; i < f.Units; i += 10 {
			text += fmt.Sprintf("20000 crash edge-%d for 8000\n", i+1)
		}
		return text
	}, End: true},
}

// Calm is how a fleet came to rest after one trouble.
type Calm struct {
	Quiet, Idle tick.Tick // until all was quiet; the longest that an instance was without an owner
	Moves       int       // at once, at the most
	Steps       int       // that the keepers agreed on
	Lost        int
	Broken      string
}

// Settle plays a trouble in a fleet.
func Settle(seed uint64, s Size, t Trouble) (c Calm) {
	f := New(seed, s)
	script, err := ParseScript(t.Line(f))
	if err != nil {
		panic(err)
	}
	f.Play(script)
	f.Run(20*tick.Second - 2)
	steps, from := f.keep.Steps, 20*tick.Second
	f.check.worst = 0
	if t.End {
		from += script[0].Span
	}
	f.Run(from + 2 - f.now)
	since, quiet := f.Quiet()
	for f.Broken() == "" && f.now < from+1800*tick.Second && (!quiet ||
		f.now < max(since, from)+3*tick.Tick(s.Lease*float64(tick.Second))) {
		f.Run(tick.Second)
		since, quiet = f.Quiet()
	}
	c = Calm{Quiet: max(0, since-from), Idle: f.check.worst, Moves: f.check.MostMoves,
		Steps: f.keep.Steps - steps, Lost: f.check.Lost,
		Broken: f.Broken()}
	if !quiet {
		c.Broken = f.unquiet()
	}
	return c
}

// CalmTable writes how long fleets of several sizes take to be quiet after each trouble, with so many holders away.
func CalmTable(w io.Writer, seed uint64, units []int, away int) {
	_, _ = fmt.Fprintf(w, "| trouble | units | quiet after, s | longest without an owner, s | moves at once | steps agreed | lost |\n")
	_, _ = fmt.Fprintf(w, "| --- | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, t := range Troubles {
		for _, n := range units {
			s := Large(n)
			s.Away = away
			c := Settle(seed, s, t)
			_, _ = fmt.Fprintf(w, "| %s | %d | %.1f | %.1f | %d | %d | %d |", t.Name, n, seconds(c.Quiet),
				seconds(c.Idle), c.Moves, c.Steps, c.Lost)
			if c.Broken != "" {
				_, _ = fmt.Fprintf(w, " %s", c.Broken)
			}
			_, _ = fmt.Fprintln(w)
		}
	}
}

func seconds(t tick.Tick) float64 { return float64(t) / float64(tick.Second) }

// Day is a script of an event: cameras arrive, cross at half-time, and leave, while things fail as they do.
func Day(f *Fleet, span tick.Tick) (s Script) {
	at := func(part float64) tick.Tick { return tick.Tick(part * float64(span)) }
	s = append(s, Fault{At: at(0.1), Kind: "swarm", On: "zone-1", To: "zone-2", Span: at(0.8), Part: 0.3},
		Fault{At: at(0.4), Kind: "swarm", On: "zone-2", To: "zone-1", Span: at(0.1), Part: 0.5},
		Fault{At: at(0.4), Kind: "crowd", On: "zone-1", Span: at(0.1), Part: 0.4},
		Fault{At: at(0.3), Kind: "sun", On: "zone-2", Span: at(0.3), Part: 0.7},
		Fault{At: at(0.55), Kind: "leader", On: "all", Span: at(0.02)},
		Fault{At: at(0.7), Kind: "split", On: "zone-2", Span: 20 * tick.Second})
	for i := range max(1, f.Units/50) {
		s = append(s, Fault{At: at(0.05 + 0.9*f.rng.Float64()), Kind: []string{"crash", "stall", "wipe",
			"drain"}[i%4],
			On: f.units[f.rng.IntN(f.Units)].name, Span: 8 * tick.Second})
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// Hour plays a span of an event in a fleet and writes what it took.
func Hour(w io.Writer, seed uint64, s Size, span tick.Tick) {
	began, before := time.Now(), used()
	f := New(seed, s)
	f.Play(Day(f, span))
	f.Run(span)
	k := &f.check
	since, quiet := f.Quiet()
	_, _ = fmt.Fprintf(w, "%d relays, %d units in %d zones, %d instances, %d keepers, %.0f s: %.0f s of processor, %.0f s on the clock, %d events\n",
		s.Relays, s.Units, s.Zones, s.Instances, s.Keepers, seconds(span), (used() - before).Seconds(), time.Since(began).Seconds(), f.Events)
	_, _ = fmt.Fprintf(w, "%d commands of a sample: %d acked, %d nacked, %d unknown; %d handed over, %d moves at once at the most, %d falls, %d lost; ",
		k.Commands, k.Acked, k.Nacked, k.Unknown, k.Moves, k.MostMoves, k.Falls, k.Lost)
	_, _ = fmt.Fprintf(w, "%d steps in %d entries; quiet: %v since %.0f s; digest of the timeline %016x\n",
		f.keep.Steps, f.keep.Orders, quiet, seconds(since), f.Digest())
	if f.Broken() != "" {
		_, _ = fmt.Fprintf(w, "BROKEN: %s\n", f.Broken())
	}
}

// used is the processor's time of this process.
func used() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Report writes what a search found.
func (s *Searched) Report(w io.Writer) {
	quiet := slices.Clone(s.Quiet)
	slices.Sort(quiet)
	at := func(part float64) float64 { return seconds(quiet[int(part*float64(len(quiet)-1))]) }
	_, _ = fmt.Fprintf(w, "%d schedules, %d situations, %d pairs of decisions, %d losses told; quiet after the last fault: half within %.1f s, 99%% within %.1f s, all within %.1f s\n",
		s.Played, s.Reached, len(s.Pairs), s.Told, at(0.5), at(0.99), at(1))
	s.pairTable(w)
	for _, p := range s.Broken {
		_, _ = fmt.Fprintf(w, "\n%s\n", p.Text())
	}
}

// pairTable writes which decisions for an instance came right after which.
func (s *Searched) pairTable(w io.Writer) {
	after := map[string][]string{}
	for _, pair := range s.Pairs {
		first, second, _ := strings.Cut(pair, ">")
		after[first] = append(after[first], second)
	}
	_, _ = fmt.Fprintf(w, "\n| decision | of %d | right after it |\n| --- | ---: | --- |\n", len(decisions)-1)
	for _, first := range decisions {
		if some := after[first]; len(some) > 0 {
			name := first
			if name == "" {
				name = "the beginning"
			}
			_, _ = fmt.Fprintf(w, "| %s | %d | %s |\n", name, len(some), strings.Join(some, ", "))
		}
	}
}
