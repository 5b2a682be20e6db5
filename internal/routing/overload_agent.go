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
	// reportKind is the payload kind under which relays publish their reports to other members.
	reportKind = "overload"

	// measureInterval is the time between two measurements of this relay's load. After each measurement the relay
	// reports its load to the other relays.
	measureInterval = 100 * time.Millisecond

	// sheddingFraction is the admitted fraction of the requests below which the log says that the relay sheds requests.
	// The log shows the admitted fraction rounded to two digits.
	sheddingFraction = 0.99
)

var (
	requestsShed     = metrics.NewCounter("cove_relay_shed_total")
	retriesAllowed   = metrics.NewCounter("cove_relay_repeats_total")
	firstAttempts    = metrics.NewCounter("cove_relay_first_deliveries_total")
	admittedFraction = metrics.GetOrCreateGauge("cove_relay_admits", nil)
)

// Membership gives the members of the fleet and their payloads. A *membership.Agent implements it.
type Membership interface {
	Now() tick.Tick
	Publish(kind string, data []byte) error
	Members() []membership.Member
}

// OverloadAgent lets one relay take part in the overload decisions of its fleet: it measures the load, exchanges
// reports with other relays, and is the dispatcher's fleet policy. It is safe for concurrent use, except that only one
// goroutine may call Run.
type OverloadAgent struct {
	membership Membership
	log        zerolog.Logger
	name       string

	mu       sync.Mutex // guards the fields below
	manager  *overload.Manager
	outcomes map[string]*controllerclient.NodeOutcomes // outcomes since the last report to the controllers, keyed by edge node
	stage    dispatch.RolloutStage                     // rollout stage of the newest software version, as last received from the release API

	// The fields below belong to the goroutine of Run.
	meter    pressureMeter
	shedding bool // whether the last log line said that the relay sheds requests
}

// NewOverloadAgent makes the agent of a relay with the given number of cores and bytes of memory. seed is the seed of
// the random numbers of overload.Manager.
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

// Admit reports whether a request is admitted. If not, retryAfter is the time after which its client may retry.
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

// AllowRetry reports whether a request may have one more attempt. The parameter clientRetry says whether the
// client has sent the request before.
func (a *OverloadAgent) AllowRetry(clientRetry bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok := a.manager.AllowRetry(a.membership.Now(), clientRetry)
	if ok {
		retriesAllowed.Inc()
	}
	return ok
}

// RecordOutcome records the outcome of an attempt at an edge node.
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

// RecordServiceTime records how long an edge node took to answer a request of a class.
func (a *OverloadAgent) RecordServiceTime(class int, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.manager.RecordServiceTime(a.membership.Now(), class, tick.FromDuration(took))
}

// OnStage records the stage of the newest version, as received from the release API.
func (a *OverloadAgent) OnStage(stage dispatch.RolloutStage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stage = stage
}

// AllowProbe reports whether an attempt of this relay may go to an edge node that is on probation at this relay or
// ejected by the fleet.
func (a *OverloadAgent) AllowProbe(node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.manager.AllowProbe(a.membership.Now(), node)
}

// IsEjected reports whether the relays of the fleet together have ejected an edge node.
func (a *OverloadAgent) IsEjected(node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.manager.IsEjected(a.membership.Now(), node)
}

// Wait blocks until this relay may take a startup step, or until the context ends. Reports that arrive from other
// relays can shorten the wait.
func (a *OverloadAgent) Wait(ctx context.Context, step overload.StartupStep) {
	for ctx.Err() == nil {
		a.updatePeers()
		a.mu.Lock()
		remaining := a.manager.StartupDelay(a.membership.Now(), step)
		a.mu.Unlock()
		if remaining <= 0 {
			return
		}
		timer := time.NewTimer(min(measureInterval, remaining.Duration()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Run measures the load and publishes reports until the context ends, and then returns nil.
func (a *OverloadAgent) Run(ctx context.Context, dispatcher *dispatch.Dispatcher) error {
	ticker := time.NewTicker(measureInterval)
	defer ticker.Stop()
	expectedAt := time.Now().Add(measureInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		delay := max(0, time.Since(expectedAt))
		expectedAt = time.Now().Add(measureInterval)
		a.update(a.meter.measure(dispatcher.Load(), delay))
	}
}

// update applies a measurement and the reports of the other relays, and publishes this relay's own report.
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

// logShedding logs that the relay has begun or stopped shedding requests.
func (a *OverloadAgent) logShedding(admitted float64, pressure overload.Pressure) {
	event, message := "admits", "load shedding ended"
	if a.shedding {
		event, message = "sheds", "load shedding began"
	}
	a.log.Info().Str("event", event).Float64("admitted_fraction", math.Round(100*admitted)/100).
		Float64("backend_utilization", pressure.BackendUtilization).Float64("cpu_fraction", pressure.CPU).
		Float64("memory_fraction", pressure.Memory).
		Float64("scheduling_delay_ms", float64(pressure.SchedulingDelay.Duration())/float64(time.Millisecond)).Msg(message)
}

// updatePeers applies the reports of the other relays. A report that cannot be decoded, because it is damaged or of a
// later version, is ignored.
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
