package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Limits of random schedules and of their runs.
const (
	faultsWithin  = 15 * tick.Second   // length of the span in which the faults of a script start
	maxFaults     = 12                 // maximum number of randomly drawn faults in a script
	quietSpan     = 20 * tick.Second   // minimum time for which a run continues after the end of the last fault
	quietDeadline = 1100 * tick.Second // maximum time from the end of the last fault until Fleet.Quiet reports true; a node with a drained battery accepts instances again within 960 s (devicehealth.maxDwell)
)

// Schedule is a script with the fleet in which it runs. Seed determines the fleet's size and the random choices.
type Schedule struct {
	Seed           uint64
	RemoteReplicas int // number of replicas of each instance that must be in other zones
	Script         Script
}

// ScheduleResult is the result of running a schedule.
type ScheduleResult struct {
	Schedule
	Broken           string
	Quiet            tick.Tick // time from the end of the last fault until Fleet.Quiet reported true
	ReportedLosses   int       // number of instances that restarted without a current replica, once per restart
	UnverifiedCopies int       // number of times that a node reported its own copy of an instance as possibly incomplete; see checker.onUnverified
	RestoredDisks    int       // number of restored disks that were detected
	UndetectedDisks  int       // number of restored disks that were not detected
	fleet            *Fleet
}

// size returns the size of the fleet of a schedule: 5 to 12 nodes in 2 to 4 zones.
func (s Schedule) size() Size {
	r := rand.New(rand.NewPCG(s.Seed, 5))
	z := Small()
	z.Zones = 2 + r.IntN(3)
	z.Nodes = max(2*z.Zones, 5+r.IntN(8))
	z.Instances = z.Nodes + r.IntN(2*z.Nodes)
	z.Replicas = 1 + r.IntN(5)/4
	z.RemoteReplicas = s.RemoteReplicas
	return z
}

// drawSchedule draws a random schedule.
func drawSchedule(seed uint64) Schedule {
	s := Schedule{Seed: seed}
	r := rand.New(rand.NewPCG(seed, 6))
	f := New(seed, s.size())
	within := []tick.Tick{faultsWithin, faultsWithin, 2 * tick.Second}[r.IntN(3)] // in a third of the schedules, all faults start within a span of 2 s
	for range 1 + r.IntN(maxFaults) {
		s.Script = append(s.Script, drawFault(r, f, within))
	}
	// Half of the schedules with remote replicas cut one zone off once or twice, each time for restart_after or longer. These
	// schedules have no faults of nodes, devices or links.
	if s.RemoteReplicas = r.IntN(2); s.RemoteReplicas > 0 && r.IntN(2) == 0 {
		s.Script = slices.DeleteFunc(s.Script, func(x Fault) bool {
			kind := faultKinds[x.Kind]
			return kind.target == "unit" || kind.target == "node" || kind.target == "camera" || x.Kind == "radio" || x.Kind == "split"
		})
		for z, n := f.zones[r.IntN(len(f.zones))], 1+r.IntN(2); n > 0; n-- {
			s.Script = append(s.Script, Fault{At: tick.Second + tick.Tick(r.Int64N(int64(within))), Kind: "split", Target: z.name,
				Duration: tick.Tick(f.RestartAfter*float64(tick.Second)) + tick.Tick(r.Int64N(int64(8*tick.Second)))})
		}
	}
	s.sort()
	return s
}

func (s *Schedule) sort() {
	slices.SortStableFunc(s.Script, func(a, b Fault) int { return int(a.At - b.At) })
}

// withScript returns the schedule with another script.
func (s Schedule) withScript(script Script) Schedule {
	s.Script = script
	return s
}

// mutate returns the schedule with one or two small random changes.
func (s Schedule) mutate(r *rand.Rand) Schedule {
	f := New(s.Seed, s.size())
	n := s.withScript(slices.Clone(s.Script))
	for range 1 + r.IntN(2) {
		i := 0
		if len(n.Script) > 0 {
			i = r.IntN(len(n.Script))
		}
		switch c := r.IntN(5); {
		case len(n.Script) < maxFaults && c < 2 || len(n.Script) == 0:
			n.Script = append(n.Script, drawFault(r, f, faultsWithin))
		case c == 2:
			n.Script[i] = drawFault(r, f, faultsWithin)
		case c == 3: // moves the start of fault i to within 0.5 s of the start of fault j
			j := r.IntN(len(n.Script))
			n.Script[i].At = max(tick.Second,
				n.Script[j].At+tick.Tick(r.IntN(int(tick.Second)))-tick.Second/2)
		default:
			n.Script[i].Duration = tick.Tick(100+r.IntN(9000)) * milli
		}
	}
	n.sort()
	return n
}

