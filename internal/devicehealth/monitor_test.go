package devicehealth_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/devicehealth"
	"silvercove/internal/fleet"
	"silvercove/internal/tick"
)

// weakestFirst lists the states, the least healthy first.
var weakestFirst = []devicehealth.State{devicehealth.StateShuttingDown, devicehealth.StateEvacuating, devicehealth.StateHolding, devicehealth.StateLimited, devicehealth.StateAccepting}

func rank(state devicehealth.State) int { return slices.Index(weakestFirst, state) }

func okReading(name string, kind devicehealth.Kind, v float64) devicehealth.Reading {
	return devicehealth.Reading{Name: name, Kind: kind, Value: v, OK: true}
}

// addBattery adds the readings of a node with a 60 Wh battery.
func addBattery(monitor *devicehealth.Monitor, now tick.Tick, charge, draw float64) {
	monitor.AddReading(now, okReading("BAT0", devicehealth.KindCharge, charge))
	monitor.AddReading(now, okReading("BAT0", devicehealth.KindFullCharge, 216000))
	monitor.AddReading(now, okReading("BAT0", devicehealth.KindDraw, draw))
}

func TestAssess_States(t *testing.T) {
	type r = devicehealth.Reading
	limit := func(v r, limit float64) r { v.Limit = limit; return v }
	full := []r{okReading("BAT0", devicehealth.KindCharge, 0.9), okReading("BAT0", devicehealth.KindFullCharge, 216000), okReading("BAT0", devicehealth.KindDraw, 20)}
	low := func(charge float64) []r {
		return []r{okReading("BAT0", devicehealth.KindCharge, charge), okReading("BAT0", devicehealth.KindFullCharge, 216000), okReading("BAT0", devicehealth.KindDraw, 60)}
	}
	mains := okReading("AC", devicehealth.KindMains, 1)
	for _, c := range []struct {
		name     string
		readings []r
		offered  float64
		n, bytes int
		state    devicehealth.State
		reason   string
	}{
		{"no readings", nil, 0, 0, 0, devicehealth.StateHolding, "neither a battery's charge nor mains"},
		{"mains alone", []r{mains}, 1, 4, 1 << 20, devicehealth.StateAccepting, ""},
		{"off the mains, no battery", []r{okReading("AC", devicehealth.KindMains, 0)}, 0, 0, 0, devicehealth.StateHolding, "neither"},
		{"a full battery", full, 0, 0, 0, devicehealth.StateAccepting, ""},
		{"a battery without a draw reading", full[:1], 0, 0, 0, devicehealth.StateAccepting, ""},
		{"19 min left", low(0.37), 0, 0, 0, devicehealth.StateLimited, "battery empty in 19 min, in 19 min at the offered load; 2 min to"},
		{"19 min left, offered full load", low(0.37), 1, 0, 0, devicehealth.StateHolding, "in 9 min at the offered load"},
		{"19 min left, large state to migrate", low(0.37), 0, 8, 200 << 20, devicehealth.StateShuttingDown, "55 min to hand 8 instances over"},
		{"3 min left", low(0.1), 0, 0, 0, devicehealth.StateEvacuating, "battery empty in 3 min"},
		{"30 s left", low(0.058), 0, 0, 0, devicehealth.StateShuttingDown, "battery empty in 28 s"},
		{"low, on mains", []r{mains, okReading("BAT0", devicehealth.KindCharge, 0.07), okReading("BAT0", devicehealth.KindDraw, -30)}, 0, 0, 0, devicehealth.StateHolding,
			"too little to stand a loss of mains"},
		{"hot", append([]r{okReading("z", devicehealth.KindTemperature, 86)}, full...), 0, 0, 0, devicehealth.StateEvacuating, "z 86.0 C"},
		{"near its own limit", append([]r{limit(okReading("z", devicehealth.KindTemperature, 71), 75)}, full...), 0, 0, 0, devicehealth.StateHolding, "within 5.0 C"},
		{"at its own limit", append([]r{limit(okReading("z", devicehealth.KindTemperature, 75), 75)}, full...), 0, 0, 0, devicehealth.StateShuttingDown, "z 75.0 C"},
		{"warm, offered full load", append([]r{okReading("z", devicehealth.KindTemperature, 60)}, low(0.9)...), 1, 0, 0, devicehealth.StateHolding,
			"z 60.0 C, at its limit of 85.0 C in no foreseeable time, in 3 min at the offered load"},
		{"hot cells", append([]r{okReading("BAT0", devicehealth.KindCellTemperature, 58)}, full...), 0, 0, 0, devicehealth.StateHolding, "within 5.0 C"},
		{"throttled a little", append([]r{okReading("cpu", devicehealth.KindThrottle, 0.1)}, full...), 0, 0, 0, devicehealth.StateLimited, "slows the machine by 10%"},
		{"throttled", append([]r{okReading("cpu", devicehealth.KindThrottle, 0.5)}, full...), 0, 0, 0, devicehealth.StateHolding, "slows the machine by 50%"},
		{"lid shut", append([]r{okReading("lid", devicehealth.KindLid, 0)}, full...), 0, 0, 0, devicehealth.StateEvacuating, "lid is shut"},
		{"one radio of two", append([]r{okReading("wlan", devicehealth.KindRadio, 0), okReading("wwan", devicehealth.KindRadio, 1)}, full...), 0, 0, 0, devicehealth.StateAccepting, ""},
		{"no radio", append([]r{okReading("wlan", devicehealth.KindRadio, 0)}, full...), 0, 0, 0, devicehealth.StateHolding, "no radio is up"},
		{"an impossible charge", []r{okReading("BAT0", devicehealth.KindCharge, 1.4)}, 0, 0, 0, devicehealth.StateHolding, "impossible: 1.4"},
		{"NaN", append([]r{okReading("BAT1", devicehealth.KindCharge, math.NaN())}, full...), 0, 0, 0, devicehealth.StateHolding, "impossible: NaN"},
		{"a failing reading", append([]r{{Name: "BAT1", Kind: devicehealth.KindCharge, Reason: "no such device"}}, full...), 0, 0, 0,
			devicehealth.StateHolding, "BAT1 charge unknown: no such device"},
		{"the only temperature sensor fails", append([]r{{Name: "z", Kind: devicehealth.KindTemperature}}, full...), 0, 0, 0, devicehealth.StateHolding, "missing"},
		{"a sensor that never worked beside one that does", append([]r{{Name: "wifi", Kind: devicehealth.KindTemperature}, okReading("z", devicehealth.KindTemperature, 50)},
			full...), 0, 0, 0, devicehealth.StateAccepting, ""},
		{"an old value", append([]r{{Name: "z", Kind: devicehealth.KindTemperature, Value: 40, OK: true, Age: 20 * second}}, full...), 0, 0, 0,
			devicehealth.StateHolding, "z temp unknown: none for 20 s"},
		{"a kind of a later version", append([]r{okReading("x", "wind", 7)}, full...), 0, 0, 0, devicehealth.StateAccepting, ""},
	} {
		monitor := devicehealth.NewMonitor(0, nil)
		now := 100 * second
		monitor.SetLoad(now, 0, c.offered)
		monitor.SetInstances(now, c.n, c.bytes)
		for _, r := range c.readings {
			monitor.AddReading(now, r)
		}
		r := monitor.Assess(now)
		if r.State != c.state || !strings.Contains(strings.Join(r.Reasons, "; "), c.reason) {
			t.Errorf("%s: state %s, want %s; reasons %q, want %q", c.name, r.State, c.state, r.Reasons, c.reason)
		}
		if (r.State == devicehealth.StateAccepting) != (len(r.Reasons) == 0) || r.Version != devicehealth.ReportVersion {
			t.Errorf("%s: %+v", c.name, r)
		}
	}
}

