package fleetsim

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/standin/golden"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

const (
	goldenFile = "golden_events.txt"

	// goldenCheckpoint is the number of timeline events between two hashes of a trace.
	goldenCheckpoint = 200

	// goldenDrawn is the number of drawn schedules that are traced, with seeds from 1. The seeds of
	// TestSchedule_DisabledDefenceBreaksRule are among them.
	goldenDrawn = 240
)

// recordedAs maps a word of the timeline to the word that stood for it when the golden traces were recorded. If a word is
// renamed, an entry here keeps the traces valid.
var recordedAs = map[string]string{}

// goldenWord returns a word of the timeline in its recorded form, which is the form that is hashed.
func goldenWord(word string) string {
	if was, renamed := recordedAs[word]; renamed {
		return was
	}
	return word
}

// goldenTrace hashes a run: the time of each event, and the time, node, name, instance, source, target, state and epoch of each
// event of the timeline. Reasons are not hashed, as they are text for people.
type goldenTrace struct {
	hash        *xxhash.Digest
	lines       int // number of timeline events so far
	checkpoints []uint64
	times       []tick.Tick // simulated times of the checkpoints
}

// addNumber adds a number to the hash.
func (g *goldenTrace) addNumber(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = g.hash.Write(b[:])
}

// addWord adds a string and its length to the hash.
func (g *goldenTrace) addWord(text string) {
	g.addNumber(uint64(len(text)))
	_, _ = g.hash.WriteString(text)
}

// addLine adds an event of the timeline to the hash, and appends a checkpoint after each goldenCheckpoint events.
func (g *goldenTrace) addLine(now tick.Tick, e testcluster.Event) {
	g.addNumber(uint64(now))
	for _, text := range []string{e.Node, goldenWord(e.Name), e.Instance, e.From, e.To, goldenWord(e.State)} {
		g.addWord(text)
	}
	g.addNumber(e.Epoch)
	if e.Script {
		g.addNumber(1)
	}
	if g.lines++; g.lines%goldenCheckpoint == 0 {
		g.checkpoints = append(g.checkpoints, g.hash.Sum64())
		g.times = append(g.times, now)
	}
}

// run runs a fleet up to a simulated time, and hashes each event.
func (g *goldenTrace) run(f *Fleet, until tick.Tick) {
	seen := len(f.timeline)
	for f.checker.broken == "" {
		e, found := f.queue.next(until)
		if !found {
			break
		}
		f.now = e.at
		f.Events++
		e.run()
		g.addNumber(uint64(f.now))
		for ; seen < len(f.timeline); seen++ {
			g.addLine(f.now, f.timeline[seen])
		}
	}
	if f.checker.broken == "" {
		f.now = until
	}
}

// addFinalState hashes the final state of the run: the assignments, the counts of the checker and the state of the random source.
func (g *goldenTrace) addFinalState(f *Fleet) {
	_, _ = g.hash.Write(f.cluster.table.Snapshot())
	k := &f.checker
	for _, n := range []int{k.Requests, k.Succeeded, k.Rejected, k.Unknown, k.Shed, k.Retries, k.Moves, k.Crashes, k.Lost, k.MostMoves,
		k.UnverifiedCopies, k.RestoredDisks, k.UndetectedDisks} {
		g.addNumber(uint64(n))
	}
	g.addNumber(f.Events)
	g.addNumber(f.rng.Uint64())
	if k.broken != "" {
		g.addNumber(1)
	}
	g.checkpoints = append(g.checkpoints, g.hash.Sum64())
	g.times = append(g.times, f.now)
}

// goldenCase is one traced run.
type goldenCase struct {
	name   string
	seed   uint64
	size   Size
	script string
	until  tick.Tick
}

// play runs the case and returns its trace.
func (c goldenCase) play() *goldenTrace {
	c.size.KeepTimeline = true
	f := New(c.seed, c.size)
	f.Play(mustScript(c.script))
	g := &goldenTrace{hash: xxhash.New()}
	g.run(f, c.until)
	g.addFinalState(f)
	return g
}

// goldenSchedule returns the case for a schedule as Search runs it. The case ends quietSpan after the end of the last fault.
func goldenSchedule(name string, s Schedule) goldenCase {
	last := tick.Tick(0)
	for _, x := range s.Script {
		last = max(last, x.At+x.Duration)
	}
	return goldenCase{name: name, seed: s.Seed, size: s.size(), script: s.Script.String(), until: last + quietSpan}
}

// replaySize returns the size of the fleet that ReplayedScript.play creates.
func replaySize(w ReplayedScript) Size {
	return Size{Relays: max(2, w.Relays), Nodes: w.Nodes, Zones: 2, Instances: max(1, w.Devices), Controllers: 3, Lease: 1, Dwell: 0,
		RestartAfter: 1, Replicas: 1, RequestRate: max(20, w.RequestRate), ReportInterval: tick.Second, UplinkRate: 1e6, AllOnFirstNode: true, VerifyClaims: true}
}

