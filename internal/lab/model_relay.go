package lab

import (
	"log/slog"
	"slices"

	"silvercove/balancer"
)

// relayNode is a simulated relay: a balancer and its host.
type relayNode struct {
	*model
	number        int
	balancer      *balancer.Balancer
	knownBackends []*balancer.Backend
	incarnation   int             // increases with each restart of this relay
	updatesLate   bool            // the relay gets updates late, see Condition.BlindShare
	acceptedAt    []balancer.Tick // times at which the relay accepted a request, within the last exposureWindow seconds
	canarySent    []balancer.Tick // start times of this relay's attempts at backends with the newest package, within the last exposureWindow seconds
	attempts      map[*balancer.Attempt]bool
	stageCap      float64 // exposure cap that the relay was notified of last
	capSince      balancer.Tick
	capVersion    uint16 // version to which stageCap applies
	previousCap   float64
	outcomes      int // number of outcomes so far; counted only at a relay that misreads every tenth outcome, see Condition.GarbageRelays
}

// start starts the relay, or restarts it without its state.
func (n *relayNode) start() {
	n.incarnation++
	n.attempts = map[*balancer.Attempt]bool{}
	n.knownBackends = make([]*balancer.Backend, len(n.backends))
	host := n.wrapHost.apply(n, n.number, func() balancer.Tick { return n.now })
	n.balancer = balancer.New(host, n.now, n.Seed<<8^uint64(n.number)<<1^uint64(n.incarnation), n.balancerSettings)
	for i, u := range n.backends {
		n.knownBackends[i] = &balancer.Backend{ID: uint32(i)}
		n.announce(u)
	}
	n.balancer.OnListSynced(n.now, true)
	n.onRelease(false, balancer.Succeeded)
}

// announce notifies the relay of the state of a backend.
func (n *relayNode) announce(u *backend) {
	n.balancer.OnEndpoint(n.now, n.knownBackends[u.number], balancer.Endpoint{Zone: u.zone, State: u.state, NominalWeight: 1, StartedAt: u.started,
		Version: u.version})
}

// onRelease notifies the relay of the state of the rollout. If voteReply is true, the notification also answers a vote
// of the relay, and outcome reports whether the vote succeeded or was discarded.
func (n *relayNode) onRelease(voteReply bool, outcome balancer.Outcome) {
	version, stageCap := n.newest, 1.0
	if version == 0 {
		version = stableVersion
	} else {
		stageCap = n.currentCap()
	}
	if version != stableVersion && (stageCap != n.stageCap || version != n.capVersion) {
		n.previousCap, n.stageCap, n.capSince, n.capVersion = n.stageCap, stageCap, n.now, version
	}
	n.balancer.OnReleaseStatus(n.now, balancer.ReleaseStatus{Version: version, Stage: max(0, n.stage), Phase: n.phase, ExposureCap: stageCap, VoteReply: voteReply,
		Outcome: outcome, Age: n.now - n.stageStart})
}

// nextRequest sends a request to the relay and schedules the next request.
func (n *relayNode) nextRequest() {
	c := n.Condition
	elapsed := (n.now - ticksOf(1003))
	rate := 1.0
	if c.BurstFactor > 0 && elapsed >= ticksOf(c.BurstFrom) && elapsed < ticksOf(c.BurstFrom+c.BurstDuration) {
		rate = c.BurstFactor
	}
	n.after(n.arrivals.Rand()/rate, n.nextRequest)
	draw, class := n.rand.Float64(), 0
	for draw >= n.Classes[class].Share && class < len(n.Classes)-1 {
		draw -= n.Classes[class].Share
		class++
	}
	n.nextID++
	request := &balancer.Request{ID: n.nextID, Class: class, Deadline: n.now + ticksOf(2), Write: class > 0}
	n.result.Requests++
	n.acceptedAt = append(n.acceptedAt, n.now)
	n.balancer.OnRequest(n.now, request)
}

