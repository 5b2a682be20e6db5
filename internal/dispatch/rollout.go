package dispatch

import (
	"slices"
	"time"

	"silvercove/balancer"
	"silvercove/internal/transport"
)

// RolloutStage is what the release API says of the newest version.
type RolloutStage struct {
	Version     uint16
	Stage       int    // counted from 0
	Phase       string // testing, recalling, live or recalled
	ExposureCap float64
	Age         time.Duration // of the stage
}

// rolloutPhases are the phases by their names on the release API.
var rolloutPhases = map[string]balancer.RolloutPhase{
	"testing":   balancer.Canary,
	"recalling": balancer.RollingBack,
	"live":      balancer.Released,
	"recalled":  balancer.Withdrawn,
}

// Valid tells whether a stage makes sense.
func (s RolloutStage) Valid() bool {
	_, known := rolloutPhases[s.Phase]
	return known && s.Stage >= 0 && s.ExposureCap >= 0 && s.ExposureCap <= 1 && s.Age >= 0
}

// releaseStatus gives a stage in the balancer's terms.
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

// Vote is one vote as the release API words it.
type Vote struct {
	Version uint16
	Stage   int
	Verdict string // PROCEED, HOLD or ROLLBACK; WITHDRAW is not cast today
}

// releaseVerdicts are the release API's names of the verdicts.
var releaseVerdicts = map[balancer.Verdict]string{
	balancer.NoVote:   "WITHDRAW",
	balancer.Promote:  "PROCEED",
	balancer.Pause:    "HOLD",
	balancer.RollBack: "ROLLBACK",
}

// verdictNames are those that the evidence keeps, and that stand in files of earlier releases.
var verdictNames = map[balancer.Verdict]string{
	balancer.NoVote:   "withdraw",
	balancer.Promote:  "go on",
	balancer.Pause:    "hold",
	balancer.RollBack: "go back",
}

// UpdateStage takes news of the newest version. The stage has to be valid.
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

// VoteAnswered takes the answer to a vote: an HTTP status and what it tells, or no answer (0).
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

// RecordReleaseMetrics takes what the release API counted of a version and class: its attempts, those that failed and
// the mean time of the others, in a period that ended so long ago.
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

// RecordWrongAnswer takes that an answer of a backend was wrong, to an attempt that was sent so long ago.
func (d *Dispatcher) RecordWrongAnswer(name, class string, age time.Duration) {
	index, known := d.classes[class]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.WrongAnswers++
	b := d.backends[name]
	if !known || b == nil {
		return
	}
	if evidence := d.callbacks.Evidence; evidence != nil {
		evidence.RecordWrongAnswer(d.clock.now(), b.Version, index, d.stage, ticksOf(age))
	}
	d.balancer.OnWrongAnswer(d.clock.now(), &b.Backend, index, ticksOf(age))
}

// maxGossipMessages is the most messages in which evidence of an earlier run enters the balancer. What is left of it beyond
// these is dropped.
const maxGossipMessages = 64

// RestoreEvidence hands the balancer what was known of a version before a restart: outcomes of each class in the settings'
// order, and how many of them were bad. They enter as another relay's counts do, in messages of what fits into one.
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

// takeGossipCounts takes as much off the outcomes of each class as one message has room for. The count of wrong answers
// stays empty. remaining is false once nothing was left to take.
func takeGossipCounts(classes int, outcomes, bad []int) (counts []balancer.GossipCount, remaining bool) {
	counts = make([]balancer.GossipCount, classes+1)
	for class := range min(len(outcomes), len(bad), classes) {
		part := min(outcomes[class], balancer.MaxGossipOutcomes)
		badPart := 0
		if outcomes[class] > 0 { // its share of the bad ones, rounded up
			badPart = min(part, (bad[class]*part+outcomes[class]-1)/outcomes[class])
		}
		counts[class] = balancer.GossipCount{Outcomes: uint8(part), Bad: uint8(badPart)}
		outcomes[class] -= part
		bad[class] = max(0, bad[class]-badPart)
		remaining = remaining || part > 0
	}
	return counts, remaining
}
