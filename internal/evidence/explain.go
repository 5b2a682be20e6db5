package evidence

import (
	"fmt"
	"time"

	"silvercove/balancer"
)

// microsecondsPerTick is the length of a tick of the balancer's clock, in microseconds.
const microsecondsPerTick = 100

// Explain describes in sentences, for operators, what is known about each version and why each vote was cast.
func (s *Store) Explain() []string {
	var out []string
	for _, v := range s.versions {
		out = append(out, s.explainVersion(v)...)
	}
	if s.Orphans > 0 {
		out = append(out, fmt.Sprintf("%d reports were on builds that are not kept.", s.Orphans))
	}
	if len(out) == 0 {
		out = append(out, "No build was seen.")
	}
	return out
}

func (s *Store) explainVersion(v *Version) []string {
	out := []string{fmt.Sprintf("Build %d, %s: first seen %s, last heard of %s.", v.Number, v.State, clockTime(v.FirstSeen),
		clockTime(v.LastSeen))}
	for _, e := range s.Estimates(v.Number) {
		if e.Outcomes > 0 {
			out = append(out, fmt.Sprintf("  %s: %g of %g outcomes failed; its share is between %.1f%% and %.1f%%.", e.Class,
				e.Failures, e.Outcomes, 100*e.Low, 100*e.High))
		} else {
			out = append(out, fmt.Sprintf("  %s: nothing is known.", e.Class))
		}
	}
	if outcomes, failures := v.platformCounts(); outcomes > 0 {
		out = append(out, fmt.Sprintf("  The platform counted %g failures among %g outcomes.", failures, outcomes))
	}
	if wrongAnswers := v.WrongAnswerDelays.total(); wrongAnswers > 0 {
		d := v.WrongAnswerDelays
		out = append(out, fmt.Sprintf("  %d wrong answers were flagged: %d within 1 s, %d within 10 s, %d within 1 min, "+
			"%d within 10 min, %d later; %d of them after it was sent back.",
			wrongAnswers, d[0], d[1], d[2], d[3], d[4], v.WrongAnswersAfterRollback))
	}
	for _, vote := range v.Votes {
		out = append(out, vote.explain()...)
	}
	if v.DroppedVotes > 0 {
		out = append(out, fmt.Sprintf("  %d earlier votes are not kept.", v.DroppedVotes))
	}
	return out
}

func (v Vote) explain() []string {
	out := []string{fmt.Sprintf("  %s: vote to %s at stage %d, because of %s.", clockTime(v.At), v.Verdict, v.Stage, v.Reason)}
	for _, e := range v.Estimates {
		out = append(out, fmt.Sprintf("    then known of %s: %g of %g failed, between %.1f%% and %.1f%%.", e.Class, e.Failures,
			e.Outcomes, 100*e.Low, 100*e.High))
	}
	return out
}

func (v *Version) platformCounts() (outcomes, failures float64) {
	for _, c := range v.Counts {
		if c.Source == SourcePlatform {
			outcomes += c.Outcomes
			failures += c.Failures
		}
	}
	return outcomes, failures
}

func (d WrongAnswerDelays) total() int64 {
	total := int64(0)
	for _, n := range d {
		total += n
	}
	return total
}

func clockTime(t balancer.Tick) string {
	return time.UnixMicro(int64(t) * microsecondsPerTick).UTC().Format("2006-01-02 15:04:05.000")
}
