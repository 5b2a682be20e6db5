package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// behaviour is how a backend handles attempts for some time.
type behaviour int

const (
	healthy behaviour = iota
	slowAnswers
	verySlow
	erroring
	silentBackend
	atCapacity
	unreachable
	resetsConnections
	anyOutcome
	drainingBackend
	removedBackend
	restartingBackend
	upgradedBackend
	behaviourCount
)

// simulation runs relays and shared backends in simulated time, and is the host of each relay.
type simulation struct {
	now             Tick
	rand            *rand.Rand
	backends        []*simulatedBackend
	relays          []*simulatedRelay
	clientTimeout   [3]Tick // how long clients wait, by class
	requestInterval [3]Tick // mean time between two requests, by class
	version         uint16  // newest version
	phase           RolloutPhase
}

type simulatedBackend struct {
	behaviour behaviour
	Endpoint
}

type simulatedRelay struct {
	recordingHost
	*Balancer
	simulation    *simulation
	knownBackends []*Backend
	outcomes      []pendingOutcome
	stalledUntil  Tick // the relay processes nothing before this time
	countFrom     Tick
	nextArrival   [3]Tick // time of the next request, by class
	received      [3]int  // requests received within the window that is checked, by class
	succeeded     [3]int
	counting      bool
}

type pendingOutcome struct {
	at      Tick
	attempt *Attempt
	outcome Outcome
}

// StartAttempt determines the outcome of an attempt from the behaviour of its backend.
func (r *simulatedRelay) StartAttempt(attempt *Attempt, deadline Tick) {
	backend := r.simulation.backends[attempt.Backend.ID]
	took, outcome := Tick(50+r.simulation.rand.IntN(300)), Succeeded
	switch backend.behaviour {
	case slowAnswers:
		took = 4000 + Tick(r.simulation.rand.IntN(3000))
	case verySlow:
		took = 8000 + Tick(r.simulation.rand.IntN(30000))
	case erroring:
		outcome = Errored
	case silentBackend, removedBackend, restartingBackend:
		took = 100 * Second
	case atCapacity, drainingBackend:
		outcome = AtCapacity
	case unreachable:
		took, outcome = took+Tick(r.simulation.rand.IntN(10000)), ConnectFailed
	case resetsConnections:
		outcome = Reset
	case anyOutcome:
		outcome = Outcome(1 + r.simulation.rand.IntN(int(Reset)))
	}
	if at := r.simulation.now + took; at >= deadline {
		r.outcomes = append(r.outcomes, pendingOutcome{deadline, attempt, TimedOut})
	} else {
		r.outcomes = append(r.outcomes, pendingOutcome{at, attempt, outcome})
	}
}

// CancelAttempt ends the attempt at once. The balancer is told in the next step.
func (r *simulatedRelay) CancelAttempt(attempt *Attempt) {
	for i := range r.outcomes {
		if r.outcomes[i].attempt == attempt {
			r.outcomes[i].at, r.outcomes[i].outcome = r.simulation.now, Cancelled
		}
	}
}

// step advances the clock by 10 ms.
func (g *simulation) step() {
	g.now += Second / 100
	for _, r := range g.relays {
		if g.now < r.stalledUntil {
			continue
		}
		for _, p := range r.outcomes {
			if p.at > g.now {
				continue
			}
			settled := p.outcome == Succeeded || g.now >= p.attempt.Request.Deadline
			if r.counting && p.outcome == Succeeded && p.attempt.Request.receivedAt >= r.countFrom {
				r.succeeded[p.attempt.Request.Class]++
			}
			r.OnOutcome(g.now, p.attempt, p.outcome, g.now-p.attempt.chosenAt, settled, nil)
		}
		kept := r.outcomes[:0]
		for _, p := range r.outcomes {
			if p.attempt.state != attemptEnded {
				kept = append(kept, p)
			}
		}
		r.outcomes = kept
		if g.now%(timerInterval) == 0 {
			r.OnTimer(g.now, 0)
		}
		for class := range r.nextArrival {
			for ; r.nextArrival[class] <= g.now; r.nextArrival[class] += 1 + Tick(g.rand.ExpFloat64()*float64(g.requestInterval[class])) {
				if r.counting {
					r.received[class]++
				}
				r.OnRequest(g.now, &Request{Class: class, Key: g.rand.Uint64N(50), Deadline: g.now + g.clientTimeout[class]})
			}
		}
	}
}

// announce sends the state of a backend to all relays.
func (g *simulation) announce(id int) {
	for _, r := range g.relays {
		r.OnEndpoint(g.now, r.knownBackends[id], g.backends[id].Endpoint)
		r.OnListSynced(g.now, true)
	}
}

// setBehaviour sets the behaviour of a backend and its entry in the endpoint list.
func (g *simulation) setBehaviour(id int, kind behaviour, version uint16) {
	backend := g.backends[id]
	backend.behaviour, backend.State = kind, Ready
	switch kind {
	case drainingBackend:
		backend.State = Draining
	case removedBackend:
		backend.State = Removed
	case restartingBackend, upgradedBackend:
		backend.StartedAt = g.now
		if kind == upgradedBackend {
			backend.Version, backend.behaviour = version, healthy
		}
	}
	g.announce(id)
}

// fleetSize is the number of relays and of backends, and the number of relays in the settings.
type fleetSize struct{ relays, backends, configuredRelays int }

