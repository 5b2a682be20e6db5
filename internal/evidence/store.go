// Package evidence keeps what a relay knows of each version of the backends: outcomes by request class, stage and source,
// wrong answers by how late they were reported, and each vote with the bounds that led to it. It is bounded whatever the
// number of versions, classes and backends, and outlives a restart as a snapshot where there is a lasting disk.
//
// How to drive it: New makes a Store of the request classes, Load takes a snapshot over, UpdateVersion and the Record
// methods tell what happens; Snapshot and Save make it last.
//
// Files: store.go (what is kept), bounds.go (the confidence sequence), snapshot.go (the file), explain.go (in sentences).
//
// Kind: state (see docs/architecture.md)
package evidence

import (
	"math"
	"slices"
	"strconv"

	"silvercove/balancer"
)

// Bounds of what is kept.
const (
	maxVersions = 8
	maxStages   = 16
	maxVotes    = 64
	maxClasses  = 256
)

// totalLevel is the chance that any of the bounds of a version is ever wrong, shared out among the request classes.
const totalLevel = 0.05

// Source tells where an outcome was seen.
type Source uint8

// The sources. Reports of wrong answers and the platform's counts may be of outcomes that this relay saw itself: they are
// told beside its own, and no bound is taken from them.
const (
	SourceRelay       Source = iota // this relay
	SourceWrongAnswer               // a client's report of a wrong answer
	SourcePlatform                  // the release platform's counts
	sourceCount
)

// Count counts outcomes of one request class in one stage from one source.
type Count struct {
	Class    int     `json:"op"`
	Stage    int     `json:"wave"`
	Source   Source  `json:"from"`
	Outcomes float64 `json:"n"`
	Failures float64 `json:"bad"`
}

// WrongAnswerDelays counts wrong answers by how late they were reported: within 1 s, 10 s, 1 min, 10 min, and later.
type WrongAnswerDelays [5]int64

// delayLimits are the ends of the first four ranges of WrongAnswerDelays.
var delayLimits = [4]balancer.Tick{balancer.Second, 10 * balancer.Second, 60 * balancer.Second, 600 * balancer.Second}

// Vote is one vote as it was cast.
type Vote struct {
	At        balancer.Tick `json:"at"`
	Stage     int           `json:"stage"`
	Verdict   string        `json:"verdict"`
	Reason    string        `json:"why"`
	Estimates []Estimate    `json:"known"`
}

// Estimate is what was known of one request class, and bounds on its share of failures.
type Estimate struct {
	Class    string  `json:"op"`
	Outcomes float64 `json:"n"`
	Failures float64 `json:"bad"`
	Low      float64 `json:"low"`
	High     float64 `json:"high"`
}

// Version is what is kept of one version.
type Version struct {
	Number                    uint16            `json:"build"`
	FirstSeen                 balancer.Tick     `json:"first"`
	LastSeen                  balancer.Tick     `json:"last"`
	State                     string            `json:"state"`
	Counts                    map[string]*Count `json:"cells"` // by countKey
	WrongAnswerDelays         WrongAnswerDelays `json:"late"`
	Votes                     []Vote            `json:"votes"`
	DroppedVotes              int64             `json:"dropped"`  // beyond what is kept
	WrongAnswersAfterRollback int64             `json:"afterend"` // that came after it was rolled back
}

// Store is what one relay keeps. It is not safe for concurrent use.
type Store struct {
	classes   []string
	level     float64    // of the bounds of one class
	versions  []*Version // oldest first
	Orphans   int64      // reports on versions that are not kept
	LoadError string     // why an earlier snapshot could not be had; "" if it could, or there was none
}

// New makes a store of the request classes; those beyond maxClasses are left out.
func New(classes []string) *Store {
	return &Store{
		classes: classes[:min(len(classes), maxClasses)],
		level:   totalLevel / float64(max(1, len(classes))),
	}
}

// clampStage is the stage under which an outcome is counted.
func clampStage(stage int) int { return min(max(0, stage), maxStages-1) }