func TestAssess_SpareCapacityLimitedByMigrationTime(t *testing.T) {
	for _, c := range []struct {
		charge   float64
		n, bytes int
		set      map[string]any
		want     int
	}{
		{0.9, 0, 0, nil, 8},
		{0.9, 6, 0, nil, 2},
		{0.9, 9, 0, nil, 0},
		{0.9, 0, 0, map[string]any{"fleet.places": 20.0}, 20},
		{0.9, 4, 40 << 20, nil, 1}, // StateLimited, which allows one instance: migrating takes almost 6 min on the uplink, which is more than a tenth of the 51 min that the battery lasts at full load; at the present load the battery lasts 102 min
		{0.9, 4, 4 << 20, nil, 4},
		{0.9, 4, 24 << 20, nil, 2}, // migrating 4 instances takes 203 s, and each further instance adds 50 s; the maximum is 306 s, a tenth of the 51 min that the battery lasts at full load
		{0.2, 4, 4 << 20, nil, 1},  // StateLimited, which allows one instance
		{0.10, 4, 4 << 20, nil, 0},
	} {
		monitor := devicehealth.NewMonitor(0, c.set)
		addBattery(monitor, 0, c.charge, 30)
		monitor.SetInstances(0, c.n, c.bytes)
		if r := monitor.Assess(0); r.SpareCapacity != c.want {
			t.Errorf("charge %v, %d instances of %d bytes: spare capacity %d, want %d; %v", c.charge, c.n, c.bytes, r.SpareCapacity, c.want, r)
		}
	}
}