// drawSimulation starts relays and clients with healthy backends.
func drawSimulation(t *rapid.T, size fleetSize) *simulation {
	g := &simulation{now: testStart, version: 1, phase: Released,
		rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	for class := range g.clientTimeout {
		g.clientTimeout[class] = Tick(rapid.IntRange(1500, 30000).Draw(t, "client timeout"))
		g.requestInterval[class] = Tick(rapid.IntRange(500, 10000).Draw(t, "request interval"))
		if rapid.IntRange(0, 3).Draw(t, "no requests") == 0 {
			g.requestInterval[class] = 1e9
		}
	}
	for range size.backends {
		g.backends = append(g.backends, &simulatedBackend{Endpoint: Endpoint{State: Ready, Version: 1}})
	}
	for i := range size.relays {
		g.relays = append(g.relays, g.newRelay(uint64(i)+1, size))
	}
	for id := range size.backends {
		g.announce(id)
	}
	return g
}

func (g *simulation) newRelay(seed uint64, size fleetSize) *simulatedRelay {
	r := &simulatedRelay{simulation: g, recordingHost: *newRecordingHost()}
	r.Balancer = New(r, testStart, seed, testSettings(func(s *Settings) { s.Relays = float64(size.configuredRelays) }))
	for id := range size.backends {
		r.knownBackends = append(r.knownBackends, &Backend{ID: uint32(id)})
	}
	for class := range r.nextArrival {
		r.nextArrival[class] = testStart + Tick(g.rand.IntN(10000))
	}
	r.OnReleaseStatus(g.now, ReleaseStatus{Version: 1, Phase: Released, ExposureCap: 1, Outcome: Succeeded})
	return r
}

func (g *simulation) play(span Tick) {
	for end := g.now + span; g.now < end; {
		g.step()
	}
}

// announceStatus sends the state of the newest version to all relays.
func (g *simulation) announceStatus() {
	caps := map[RolloutPhase]float64{Canary: 0.2, Released: 1}
	for _, r := range g.relays {
		r.OnReleaseStatus(g.now, ReleaseStatus{Version: g.version, Phase: g.phase, ExposureCap: caps[g.phase],
			Outcome: Succeeded})
	}
}

// drawFault gives some backends a random behaviour for a random time. It may also start a rollout, change the phase of
// the rollout, or stall the relays.
func (g *simulation) drawFault(t *rapid.T) {
	kind := behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
	share := rapid.Float64Range(0, 1).Draw(t, "share")
	if rapid.Bool().Draw(t, "all backends") {
		share = 1
	}
	switch rapid.IntRange(0, 3).Draw(t, "additional event") {
	case 1:
		g.version, g.phase = g.version+1, Canary
		g.announceStatus()
	case 2:
		g.phase = rapid.SampledFrom([]RolloutPhase{RollingBack, Released, Withdrawn}).Draw(t, "phase")
		g.announceStatus()
	case 3:
		for _, r := range g.relays {
			r.stalledUntil = g.now + Tick(g.rand.IntN(int(3*Second)))
		}
	}
	for id := range g.backends {
		if g.rand.Float64() < share {
			g.setBehaviour(id, kind, g.version)
		}
	}
	g.play(Tick(rapid.IntRange(1, 1000).Draw(t, "length")) * Second / 100)
}

// repairAll releases the newest version and makes all backends run it and be healthy.
func (g *simulation) repairAll() {
	g.phase = Released
	g.announceStatus()
	for id, backend := range g.backends {
		backend.behaviour, backend.State, backend.Version = healthy, Ready, g.version
		g.announce(id)
	}
}

// minServed returns the minimum number of requests of a class that the relay must serve within the window that is
// checked.
func (g *simulation) minServed(r *simulatedRelay, class int) int {
	least := 3
	if g.clientTimeout[class]-2*timerInterval <= r.settings.Classes[class].LatencyObjective.Ticks()/4 {
		// Without answers, the default latency estimate leaves no time before the deadline. The relay then makes only
		// late attempts (see allowLateAttempt).
		least = 1
	}
	return min(r.received[class]*7/10, least)
}

// TestBalancer_ServesAgainAfterAnyHistory checks that each relay serves each class again some time after all backends
// have become healthy. The relay is not restarted. This holds whatever the backends, the endpoint list, the release API
// and the relay's own host did before.
func TestBalancer_ServesAgainAfterAnyHistory(t *testing.T) {
	const settle, window = 20 * Second, 20 * Second
	for _, c := range []struct {
		fleetSize
		maxRuns int // maximum number of runs; a run with sixty relays takes a second
	}{{fleetSize{1, 1, 1}, 15}, {fleetSize{1, 3, 1}, 15}, {fleetSize{1, 12, 300}, 15}, {fleetSize{60, 30, 60}, 1}} {
		t.Run(fmt.Sprintf("%d of %d relays, %d backends", c.relays, c.configuredRelays, c.backends), func(t *testing.T) {
			played, failed := 0, false
			rapid.Check(t, func(t *rapid.T) {
				if played++; played > c.maxRuns && !failed {
					return
				}
				g := drawSimulation(t, c.fleetSize)
				for range rapid.IntRange(1, 5).Draw(t, "faults") {
					g.drawFault(t)
				}
				g.repairAll()
				g.play(settle)
				for _, r := range g.relays {
					r.counting, r.countFrom = true, g.now
				}
				g.play(window)
				for i, r := range g.relays {
					for class, n := range r.received {
						if n >= 5 && r.succeeded[class] < g.minServed(r, class) {
							failed = true
							t.Fatalf("relay %d, class %d: %d received, %d succeeded; limit %.1f, median %v, p90 %v, backends %d",
								i, class, n, r.succeeded[class], r.concurrencyLimit, r.medianLatency, r.p90Latency, len(r.backends))
						}
					}
				}
			})
		})
	}
}
