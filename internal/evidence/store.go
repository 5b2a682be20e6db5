// Package evidence keeps what a relay knows about each version of the backends: outcomes by request class, stage and
// source, wrong answers by the delay of their reports, and each vote with the bounds that led to it. Its size is
// bounded for any number of versions, classes and backends. If the relay has a persistent disk, a snapshot keeps the
// evidence over a restart.
//
// How to use it: New makes a Store for the request classes, and Load reads a snapshot. UpdateVersion and the Record
// methods record events. Snapshot and Save write a snapshot.
//
// Files: store.go (the contents), bounds.go (the confidence sequence), snapshot.go (the file), explain.go (sentences
// for operators).
//
// Kind: state (see docs/architecture.md)
package evidence

import (
	"math"
	"slices"
	"strconv"

	"silvercove/balancer"
)

// Limits of the contents of a store.
const (
	maxVersions = 8
	maxStages   = 16
	maxVotes    = 64
	maxClasses  = 256
)

// totalLevel is the maximum probability that any bound of a version is ever wrong. Each request class gets an equal
// part of totalLevel (Store.level).
const totalLevel = 0.05

// Source is who observed an outcome.
type Source uint8

// The sources. Reports of wrong answers and the counts of the release platform may concern outcomes that this relay has
// observed itself. Explain therefore describes the three sources separately, and Estimates counts SourceRelay alone.
const (
	SourceRelay       Source = iota // outcomes that this relay has observed
	SourceWrongAnswer               // wrong answers, as clients have reported them
	SourcePlatform                  // outcomes that the release platform has counted
	sourceCount
)

// Count counts the outcomes of one request class in one stage from one source.
type Count struct {
	Class    int     `json:"op"`
	Stage    int     `json:"wave"`
	Source   Source  `json:"from"`
	Outcomes float64 `json:"n"`
	Failures float64 `json:"bad"`
}

// WrongAnswerDelays counts wrong answers by the delay of their reports: up to 1 s, up to 10 s, up to 1 min, up to 10
// min, and later.
type WrongAnswerDelays [5]int64

// delayLimits are the upper ends of the first four ranges of WrongAnswerDelays.
var delayLimits = [4]balancer.Tick{balancer.Second, 10 * balancer.Second, 60 * balancer.Second, 600 * balancer.Second}

// Vote is one vote, with the estimates of all request classes at the time of the vote.
type Vote struct {
	At        balancer.Tick `json:"at"`
	Stage     int           `json:"stage"`
	Verdict   string        `json:"verdict"`
	Reason    string        `json:"why"`
	Estimates []Estimate    `json:"known"`
}

// Estimate is what is known about one request class: its outcomes, and bounds on its share of failures.
type Estimate struct {
	Class    string  `json:"op"`
	Outcomes float64 `json:"n"`
	Failures float64 `json:"bad"`
	Low      float64 `json:"low"`
	High     float64 `json:"high"`
}

// Version is what the store keeps about one version.
type Version struct {
	Number                    uint16            `json:"build"`
	FirstSeen                 balancer.Tick     `json:"first"`
	LastSeen                  balancer.Tick     `json:"last"`
	State                     string            `json:"state"`
	Counts                    map[string]*Count `json:"cells"` // keyed by countKey
	WrongAnswerDelays         WrongAnswerDelays `json:"late"`
	Votes                     []Vote            `json:"votes"`
	DroppedVotes              int64             `json:"dropped"`  // number of votes that were dropped because of maxVotes
	WrongAnswersAfterRollback int64             `json:"afterend"` // wrong answers reported during or after the rollback of the version
}

// Store keeps the evidence of one relay. It is not safe for concurrent use.
type Store struct {
	classes   []string
	level     float64    // maximum probability that the bounds of one request class are ever wrong (see ConfidenceBounds)
	versions  []*Version // in the order in which the store was told of them
	Orphans   int64      // number of reports and votes on versions or classes that are not kept
	LoadError string     // why Load could not read the snapshot; "" if it could, or if there was none
}

// New makes a store for the request classes. Classes beyond the first maxClasses are left out.
func New(classes []string) *Store {
	return &Store{
		classes: classes[:min(len(classes), maxClasses)],
		level:   totalLevel / float64(max(1, len(classes))),
	}
}

// clampStage returns the stage under which an outcome is counted. All stages from maxStages - 1 on are counted as one.
func clampStage(stage int) int { return min(max(0, stage), maxStages-1) }

// countKey returns the key of a count in Version.Counts. The key is part of the format of a snapshot.
func countKey(class, stage int, source Source) string {
	return strconv.Itoa(class) + "/" + strconv.Itoa(clampStage(stage)) + "/" + strconv.Itoa(int(source))
}

