package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"silvercove/internal/tick"
)

// Report is one relay's news for the others.
type Report struct {
	Uptime                        tick.Tick  // since its start
	LocalFraction, SharedFraction float64    // parts of the offered work that it admits: by its own strength, by the units'
	CompletedWork                 float64    // work that units did for it, in seconds a second
	FirstAttempts                 float64    // first deliveries a second
	RetryCredit                   float64    // repeats that it may make
	SpilledCredit                 float64    // repeats that it could not keep, since its start
	OfferedWork                   []float64  // offered to it, by op type, in seconds of work a second; the first 12
	Verdicts                      []Verdict  // newest first, at most 8; for relays of an earlier version, which go by them
	Evidence                      []Evidence // of the units in question that look worst, at most 6; nil: of an earlier version, that has none
	UnknownFields                 []byte     // fields of a later version, kept as they are
}

// Verdict is what a relay found a unit to be, some time ago. Unit is the hash of its name.
type Verdict struct {
	Backend uint64
	Healthy bool
	Age     tick.Tick
}

// Evidence is what a relay counts of a unit that is in question: of its last two outcomes there, how many were bad and how
// many good, and how old the newest is. None of both: it asks the others for theirs.
type Evidence struct {
	Backend             uint64
	Failures, Successes int
	Age                 tick.Tick
}

// Bounds of a message.
const (
	ReportVersion = 1
	MaxReportSize = 300
	mostWork      = 12
	mostUnits     = 8
	mostSigns     = 6
	mostCount     = 2 // outcomes of one relay at one unit: what it can bring for or against it
	mostMore      = 64
	mostRate      = 1e9
)

// ErrMalformedReport is wrapped by what Decode returns: the message is of no use, and nothing of it was taken.
var ErrMalformedReport = errors.New("news of a relay")

// Fields: a number, a length, the bytes. A later version may add some; those it does not know a relay keeps.
const (
	fieldUp = 1 + iota
	fieldAdmits
	fieldBudget
	fieldWork
	fieldUnits
	fieldSigns
)

// sound: the values make sense.
func (t Report) sound() error {
	in := func(v, most float64) bool { return v >= 0 && v <= most } // false for what is no number
	switch {
	case t.Uptime < 0, len(t.OfferedWork) > mostWork, len(t.Verdicts) > mostUnits, len(t.Evidence) > mostSigns, len(t.UnknownFields) > mostMore:
		return fmt.Errorf("%w: out of bounds", ErrMalformedReport)
	case !in(t.LocalFraction, 1), !in(t.SharedFraction, 1), !in(t.CompletedWork, mostRate), !in(t.FirstAttempts, mostRate), !in(t.RetryCredit, mostRate), !in(t.SpilledCredit, 1e15):
		return fmt.Errorf("%w: a value out of bounds", ErrMalformedReport)
	}
	for _, w := range t.OfferedWork {
		if !in(w, mostRate) {
			return fmt.Errorf("%w: work out of bounds", ErrMalformedReport)
		}
	}
	for _, v := range t.Verdicts {
		if v.Age < 0 {
			return fmt.Errorf("%w: a verdict of later", ErrMalformedReport)
		}
	}
	for _, v := range t.Evidence {
		if v.Age < 0 || v.Failures < 0 || v.Successes < 0 || v.Failures+v.Successes > mostCount {
			return fmt.Errorf("%w: counts out of bounds", ErrMalformedReport)
		}
	}
	return nil
}

// Encode makes a message of at most MostBytes.
func (t Report) Encode() []byte {
	b := make([]byte, 1, MaxReportSize)
	b[0] = ReportVersion
	field := func(which byte, data []byte) { b = append(append(b, which, byte(len(data))), data...) }
	field(fieldUp, binary.LittleEndian.AppendUint64(nil, uint64(t.Uptime)))
	var d []byte
	for _, v := range []float64{t.LocalFraction, t.SharedFraction} {
		d = binary.LittleEndian.AppendUint16(d, uint16(math.Round(min(1, max(0, v))*math.MaxUint16)))
	}
	field(fieldAdmits, single(d, t.CompletedWork))
	d = single(single(nil, t.FirstAttempts), t.RetryCredit)
	field(fieldBudget, binary.LittleEndian.AppendUint64(d, math.Float64bits(t.SpilledCredit)))
	d = nil
	for _, w := range t.OfferedWork[:min(len(t.OfferedWork), mostWork)] {
		d = single(d, w)
	}
	field(fieldWork, d)
	d = nil
	for _, v := range t.Verdicts[:min(len(t.Verdicts), mostUnits)] {
		d = binary.LittleEndian.AppendUint64(d, v.Backend)
		age := uint16(min(v.Age/(tick.Second/100), math.MaxUint16/2)) << 1
		if v.Healthy {
			age |= 1
		}
		d = binary.LittleEndian.AppendUint16(d, age)
	}
	field(fieldUnits, d)
	d = nil
	for _, v := range t.Evidence[:min(len(t.Evidence), mostSigns)] {
		d = binary.LittleEndian.AppendUint64(d, v.Backend)
		d = append(d, byte(v.Failures<<4|v.Successes), byte(min(v.Age/(tick.Second/10), math.MaxUint8)))
	}
	field(fieldSigns, d)
	return append(b, t.UnknownFields[:min(len(t.UnknownFields), mostMore)]...)
}

