package devicehealth_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"silvercove/internal/devicehealth"
	"silvercove/internal/standin/golden"
	"silvercove/internal/tick"
)

// goldenSeeds is the number of seeds of each golden trace.
const goldenSeeds = 24

// logReport writes a report to the trace.
func logReport(trace *golden.Trace, r devicehealth.Report) {
	trace.Logf("version %d state %s share %.9g danger %.9g room %d serves %d empty %d hot %d offered %d need %d ends %t tired %t",
		r.Version, r.State, r.AcceptFraction, r.Risk, r.SpareCapacity, r.LastResortCapacity, r.TimeToEmpty, r.TimeToOverheat, r.TimeToLimitOffered, r.MigrationTime, r.ShutdownRequested, r.MustEvacuate())
	trace.Logf("reasons %s; unknown %s", strings.Join(r.Reasons, "|"), strings.Join(r.UnknownReadings, "|"))
	s := r.Readings
	for i, v := range []*float64{s.Charge, s.FullCharge, s.Draw, s.Temperature, s.TemperatureLimit} {
		if v != nil {
			trace.Logf("reading %d is %.9g", i, *v)
		}
	}
	if s.Mains != nil {
		trace.Logf("mains %t", *s.Mains)
	}
}

// readingGenerator generates the readings of one edge node from a seed. The values are random walks; the readings may
// fail, jump, freeze or arrive late.
type readingGenerator struct {
	rng     *rand.Rand
	bias    float64 // 0 to 1; the mean step of a value is source.step * (0.5 - bias)
	value   map[string]float64
	frozen  map[string]bool
	missing map[string]bool
	sources []source
}

// source describes one generated reading: its first value, the size of its steps, the range of its values, and the limit
// that is reported with it (Reading.Limit).
type source struct {
	name        string
	kind        devicehealth.Kind
	first, step float64
	least, most float64
	limit       float64
}

func newReadingGenerator(seed uint64) *readingGenerator {
	g := &readingGenerator{rng: rand.New(rand.NewPCG(seed, 41)), bias: 0.5, value: map[string]float64{}, frozen: map[string]bool{},
		missing: map[string]bool{}}
	g.sources = []source{
		{"BAT0", devicehealth.KindCharge, 0.2 + g.rng.Float64()*0.8, -0.0004 * g.rng.Float64(), 0, 1, 0},
		{"BAT0", devicehealth.KindFullCharge, 216000, 0, 216000, 216000, 0},
		{"BAT0", devicehealth.KindDraw, 8, 2, -10, 30, 0},
		{"AC", devicehealth.KindMains, 0, 0, 0, 1, 0},
		{"cpu", devicehealth.KindTemperature, 50, 1.5, 20, 98, 95},
		{"board", devicehealth.KindTemperature, 45, 1, 20, 90, 0},
		{"BAT0", devicehealth.KindCellTemperature, 30, 0.5, 10, 62, 0},
		{"cpu", devicehealth.KindThrottle, 0, 0.02, 0, 0.5, 0},
		{"lid", devicehealth.KindLid, 1, 0, 0, 1, 0},
		{"wlan", devicehealth.KindRadio, 1, 0, 0, 1, 0},
		{"gauge", devicehealth.Kind("of a later version"), 1, 1, 0, 9, 0},
	}
	for i, s := range g.sources {
		g.value[sourceKey(i)] = s.first
	}
	if seed%4 == 0 {
		g.sources = g.sources[3:] // a node without a battery has no readings of charge, full charge and draw
	}
	return g
}

func sourceKey(i int) string { return fmt.Sprint(i) }

// readings advances all sources by one step and returns their readings.
func (g *readingGenerator) readings() (all []devicehealth.Reading) {
	for i, s := range g.sources {
		key := sourceKey(i)
		g.injectFaults(i)
		if !g.frozen[key] {
			g.value[key] += s.step * (g.rng.Float64() - g.bias)
			g.value[key] = min(max(g.value[key], s.least), s.most)
		}
		r := devicehealth.Reading{Name: s.name, Kind: s.kind, Value: g.value[key], Limit: s.limit, OK: true,
			Age: tick.Tick(g.rng.IntN(int(tick.Second / 4)))}
		switch {
		case g.missing[key]:
			r.OK, r.Reason = false, []string{"", "no such file"}[i%2]
		case g.rng.IntN(2000) == 0:
			r.Value *= -40
		}
		all = append(all, r)
	}
	return all
}

// injectFaults changes the fault state of source i at random: the source freezes or is missing for a while, or its
// value jumps.
func (g *readingGenerator) injectFaults(i int) {
	key, s := sourceKey(i), g.sources[i]
	switch g.rng.IntN(4000) {
	case 0:
		g.frozen[key] = true
	case 1:
		g.missing[key] = true
	case 2:
		g.value[key] = s.least + g.rng.Float64()*(s.most-s.least)
	case 3, 4:
		g.value[key] = s.most - g.value[key] // a switch changes its state; any other value becomes the maximum minus the value
	}
	if g.rng.IntN(700) == 0 {
		g.frozen[key] = false
	}
	if g.rng.IntN(30) == 0 {
		g.missing[key] = false
	}
}

