package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"silvercove/internal/standin/golden"
	"silvercove/internal/tick"
)

// goldenSeeds is the number of runs in each golden trace.
const goldenSeeds = 24

// recorder drives a fleet by a seeded script and records what each relay decides.
type recorder struct {
	*golden.Trace
	*testFleet
	rng                *rand.Rand
	down               []bool
	failureRates       map[string]float64 // failure rates, by backend; a backend without one fails at defaultFailureRate
	defaultFailureRate float64
	pressure           float64
}

// TestGolden_Decisions compares all decisions of fleets of 1 to 9 relays, under changing load and with failing backends,
// with the golden trace. The relays restart, die and are cut off from each other; their messages are lost, late, repeated
// and out of order.
func TestGolden_Decisions(t *testing.T) {
	golden.Seeds(t, "decisions.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		n := 1 + int(seed%9)
		r := &recorder{
			Trace:        trace,
			testFleet:    newTestFleet(n, map[string]float64{"ramp": float64(seed % 5)}),
			rng:          rand.New(rand.NewPCG(seed, 17)),
			down:         make([]bool, n),
			failureRates: map[string]float64{},
		}
		for step := range 400 {
			r.now += tick.Tick(r.rng.IntN(int(tick.Second / 5)))
			r.changeFleet(step)
			for i := range n {
				if !r.down[i] {
					r.simulateRelay(i)
				}
			}
			r.exchangeMessages()
		}
	})
}

// changeFleet draws a change of the fleet, of its backends or of its load, and sometimes draws no change.
func (r *recorder) changeFleet(step int) {
	n := len(r.relays)
	switch i := r.rng.IntN(n); r.rng.IntN(40) {
	case 0:
		r.down[i] = !r.down[i]
	case 1:
		r.incarnations[i]++
		r.relays[i] = NewManager(r.now, r.rng.Uint64(), relayName(i), testSettings(float64(n), nil))
	case 2:
		r.failureRates[backendName(r.rng.IntN(12))] = 0.5 + r.rng.Float64()/2
	case 3:
		clear(r.failureRates)
	case 4:
		r.defaultFailureRate = r.rng.Float64() * 0.6
	case 5, 6:
		r.defaultFailureRate = 0.02
	case 7, 8, 9:
		r.pressure = r.rng.Float64() * 2
	case 10:
		side := 1 + r.rng.IntN(3)
		r.delivers = func(from, to int) bool { return from%side == to%side }
	case 11, 12:
		r.delivers = func(int, int) bool { return true }
	case 13:
		r.now += tick.Tick(r.rng.IntN(int(80 * tick.Second))) // up to 80 s: long enough for all relays to be forgotten
	case 14:
		for backend := range 300 { // more backends than maxSuspects
			r.relays[i].RecordOutcome(r.now, backendName(100+backend), false)
		}
	}
	r.Logf("step %d at %d", step, r.now)
}

func backendName(i int) string { return fmt.Sprint("unit-", i) }

// simulateRelay draws the events at one relay and records its decisions.
func (r *recorder) simulateRelay(i int) {
	m := r.relays[i]
	m.UpdatePressure(r.now, Pressure{
		SchedulingDelay:    tick.Tick(r.rng.IntN(int(maxSchedulingDelay))),
		CPU:                r.rng.Float64() * 0.9,
		Memory:             r.rng.Float64() / 2,
		BackendUtilization: r.pressure,
	})
	r.Logf("relay %d admits %.9g", i, m.AdmittedFraction())
	for range 1 + r.rng.IntN(8) {
		class := r.rng.IntN(5)
		if r.rng.IntN(100) == 0 {
			class = 70 // beyond maxClasses
		}
		ok, retryAfter := m.Admit(r.now, class, float64(1+class%3), fmt.Sprint("customer-", r.rng.IntN(50)))
		r.Logf("take %d: %t %d", class, ok, retryAfter)
		if !ok {
			continue
		}
		m.RecordFirstAttempt(r.now)
		r.simulateAttempt(i, class)
	}
	switch r.rng.IntN(6) {
	case 0:
		r.Logf("back %d", m.RetryAfter(r.now, tick.Second/4, tick.Second))
	case 1:
		r.Logf("wait %d %d %d", m.StartupDelay(r.now, StepAccept), m.StartupDelay(r.now, StepListEndpoints), m.StartupDelay(r.now, StepConnect))
	}
}

