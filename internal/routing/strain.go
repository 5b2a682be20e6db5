package routing

import (
	"context"
	"maps"
	"math"
	stats "runtime/metrics"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"silvercove/internal/controllerclient"
	"silvercove/internal/dispatch"
	"silvercove/internal/membership"
	"silvercove/internal/overload"
	"silvercove/internal/tick"
)

// Membership has the fleet's members and their news; a *members.Board does.
type Membership interface {
	Now() tick.Tick
	Publish(kind string, data []byte) error
	Members() []membership.Member
}

var (
	shed    = metrics.NewCounter("cove_relay_shed_total")
	repeats = metrics.NewCounter("cove_relay_repeats_total")
	firsts  = metrics.NewCounter("cove_relay_first_deliveries_total")
	taken   = metrics.GetOrCreateGauge("cove_relay_admits", nil)
	routes  = metrics.NewCounter("cove_relay_routes_changed_total")
)

// OverloadAgent joins one relay to its fleet's decisions on overload: it measures what they ask for, passes news on, and is
// what the gate asks (gate.Shed).
type OverloadAgent struct {
	board  Membership
	log    zerolog.Logger
	self   string
	cores  float64
	memory float64 // bytes

	mu       sync.Mutex
	fleet    *overload.Manager
	outcomes map[string]*controllerclient.NodeOutcomes // by unit, since they were told last
	stage    dispatch.RolloutStage                     // of the newest build, as the platform told it last

	before syscall.Rusage
	at     time.Time
	sheds  bool
}

const (
	kind = "overload"
	beat = 100 * time.Millisecond // between two measures, and between two pieces of news

	reports = time.Second // between two reports of outcomes to the keepers
)

// NewOverloadAgent makes one, of a relay that has so many cores and bytes of memory.
func NewOverloadAgent(board Membership, self string, seed uint64, set map[string]any, cores float64, memory int64, log zerolog.Logger) *OverloadAgent {
	s := &OverloadAgent{board: board, log: log, self: self, cores: max(0.01, cores), memory: max(1, float64(memory)), at: time.Now(),
		fleet: overload.NewManager(board.Now(), seed, self, set), outcomes: map[string]*controllerclient.NodeOutcomes{}}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &s.before)
	return s
}

// Admit tells whether a command is taken.
func (s *OverloadAgent) Admit(op int, importance float64, customer string, repeated bool) (ok bool, back time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, wait := s.fleet.Admit(s.board.Now(), op, importance, customer)
	if !ok {
		shed.Inc()
	}
	return ok, wait.Duration()
}

// RecordFirstAttempt counts a first delivery.
func (s *OverloadAgent) RecordFirstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	firsts.Inc()
	s.fleet.RecordFirstAttempt(s.board.Now())
}

// AllowRetry tells whether one more delivery may go out.
func (s *OverloadAgent) AllowRetry(repeated bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.fleet.AllowRetry(s.board.Now(), repeated)
	if ok {
		repeats.Inc()
	}
	return ok
}

// RecordOutcome takes how a delivery at a unit ended.
func (s *OverloadAgent) RecordOutcome(unit string, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordOutcome(s.board.Now(), unit, good)
	o := s.outcomes[unit]
	if o == nil {
		o = &controllerclient.NodeOutcomes{Node: unit}
		s.outcomes[unit] = o
	}
	if good {
		o.Successes++
	} else {
		o.Failures++
	}
}

// RecordServiceTime takes an answer of a unit and how long the unit took for it.
func (s *OverloadAgent) RecordServiceTime(op int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordServiceTime(s.board.Now(), op, tick.FromDuration(took))
}

// OnStage takes where the newest build stands, as the platform told it.
func (s *OverloadAgent) OnStage(news dispatch.RolloutStage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage = news
}

