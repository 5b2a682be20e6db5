package overload

import (
	"container/heap"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	reportTTL        = 3 * tick.Second  // a report of this age or older is not counted, and its relay does not rank among the probers
	isolationTimeout = 5 * tick.Second  // a relay that has heard of no other relay for this long is isolated
	departedTTL      = 60 * tick.Second // how long a relay that left or died is remembered, so that its retry credit is not inherited twice
	maxPeers         = 1 << 14
	fractionBuckets  = 256 // number of buckets in fractionHistogram, from which medianFraction takes the median
)

// PeerState is the state of a peer in the fleet's membership. A value other than the constants below means that the peer
// is alive.
type PeerState string

// The peer states that UpdatePeer tells apart.
const (
	PeerAlive       PeerState = "alive"
	PeerUnreachable PeerState = "cut"  // the peer cannot be reached by this relay; other relays forward its messages
	PeerDead        PeerState = "dead" // the peer died; its retry credit passes to a successor
	PeerLeft        PeerState = "left" // the peer left on purpose; its retry credit also passes to a successor
)

// PeerUpdate is what is known of another relay.
type PeerUpdate struct {
	Name        string
	Incarnation uint64 // number of the relay's process, which grows with each restart; an update with a lower number than the known one is ignored
	Report      Report
	Age         tick.Tick // age of the report; a negative age counts as 0
	State       PeerState
}

// peer is the state that is kept of another relay.
type peer struct {
	id              uint64 // hash of the peer's name
	incarnation     uint64
	state           PeerState
	alive           bool // whether the peer counts as alive for suspectBackend.higherRanked
	departedAt      tick.Tick
	creditInherited bool // true if the peer's retry credit has passed to its successor, which need not be this relay

	report     Report
	hasReport  bool
	reportedAt tick.Tick // when report was made
	fresh      bool      // true if the report is counted in the sums of fleetView
	queueIndex int       // index in fleetView.fresh
	bucket     int       // index in fleetView.fractionHistogram; noBucket if the peer is not counted there

	evidence [maxEvidence]peerEvidence // the peer's evidence as counted in the tallies of the suspected backends
}

const noBucket = -1

// fleetView is what is known of the other relays. Its sums cover the relays whose reports are fresh, which means younger
// than reportTTL. Adding a report to the sums or removing one takes time logarithmic in the number of fresh reports.
type fleetView struct {
	peers          map[string]*peer
	newestReportAt tick.Tick // when the newest report of any peer was made
	lowerIDs       int       // number of peers whose IDs are below this relay's

	fresh             reportQueue
	warmedUp          int // number of fresh peers that have run for longer than the startup window
	fractionHistogram [fractionBuckets]int
	voters            int                 // number of peers counted in fractionHistogram: the fresh peers that have requests
	offeredWork       [maxClasses]float64 // seconds of work per second that are offered to fresh peers, by class
	completedWork     float64             // seconds of work per second that backends complete for fresh peers
}

// UpdatePeer updates what is known of another relay.
func (m *Manager) UpdatePeer(now tick.Tick, u PeerUpdate) {
	m.advance(now)
	p := m.findOrAddPeer(u)
	if p == nil {
		return
	}
	defer m.updateLiveness(p)
	if u.Incarnation > p.incarnation {
		m.fleet.removeReport(p, m.settings)
		p.incarnation, p.creditInherited = u.Incarnation, false
		p.hasReport, p.report = false, Report{}
	}
	p.state = u.State
	if u.State == PeerDead || u.State == PeerLeft {
		m.inheritCredit(p)
		m.fleet.removeReport(p, m.settings)
		if p.departedAt == 0 {
			p.departedAt = now
		}
		m.removeDeparted()
		return
	}
	p.departedAt = 0
	m.applyReport(now, p, u.Report, now-max(0, u.Age))
}

// findOrAddPeer returns the peer that an update is about, adding the peer if it is new. It returns nil if the update is
// to be ignored.
func (m *Manager) findOrAddPeer(u PeerUpdate) *peer {
	p := m.fleet.peers[u.Name]
	if p != nil {
		if u.Incarnation < p.incarnation {
			return nil
		}
		return p
	}
	id := xxhash.Sum64String(u.Name)
	if len(m.fleet.peers) >= maxPeers || u.State == PeerLeft || id == m.id {
		return nil
	}
	p = &peer{id: id, incarnation: u.Incarnation, bucket: noBucket}
	m.fleet.peers[u.Name] = p
	if p.id < m.id {
		m.fleet.lowerIDs++
	}
	return p
}

