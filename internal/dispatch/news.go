package dispatch

import (
	"fmt"
	"slices"
	"time"

	"silvercove/balancer"
	"silvercove/internal/transport"
)

// Endpoint is one entry of the list of units.
type Endpoint struct {
	Name, Address, Zone, MachineKind string
	Cell                             int
	State                            string
	Weight                           float64
	StartedAtMs                      int64 // Unix time, 0 for long ago
	Version                          uint16
}

var states = map[string]balancer.EndpointState{"up": balancer.Ready, "draining": balancer.Draining, "removed": balancer.Removed}

// Valid tells whether an entry makes sense.
func (h Endpoint) Valid() bool {
	_, ok := states[h.State]
	return ok && h.Name != "" && h.Address != "" && h.StartedAtMs >= 0
}

// UpdateEndpoints takes the whole list, or changes of it.
func (g *Dispatcher) UpdateEndpoints(whole bool, hosts []Endpoint) {
	if g.hands.OnEndpoints != nil {
		g.hands.OnEndpoints(whole, hosts)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.Counters.EndpointUpdates++
	named := map[string]bool{}
	for _, h := range hosts {
		u := g.units[h.Name]
		if u == nil {
			u = &unit{name: h.Name}
			g.admit(u)
			g.hands.Log(fmt.Sprintf("unit %d is %s", u.ID, h.Name))
		}
		named[h.Name] = true
		u.dial = h.Address
		g.listed(now, u, balancer.Endpoint{Zone: g.zone(h), MachineKind: g.number("kinds", h.MachineKind),
			Cell: h.Cell, State: states[h.State], NominalWeight: h.Weight, StartedAt: balancer.Tick(h.StartedAtMs * 10), Version: h.Version})
	}
	for _, u := range g.byDoor { // one that a whole list leaves out has gone
		if u != nil && whole && !named[u.name] && u.State != balancer.Removed {
			is := u.Endpoint
			is.State = balancer.Removed
			g.listed(now, u, is)
		}
	}
	g.forget(now)
	for _, c := range g.open { // a unit may have come after the news of what runs there
		if s := g.spots[c.key]; s != nil {
			g.settle(s)
		}
	}
	g.module.OnListSynced(now, true)
}

// admit gives a unit its door, one that is free if there is one.
func (g *Dispatcher) admit(u *unit) {
	g.units[u.name] = u
	at := slices.Index(g.byDoor, nil)
	if at < 0 {
		at, g.byDoor = len(g.byDoor), append(g.byDoor, nil)
	}
	u.ID, g.byDoor[at] = uint32(at), u
}

// forget drops units that have gone, the longest first: as long as there are more of them than listed ones, and
// nothing about them counts any more. Until then one may come back as it was, or a late flag may name it.
func (g *Dispatcher) forget(now balancer.Tick) {
	for len(g.gone) > len(g.units)-len(g.gone) {
		u := g.gone[0]
		if u.out > 0 || now-u.went < g.keep {
			return
		}
		g.gone, g.byDoor[u.ID] = g.gone[1:], nil
		delete(g.units, u.name)
	}
}

func (g *Dispatcher) listed(now balancer.Tick, u *unit, is balancer.Endpoint) {
	if is.State != balancer.Ready || is.StartedAt != u.StartedAt || is.Version != u.Version {
		g.hands.CloseIdle(u.name) // its connections are of no more use
	}
	if was, goes := slices.Index(g.gone, u), is.State == balancer.Removed; goes && was < 0 {
		u.went, g.gone = now, append(g.gone, u)
	} else if !goes && was >= 0 {
		g.gone = slices.Delete(g.gone, was, was+1)
	}
	g.module.OnEndpoint(now, &u.Backend, is)
}

// EndpointFetchFailed tells that a call that the module asked for came to nothing.
func (g *Dispatcher) EndpointFetchFailed() {
	if !g.asks {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.module.OnListSynced(g.now(), false)
}

// RolloutStage is what the platform says of the newest build.
type RolloutStage struct {
	Version     uint16
	Stage       int
	Phase       string
	ExposureCap float64
	Age         time.Duration
}

var phases = map[string]balancer.RolloutPhase{"testing": balancer.Canary, "recalling": balancer.RollingBack,
	"live": balancer.Released, "recalled": balancer.Withdrawn}

// Valid tells whether the news makes sense.
func (s RolloutStage) Valid() bool {
	_, ok := phases[s.Phase]
	return ok && s.Stage >= 0 && s.ExposureCap >= 0 && s.ExposureCap <= 1 && s.Age >= 0
}

func (s RolloutStage) news() balancer.ReleaseStatus {
	return balancer.ReleaseStatus{Version: s.Version, Stage: s.Stage, Phase: phases[s.Phase], ExposureCap: s.ExposureCap,
		Age: balancer.Tick(s.Age / tenth), Outcome: balancer.Succeeded}
}

// UpdateStage takes news of the newest build.
func (g *Dispatcher) UpdateStage(s RolloutStage) {
	if g.hands.OnStage != nil {
		g.hands.OnStage(s)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Counters.StageUpdates++
	g.offered(s)
	g.module.OnReleaseStatus(g.now(), s.news())
}

func (g *Dispatcher) offered(s RolloutStage) {
	g.stage = s.Stage
	if w := g.hands.Evidence; w != nil {
		w.UpdateVersion(g.now(), s.Version, s.Phase)
	}
}

var words = map[balancer.Verdict]string{balancer.NoVote: "withdraw", balancer.Promote: "go on", balancer.Pause: "hold",
	balancer.RollBack: "go back"}

// Vote is one vote as the platform's page words it.
type Vote struct {
	Version uint16
	Stage   int
	Verdict string
}

var verdicts = map[balancer.Verdict]string{balancer.NoVote: "WITHDRAW", balancer.Promote: "PROCEED", balancer.Pause: "HOLD",
	balancer.RollBack: "ROLLBACK"}

// VoteAnswered takes the answer to a vote: an HTTP status and what it tells, or no answer (status 0).
func (g *Dispatcher) VoteAnswered(status int, s RolloutStage, end transport.CloseStatus) {
	news := s.news()
	news.VoteReply, news.Outcome = true, VoteOutcome(status, end)
	if g.hands.OnStage != nil && news.Outcome == balancer.Succeeded {
		g.hands.OnStage(s)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Counters.VoteOutcomes[news.Outcome]++
	if news.Outcome == balancer.Succeeded {
		g.offered(s)
	}
	g.module.OnReleaseStatus(g.now(), news)
}

// RecordPlatformCount takes what the platform counted at a build.
func (g *Dispatcher) RecordPlatformCount(build uint16, opType string, many, failed int, took, age time.Duration) {
	op, ok := g.ops[opType]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Counters.PlatformCounts++
	if w := g.hands.Evidence; ok && w != nil {
		w.RecordPlatformCount(g.now(), build, op, g.stage, many, failed)
	}
	if ok {
		g.module.OnMetrics(g.now(), build, op, many, failed, balancer.Tick(took/tenth), balancer.Tick(age/tenth))
	}
}

// RecordWrongAnswer takes that an answer of a unit was wrong.
func (g *Dispatcher) RecordWrongAnswer(name, opType string, age time.Duration) {
	op, ok := g.ops[opType]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Counters.WrongAnswers++
	if u := g.units[name]; ok && u != nil {
		if w := g.hands.Evidence; w != nil {
			w.RecordFlag(g.now(), u.Version, op, g.stage, balancer.Tick(age/tenth))
		}
		g.module.OnWrongAnswer(g.now(), &u.Backend, op, balancer.Tick(age/tenth))
	}
}

// ProbeEnded takes how a probe of a unit ended.
func (g *Dispatcher) ProbeEnded(name, state string, end transport.CloseStatus, took time.Duration, load []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.units[name]; u != nil {
		g.module.OnProbe(g.now(), &u.Backend, AttemptOutcome(state, end), balancer.Tick(took/tenth), load)
	}
}