// Play runs the schedule for quietSpan after the end of the last fault, and then until Fleet.Quiet reports true. The run also
// ends when a rule is broken, or when quietDeadline has passed since the end of the last fault.
func (s Schedule) Play() ScheduleResult { return s.play(disabledDefences{}) }

func (s Schedule) play(disabled disabledDefences) (p ScheduleResult) {
	p.Schedule = s
	f := New(s.Seed, s.size())
	f.disabled = disabled
	p.fleet = f
	f.Play(s.Script)
	last := tick.Tick(0)
	for _, x := range s.Script {
		last = max(last, x.At+x.Duration)
	}
	defer func() {
		p.UnverifiedCopies, p.RestoredDisks, p.UndetectedDisks = f.checker.UnverifiedCopies, f.checker.RestoredDisks, f.checker.UndetectedDisks
	}()
	defer func() {
		if r := recover(); r != nil { // a panic of a decision module is a finding, too
			p.Broken = fmt.Sprintf("panic: %v", r)
			f.checker.fail("%s", p.Broken)
		}
	}()
	f.Run(last + quietSpan)
	if p.Broken, p.ReportedLosses = f.Broken(), f.checker.Lost; p.Broken != "" {
		return p
	}
	since, quiet := f.Quiet()
	for !quiet && f.now < last+quietDeadline && f.Broken() == "" {
		f.Run(10 * tick.Second)
		since, quiet = f.Quiet()
	}
	p.Quiet = max(0, since-last)
	if p.Broken = f.Broken(); p.Broken == "" && !quiet {
		f.checker.fail("rule 4: %s", f.describeUnsettled())
		p.Broken = f.Broken()
	}
	return p
}

// describeUnsettled describes the first instance that has not settled or that no node serves, or returns "" if there is none.
// It skips quarantined instances.
func (f *Fleet) describeUnsettled() string {
	for _, c := range f.devices {
		p, _ := f.cluster.table.Get(c.name)
		_, idle := f.checker.idleSince[c.name]
		if p.State != placement.Quarantined && (idle || !f.checker.isSettled(p)) {
			return fmt.Sprintf("%s has not settled long after the last fault: %s, replicas %v, copied to %s, primary %s, served: %v", c.name,
				p.State, p.Replicas, p.CopyTarget, p.Primary, !idle)
		}
	}
	return ""
}

// Timeline draws the timeline of the run.
func (p ScheduleResult) Timeline() string { return p.fleet.Timeline() }

// Shrink removes faults from a schedule that breaks a rule, and shortens the remaining faults, as long as the same rule is
// broken.
func (p ScheduleResult) Shrink() ScheduleResult {
	rule := func(text string) string { return text[:min(6, len(text))] }
	try := func(s Schedule) bool {
		if q := s.Play(); q.Broken != "" && rule(q.Broken) == rule(p.Broken) {
			p = q
			return true
		}
		return false
	}
	for shrunk := true; shrunk; {
		shrunk = false
		for i := len(p.Script) - 1; i >= 0; i-- {
			if try(p.withScript(slices.Delete(slices.Clone(p.Script), i, i+1))) {
				shrunk = true
			}
		}
		for i := range p.Script {
			for p.Script[i].Duration > 200*milli {
				s := p.withScript(slices.Clone(p.Script))
				s.Script[i].Duration /= 2
				if !try(s) {
					break
				}
				shrunk = true
			}
		}
	}
	return p
}

// Text returns the schedule in the format of ParseSchedule, followed by the broken rule and the timeline.
func (p ScheduleResult) Text() string {
	return fmt.Sprintf("seed %d away %d\n%s\n\n%s\n\n%s", p.Seed, p.RemoteReplicas, p.Script, p.Broken, p.Timeline())
}

// ParseSchedule parses a schedule in the format of ScheduleResult.Text. It ignores the text after the first empty line.
func ParseSchedule(text string) (s Schedule, err error) {
	head, _, _ := strings.Cut(text, "\n\n")
	first, rest, _ := strings.Cut(head, "\n")
	if n, _ := fmt.Sscanf(first, "seed %d away %d", &s.Seed, &s.RemoteReplicas); n == 0 || s.RemoteReplicas < 0 {
		return s, fmt.Errorf("want seed N or seed N away N, got %.40q", first)
	}
	if s.Script, err = ParseScript(rest); err != nil {
		return s, err
	}
	f := New(s.Seed, s.size())
	for _, x := range s.Script {
		for targetKind, name := range map[string]string{faultKinds[x.Kind].target: x.Target, faultKinds[x.Kind].to: x.To} {
			if !f.hasTarget(targetKind, name) {
				return s, fmt.Errorf("%q: %q is no %s of this fleet", x, name, targetKind)
			}
		}
	}
	return s, nil
}

