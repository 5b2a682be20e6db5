package devicehealth

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"silvercove/internal/migration"
	"silvercove/internal/tick"
)

// ReportVersion is that of reports as this program writes them. A later one is read as far as it is known.
const ReportVersion = 1

// Never is a time that is not foreseen.
const Never = tick.Tick(math.MaxInt64)

// ErrMalformedReport is wrapped by the errors of Report.UnmarshalJSON.
var ErrMalformedReport = errors.New("report of strength")

// Report is what an edge node says of its health. The readings it rests on stand in it, so that the leading controller
// can judge it.
type Report struct {
	Version            int         `json:"v"`
	State              State       `json:"state"`
	AcceptFraction     float64     `json:"share"`             // of its places, that it offers to new instances
	Risk               float64     `json:"danger"`            // 0 to 1: how near it is to failing
	SpareCapacity      int         `json:"room"`              // instances that it takes beside those it has
	LastResortCapacity int         `json:"serves"`            // instances that it could serve on if its whole zone had to evacuate
	Reasons            []string    `json:"reasons,omitempty"` // sentences, the one that decides first
	TimeToEmpty        tick.Tick   `json:"empty"`             // of the battery at the present load: lower bound, or Never
	TimeToOverheat     tick.Tick   `json:"hot"`               // at the present load: lower bound, or Never
	TimeToLimitOffered tick.Tick   `json:"offered"`           // the lesser of the two at the offered load
	MigrationTime      tick.Tick   `json:"need"`              // what migrating all its instances takes
	UnknownReadings    []string    `json:"unknown,omitempty"` // names of readings that cannot be relied on
	ShutdownRequested  bool        `json:"ends,omitempty"`    // it was told to end: a fact, no forecast
	Readings           KeyReadings `json:"shown"`             // the readings that decided

	unknownFields map[string]json.RawMessage // of a later version
}

// KeyReadings are the readings behind a report; those that are not known are left out.
type KeyReadings struct {
	Charge           *float64 `json:"charge,omitempty"` // share of full, above which the battery is empty: 0 is empty
	FullCharge       *float64 `json:"full,omitempty"`   // joules
	Draw             *float64 `json:"draw,omitempty"`   // watts out of the battery
	Mains            *bool    `json:"mains,omitempty"`
	Temperature      *float64 `json:"temp,omitempty"`  // degrees C, of the hottest against its limit
	TemperatureLimit *float64 `json:"limit,omitempty"` // of that
}

// knownFields are the names that Report's fields have in JSON.
var knownFields = []string{"v", "state", "share", "danger", "room", "serves", "reasons", "empty", "hot", "offered",
	"need", "unknown", "ends", "shown"}

// MarshalJSON writes a report, with what a later version added to it when it was read.
func (r Report) MarshalJSON() ([]byte, error) {
	type plain Report
	text, err := json.Marshal(plain(r))
	if err != nil || len(r.unknownFields) == 0 {
		return text, err
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	for name, value := range r.unknownFields {
		if _, known := all[name]; !known {
			all[name] = value
		}
	}
	return json.Marshal(all)
}

// UnmarshalJSON reads a report. Fields that are not known are kept; a state that is not known is an error.
func (r *Report) UnmarshalJSON(text []byte) error {
	type plain Report
	var p plain
	if err := json.Unmarshal(text, &p); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedReport, err)
	}
	if err := Report(p).validate(); err != nil {
		return err
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedReport, err)
	}
	for _, name := range knownFields {
		delete(all, name)
	}
	*r = Report(p)
	if len(all) > 0 {
		r.unknownFields = all
	}
	return nil
}

// validate reports values that make no sense.
func (r Report) validate() error {
	switch {
	case r.Version < 1:
		return fmt.Errorf("%w: no version", ErrMalformedReport)
	case r.State.level() == levelUnknown:
		return fmt.Errorf("%w: state %q is none of %v", ErrMalformedReport, r.State, states)
	case !(r.AcceptFraction >= 0 && r.AcceptFraction <= 1 && r.Risk >= 0 && r.Risk <= 1 && r.SpareCapacity >= 0 &&
		r.LastResortCapacity >= 0):
		return fmt.Errorf("%w: share %v, danger %v, room %d or serves %d is out of its range", ErrMalformedReport,
			r.AcceptFraction, r.Risk, r.SpareCapacity, r.LastResortCapacity)
	}
	return nil
}

// ApplyTo sets what a report says of a node in the migration planner's terms.
func (r Report) ApplyTo(u *migration.NodeStatus) {
	u.Accepting = r.State == StateAccepting || r.State == StateLimited
	u.Limited = r.State == StateLimited
	u.Evacuating = r.MustEvacuate()
	u.ShuttingDown = r.State == StateShuttingDown
	u.Risk, u.FreeSlots = r.Risk, r.SpareCapacity
}

// MustEvacuate reports whether the node's instances are to go.
func (r Report) MustEvacuate() bool {
	return r.State == StateEvacuating || r.State == StateShuttingDown
}