// TestGolden_Monitor compares the reports of a Monitor, given seeded readings, loads, instances and outcomes, with the golden
// trace.
func TestGolden_Monitor(t *testing.T) {
	golden.Seeds(t, "golden-monitor.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		g := newReadingGenerator(seed)
		set := map[string]any{}
		if seed%3 == 0 {
			set = map[string]any{"fleet.reserve": 20.0, "fleet.hot": 80.0, "fleet.places": 5.0, "fleet.moves.unit": 2.0, "fleet.empty": 0.1}
		}
		monitor := devicehealth.NewMonitor(0, set)
		failures := 0.02
		for s := 1; s <= 1800; s++ {
			now := tick.Tick(s) * tick.Second
			for _, r := range g.readings() {
				monitor.AddReading(now, r)
			}
			if g.rng.IntN(60) == 0 {
				monitor.SetLoad(now, g.rng.Float64(), g.rng.Float64()*1.5)
			}
			if g.rng.IntN(60) == 0 {
				monitor.SetInstances(now, g.rng.IntN(9), g.rng.IntN(8<<20))
			}
			if g.rng.IntN(200) == 0 {
				failures = []float64{0.02, 0.02, 0.7}[g.rng.IntN(3)]
			}
			if g.rng.IntN(300) == 0 {
				g.bias = 0.2 + 0.7*g.rng.Float64()
			}
			for range g.rng.IntN(4) {
				monitor.RecordOutcome(now, g.rng.Float64() >= failures)
			}
			if s == 1700 && seed%5 == 0 {
				monitor.RequestShutdown(now)
			}
			logReport(trace, monitor.Assess(now))
		}
	})
}

// TestGolden_Verifier compares the verified reports of two zones with the golden trace. Some nodes report a state that
// their readings contradict. Some nodes fail, move to the other zone, or are removed.
func TestGolden_Verifier(t *testing.T) {
	golden.Seeds(t, "golden-verifier.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		rng := rand.New(rand.NewPCG(seed, 43))
		verifier := devicehealth.NewVerifier()
		n := 1 + int(seed%8)
		failures := make([]float64, n)
		states := make([]devicehealth.State, n)
		temps := make([]float64, n)
		charges := make([]float64, n)
		for i := range n {
			failures[i], states[i], temps[i], charges[i] = 0.02, devicehealth.StateAccepting, 60, 0.9
		}
		all := []devicehealth.State{devicehealth.StateAccepting, devicehealth.StateLimited, devicehealth.StateHolding, devicehealth.StateEvacuating, devicehealth.StateShuttingDown}
		for s := 1; s <= 1500; s++ {
			now := tick.Tick(s) * tick.Second
			for i := range n {
				name := fmt.Sprint("unit-", i)
				switch rng.IntN(150) {
				case 0:
					states[i] = all[rng.IntN(len(all))]
				case 1:
					failures[i] = []float64{0.02, 0.02, 0.6}[rng.IntN(3)]
				case 2:
					verifier.Remove(name)
				case 3:
					temps[i], charges[i] = 40+rng.Float64()*50, rng.Float64()
				}
				temps[i] += rng.Float64() - 0.45
				charges[i] = max(0, charges[i]-rng.Float64()/1000)
				r := reportClaiming(states[i])
				r.ShutdownRequested = states[i] == devicehealth.StateShuttingDown && rng.IntN(20) == 0
				if (i+int(seed))%3 > 0 {
					full, out, limit := 216000.0, 5+rng.Float64()*20, 85.0
					charge, temp := charges[i], temps[i]
					r.Readings = devicehealth.KeyReadings{Charge: &charge, FullCharge: &full, Draw: &out, Temperature: &temp, TemperatureLimit: &limit}
					r.TimeToOverheat = tick.Tick(rng.IntN(400)) * tick.Second
				}
				logReport(trace, verifier.Verify(now, name, fmt.Sprint("zone-", (i+s/700)%2), r))
				for range rng.IntN(4) {
					verifier.RecordOutcome(now, name, rng.Float64() >= failures[i])
				}
				if verified, ok := verifier.Verified(now, name); ok && rng.IntN(3) == 0 {
					logReport(trace, verified)
				}
			}
		}
	})
}

// TestGolden_LastResort compares the ranking of instances with the golden trace. The states of the nodes are random.
func TestGolden_LastResort(t *testing.T) {
	golden.Seeds(t, "golden-last-resort.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		rng := rand.New(rand.NewPCG(seed, 47))
		all := []devicehealth.State{devicehealth.StateAccepting, devicehealth.StateHolding, devicehealth.StateEvacuating, devicehealth.StateEvacuating, devicehealth.StateShuttingDown}
		for range 100 {
			reports := map[string]devicehealth.Report{}
			for i := range rng.IntN(6) {
				reports[fmt.Sprint("unit-", i)] = devicehealth.Report{State: all[rng.IntN(len(all))],
					Risk: float64(rng.IntN(4)) / 4, LastResortCapacity: rng.IntN(4)}
			}
			var instances []devicehealth.Instance
			for i := range rng.IntN(15) {
				instances = append(instances, devicehealth.Instance{Name: fmt.Sprint("camera-", i), Node: fmt.Sprint("unit-", rng.IntN(7)),
					PriorityWeight: float64(1 + rng.IntN(5))})
			}
			trace.Logf("all tired %t", devicehealth.AllEvacuating(reports))
			for _, s := range devicehealth.LastResort(reports, instances) {
				trace.Logf("%s at %q weight %.9g", s.Name, s.Node, s.PriorityWeight)
			}
		}
	})
}