// findVersion returns the version with a number, or nil if the store does not keep that version.
func (s *Store) findVersion(number uint16) *Version {
	for _, v := range s.versions {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// UpdateVersion sets the state of a version. If the version is new, the store keeps it from now on; a full store drops
// its oldest version.
func (s *Store) UpdateVersion(now balancer.Tick, number uint16, state string) {
	v := s.findVersion(number)
	if v == nil {
		if len(s.versions) >= maxVersions {
			s.versions = slices.Delete(s.versions, 0, 1)
		}
		v = &Version{Number: number, FirstSeen: now, Counts: map[string]*Count{}}
		s.versions = append(s.versions, v)
	}
	v.LastSeen, v.State = now, state
}

// RecordOutcome records an outcome that this relay has observed, of a request class at a version.
func (s *Store) RecordOutcome(now balancer.Tick, number uint16, class, stage int, failed bool) {
	failures := 0.0
	if failed {
		failures = 1
	}
	if v := s.versionForReport(now, number, class); v != nil {
		v.add(class, stage, SourceRelay, 1, failures)
	}
}

// RecordReleaseMetrics adds counts of the release API for a version. Impossible counts, such as more failures than
// outcomes, are ignored.
func (s *Store) RecordReleaseMetrics(now balancer.Tick, number uint16, class, stage, outcomes, failures int) {
	v := s.versionForReport(now, number, class)
	if v != nil && outcomes > 0 && failures >= 0 && failures <= outcomes {
		v.add(class, stage, SourcePlatform, float64(outcomes), float64(failures))
	}
}

// versionForReport returns the version that a report belongs to. A report on a version or class that is not kept counts
// as an orphan, and the result is nil.
func (s *Store) versionForReport(now balancer.Tick, number uint16, class int) *Version {
	v := s.findVersion(number)
	if v == nil || class < 0 || class >= len(s.classes) {
		s.Orphans++
		return nil
	}
	v.LastSeen = now
	return v
}

func (v *Version) add(class, stage int, source Source, outcomes, failures float64) {
	key := countKey(class, stage, source)
	c := v.Counts[key]
	if c == nil {
		c = &Count{Class: class, Stage: clampStage(stage), Source: source}
		v.Counts[key] = c
	}
	c.Outcomes += outcomes
	c.Failures += failures
}

// RecordWrongAnswer records a wrong answer that was reported after the given delay. It counts for the version that gave
// the answer, even if that version has already been rolled back or released; a report on a version that is not kept is
// an orphan.
func (s *Store) RecordWrongAnswer(now balancer.Tick, number uint16, class, stage int, delay balancer.Tick) {
	v := s.versionForReport(now, number, class)
	if v == nil {
		return
	}
	i := 0
	for i < len(delayLimits) && delay > delayLimits[i] {
		i++
	}
	v.WrongAnswerDelays[i]++
	v.add(class, stage, SourceWrongAnswer, 1, 1)
	if v.rolledBack() {
		v.WrongAnswersAfterRollback++
	}
}

// The platform's names of the states of a version that is being rolled back or has been rolled back.
const (
	stateRollingBack = "recalling"
	stateRolledBack  = "recalled"
)

func (v *Version) rolledBack() bool { return v.State == stateRollingBack || v.State == stateRolledBack }

// RecordVote records a vote that is cast now, together with the current estimates.
func (s *Store) RecordVote(now balancer.Tick, number uint16, stage int, verdict, reason string) {
	v := s.findVersion(number)
	if v == nil {
		s.Orphans++
		return
	}
	vote := Vote{At: now, Stage: stage, Verdict: verdict, Reason: reason, Estimates: s.Estimates(number)}
	if len(v.Votes) >= maxVotes {
		v.Votes = slices.Delete(v.Votes, 0, 1)
		v.DroppedVotes++
	}
	v.Votes = append(v.Votes, vote)
}

// Estimates returns what this relay itself has observed of each request class at a version, over all stages. It returns
// nil for a version that is not kept.
func (s *Store) Estimates(number uint16) []Estimate {
	v := s.findVersion(number)
	if v == nil {
		return nil
	}
	estimates := make([]Estimate, len(s.classes))
	for _, c := range v.Counts {
		if c.Source == SourceRelay {
			estimates[c.Class].Outcomes += c.Outcomes
			estimates[c.Class].Failures += c.Failures
		}
	}
	for class, name := range s.classes {
		e := &estimates[class]
		e.Class = name
		e.Low, e.High = ConfidenceBounds(e.Failures, e.Outcomes, s.level)
	}
	return estimates
}

// DecayedCounts returns the outcomes and failures of each request class at a version, for a balancer that restarts. The
// counts are halved for each half-life since the store was last told of the version (LastSeen). Outcomes are rounded
// down and failures are rounded up, so that a restart does not lose evidence against a version.
func (s *Store) DecayedCounts(now balancer.Tick, number uint16, halfLife balancer.Tick) (outcomes, failures []int) {
	v := s.findVersion(number)
	if v == nil {
		return nil, nil
	}
	const roundingTolerance = 1e-9 // a rounding error up to this size does not round a decayed count up to the next whole number
	remainingFraction := math.Pow(0.5, float64(max(0, now-v.LastSeen))/float64(max(1, halfLife)))
	outcomes, failures = make([]int, len(s.classes)), make([]int, len(s.classes))
	for i, e := range s.Estimates(number) {
		failures[i] = int(math.Ceil(e.Failures*remainingFraction - roundingTolerance))
		outcomes[i] = max(failures[i], int(e.Outcomes*remainingFraction))
	}
	return outcomes, failures
}