func TestAssess_NoReserve(t *testing.T) {
	monitor := devicehealth.NewMonitor(0, map[string]any{"fleet.reserve": 0.0})
	addBattery(monitor, 0, 0.05, 30)
	if r := monitor.Assess(0); r.State != devicehealth.StateShuttingDown || r.Risk != 1 || r.MigrationTime != second {
		t.Errorf("without a reserve: %+v", r)
	}
}

func TestAssess_ShutdownRequested(t *testing.T) {
	monitor := devicehealth.NewMonitor(0, nil)
	monitor.AddReading(0, okReading("AC", devicehealth.KindMains, 1))
	monitor.Assess(0)
	monitor.RequestShutdown(second)
	if r := monitor.Assess(second); r.State != devicehealth.StateShuttingDown || !r.ShutdownRequested || r.Risk != 1 || r.Reasons[0] != "told to end" {
		t.Errorf("after a shutdown request: %+v", r)
	}
}

// If two nodes have the same history, and the last reading of one is worse by a physically possible amount, that node
// never gets a better state, more spare capacity or less risk.
func TestAssess_WorseReadingNeverGivesBetterState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		charge := rapid.Float64Range(0.05, 1).Draw(t, "charge")
		draw := rapid.Float64Range(-40, 60).Draw(t, "draw")
		temp := rapid.Float64Range(30, 90).Draw(t, "temp")
		noise := rapid.Float64Range(0, 1).Draw(t, "noise")
		warming := rapid.Float64Range(-0.05, 0.05).Draw(t, "warming")
		lastSecond := rapid.IntRange(0, 200).Draw(t, "past")
		worse := rapid.SampledFrom([]devicehealth.Kind{devicehealth.KindCharge, devicehealth.KindDraw, devicehealth.KindTemperature, devicehealth.KindThrottle, devicehealth.KindLid}).Draw(t, "worse")
		by := rapid.Float64Range(0, 1).Draw(t, "by")
		run := func(by float64) devicehealth.Report {
			rng := rand.New(rand.NewPCG(seed, 1))
			monitor := devicehealth.NewMonitor(0, nil)
			monitor.SetInstances(0, 3, 1<<20)
			var r devicehealth.Report
			for s := 0; s <= lastSecond; s++ {
				now := tick.Tick(s) * second
				v := map[devicehealth.Kind]float64{devicehealth.KindCharge: charge - float64(s)*draw/216000, devicehealth.KindDraw: draw + 5*noise*rng.NormFloat64(),
					devicehealth.KindTemperature: temp + warming*float64(s) + noise*rng.NormFloat64(), devicehealth.KindThrottle: 0.2, devicehealth.KindLid: 1}
				if s == lastSecond {
					v[devicehealth.KindCharge] -= by * map[bool]float64{true: 0.02}[worse == devicehealth.KindCharge]
					v[devicehealth.KindDraw] += by * map[bool]float64{true: 60}[worse == devicehealth.KindDraw]
					v[devicehealth.KindTemperature] += by * map[bool]float64{true: 10}[worse == devicehealth.KindTemperature]
					v[devicehealth.KindThrottle] += by * map[bool]float64{true: 0.8}[worse == devicehealth.KindThrottle]
					v[devicehealth.KindLid] -= math.Ceil(by) * map[bool]float64{true: 1}[worse == devicehealth.KindLid]
				}
				v[devicehealth.KindCharge] = min(1, max(0, v[devicehealth.KindCharge]))
				monitor.SetLoad(now, 0.5, 0.7)
				monitor.AddReading(now, okReading("BAT0", devicehealth.KindFullCharge, 216000))
				for _, kind := range []devicehealth.Kind{devicehealth.KindCharge, devicehealth.KindDraw, devicehealth.KindTemperature, devicehealth.KindThrottle, devicehealth.KindLid} {
					monitor.AddReading(now, okReading("BAT0", kind, v[kind]))
				}
				r = monitor.Assess(now)
			}
			return r
		}
		better, worseOff := run(0), run(by)
		if rank(worseOff.State) > rank(better.State) || worseOff.SpareCapacity > better.SpareCapacity || worseOff.Risk < better.Risk {
			t.Fatalf("%s worse by %v: %+v, was %+v", worse, by, worseOff, better)
		}
	})
}

