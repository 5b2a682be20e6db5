package devicehealth

import (
	"encoding/json"
	"fmt"
	"math"

	"silvercove/internal/migration"
	"silvercove/internal/tick"
)

// ReportVersion is that of reports as this program writes them. A later one is read as far as it is known.
const ReportVersion = 1

// Never is a time that is not foreseen.
const Never = tick.Tick(math.MaxInt64)

// The states of an edge unit, the strongest first.
const (
	StateAccepting = "accepts"  // new instances
	StateProbation = "trickle"  // a few of them
	StateHolding   = "keeps"    // those it has, no new ones
	StateDraining  = "hands-on" // its instances are to go, the most important first
	StateLeaving   = "leaves"   // it ends, on purpose or because it has to
)

var states = []string{StateLeaving, StateDraining, StateHolding, StateProbation, StateAccepting}

// shares is the part of its places that a unit offers to new instances, by state.
var shares = []float64{0, 0, 0, 0.1, 1} // a trickle is a tenth: enough to see outcomes, too little to tire it

// Report is what an edge unit says of its strength. The readings it rests on stand in it, so that the
// leading keeper can judge it.
type Report struct {
	Version            int         `json:"v"`
	State              string      `json:"state"`
	AcceptFraction     float64     `json:"share"`             // of its places, that it offers to new instances
	Risk               float64     `json:"danger"`            // 0 to 1: how near it is to falling
	SpareCapacity      int         `json:"room"`              // instances that it takes beside those it has
	LastResortCapacity int         `json:"serves"`            // instances that it could serve on if its whole zone were tired
	Reasons            []string    `json:"reasons,omitempty"` // in plain words, the one that decides first
	TimeToEmpty        tick.Tick   `json:"empty"`             // until the battery is empty at the present load: lower bound, or Never
	TimeToOverheat     tick.Tick   `json:"hot"`               // and until it is too hot
	TimeToLimitOffered tick.Tick   `json:"offered"`           // the lesser of the two at the offered load
	HandoverTime       tick.Tick   `json:"need"`              // what it takes to hand all its instances over
	UnknownReadings    []string    `json:"unknown,omitempty"` // names of readings that can't be relied on
	Terminating        bool        `json:"ends,omitempty"`    // it was told to end: a fact, no forecast
	Readings           KeyReadings `json:"shown"`             // the readings that decided

	more map[string]json.RawMessage // what a later version added
}

// KeyReadings are the readings behind a report; those that are not known are left out.
type KeyReadings struct {
	Charge           *float64 `json:"charge,omitempty"` // part of full, above which the battery is empty: 0 is empty
	FullCharge       *float64 `json:"full,omitempty"`   // joules
	Draw             *float64 `json:"draw,omitempty"`   // watts out of the battery
	Mains            *bool    `json:"mains,omitempty"`
	Temperature      *float64 `json:"temp,omitempty"`  // degrees C, of the hottest against its limit
	TemperatureLimit *float64 `json:"limit,omitempty"` // of that
}

// MarshalJSON writes a report, with what a later version added to it when it was read.
func (r Report) MarshalJSON() ([]byte, error) {
	type plain Report
	b, err := json.Marshal(plain(r))
	if err != nil || len(r.more) == 0 {
		return b, err
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(b, &all); err != nil {
		return nil, err
	}
	for name, v := range r.more {
		if _, ok := all[name]; !ok {
			all[name] = v
		}
	}
	return json.Marshal(all)
}

// UnmarshalJSON reads a report. Fields that are not known are kept; a state that is not known is an
// error.
func (r *Report) UnmarshalJSON(b []byte) error {
	type plain Report
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return fmt.Errorf("report of strength: %w", err)
	}
	switch {
	case p.Version < 1:
		return fmt.Errorf("report of strength: no version")
	case level(p.State) < 0:
		return fmt.Errorf("report of strength: state %q is none of %v", p.State, states)
	case !(p.AcceptFraction >= 0 && p.AcceptFraction <= 1 && p.Risk >= 0 && p.Risk <= 1 && p.SpareCapacity >= 0 && p.LastResortCapacity >= 0):
		return fmt.Errorf("report of strength: share %v, danger %v, room %d or serves %d is out of its range",
			p.AcceptFraction, p.Risk, p.SpareCapacity, p.LastResortCapacity)
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(b, &all); err != nil {
		return fmt.Errorf("report of strength: %w", err)
	}
	for _, name := range []string{"v", "state", "share", "danger", "room", "serves", "reasons", "empty", "hot", "offered",
		"need", "unknown", "ends", "shown"} {
		delete(all, name)
	}
	*r = Report(p)
	if len(all) > 0 {
		r.more = all
	}
	return nil
}

// ApplyTo sets what a report says of a unit in the leading keeper's words.
func (r Report) ApplyTo(u *migration.NodeStatus) {
	u.Accepting = r.State == StateAccepting || r.State == StateProbation
	u.Limited = r.State == StateProbation
	u.Evacuating = r.State == StateDraining || r.State == StateLeaving
	u.ShuttingDown = r.State == StateLeaving
	u.Risk, u.FreeSlots = r.Risk, r.SpareCapacity
}

// MustDrain: its instances are to go.
func (r Report) MustDrain() bool { return r.State == StateDraining || r.State == StateLeaving }

func level(state string) int {
	for i, s := range states {
		if s == state {
			return i
		}
	}
	return -1
}