// Report tells the keepers how commands at units ended, until the context ends. What a call that failed would have told
// is dropped: outcomes speak for the moment.
func (s *OverloadAgent) Report(ctx context.Context, to interface {
	ReportOutcomes(ctx context.Context, o controllerclient.OutcomeReport) error
}) error {
	ticker := time.NewTicker(reports)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.mu.Lock()
		all := s.outcomes
		s.outcomes = make(map[string]*controllerclient.NodeOutcomes, len(all))
		stage := s.stage
		s.mu.Unlock()
		if len(all) == 0 && stage.Phase == "" {
			continue
		}
		units := make([]controllerclient.NodeOutcomes, 0, len(all))
		for _, name := range slices.Sorted(maps.Keys(all)) {
			units = append(units, *all[name])
		}
		call, cancel := context.WithTimeout(ctx, reports)
		if err := to.ReportOutcomes(call, controllerclient.OutcomeReport{Nodes: units, SoftwareVersion: stage.Version, RolloutState: stage.Phase}); err != nil && ctx.Err() == nil {
			s.log.Debug().Err(err).Msg("outcomes not told")
		}
		cancel()
	}
}

// AllowProbe tells whether this relay may try a unit that it doubts.
func (s *OverloadAgent) AllowProbe(unit string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.AllowProbe(s.board.Now(), unit)
}

// IsEjected tells whether a unit is sick for other relays.
func (s *OverloadAgent) IsEjected(unit string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.IsEjected(s.board.Now(), unit)
}

// Wait waits for this relay's turn at something, or for the context. The turn comes sooner with news of others.
func (s *OverloadAgent) Wait(ctx context.Context, what overload.StartupStep) {
	for ctx.Err() == nil {
		s.hear()
		s.mu.Lock()
		left := s.fleet.StartupDelay(s.board.Now(), what)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(min(beat, left.Duration()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Run measures and passes news on until the context ends.
func (s *OverloadAgent) Run(ctx context.Context, g *dispatch.Dispatcher) error {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	next := time.Now().Add(beat)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		late := max(0, time.Since(next))
		next = time.Now().Add(beat)
		s.step(g, late)
	}
}

func (s *OverloadAgent) step(g *dispatch.Dispatcher, late time.Duration) {
	p := s.measure(g, late)
	s.hear()
	s.mu.Lock()
	now := s.board.Now()
	s.fleet.UpdatePressure(now, p)
	told, admits := s.fleet.LocalReport(now), s.fleet.AdmittedFraction()
	s.mu.Unlock()
	taken.Set(admits)
	if err := s.board.Publish(kind, told.Encode()); err != nil {
		s.log.Error().Err(err).Msg("own news not told")
	}
	if sheds := admits < 0.99; sheds != s.sheds { // as it prints, with two digits
		s.sheds = sheds
		event := map[bool]string{true: "sheds", false: "admits"}[sheds]
		s.log.Info().Str("event", event).Float64("admits", math.Round(100*admits)/100).Float64("places", p.BackendUtilization).
			Float64("cpu", p.CPU).Float64("memory", p.Memory).Dur("loop", p.SchedulingDelay.Duration()).Msg(event)
	}
}

// hear passes on what the other relays told.
func (s *OverloadAgent) hear() {
	all := s.board.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.board.Now()
	for _, m := range all {
		if m.Role != "relay" || m.Name == s.self || m.Incarnation == 0 {
			continue
		}
		var told overload.Report
		if data := m.Payloads[kind]; data != nil {
			var err error
			if told, err = overload.DecodeReport(data); err != nil {
				continue // of a later version, or damaged: as if it had told nothing
			}
		}
		s.fleet.UpdatePeer(now, overload.PeerUpdate{
			Name:        m.Name,
			Incarnation: m.Incarnation,
			Report:      told,
			Age:         now - m.LastHeard,
			State:       overload.PeerState(m.State),
		})
	}
}

// measure takes the relay's own load since the last time.
func (s *OverloadAgent) measure(g *dispatch.Dispatcher, late time.Duration) overload.Pressure {
	var use syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	now := time.Now()
	spent := use.Utime.Nano() + use.Stime.Nano() - s.before.Utime.Nano() - s.before.Stime.Nano()
	cpu := float64(spent) / (float64(now.Sub(s.at)) * s.cores)
	s.before, s.at = use, now
	held := []stats.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	stats.Read(held)
	return overload.Pressure{SchedulingDelay: tick.FromDuration(late), CPU: cpu, BackendUtilization: g.Load(),
		Memory: float64(held[0].Value.Uint64()-held[1].Value.Uint64()) / s.memory}
}