// goldenCases returns the seeds and scripts of this package's tests, the found schedules and the drawn schedules.
func goldenCases(tb testing.TB) (all []goldenCase) {
	tb.Helper()
	small := Small()
	small.Instances = 3
	all = append(all, goldenCase{"one-handover", 1, small, "8000 swarm zone-1 zone-2 for 9000 by 1", 15 * tick.Second})
	faults := "5000 crash edge-1 for 3000\n6000 leader all for 2000\n7000 swarm zone-2 zone-3 for 5000 by 1\n" +
		"8000 loss edge-2 for 9000 by 0.3\n9000 tiredzone zone-3 for 4000"
	for _, seed := range []uint64{7, 8} {
		all = append(all, goldenCase{fmt.Sprintf("same-seed-%d", seed), seed, Small(), faults, 30 * tick.Second})
	}
	all = append(all,
		goldenCase{"unknown-step", 3, Small(), "10000 later edge-1 for 3000", 20 * tick.Second},
		goldenCase{"later-keeper", 11, Small(), "5000 laterkeeper keeper-1 for 30000\n10000 later edge-1 for 3000", 40 * tick.Second})
	middle := fleetOf(20, 4, 400)
	for name, script := range map[string]string{
		"clock":     "20000 clock all by 1",
		"slow-disk": "5000 slowdisk keeper-1 for 60000 by 0.5\n12000 swarm zone-1 zone-2 for 20000 by 0.5",
		"poison":    "10000 poison cam-1 for 30000",
		"twin":      "10000 twin edge-1 for 30000\n11000 twin edge-1 for 20000\n30000 crash edge-1 for 10000",
		"swarm":     "10000 swarm zone-1 zone-2 for 30000 by 1\n10000 radio zone-2 for 30000 by 0.01\n9000 tiredzone zone-2 for 20000",
		"split":     "10000 split zone-1 for 30000",
		"roll":      "10000 laterkeeper keeper-2 for 30000\n12000 roll all for 30000\n20000 later edge-4 for 5000",
	} {
		all = append(all, goldenCase{"hard-" + name, 11, middle, script, 50 * tick.Second})
	}
	withRemoteReplicas := fleetOf(12, 3, 120)
	withRemoteReplicas.RemoteReplicas = 1
	all = append(all, goldenCase{"hard-away", 11, withRemoteReplicas,
		"10000 split zone-1 for 20000\n12000 swarm zone-2 zone-1 for 20000 by 0.3\n35000 split zone-1 for 10000", 60 * tick.Second})
	all = append(all, goldenCase{"members", 5, membersOnly(20), "10000 crash edge-2 for 5000\n12000 alone edge-5 for 8000\n15000 split zone-1 for 5000",
		40 * tick.Second})
	for _, w := range ReplayedScripts {
		all = append(all, goldenCase{"twofold-" + w.Test, replaySeed, replaySize(w), w.Script, 30 * tick.Second})
	}
	files, err := filepath.Glob("testdata/found/*.txt")
	if err != nil || len(files) == 0 {
		tb.Fatalf("%v: %d found schedules in testdata", err, len(files))
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			tb.Fatal(err)
		}
		s, err := ParseSchedule(string(text))
		if err != nil {
			tb.Fatalf("%s: %v", file, err)
		}
		all = append(all, goldenSchedule("found-"+strings.TrimSuffix(filepath.Base(file), ".txt"), s))
	}
	for seed := uint64(1); seed <= goldenDrawn; seed++ {
		all = append(all, goldenSchedule(fmt.Sprintf("drawn-%d", seed), drawSchedule(seed)))
	}
	slices.SortFunc(all, func(a, b goldenCase) int { return strings.Compare(a.name, b.name) })
	return all
}

// text returns the trace as a line of the golden file: its name, its number of timeline events and the hashes.
func (g *goldenTrace) text(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d", name, g.lines)
	for _, sum := range g.checkpoints {
		fmt.Fprintf(&b, " %08x", uint32(sum))
	}
	return b.String()
}

// Every simulated fleet must run the recorded events at the recorded times. A change that is not meant to change decisions must
// leave the golden file unchanged.
func TestGoldenTraces_MatchRecordedEvents(t *testing.T) {
	cases := goldenCases(t)
	traces := make([]*goldenTrace, len(cases))
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				traces[i] = cases[i].play()
			}
		})
	}
	for i := range cases {
		next <- i
	}
	close(next)
	workers.Wait()

	var file strings.Builder
	for i, c := range cases {
		fmt.Fprintln(&file, traces[i].text(c.name))
	}
	recorded := map[string]string{}
	for line := range strings.Lines(golden.Recorded(t, goldenFile, file.String())) {
		line = strings.TrimSpace(line)
		name, _, _ := strings.Cut(line, " ")
		recorded[name] = line
	}
	if len(recorded) != len(cases) {
		t.Errorf("%d traces are recorded, want %d", len(recorded), len(cases))
	}
	for i, c := range cases {
		if got, want := traces[i].text(c.name), recorded[c.name]; got != want {
			t.Errorf("%s: %s", c.name, traces[i].describeDifference(want))
		}
	}
}

// describeDifference describes where a trace first differs from the recorded one.
func (g *goldenTrace) describeDifference(want string) string {
	words := strings.Fields(want)
	if len(words) < 2 {
		return "is not recorded"
	}
	words = words[2:]
	from := tick.Tick(0)
	for i, sum := range g.checkpoints {
		if i >= len(words) || words[i] != fmt.Sprintf("%08x", uint32(sum)) {
			return fmt.Sprintf("differs from the recorded trace after timeline event %d, between %d and %d ms", i*goldenCheckpoint,
				from/milli, g.times[i]/milli)
		}
		from = g.times[i]
	}
	return fmt.Sprintf("ends at %d ms, but the recorded trace continues", from/milli)
}