// hasTarget reports whether the fleet has a target with the given name. targetKind is one of the kinds of targets that
// faultKind lists.
func (f *Fleet) hasTarget(targetKind, name string) bool {
	switch targetKind {
	case "unit":
		return f.nodeByName[name] != nil
	case "node":
		return f.endpointByName[name] != nil
	case "zone":
		return f.zoneByName(name) != nil
	case "keeper":
		return f.controllerByName(name) != nil
	case "relay":
		return name == "all" || f.relayByName(name) != nil
	case "camera":
		return f.deviceByName[name] != nil
	case "all":
		return name == "all"
	}
	return name == ""
}

// SearchResult is the result of a search.
type SearchResult struct {
	Played, ReportedLosses int

	UnverifiedCopies, RestoredDisks, UndetectedDisks int
	// Coverage is the number of different pairs of consecutive decisions, plus the number of different combinations of such a
	// pair with the assignment state and the faults under way.
	Coverage int
	Pairs    []string
	Broken   []ScheduleResult // the first schedule that broke each rule, shrunk
	Rules    map[string]int
	Quiet    []tick.Tick // ScheduleResult.Quiet of each schedule
}

// Search runs n schedules. About half of them are drawn, and the rest are mutations of schedules that reached new coverage.
// parallelism is the number of schedules that run in parallel, which does not affect the result. A finding is a schedule that
// breaks a rule. If report is not nil, Search calls it with the text of each finding.
func Search(n int, seed uint64, parallelism int, report func(string)) *SearchResult {
	const round = 32
	s := &SearchResult{Rules: map[string]int{}}
	covered, pairs := map[uint64]struct{}{}, map[string]bool{}
	var corpus []Schedule
	r := rand.New(rand.NewPCG(seed, 7))
	for s.Played < n {
		schedules := make([]Schedule, min(round, n-s.Played))
		for i := range schedules {
			if len(corpus) > 0 && r.IntN(2) == 0 {
				// Prefers the schedules that most recently reached new coverage.
				schedules[i] = corpus[len(corpus)-1-min(r.IntN(len(corpus)), r.IntN(len(corpus)))].mutate(r)
			} else {
				schedules[i] = drawSchedule(seed<<32 + uint64(s.Played+i))
			}
		}
		results := make([]ScheduleResult, len(schedules))
		var workers sync.WaitGroup
		next := make(chan int)
		for range max(1, parallelism) {
			workers.Go(func() {
				for i := range next {
					results[i] = schedules[i].Play()
				}
			})
		}
		for i := range schedules {
			next <- i
		}
		close(next)
		workers.Wait()
		for _, p := range results {
			s.Played++
			s.ReportedLosses, s.UnverifiedCopies, s.RestoredDisks, s.UndetectedDisks = s.ReportedLosses+p.ReportedLosses, s.UnverifiedCopies+p.UnverifiedCopies, s.RestoredDisks+p.RestoredDisks, s.UndetectedDisks+p.UndetectedDisks
			s.Quiet = append(s.Quiet, p.Quiet)
			newKeys := 0
			for key := range p.fleet.coverage {
				if _, ok := covered[key]; !ok {
					covered[key] = struct{}{}
					newKeys++
				}
			}
			for _, pair := range p.fleet.Pairs() {
				pairs[pair] = true
			}
			if newKeys > 0 && p.Broken == "" {
				corpus = append(corpus, p.Schedule)
			}
			if p.Broken != "" {
				rule := ruleSignature(p.Broken)
				if s.Rules[rule]++; s.Rules[rule] == 1 {
					q := p.Shrink()
					s.Broken = append(s.Broken, q)
					if report != nil {
						report(q.Text())
					}
				}
			}
		}
	}
	s.Coverage = len(covered)
	for pair := range pairs {
		s.Pairs = append(s.Pairs, pair)
	}
	slices.Sort(s.Pairs)
	return s
}

// ruleSignature drops the words with digits from the text of a broken rule, but keeps the rule numbers "1:", "2:", "4:" and
// "5:". It returns the first 8 words that remain.
func ruleSignature(text string) string {
	var kept []string
	for _, w := range strings.Fields(text) {
		if !strings.ContainsAny(w, "0123456789") || w == "1:" || w == "2:" || w == "4:" || w == "5:" {
			kept = append(kept, w)
		}
	}
	return strings.Join(kept[:min(8, len(kept))], " ")
}

// Save writes each schedule that broke a rule to a file in the folder dir.
func (s *SearchResult) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, p := range s.Broken {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d.txt", p.Seed)), []byte(p.Text()),
			0o644); err != nil {
			return err
		}
	}
	return nil
}