func single(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
}

// DecodeReport reads a message. Fields that it does not know it keeps, up to 64 bytes of them.
func DecodeReport(b []byte) (t Report, err error) {
	if len(b) == 0 || len(b) > MaxReportSize || b[0] == 0 {
		return Report{}, fmt.Errorf("%w: %d bytes that are none", ErrMalformedReport, len(b))
	}
	seen := [fieldSigns + 1]bool{}
	for rest := b[1:]; len(rest) > 0; {
		if len(rest) < 2 || len(rest) < 2+int(rest[1]) {
			return Report{}, fmt.Errorf("%w: cut short", ErrMalformedReport)
		}
		which, d, whole := rest[0], rest[2:2+int(rest[1])], rest[:2+int(rest[1])]
		rest = rest[len(whole):]
		if which == 0 || which > fieldSigns {
			if len(t.UnknownFields)+len(whole) <= mostMore {
				t.UnknownFields = append(t.UnknownFields, whole...)
			}
			continue
		}
		if seen[which] {
			return Report{}, fmt.Errorf("%w: field %d twice", ErrMalformedReport, which)
		}
		seen[which] = true
		if !t.read(which, d) {
			return Report{}, fmt.Errorf("%w: field %d of %d bytes", ErrMalformedReport, which, len(d))
		}
	}
	if !seen[fieldUp] || !seen[fieldAdmits] || !seen[fieldBudget] {
		return Report{}, fmt.Errorf("%w: a field is missing", ErrMalformedReport)
	}
	if err := t.sound(); err != nil {
		return Report{}, err
	}
	return t, nil
}

// read takes one field; a later version may have made it longer at its end, but for lists.
func (t *Report) read(which byte, d []byte) bool {
	part := func(at int) float64 { return float64(binary.LittleEndian.Uint16(d[at:])) / math.MaxUint16 }
	number := func(at int) float64 { return float64(math.Float32frombits(binary.LittleEndian.Uint32(d[at:]))) }
	least := map[byte]int{fieldUp: 8, fieldAdmits: 8, fieldBudget: 16}[which]
	if len(d) < least {
		return false
	}
	switch which {
	case fieldUp:
		t.Uptime = tick.Tick(binary.LittleEndian.Uint64(d))
	case fieldAdmits:
		t.LocalFraction, t.SharedFraction, t.CompletedWork = part(0), part(2), number(4)
	case fieldBudget:
		t.FirstAttempts, t.RetryCredit, t.SpilledCredit = number(0), number(4), math.Float64frombits(binary.LittleEndian.Uint64(d[8:]))
	case fieldWork:
		if len(d)%4 != 0 || len(d) > 4*mostWork {
			return false
		}
		for at := 0; at < len(d); at += 4 {
			t.OfferedWork = append(t.OfferedWork, number(at))
		}
	case fieldUnits:
		if len(d)%10 != 0 || len(d) > 10*mostUnits {
			return false
		}
		for at := 0; at < len(d); at += 10 {
			age := binary.LittleEndian.Uint16(d[at+8:])
			t.Verdicts = append(t.Verdicts, Verdict{binary.LittleEndian.Uint64(d[at:]), age&1 == 1, tick.Tick(age>>1) * (tick.Second / 100)})
		}
	case fieldSigns:
		if len(d)%10 != 0 || len(d) > 10*mostSigns {
			return false
		}
		t.Evidence = []Evidence{}
		for at := 0; at < len(d); at += 10 {
			t.Evidence = append(t.Evidence, Evidence{binary.LittleEndian.Uint64(d[at:]), int(d[at+8] >> 4), int(d[at+8] & 15),
				tick.Tick(d[at+9]) * (tick.Second / 10)})
		}
	}
	return true
}
