package devicehealth

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"silvercove/internal/migration"
	"silvercove/internal/tick"
)

// ReportVersion is the version of the reports that this program writes. If a report has a later version, only its known
// fields are used.
const ReportVersion = 1

// Never is the time until a limit that the node is not foreseen to reach.
const Never = tick.Tick(math.MaxInt64)

// ErrMalformedReport is wrapped by the errors of Report.UnmarshalJSON.
var ErrMalformedReport = errors.New("malformed health report")

// Report is an edge node's report of its health. It contains the readings behind it, so that the leading controller can
// verify it. The JSON names of the fields are part of the wire format.
type Report struct {
	Version            int         `json:"v"`
	State              State       `json:"state"`
	AcceptFraction     float64     `json:"share"`             // fraction of the node's instance slots that it offers to new instances
	Risk               float64     `json:"danger"`            // risk of failing, 0 to 1
	SpareCapacity      int         `json:"room"`              // further instances that the node can take
	LastResortCapacity int         `json:"serves"`            // instances that the node could keep serving if its whole zone had to evacuate
	Reasons            []string    `json:"reasons,omitempty"` // reasons for the state, as sentences; the reason that decided comes first
	TimeToEmpty        tick.Tick   `json:"empty"`             // time until the battery is empty at the present load: a lower bound, or Never
	TimeToOverheat     tick.Tick   `json:"hot"`               // time until the machine is too hot at the present load: a lower bound, or Never
	TimeToLimitOffered tick.Tick   `json:"offered"`           // like TimeToEmpty or TimeToOverheat, whichever is less, but at the offered load
	MigrationTime      tick.Tick   `json:"need"`              // time to reserve for migrating all instances of the node
	UnknownReadings    []string    `json:"unknown,omitempty"` // names of readings that are unknown
	ShutdownRequested  bool        `json:"ends,omitempty"`    // the node was told to shut down: a fact, not a forecast
	Readings           KeyReadings `json:"shown"`             // the readings behind the state

	unknownFields map[string]json.RawMessage // fields of a later version, by name
}

// KeyReadings holds the readings behind a report. Unknown readings are nil.
type KeyReadings struct {
	Charge           *float64 `json:"charge,omitempty"` // charge of all batteries above the empty level, as a fraction of full: 0 is empty
	FullCharge       *float64 `json:"full,omitempty"`   // full charge of all batteries, in joules
	Draw             *float64 `json:"draw,omitempty"`   // watts drawn from all batteries; below 0 while they charge
	Mains            *bool    `json:"mains,omitempty"`
	Temperature      *float64 `json:"temp,omitempty"`  // degrees C: the value of the sensor closest to its limit
	TemperatureLimit *float64 `json:"limit,omitempty"` // degrees C: the limit of that sensor
}

// knownFields lists the JSON names of Report's fields.
var knownFields = []string{"v", "state", "share", "danger", "room", "serves", "reasons", "empty", "hot", "offered",
	"need", "unknown", "ends", "shown"}

// MarshalJSON writes a report, including the unknown fields that were read with it.
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

// UnmarshalJSON reads a report. Unknown fields are kept; an unknown state is an error.
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

// validate returns an error for a missing version, an unknown state or a value out of range.
func (r Report) validate() error {
	switch {
	case r.Version < 1:
		return fmt.Errorf("%w: no version", ErrMalformedReport)
	case r.State.level() == levelUnknown:
		return fmt.Errorf("%w: state %q is not one of %v", ErrMalformedReport, r.State, states)
	case !(r.AcceptFraction >= 0 && r.AcceptFraction <= 1 && r.Risk >= 0 && r.Risk <= 1 && r.SpareCapacity >= 0 &&
		r.LastResortCapacity >= 0):
		return fmt.Errorf("%w: share %v, danger %v, room %d or serves %d is out of range", ErrMalformedReport,
			r.AcceptFraction, r.Risk, r.SpareCapacity, r.LastResortCapacity)
	}
	return nil
}

// ApplyTo sets the fields of the migration planner's node status that follow from the report.
func (r Report) ApplyTo(status *migration.NodeStatus) {
	status.Accepting = r.State == StateAccepting || r.State == StateLimited
	status.Limited = r.State == StateLimited
	status.Evacuating = r.MustEvacuate()
	status.ShuttingDown = r.State == StateShuttingDown
	status.Risk, status.FreeSlots = r.Risk, r.SpareCapacity
}

// MustEvacuate reports whether the node's instances must migrate to other nodes.
func (r Report) MustEvacuate() bool {
	return r.State == StateEvacuating || r.State == StateShuttingDown
}
