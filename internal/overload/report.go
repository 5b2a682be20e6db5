package overload

import (
	"errors"
	"fmt"

	"silvercove/internal/tick"
)

// Report is the state that a relay sends to the other relays. Fractions are from 0 to 1; work is in seconds of work per
// second.
type Report struct {
	Uptime         tick.Tick  // time since the relay's start
	LocalFraction  float64    // fraction of the offered work to admit because of the load of the relay's process
	SharedFraction float64    // fraction of the offered work to admit because of the load of the backends
	CompletedWork  float64    // work that backends completed for the relay
	FirstAttempts  float64    // first attempts per second
	RetryCredit    float64    // retries that the relay may make
	SpilledCredit  float64    // total retry credit spilled since the relay's start; the other relays divide each increase of the total among them (see retryBudget)
	OfferedWork    []float64  // work offered to the relay, by request class, for the first 12 classes
	Verdicts       []Verdict  // at most 8 verdicts, the newest first; relays of an earlier version know Verdicts but not Evidence
	Evidence       []Evidence // evidence on the suspected backends that look worst (see Manager.evidenceToReport), at most 6; nil in a report of an earlier version
	UnknownFields  []byte     // fields of a later version, as received
}

// Verdict is a relay's decision that a backend is healthy or failing.
type Verdict struct {
	Backend uint64 // hash of the backend's name
	Healthy bool
	Age     tick.Tick // time since the decision
}

// Evidence counts the outcomes of a relay's last two attempts at a suspected backend. Evidence without any outcome asks
// the other relays to report their outcomes.
type Evidence struct {
	Backend   uint64 // hash of the backend's name
	Failures  int
	Successes int
	Age       tick.Tick // time since the newest outcome or since the relay last suspected the backend, whichever was later
}

// The version of the reports that this program writes, and the bounds of a report.
const (
	ReportVersion       = 1
	MaxReportSize       = 300 // in bytes
	maxReportClasses    = 12
	maxVerdicts         = 8
	maxEvidence         = 6
	maxOutcomesPerRelay = 2 // most outcomes at one backend that a relay can contribute for or against the backend
	maxUnknownBytes     = 64
	maxRate             = 1e9
	maxSpilled          = 1e15
)

// ErrMalformedReport is wrapped by the errors of DecodeReport. A malformed report is discarded whole.
var ErrMalformedReport = errors.New("malformed relay report")

// LocalReport returns the report that this relay now sends to the other relays.
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

// validate returns an error if a value or the length of a list is out of range.
func (r Report) validate() error {
	if r.Uptime < 0 || len(r.OfferedWork) > maxReportClasses || len(r.Verdicts) > maxVerdicts ||
		len(r.Evidence) > maxEvidence || len(r.UnknownFields) > maxUnknownBytes {
		return fmt.Errorf("%w: uptime or list length out of range", ErrMalformedReport)
	}
	if !inRange(r.LocalFraction, 1) || !inRange(r.SharedFraction, 1) || !inRange(r.CompletedWork, maxRate) ||
		!inRange(r.FirstAttempts, maxRate) || !inRange(r.RetryCredit, maxRate) || !inRange(r.SpilledCredit, maxSpilled) {
		return fmt.Errorf("%w: fraction, rate or retry credit out of range", ErrMalformedReport)
	}
	for _, work := range r.OfferedWork {
		if !inRange(work, maxRate) {
			return fmt.Errorf("%w: offered work out of range", ErrMalformedReport)
		}
	}
	for _, v := range r.Verdicts {
		if v.Age < 0 {
			return fmt.Errorf("%w: verdict with a negative age", ErrMalformedReport)
		}
	}
	for _, e := range r.Evidence {
		if e.Age < 0 || e.Failures < 0 || e.Successes < 0 || e.Failures+e.Successes > maxOutcomesPerRelay {
			return fmt.Errorf("%w: evidence with an age or counts out of range", ErrMalformedReport)
		}
	}
	return nil
}

// inRange reports whether a value is from 0 to limit. It is false for NaN.
func inRange(value, limit float64) bool { return value >= 0 && value <= limit }
