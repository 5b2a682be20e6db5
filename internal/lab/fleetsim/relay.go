package fleetsim

import (
	"fmt"

	"silvercove/internal/overload"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Constants of requests and load reports.
const (
	requestTimeout  = 2 * tick.Second       // each request must have its final response within this time after it begins
	retryInterval   = 50 * milli            // pause before the next attempt after a rejection, or if the relay cannot route the request
	attemptTimeout  = 400 * milli           // time without a response after which a relay treats an attempt as failed
	assignmentDelay = 15 * milli            // delay until a relay knows of a changed assignment
	checkSlack      = 100 * milli           // extra time that the checks grant to a response after its deadline
	serviceTime     = 3 * tick.Second / 100 // service time that a relay records for a successful request
	sampledRelays   = 4                     // number of relays that a relay reports to while none is under pressure
)

// relay is a simulated relay process. It routes requests by the assignments that it knows of.
type relay struct {
	fleet       *Fleet
	number      int // index in Fleet.relays
	endpoint    *endpoint
	incarnation uint64
	overload    *overload.Manager
	clockOffset tick.Tick
	downCount   int
	cutSince    tick.Tick // time since which the relay has received no assignments; 0: the relay receives all of them
	inFlight    int       // number of attempts at nodes that have not ended
	shedding    bool
	reports     int
	member      *member // the relay's membership, whose gossip carries its load reports; nil: membership is not simulated
}

func (r *relay) now() tick.Tick { return r.clockOffset + r.fleet.now }

func (f *Fleet) addRelay(name string, z *zone) {
	r := &relay{fleet: f, number: len(f.relays), endpoint: f.addEndpoint(name, z), incarnation: 1}
	r.overload = overload.NewManager(r.now(), f.seed+uint64(len(f.relays)), name, f.settings)
	f.relays = append(f.relays, r)
}

// report updates the pressure of the relay and sends its load report to other relays.
func (r *relay) report() {
	f := r.fleet
	f.after(f.ReportInterval, r.report)
	if r.downCount > 0 {
		return
	}
	now := r.now()
	r.reports++
	capacity := 16 * float64(f.Nodes) / float64(f.Relays)
	r.overload.UpdatePressure(now, overload.Pressure{BackendUtilization: float64(r.inFlight) / capacity})
	underPressure := float64(r.inFlight)/capacity > 0.5 || r.overload.AdmittedFraction() < 1
	if underPressure {
		f.lastPressure = f.now
	}
	if r.member != nil {
		if err := r.member.table.Publish("overload", r.overload.LocalReport(now).Encode()); err != nil {
			f.checker.fail("publishing the load report of %s: %v", r.endpoint.name, err)
		}
	}
	// If no relay has been under pressure for 10 s, the arrival of a load report matters, not its content: it shows that the
	// sender is not cut off from the receiver. Only a sample of the relays then gets the report.
	peers := f.relays
	if r.member != nil {
		peers = nil
	} else if f.now-f.lastPressure > 10*tick.Second && f.now > 10*tick.Second {
		if peers = r.sample(); len(peers) == 0 {
			return
		}
	}
	localReport := r.overload.LocalReport(now)
	incarnation := r.incarnation
	for _, o := range peers {
		if o == r || o.downCount > 0 || f.isCut(r.endpoint, o.endpoint) {
			continue
		}
		o.overload.UpdatePeer(o.now(), overload.PeerUpdate{
			Name:        r.endpoint.name,
			Incarnation: incarnation,
			Report:      localReport,
			Age:         10 * milli,
			State:       overload.PeerAlive,
		})
	}
	if sheds := r.overload.AdmittedFraction() < 0.99; sheds != r.shedding {
		r.shedding = sheds
		f.logEvent(testcluster.Event{Node: r.endpoint.name, Name: map[bool]string{true: "sheds", false: "admits"}[sheds],
			State: fmt.Sprintf("%.2f", r.overload.AdmittedFraction())})
	}
}

// sample returns the relays that get a report while no relay is under pressure. In a fleet of up to 4*sampledRelays relays, all
// relays get every third report. In a larger fleet, sample returns sampledRelays relays whose numbers are far apart, because relays
// with consecutive numbers report at about the same time.
func (r *relay) sample() (peers []*relay) {
	relays := r.fleet.relays
	if len(relays) <= 4*sampledRelays {
		if r.reports%3 != 0 {
			return nil
		}
		return relays
	}
	for i := range sampledRelays {
		peers = append(peers, relays[(r.number+1+r.reports+i*len(relays)/sampledRelays)%len(relays)])
	}
	return peers
}

// updateCut sets cutSince when messages to or from the leading controller no longer pass, or if there is no leader. It clears
// cutSince when messages pass in both directions.
func (r *relay) updateCut() {
	f := r.fleet
	switch l := f.cluster.leader; {
	case l == nil || f.isCut(l.controller.endpoint, r.endpoint) || f.isCut(r.endpoint, l.controller.endpoint):
		if r.cutSince == 0 {
			r.cutSince = f.now
		}
	default:
		r.cutSince = 0
	}
}

// route returns the primary of an instance according to the assignments that the relay has received.
func (r *relay) route(c *device) string {
	r.updateCut()
	receivedUntil := r.fleet.now - assignmentDelay
	if r.cutSince != 0 {
		receivedUntil = min(receivedUntil, r.cutSince)
	}
	for i := len(c.primaries) - 1; i >= 0; i-- {
		if c.primaries[i].at <= receivedUntil {
			return c.primaries[i].node
		}
	}
	return c.primaries[0].node
}

// recordOutcome records whether an attempt at a node succeeded. If Size.VerifyClaims is set, it reports the outcome to the
// leading controller.
func (r *relay) recordOutcome(node string, good bool) {
	f := r.fleet
	r.overload.RecordOutcome(r.now(), node, good)
	if l := f.cluster.leader; f.VerifyClaims && l != nil && !f.isCut(r.endpoint, l.controller.endpoint) {
		l.verifier.RecordOutcome(l.now(), node, good)
	}
}
