package dispatch

import (
	"slices"
	"time"

	"silvercove/balancer"
	"silvercove/internal/transport"
)

// RolloutStage is the state of the newest version, as the release API gives it.
type RolloutStage struct {
	Version     uint16
	Stage       int    // index of the stage, counted from 0
	Phase       string // testing, recalling, live or recalled
	ExposureCap float64
	Age         time.Duration // time since the stage began
}

// rolloutPhases maps the names of the phases on the release API to the balancer's phases.
var rolloutPhases = map[string]balancer.RolloutPhase{
	"testing":   balancer.Canary,
	"recalling": balancer.RollingBack,
	"live":      balancer.Released,
	"recalled":  balancer.Withdrawn,
}

// Valid reports whether the phase is known and the numbers are within their valid ranges.
func (s RolloutStage) Valid() bool {
	_, known := rolloutPhases[s.Phase]
	return known && s.Stage >= 0 && s.ExposureCap >= 0 && s.ExposureCap <= 1 && s.Age >= 0
}

// releaseStatus converts a RolloutStage to the balancer's type.
func (s RolloutStage) releaseStatus() balancer.ReleaseStatus {
	return balancer.ReleaseStatus{
		Version:     s.Version,
		Stage:       s.Stage,
		Phase:       rolloutPhases[s.Phase],
		ExposureCap: s.ExposureCap,
		Age:         ticksOf(s.Age),
		Outcome:     balancer.Succeeded,
	}
}

// Vote is one vote on a stage of a version. Verdict is one of the names in releaseVerdicts.
type Vote struct {
	Version uint16
	Stage   int
	Verdict string // PROCEED, HOLD or ROLLBACK; WITHDRAW is not cast today
}

// releaseVerdicts are the names of the verdicts on the release API.
var releaseVerdicts = map[balancer.Verdict]string{
	balancer.NoVote:   "WITHDRAW",
	balancer.Promote:  "PROCEED",
	balancer.Pause:    "HOLD",
	balancer.RollBack: "ROLLBACK",
}

// verdictNames are the names of the verdicts in the evidence. Evidence files of earlier releases contain them too.
var verdictNames = map[balancer.Verdict]string{
	balancer.NoVote:   "withdraw",
	balancer.Promote:  "go on",
	balancer.Pause:    "hold",
	balancer.RollBack: "go back",
}

// UpdateStage applies s, the current stage of the newest version. RolloutStage.Valid must be true for s.
func (d *Dispatcher) UpdateStage(s RolloutStage) {
	if d.callbacks.OnStage != nil {
		d.callbacks.OnStage(s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.StageUpdates++
	d.setStage(s)
	d.balancer.OnReleaseStatus(d.clock.now(), s.releaseStatus())
}

func (d *Dispatcher) setStage(s RolloutStage) {
	d.stage = s.Stage
	if evidence := d.callbacks.Evidence; evidence != nil {
		evidence.UpdateVersion(d.clock.now(), s.Version, s.Phase)
	}
}

// VoteAnswered takes the answer to a vote. httpStatus is the HTTP status of the answer, or 0 without an answer; s is
// the stage in the answer; status is how the connection ended.
func (d *Dispatcher) VoteAnswered(httpStatus int, s RolloutStage, status transport.CloseStatus) {
	reply := s.releaseStatus()
	reply.VoteReply = true
	reply.Outcome = VoteOutcome(httpStatus, status)
	counted := reply.Outcome == balancer.Succeeded
	if d.callbacks.OnStage != nil && counted {
		d.callbacks.OnStage(s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.VoteOutcomes[reply.Outcome]++
	if counted {
		d.setStage(s)
	}
	d.balancer.OnReleaseStatus(d.clock.now(), reply)
}

// RecordReleaseMetrics takes the release API's counts for a version and class in one period. attempts is the number of
// all attempts, failed is the number of attempts that failed, and took is the mean time of the attempts that did not
// fail. age is the time since the end of the period.
func (d *Dispatcher) RecordReleaseMetrics(version uint16, class string, attempts, failed int, took, age time.Duration) {
	index, known := d.classes[class]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.ReleaseMetrics++
	if !known {
		return
	}
	if evidence := d.callbacks.Evidence; evidence != nil {
		evidence.RecordReleaseMetrics(d.clock.now(), version, index, d.stage, attempts, failed)
	}
	d.balancer.OnMetrics(d.clock.now(), version, index, attempts, failed, ticksOf(took), ticksOf(age))
}

// RecordWrongAnswer records a report that the named backend answered a request of a class wrongly. age is the time
// since the attempt that got this answer was sent.
func (d *Dispatcher) RecordWrongAnswer(backendName, class string, age time.Duration) {
	index, known := d.classes[class]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.WrongAnswers++
	b := d.backends[backendName]
	if !known || b == nil {
		return
	}
	if evidence := d.callbacks.Evidence; evidence != nil {
		evidence.RecordWrongAnswer(d.clock.now(), b.Version, index, d.stage, ticksOf(age))
	}
	d.balancer.OnWrongAnswer(d.clock.now(), &b.Backend, index, ticksOf(age))
}

// maxGossipMessages bounds the number of gossip messages by which RestoreEvidence passes evidence to the balancer.
// Outcomes that do not fit into this number of messages are dropped.
const maxGossipMessages = 64

// RestoreEvidence gives the balancer what was known about a version before a restart. For each class, in the order of
// the settings, the parameter outcomes holds the number of outcomes, and the parameter bad holds how many of them were
// bad. The counts reach the balancer as gossip messages of limited size, like the counts of another relay.
func (d *Dispatcher) RestoreEvidence(version uint16, outcomes, bad []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	outcomes, bad = slices.Clone(outcomes), slices.Clone(bad)
	for range maxGossipMessages {
		counts, remaining := takeGossipCounts(len(d.classes), outcomes, bad)
		if !remaining {
			return
		}
		d.balancer.OnGossip(d.clock.now(), 0, balancer.EncodeGossip(version, counts))
	}
}

// takeGossipCounts moves as many outcomes of each class as fit into one gossip message from the parameters outcomes and
// bad to the result counts. For each class, the parameter bad holds how many of the outcomes are bad. counts has one
// element for each class, and a last element for wrong answers, which stays zero. The result remaining is false if
// there was nothing to move.
func takeGossipCounts(classes int, outcomes, bad []int) (counts []balancer.GossipCount, remaining bool) {
	counts = make([]balancer.GossipCount, classes+1)
	for class := range min(len(outcomes), len(bad), classes) {
		part := min(outcomes[class], balancer.MaxGossipOutcomes)
		badPart := 0
		// badPart is the number of bad outcomes to send with part: part times the share of bad outcomes in the class,
		// rounded up.
		if outcomes[class] > 0 {
			badPart = min(part, (bad[class]*part+outcomes[class]-1)/outcomes[class])
		}
		counts[class] = balancer.GossipCount{Outcomes: uint8(part), Bad: uint8(badPart)}
		outcomes[class] -= part
		bad[class] = max(0, bad[class]-badPart)
		remaining = remaining || part > 0
	}
	return counts, remaining
}