// applyReport replaces a peer's report by the given one, made at madeAt, if the given report is newer and valid.
func (m *Manager) applyReport(now tick.Tick, p *peer, report Report, madeAt tick.Tick) {
	if p.hasReport && madeAt <= p.reportedAt {
		return
	}
	if report.LocalFraction <= 0 || report.validate() != nil {
		return // the report is invalid, or the zero report of a peer that has sent none yet
	}
	if p.hasReport {
		m.absorbSpilled(p.report.SpilledCredit, report.SpilledCredit)
	}
	m.fleet.removeReport(p, m.settings)
	p.report, p.hasReport, p.reportedAt = report, true, madeAt
	m.fleet.newestReportAt = max(m.fleet.newestReportAt, madeAt)
	if now-madeAt < reportTTL {
		m.fleet.addReport(p, m.settings)
	}
	m.applyVerdicts(madeAt, report.Verdicts)
	m.applyEvidence(p, madeAt, report)
}

// removeDeparted removes the peers that left or died more than departedTTL ago.
func (m *Manager) removeDeparted() {
	for name, p := range m.fleet.peers {
		if p.departedAt > 0 && m.now-p.departedAt > departedTTL {
			delete(m.fleet.peers, name)
			if p.id < m.id {
				m.fleet.lowerIDs--
			}
		}
	}
}

// expireReports removes the reports that have reached reportTTL from the sums.
func (m *Manager) expireReports() {
	for len(m.fleet.fresh) > 0 && m.now-m.fleet.fresh[0].reportedAt >= reportTTL {
		p := m.fleet.fresh[0]
		m.fleet.removeReport(p, m.settings)
		m.updateLiveness(p)
	}
}

// updateLiveness updates whether the peer is alive. If that has changed, it also updates suspectBackend.higherRanked of
// each suspected backend. The cost does not grow with the number of peers.
func (m *Manager) updateLiveness(p *peer) {
	alive := p.fresh || p.state == PeerUnreachable
	if alive == p.alive {
		return
	}
	p.alive = alive
	m.updateRanks(p)
}

// addReport adds a peer's report to the sums over fresh reports.
func (v *fleetView) addReport(p *peer, s settings) {
	p.fresh = true
	heap.Push(&v.fresh, p)
	if p.report.Uptime > s.startupWindow {
		v.warmedUp++
	}
	v.completedWork += p.report.CompletedWork
	offered := 0.0
	for class, work := range p.report.OfferedWork {
		v.offeredWork[class] += work
		offered += work
	}
	if offered > 0 { // the admitted fraction of a relay without requests does not enter the median
		p.bucket = min(fractionBuckets-1, int(p.report.SharedFraction*fractionBuckets))
		v.fractionHistogram[p.bucket]++
		v.voters++
	}
}

// removeReport removes a peer's report from the sums if it is counted there.
func (v *fleetView) removeReport(p *peer, s settings) {
	if !p.fresh {
		return
	}
	p.fresh = false
	heap.Remove(&v.fresh, p.queueIndex)
	if p.report.Uptime > s.startupWindow {
		v.warmedUp--
	}
	for class, work := range p.report.OfferedWork {
		v.offeredWork[class] = max(0, v.offeredWork[class]-work)
	}
	if p.bucket != noBucket {
		v.fractionHistogram[p.bucket]--
		v.voters--
		p.bucket = noBucket
	}
	v.completedWork = max(0, v.completedWork-p.report.CompletedWork)
	if len(v.fresh) == 0 { // without reports the sums are 0; rounding errors are dropped
		v.completedWork = 0
		v.offeredWork = [maxClasses]float64{}
	}
}

// medianFraction returns the median of the voters' admitted fractions, as the upper end of its bucket.
func (v *fleetView) medianFraction() float64 {
	counted := 0
	for bucket, peers := range v.fractionHistogram {
		if counted += peers; 2*counted >= v.voters {
			return float64(bucket+1) / fractionBuckets
		}
	}
	return 1
}

// reportQueue is a heap of the peers with fresh reports, the oldest report first.
type reportQueue []*peer

// Len implements sort.Interface.
func (q reportQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q reportQueue) Less(i, j int) bool { return q[i].reportedAt < q[j].reportedAt }

// Swap implements sort.Interface and updates each peer's queueIndex.
func (q reportQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *reportQueue) Push(x any) {
	p := x.(*peer)
	p.queueIndex = len(*q)
	*q = append(*q, p)
}

// Pop implements heap.Interface.
func (q *reportQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