// An unknown reading keeps new instances away but never makes a node evacuate. A healthy node keeps its instances while
// its readings are missing, fail, freeze, jump or become impossible.
func TestAssess_UnknownReadingsNeverDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		monitor := devicehealth.NewMonitor(0, nil)
		monitor.SetLoad(0, 0.5, 0.5)
		kinds := []devicehealth.Kind{devicehealth.KindCharge, devicehealth.KindFullCharge, devicehealth.KindDraw, devicehealth.KindTemperature, devicehealth.KindMains}
		fault := map[devicehealth.Kind]int{}
		held := map[devicehealth.Kind]float64{}
		for s := range 600 {
			now := tick.Tick(s) * second
			v := map[devicehealth.Kind]float64{devicehealth.KindCharge: 0.8 - float64(s)*20/216000, devicehealth.KindFullCharge: 216000,
				devicehealth.KindDraw: 20 + rng.NormFloat64(), devicehealth.KindTemperature: 50 + 0.3*rng.NormFloat64(), devicehealth.KindMains: 0}
			for _, kind := range kinds {
				if s > 120 && s%60 == 1 {
					fault[kind], held[kind] = rapid.IntRange(0, 5).Draw(t, string(kind)), v[kind]
				}
				r := okReading("BAT0", kind, v[kind])
				switch fault[kind] {
				case 1:
					continue
				case 2:
					r.OK, r.Reason = false, "input/output error"
				case 3:
					r.Value = held[kind] // frozen at an earlier value
				case 4:
					r.Value = []float64{math.NaN(), math.Inf(1), -274, 1e12, -1e12}[rng.IntN(5)]
				case 5:
					if kind == devicehealth.KindCharge || kind == devicehealth.KindTemperature {
						r.Value = map[devicehealth.Kind]float64{devicehealth.KindCharge: 0.01, devicehealth.KindTemperature: 110}[kind] // the value jumps and stays at the new value
					}
				}
				monitor.AddReading(now, r)
			}
			if r := monitor.Assess(now); r.MustEvacuate() {
				t.Fatalf("%d s, faults %v: %s %v", s, fault, r.State, r.Reasons)
			}
		}
	})
}

// If a battery has no draw reading, the forecast uses the lower confidence bound of the slope of its charge, so noise
// shortens the forecast.
func TestAssess_SlopeWithoutDraw(t *testing.T) {
	empty := func(noise float64) float64 {
		monitor, rng := devicehealth.NewMonitor(0, nil), rand.New(rand.NewPCG(1, 1))
		var r devicehealth.Report
		for s := range tick.Tick(400) {
			monitor.AddReading(s*second, okReading("BAT0", devicehealth.KindCharge, 0.5-float64(s)*0.0004+noise*rng.NormFloat64()))
			r = monitor.Assess(s * second)
		}
		if r.State != devicehealth.StateLimited && r.State != devicehealth.StateHolding {
			t.Errorf("state %s, want limited or holding: %v", r.State, r.Reasons)
		}
		return float64(r.TimeToEmpty) / float64(second)
	}
	exact, noisy := empty(0), empty(0.004)
	if want := (0.5 - 399*0.0004 - 0.05) / 0.0004; math.Abs(exact-want) > 2 {
		t.Errorf("empty in %v s, want %v", exact, want)
	}
	if noisy > 0.97*exact || noisy < 0.5*exact {
		t.Errorf("empty in %v s with noise, %v without", noisy, exact)
	}
}

// A node that was evacuating when its readings failed stays in that state: unknown readings must not raise the state.
func TestAssess_UnknownReadingsDoNotRise(t *testing.T) {
	monitor := devicehealth.NewMonitor(0, nil)
	addBattery(monitor, 0, 0.06, 30)
	if r := monitor.Assess(0); r.State != devicehealth.StateEvacuating {
		t.Fatalf("state %s before the readings fail, want evacuating: %v", r.State, r.Reasons)
	}
	for s := range tick.Tick(1000) {
		monitor.AddReading(s*second, devicehealth.Reading{Name: "BAT0", Kind: devicehealth.KindCharge, Reason: "gone"})
		if r := monitor.Assess(s * second); r.State != devicehealth.StateEvacuating {
			t.Fatalf("%d s after the readings fail: state %s, want evacuating: %v", s, r.State, r.Reasons)
		}
	}
}

func TestDefaultSettings_MatchOperatorFile(t *testing.T) {
	f, err := fleet.Read("testdata/edge.conf")
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range devicehealth.DefaultSettings() {
		if f.Settings["fleet."+name] != want {
			t.Errorf("fleet.%s defaults to %v in the operator's file, but to %v here", name, f.Settings["fleet."+name], want)
		}
	}
}