// countKey is part of a snapshot's form.
func countKey(class, stage int, source Source) string {
	return strconv.Itoa(class) + "/" + strconv.Itoa(clampStage(stage)) + "/" + strconv.Itoa(int(source))
}

// find is the version of a number, nil if it is not kept.
func (s *Store) find(number uint16) *Version {
	for _, v := range s.versions {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// UpdateVersion sets the state of a version; one that is new is kept from then on, in place of the oldest if need be.
func (s *Store) UpdateVersion(now balancer.Tick, number uint16, state string) {
	v := s.find(number)
	if v == nil {
		if len(s.versions) >= maxVersions {
			s.versions = slices.Delete(s.versions, 0, 1)
		}
		v = &Version{Number: number, FirstSeen: now, Counts: map[string]*Count{}}
		s.versions = append(s.versions, v)
	}
	v.LastSeen, v.State = now, state
}

// RecordOutcome records an outcome of this relay's own, of a request class at a version.
func (s *Store) RecordOutcome(now balancer.Tick, number uint16, class, stage int, failed bool) {
	failures := 0.0
	if failed {
		failures = 1
	}
	if v := s.versionForReport(now, number, class); v != nil {
		v.add(class, stage, SourceRelay, 1, failures)
	}
}

// RecordReleaseMetrics adds what the release API counted at a version. Counts that make no sense are ignored.
func (s *Store) RecordReleaseMetrics(now balancer.Tick, number uint16, class, stage, outcomes, failures int) {
	v := s.versionForReport(now, number, class)
	if v != nil && outcomes > 0 && failures >= 0 && failures <= outcomes {
		v.add(class, stage, SourcePlatform, float64(outcomes), float64(failures))
	}
}

// reported is the version that a report belongs to; a report on one that is not kept is an orphan.
func (s *Store) versionForReport(now balancer.Tick, number uint16, class int) *Version {
	v := s.find(number)
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

// RecordWrongAnswer records a wrong answer that was found so long after it was given. It belongs to the version that gave
// it, also after that was judged; one of a version that is not kept is an orphan.
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

// States of a version in which it is being rolled back, or was, as the platform names them.
const (
	stateRollingBack = "recalling"
	stateRolledBack  = "recalled"
)

func (v *Version) rolledBack() bool { return v.State == stateRollingBack || v.State == stateRolledBack }

// RecordVote keeps a vote with what was known when it was cast.
func (s *Store) RecordVote(now balancer.Tick, number uint16, stage int, verdict, reason string) {
	v := s.find(number)
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

// Estimates is what this relay itself has seen of each request class at a version, over all stages. It is nil of a version
// that is not kept.
func (s *Store) Estimates(number uint16) []Estimate {
	v := s.find(number)
	if v == nil {
		return nil
	}
	all := make([]Estimate, len(s.classes))
	for _, c := range v.Counts {
		if c.Source == SourceRelay {
			all[c.Class].Outcomes += c.Outcomes
			all[c.Class].Failures += c.Failures
		}
	}
	for class, name := range s.classes {
		e := &all[class]
		e.Class = name
		e.Low, e.High = ConfidenceBounds(e.Failures, e.Outcomes, s.level)
	}
	return all
}

// DecayedCounts is what is kept of a version as counts of each request class, of all outcomes and of failures, for a
// balancer that starts anew: halved for each half-life that has passed since the last outcome, rounded down. A failure
// that is left over by rounding is kept: evidence against a version is not to be lost by a restart.
func (s *Store) DecayedCounts(now balancer.Tick, number uint16, halfLife balancer.Tick) (outcomes, failures []int) {
	v := s.find(number)
	if v == nil {
		return nil, nil
	}
	const rounding = 1e-9 // of what a decayed count may be above a whole number by rounding
	left := math.Pow(0.5, float64(max(0, now-v.LastSeen))/float64(max(1, halfLife)))
	outcomes, failures = make([]int, len(s.classes)), make([]int, len(s.classes))
	for i, e := range s.Estimates(number) {
		failures[i] = int(math.Ceil(e.Failures*left - rounding))
		outcomes[i] = max(failures[i], int(e.Outcomes*left))
	}
	return outcomes, failures
}
