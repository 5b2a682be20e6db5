package overload

import (
	"errors"
	"fmt"

	"silvercove/internal/tick"
)

// Report is what one relay sends to the others. Fractions are from 0 to 1, work is in seconds of work a second.
type Report struct {
	Uptime         tick.Tick  // since the relay's start
	LocalFraction  float64    // of the offered work, that it admits by its own strength
	SharedFraction float64    // and by the backends'
	CompletedWork  float64    // that backends did for it
	FirstAttempts  float64    // a second
	RetryCredit    float64    // retries that it may make
	SpilledCredit  float64    // retries that it could not keep, since its start
	OfferedWork    []float64  // by request class; the first 12
	Verdicts       []Verdict  // newest first, at most 8; for relays of an earlier version, which go by them
	Evidence       []Evidence // of the backends in question that look worst, at most 6; nil: of an earlier version
	UnknownFields  []byte     // of a later version, as they came
}

// Verdict is what a relay found a backend to be, some time ago.
type Verdict struct {
	Backend uint64 // hash of its name
	Healthy bool
	Age     tick.Tick
}

// Evidence is what a relay counts of its last two outcomes at a backend in question. None of both asks the others for
// theirs.
type Evidence struct {
	Backend   uint64 // hash of its name
	Failures  int
	Successes int
	Age       tick.Tick // of the newest outcome
}

// Bounds of a report.
const (
	ReportVersion       = 1
	MaxReportSize       = 300 // bytes
	maxReportClasses    = 12
	maxVerdicts         = 8
	maxEvidence         = 6
	maxOutcomesPerRelay = 2 // of one relay at one backend: what it can bring for or against it
	maxUnknownBytes     = 64
	maxRate             = 1e9
	maxSpilled          = 1e15
)

// ErrMalformedReport is wrapped by the errors of DecodeReport: nothing of the message was taken.
var ErrMalformedReport = errors.New("malformed report of a relay")

// LocalReport is what this relay sends to the others now.
func (m *Manager) LocalReport(now tick.Tick) Report {
	m.advance(now)
	r := Report{
		Uptime:         m.now - m.startedAt,
		LocalFraction:  m.admission.localFraction,
		SharedFraction: m.admission.sharedFraction,
		FirstAttempts:  m.budget.firstAttempts / budgetWindow,
		RetryCredit:    m.budget.credit,
		SpilledCredit:  m.budget.spilled,
	}
	for i := range min(len(m.admission.classes), maxReportClasses) {
		r.OfferedWork = append(r.OfferedWork, m.admission.classes[i].offeredWork())
	}
	r.CompletedWork, _ = m.workRates()
	r.Verdicts = m.verdictsToReport()
	r.Evidence = m.evidenceToReport()
	return r
}

// validate reports values that make no sense.
func (r Report) validate() error {
	if r.Uptime < 0 || len(r.OfferedWork) > maxReportClasses || len(r.Verdicts) > maxVerdicts ||
		len(r.Evidence) > maxEvidence || len(r.UnknownFields) > maxUnknownBytes {
		return fmt.Errorf("%w: out of bounds", ErrMalformedReport)
	}
	if !inRange(r.LocalFraction, 1) || !inRange(r.SharedFraction, 1) || !inRange(r.CompletedWork, maxRate) ||
		!inRange(r.FirstAttempts, maxRate) || !inRange(r.RetryCredit, maxRate) || !inRange(r.SpilledCredit, maxSpilled) {
		return fmt.Errorf("%w: a value out of bounds", ErrMalformedReport)
	}
	for _, work := range r.OfferedWork {
		if !inRange(work, maxRate) {
			return fmt.Errorf("%w: work out of bounds", ErrMalformedReport)
		}
	}
	for _, v := range r.Verdicts {
		if v.Age < 0 {
			return fmt.Errorf("%w: a verdict of the future", ErrMalformedReport)
		}
	}
	for _, e := range r.Evidence {
		if e.Age < 0 || e.Failures < 0 || e.Successes < 0 || e.Failures+e.Successes > maxOutcomesPerRelay {
			return fmt.Errorf("%w: counts out of bounds", ErrMalformedReport)
		}
	}
	return nil
}

// inRange is false for what is no number.
func inRange(value, limit float64) bool { return value >= 0 && value <= limit }