// StartAttempt starts an attempt at a backend and schedules its outcome.
func (n *relayNode) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	u := n.backends[d.Backend.ID]
	n.attempts[d] = true
	if !n.balancer.BeginAttempt(n.now, d) {
		n.result.ExposureBreaks++ // every attempt is written at once here; BeginAttempt always allows such an attempt, so a refusal is a fault of the balancer
	}
	n.checkExposure(u)
	backendIncarnation, relayIncarnation, version := u.incarnation, n.incarnation, u.version
	p, isPackage := n.packages[version]
	faultsShow := isPackage && n.now >= u.started+ticksOf(p.FaultDelay)
	endsAt := u.occupy(n.now, n.serviceTime(u, p, faultsShow))
	failureShare := n.failureShare(u, p, faultsShow, n.Classes[d.Request.Class].Name)
	outcome := balancer.Succeeded
	if n.rand.Float64() < failureShare {
		outcome = balancer.Errored
	}
	wrong := outcome == balancer.Succeeded && faultsShow && n.rand.Float64() < p.Wrong
	if n.number < n.Condition.GarbageRelays && n.now >= ticksOf(1003+n.Condition.GarbageFrom) {
		if n.outcomes++; n.outcomes%10 == 0 {
			outcome = balancer.Errored
		}
	}
	if faultsShow && p.SilentShare > 0 && n.rand.Float64() < p.SilentShare {
		endsAt = stopAt + 1
	}
	if endsAt > stopAt {
		endsAt, outcome = stopAt, balancer.TimedOut
	}
	sent := n.now
	n.at(endsAt, func() {
		if n.incarnation != relayIncarnation || !n.attempts[d] {
			return
		}
		if u.incarnation != backendIncarnation {
			outcome = balancer.Reset
		}
		delete(n.attempts, d)
		n.countOutcome(version, d.Request.Class, outcome, n.now-sent)
		if outcome == balancer.Succeeded && wrong {
			n.flagWrongAnswer(d.Backend, d.Request.Class, version)
		}
		n.balancer.OnOutcome(n.now, d, outcome, n.now-sent, outcome == balancer.Succeeded, nil)
	})
}

// serviceTime draws the seconds for which a backend works on a request. faultsShow reports whether the faults of
// package p, which the backend runs, already have an effect (see Package.FaultDelay).
func (n *relayNode) serviceTime(u *backend, p Package, faultsShow bool) float64 {
	seconds := n.serviceTimes.Rand()
	if faultsShow && p.SlowFactor > 0 {
		seconds *= p.SlowFactor
	}
	if n.Condition.SlowZoneFactor > 0 && u.zone == 0 {
		seconds *= n.Condition.SlowZoneFactor
	}
	if u.started > 0 && n.now < u.started+ticksOf(warmUp) {
		seconds /= 0.5 + 0.5*float64(n.now-u.started)/(warmUp*second)
	}
	return seconds
}

// occupy assigns work of the given number of seconds to the slot that becomes free first, and returns the time at which
// the work is done.
func (u *backend) occupy(now balancer.Tick, seconds float64) balancer.Tick {
	slot := 0
	for i := range u.slots {
		if u.slots[i] < u.slots[slot] {
			slot = i
		}
	}
	u.slots[slot] = max(now, u.slots[slot]) + ticksOf(seconds)
	return u.slots[slot]
}

// failureShare returns the probability that a backend fails a request of a class. faultsShow reports whether the faults
// of package p already have an effect (see Package.FaultDelay).
func (n *relayNode) failureShare(u *backend, p Package, faultsShow bool, class string) float64 {
	share := n.BaseFailures
	// MoreBaseFailures applies only to stableVersion. A package adds only its own Errors to BaseFailures.
	if u.version == stableVersion {
		share += n.Condition.MoreBaseFailures
	}
	if faultsShow {
		added := p.Errors["all"] + p.Errors[class]
		if n.Condition.ClumpShare > 0 { // of six backends in sequence, the first causes the share ClumpShare of the added failures, and the other five share the rest
			if u.number%6 == 0 {
				added = min(0.95, added*6*n.Condition.ClumpShare)
			} else {
				added *= (1 - n.Condition.ClumpShare) * 6 / 5
			}
		}
		share += added
	}
	if u.isSick && n.now >= ticksOf(1003+n.Condition.SickFrom) {
		share = max(share, n.Condition.SickFailures)
	}
	return share
}

// flagWrongAnswer decides at random whether a client detects a wrong answer and reports it. The report reaches a random
// relay after a delay drawn from flagDelays.
func (n *relayNode) flagWrongAnswer(to *balancer.Backend, class int, version uint16) {
	if n.rand.Float64() >= n.FoundShare || n.rand.Float64() < n.Condition.LostFlags {
		return
	}
	detectedAt, id := n.now, to.ID
	receiver := n.relays[n.rand.IntN(n.Relays)]
	n.after(n.flagDelays.Rand(), func() {
		if u := receiver.knownBackends[id]; u.Version == version { // the report is dropped if the backend, as far as the receiver knows, runs another version
			receiver.balancer.OnWrongAnswer(n.now, u, class, n.now-detectedAt)
		}
	})
}