// simulateAttempt draws a backend and the outcome of an attempt at it. If the backend is ejected, and sometimes if it is not,
// the attempt is made only if AllowProbe returns true.
func (r *recorder) simulateAttempt(i, class int) {
	m := r.relays[i]
	backend := backendName(r.rng.IntN(12))
	ejected := m.IsEjected(r.now, backend)
	r.Logf("unit %s avoided %t", backend, ejected)
	if ejected || r.rng.IntN(6) == 0 {
		probe := m.AllowProbe(r.now, backend)
		r.Logf("probes %t", probe)
		if !probe {
			return
		}
	}
	failureRate, degraded := r.failureRates[backend]
	if !degraded {
		failureRate = r.defaultFailureRate
	}
	succeeded := r.rng.Float64() >= failureRate
	m.RecordOutcome(r.now, backend, succeeded)
	if succeeded {
		m.RecordServiceTime(r.now, class, tick.Tick(1+r.rng.IntN(int(tick.Second/10))))
		return
	}
	r.Logf("again %t", m.AllowRetry(r.now, r.rng.IntN(5) == 0))
}

// exchangeMessages lets some relays send their reports to the others; some messages are late, repeated or lost.
func (r *recorder) exchangeMessages() {
	states := []PeerState{"alive", "alive", "alive", "alive", "slow", "cut", "dead", "left"}
	for from, m := range r.relays {
		if r.down[from] || r.rng.IntN(3) > 0 {
			continue
		}
		report := m.LocalReport(r.now)
		r.logReport(report)
		report, err := DecodeReport(report.Encode())
		if err != nil {
			r.Logf("not read: %t", err != nil)
			continue
		}
		if r.rng.IntN(4) == 0 {
			report.Evidence = nil // a relay of an earlier version reports no evidence
		}
		for to, other := range r.relays {
			if from == to || r.down[to] || !r.delivers(from, to) || r.rng.IntN(10) == 0 {
				continue
			}
			state := PeerAlive
			if r.rng.IntN(30) == 0 {
				state = states[r.rng.IntN(len(states))]
			}
			for range 1 + r.rng.IntN(8)/7 {
				other.UpdatePeer(r.now, PeerUpdate{
					Name:        relayName(from),
					Incarnation: r.incarnations[from],
					Report:      report,
					Age:         tick.Tick(r.rng.IntN(int(tick.Second))),
					State:       state,
				})
			}
		}
	}
}

func (r *recorder) logReport(report Report) {
	r.Logf("tells up %d, own %.9g, shared %.9g, done %.9g, firsts %.9g, credit %.9g, spilled %.9g", report.Uptime, report.LocalFraction,
		report.SharedFraction, report.CompletedWork, report.FirstAttempts, report.RetryCredit, report.SpilledCredit)
	for i, work := range report.OfferedWork {
		r.Logf("work %d %.9g", i, work)
	}
	for _, v := range report.Verdicts {
		r.Logf("verdict %x %t %d", v.Backend, v.Healthy, v.Age)
	}
	for _, s := range report.Evidence {
		r.Logf("sign %x %d %d %d", s.Backend, s.Failures, s.Successes, s.Age)
	}
}

// TestGolden_Messages compares the bytes of encoded reports with the golden trace. Relays of other versions must be
// able to read these bytes.
func TestGolden_Messages(t *testing.T) {
	golden.Seeds(t, "messages.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		rng := rand.New(rand.NewPCG(seed, 23))
		for range 50 {
			report := Report{Uptime: tick.Tick(rng.IntN(1 << 40)), LocalFraction: rng.Float64(), SharedFraction: rng.Float64(), CompletedWork: rng.Float64() * 9,
				FirstAttempts: rng.Float64() * 99, RetryCredit: rng.Float64() * 9, SpilledCredit: rng.Float64() * 1e6}
			for range rng.IntN(maxReportClasses + 1) {
				report.OfferedWork = append(report.OfferedWork, rng.Float64())
			}
			for range rng.IntN(maxVerdicts + 1) {
				report.Verdicts = append(report.Verdicts, Verdict{rng.Uint64(), rng.IntN(2) == 0, tick.Tick(rng.IntN(1 << 19))})
			}
			for range rng.IntN(maxEvidence + 1) {
				report.Evidence = append(report.Evidence, Evidence{rng.Uint64(), rng.IntN(2), rng.IntN(2), tick.Tick(rng.IntN(1 << 17))})
			}
			b := report.Encode()
			trace.Logf("%x", b)
			b[rng.IntN(len(b))] ^= byte(1 << rng.IntN(8))
			reencoded, err := DecodeReport(b)
			trace.Logf("%t %x", err == nil, reencoded.Encode())
		}
	})
}

// TestGolden_LimitsFor compares the limits of listeners with different numbers of sessions with the golden trace.
func TestGolden_LimitsFor(t *testing.T) {
	golden.Seeds(t, "limits.txt", goldenSeeds, func(seed uint64, trace *golden.Trace) {
		for sessions := range 100 {
			s := LimitsFor(sessions * int(seed+1))
			trace.Logf("%d %d %d %d %d %d %d", s.MaxSessions, s.SpareSessions, s.MaxIdle, s.MaxRequests, s.MaxPipelined, s.IdleTimeout, s.ContendedTimeout)
		}
	})
}
