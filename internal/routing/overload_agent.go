package routing

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"silvercove/internal/controllerclient"
	"silvercove/internal/dispatch"
	"silvercove/internal/membership"
	"silvercove/internal/overload"
	"silvercove/internal/peertransport"
	"silvercove/internal/tick"
)

const (
	// reportKind is the kind of the relays' reports among the members' payloads.
	reportKind = "overload"

	// measureInterval is the time between two measurements, and between two reports to other relays.
	measureInterval = 100 * time.Millisecond

	// sheddingFraction: below this admitted fraction the relay counts as shedding in the log, which has two digits of it.
	sheddingFraction = 0.99
)

var (
	requestsShed     = metrics.NewCounter("cove_relay_shed_total")
	retriesAllowed   = metrics.NewCounter("cove_relay_repeats_total")
	firstAttempts    = metrics.NewCounter("cove_relay_first_deliveries_total")
	admittedFraction = metrics.GetOrCreateGauge("cove_relay_admits", nil)
)

// Membership has the fleet's members and their payloads. A *membership.Agent does.
type Membership interface {
	Now() tick.Tick
	Publish(kind string, data []byte) error
	Members() []membership.Member
}

// OverloadAgent joins one relay to its fleet's decisions on overload: it measures what they need, exchanges reports, and is the
// dispatcher's fleet policy. It is safe for concurrent use, Run by one goroutine.
type OverloadAgent struct {
	membership Membership
	log        zerolog.Logger
	name       string

	mu       sync.Mutex // guards the fields below
	manager  *overload.Manager
	outcomes map[string]*controllerclient.NodeOutcomes // by edge node, since the last report to the controllers
	stage    dispatch.RolloutStage                     // of the newest version, as the release API told it last

	// Run's goroutine alone has the fields below.
	meter    pressureMeter
	shedding bool // as last logged
}

// NewOverloadAgent makes the agent of a relay that has so many cores and bytes of memory. The seed draws what overload.Manager
// draws.
func NewOverloadAgent(members Membership, name string, seed uint64, settings map[string]any, cores float64, memory int64,
	log zerolog.Logger) *OverloadAgent {

	return &OverloadAgent{
		membership: members,
		log:        log.With().Str("component", "overload").Logger(),
		name:       name,
		manager:    overload.NewManager(members.Now(), seed, name, settings),
		outcomes:   map[string]*controllerclient.NodeOutcomes{},
		meter:      newPressureMeter(cores, memory),
	}
}

// Admit tells whether a request is taken, and else when the client may come back.
func (a *OverloadAgent) Admit(class int, priorityWeight float64, tenant string, _ bool) (ok bool, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok, wait := a.manager.Admit(a.membership.Now(), class, priorityWeight, tenant)
	if !ok {
		requestsShed.Inc()
	}
	return ok, wait.Duration()
}

// RecordFirstAttempt counts the first attempt of a request.
func (a *OverloadAgent) RecordFirstAttempt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	firstAttempts.Inc()
	a.manager.RecordFirstAttempt(a.membership.Now())
}

// AllowRetry tells whether one more attempt of a request may go out.
func (a *OverloadAgent) AllowRetry(clientRetry bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok := a.manager.AllowRetry(a.membership.Now(), clientRetry)
	if ok {
		retriesAllowed.Inc()
	}
	return ok
}

// RecordOutcome takes how an attempt at an edge node ended.
func (a *OverloadAgent) RecordOutcome(node string, succeeded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.manager.RecordOutcome(a.membership.Now(), node, succeeded)
	outcomes := a.outcomes[node]
	if outcomes == nil {
		outcomes = &controllerclient.NodeOutcomes{Node: node}
		a.outcomes[node] = outcomes
	}
	if succeeded {
		outcomes.Successes++
	} else {
		outcomes.Failures++
	}
}

// RecordServiceTime takes how long an edge node took for an answer.
func (a *OverloadAgent) RecordServiceTime(class int, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.manager.RecordServiceTime(a.membership.Now(), class, tick.FromDuration(took))
}

// OnStage takes where the newest version stands, as the release API told it.
func (a *OverloadAgent) OnStage(stage dispatch.RolloutStage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stage = stage
}

// AllowProbe tells whether this relay may send a probe to an edge node that it suspects.
func (a *OverloadAgent) AllowProbe(node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.manager.AllowProbe(a.membership.Now(), node)
}

// IsEjected tells whether other relays have ejected an edge node.
func (a *OverloadAgent) IsEjected(node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.manager.IsEjected(a.membership.Now(), node)
}

// Wait waits for this relay's turn at a step of its start, or for the context's end. The turn comes sooner with reports of other
// relays.
func (a *OverloadAgent) Wait(ctx context.Context, step overload.StartupStep) {
	for ctx.Err() == nil {
		a.updatePeers()
		a.mu.Lock()
		left := a.manager.StartupDelay(a.membership.Now(), step)
		a.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(min(measureInterval, left.Duration()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Run measures and reports until the context ends, and returns nil then.
func (a *OverloadAgent) Run(ctx context.Context, dispatcher *dispatch.Dispatcher) error {
	ticker := time.NewTicker(measureInterval)
	defer ticker.Stop()
	next := time.Now().Add(measureInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		delay := max(0, time.Since(next))
		next = time.Now().Add(measureInterval)
		a.update(a.meter.measure(dispatcher.Load(), delay))
	}
}

// update takes a measurement and the reports of other relays in, and publishes this relay's report.
func (a *OverloadAgent) update(pressure overload.Pressure) {
	a.updatePeers()
	a.mu.Lock()
	now := a.membership.Now()
	a.manager.UpdatePressure(now, pressure)
	report, admitted := a.manager.LocalReport(now), a.manager.AdmittedFraction()
	a.mu.Unlock()
	admittedFraction.Set(admitted)
	if err := a.membership.Publish(reportKind, report.Encode()); err != nil {
		a.log.Error().Err(err).Msg("overload report not published")
	}
	if shedding := admitted < sheddingFraction; shedding != a.shedding {
		a.shedding = shedding
		a.logShedding(admitted, pressure)
	}
}

// logShedding logs that the relay begins or ends to shed requests.
func (a *OverloadAgent) logShedding(admitted float64, pressure overload.Pressure) {
	event, message := "admits", "load shedding ended"
	if a.shedding {
		event, message = "sheds", "load shedding begun"
	}
	a.log.Info().Str("event", event).Float64("admitted_fraction", math.Round(100*admitted)/100).
		Float64("backend_utilization", pressure.BackendUtilization).Float64("cpu_fraction", pressure.CPU).
		Float64("memory_fraction", pressure.Memory).
		Float64("scheduling_delay_ms", float64(pressure.SchedulingDelay.Duration())/float64(time.Millisecond)).Msg(message)
}

// updatePeers takes the reports of the other relays in. One of a later version, or a damaged one, is as if there were none.
func (a *OverloadAgent) updatePeers() {
	members := a.membership.Members()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.membership.Now()
	for _, member := range members {
		if member.Role != peertransport.RoleRelay || member.Name == a.name || member.Incarnation == 0 {
			continue
		}
		var report overload.Report
		if data := member.Payloads[reportKind]; data != nil {
			var err error
			if report, err = overload.DecodeReport(data); err != nil {
				continue
			}
		}
		a.manager.UpdatePeer(now, overload.PeerUpdate{
			Name:        member.Name,
			Incarnation: member.Incarnation,
			Report:      report,
			Age:         now - member.LastHeard,
			State:       overload.PeerState(member.State),
		})
	}
}