// checkExposure counts an attempt that the relay starts at a backend, if the backend runs the newest package and the
// package is not released. It also checks the exposure rule: within exposureWindow seconds, a relay may send at most 4
// + cap x n attempts to the package, where n is the number of requests that the relay accepted in that time.
func (n *relayNode) checkExposure(u *backend) {
	if u.version != n.newest || u.version == n.stable || n.phase == balancer.Released {
		return
	}
	n.result.CanaryAttempts++
	from := n.now - ticksOf(exposureWindow)
	n.canarySent = slices.DeleteFunc(n.canarySent, func(t balancer.Tick) bool { return t < from })
	n.acceptedAt = slices.DeleteFunc(n.acceptedAt, func(t balancer.Tick) bool { return t < from })
	n.canarySent = append(n.canarySent, n.now)
	stageCap := n.stageCap
	if n.capVersion != n.newest { // a relay that has not been notified of the package applies the cap of the first stage
		stageCap = n.Stages[0].Cap
	}
	if n.now < n.capSince+ticksOf(1+exposureWindow) {
		stageCap = max(stageCap, n.previousCap)
	}
	// The exposure rule does not apply with a cap of 1, because all backends may then run the package. Retries then go to
	// backends with the package too. A request with retries counts once in acceptedAt, but each of its attempts may count in
	// canarySent. The attempts may therefore exceed the bound.
	if stageCap < 1 && float64(len(n.canarySent)) > 4+stageCap*float64(len(n.acceptedAt))+1e-9 && n.now > n.capSince+ticksOf(1) {
		n.result.ExposureBreaks++
	}
}

// Reject counts a request that was rejected.
func (n *relayNode) Reject(*balancer.Request, balancer.Tick) { n.result.Failed++ }

// Fail counts a request that failed.
func (n *relayNode) Fail(*balancer.Request) { n.result.Failed++ }

// CancelAttempt ends an attempt as cancelled.
func (n *relayNode) CancelAttempt(d *balancer.Attempt) {
	incarnation := n.incarnation
	n.after(0, func() {
		if n.incarnation != incarnation || !n.attempts[d] {
			return
		}
		delete(n.attempts, d)
		n.balancer.OnOutcome(n.now, d, balancer.Cancelled, 0, false, nil)
	})
}

// SetTimer schedules a timer event of the balancer.
func (n *relayNode) SetTimer(at balancer.Tick, tag uint32) {
	incarnation := n.incarnation
	n.at(at, func() {
		if n.incarnation == incarnation {
			n.balancer.OnTimer(n.now, tag)
		}
	})
}

// Probe does nothing: probes are not simulated.
func (n *relayNode) Probe(*balancer.Backend) {}

// CloseIdle does nothing: connections are not simulated.
func (n *relayNode) CloseIdle(*balancer.Backend) {}

// SendGossip does nothing: gossip between balancers is not simulated.
func (n *relayNode) SendGossip(uint32, []byte) {}

// Log drops log lines.
func (n *relayNode) Log(string, ...slog.Attr) {}

// WatchEndpoints does nothing: relays are notified of all changes without a call.
func (n *relayNode) WatchEndpoints(bool) {}

// FetchEndpoints does nothing: relays are notified of all changes without a call.
func (n *relayNode) FetchEndpoints() {}

// CastVote sends a vote to the platform, and the platform's reply back to the relay. A single vote decides. The
// platform discards a vote on a version that is not the newest or on a stage that is not the current one.
func (n *relayNode) CastVote(version uint16, stage int, verdict balancer.Verdict) {
	incarnation := n.incarnation
	n.after(releaseLag, func() {
		counts := version == n.newest && version != 0 && (n.phase == balancer.Canary && stage == n.stage || n.phase == balancer.Released)
		if counts {
			n.applyVote(verdict)
		}
		if n.incarnation != incarnation {
			return
		}
		outcome := balancer.Succeeded
		if !counts {
			outcome = balancer.Discarded
		}
		n.onRelease(true, outcome)
	})
}
