package overload

import (
	"encoding/binary"
	"fmt"
	"math"

	"silvercove/internal/tick"
)

// A report on the wire is a version byte followed by fields. Each field is a number, the length of its data and the data.
// A later version may add fields, and may append data to a field that is not a list. Relays keep the fields that they do
// not know.
const (
	fieldUptime = 1 + iota
	fieldFractions
	fieldBudget
	fieldOfferedWork
	fieldVerdicts
	fieldEvidence
)

const (
	fieldHeaderSize = 2
	uptimeSize      = 8
	fractionsSize   = 8
	budgetSize      = 16
	workSize        = 4  // bytes per request class
	verdictSize     = 10 // bytes per verdict on a backend
	evidenceSize    = 10 // bytes per evidence on a backend

	verdictAgeUnit  = tick.Second / 100
	evidenceAgeUnit = tick.Second / 10
	maxVerdictAge   = math.MaxUint16 / 2 // in units of verdictAgeUnit; the age takes the upper 15 of 16 bits, and the verdict takes the lowest bit
	maxEvidenceAge  = math.MaxUint8      // in units of evidenceAgeUnit
)

// Encode returns the report as a message of at most MaxReportSize bytes. Values are rounded. Ages are rounded down, to a
// multiple of 0.01 s for verdicts and of 0.1 s for evidence.
func (r Report) Encode() []byte {
	b := make([]byte, 1, MaxReportSize)
	b[0] = ReportVersion
	b = appendField(b, fieldUptime, binary.LittleEndian.AppendUint64(nil, uint64(r.Uptime)))
	b = appendField(b, fieldFractions, r.encodeFractions())
	b = appendField(b, fieldBudget, r.encodeBudget())
	b = appendField(b, fieldOfferedWork, r.encodeOfferedWork())
	b = appendField(b, fieldVerdicts, r.encodeVerdicts())
	b = appendField(b, fieldEvidence, r.encodeEvidence())
	return append(b, r.UnknownFields[:min(len(r.UnknownFields), maxUnknownBytes)]...)
}

func appendField(b []byte, field byte, data []byte) []byte {
	b = append(b, field, byte(len(data)))
	return append(b, data...)
}

func appendFloat32(b []byte, value float64) []byte {
	return binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(value)))
}

func appendFraction(b []byte, value float64) []byte {
	return binary.LittleEndian.AppendUint16(b, uint16(math.Round(min(1, max(0, value))*math.MaxUint16)))
}

func (r Report) encodeFractions() []byte {
	data := appendFraction(nil, r.LocalFraction)
	data = appendFraction(data, r.SharedFraction)
	return appendFloat32(data, r.CompletedWork)
}

func (r Report) encodeBudget() []byte {
	data := appendFloat32(nil, r.FirstAttempts)
	data = appendFloat32(data, r.RetryCredit)
	return binary.LittleEndian.AppendUint64(data, math.Float64bits(r.SpilledCredit))
}

func (r Report) encodeOfferedWork() []byte {
	var data []byte
	for _, work := range r.OfferedWork[:min(len(r.OfferedWork), maxReportClasses)] {
		data = appendFloat32(data, work)
	}
	return data
}

func (r Report) encodeVerdicts() []byte {
	var data []byte
	for _, v := range r.Verdicts[:min(len(r.Verdicts), maxVerdicts)] {
		data = binary.LittleEndian.AppendUint64(data, v.Backend)
		age := uint16(min(v.Age/verdictAgeUnit, maxVerdictAge)) << 1
		if v.Healthy {
			age |= 1
		}
		data = binary.LittleEndian.AppendUint16(data, age)
	}
	return data
}

func (r Report) encodeEvidence() []byte {
	var data []byte
	for _, e := range r.Evidence[:min(len(r.Evidence), maxEvidence)] {
		data = binary.LittleEndian.AppendUint64(data, e.Backend)
		data = append(data, byte(e.Failures<<4|e.Successes), byte(min(e.Age/evidenceAgeUnit, maxEvidenceAge)))
	}
	return data
}

// DecodeReport decodes a message. It keeps at most 64 bytes of unknown fields. Its errors wrap ErrMalformedReport.
func DecodeReport(b []byte) (Report, error) {
	if len(b) == 0 || len(b) > MaxReportSize || b[0] == 0 {
		return Report{}, fmt.Errorf("%w: message of %d bytes with an invalid length or version", ErrMalformedReport, len(b))
	}
	var r Report
	var seen [fieldEvidence + 1]bool
	for rest := b[1:]; len(rest) > 0; {
		if len(rest) < fieldHeaderSize || len(rest) < fieldHeaderSize+int(rest[1]) {
			return Report{}, fmt.Errorf("%w: truncated field", ErrMalformedReport)
		}
		field, size := rest[0], fieldHeaderSize+int(rest[1])
		encoded, data := rest[:size], rest[fieldHeaderSize:size]
		rest = rest[size:]
		if field == 0 || field > fieldEvidence {
			if len(r.UnknownFields)+len(encoded) <= maxUnknownBytes {
				r.UnknownFields = append(r.UnknownFields, encoded...)
			}
			continue
		}
		if seen[field] {
			return Report{}, fmt.Errorf("%w: duplicate field %d", ErrMalformedReport, field)
		}
		seen[field] = true
		if !r.decodeField(field, data) {
			return Report{}, fmt.Errorf("%w: field %d has an invalid length of %d bytes", ErrMalformedReport, field, len(data))
		}
	}
	if !seen[fieldUptime] || !seen[fieldFractions] || !seen[fieldBudget] {
		return Report{}, fmt.Errorf("%w: required field missing", ErrMalformedReport)
	}
	if err := r.validate(); err != nil {
		return Report{}, err
	}
	return r, nil
}

// decodeField decodes the data of one known field and reports whether the data has a valid length.
func (r *Report) decodeField(field byte, data []byte) bool {
	switch field {
	case fieldUptime:
		if len(data) < uptimeSize {
			return false
		}
		r.Uptime = tick.Tick(binary.LittleEndian.Uint64(data))
	case fieldFractions:
		if len(data) < fractionsSize {
			return false
		}
		r.LocalFraction = fractionAt(data, 0)
		r.SharedFraction = fractionAt(data, 2)
		r.CompletedWork = float32At(data, 4)
	case fieldBudget:
		if len(data) < budgetSize {
			return false
		}
		r.FirstAttempts = float32At(data, 0)
		r.RetryCredit = float32At(data, 4)
		r.SpilledCredit = math.Float64frombits(binary.LittleEndian.Uint64(data[8:]))
	case fieldOfferedWork:
		return r.decodeOfferedWork(data)
	case fieldVerdicts:
		return r.decodeVerdicts(data)
	case fieldEvidence:
		return r.decodeEvidence(data)
	}
	return true
}

func fractionAt(data []byte, at int) float64 {
	return float64(binary.LittleEndian.Uint16(data[at:])) / math.MaxUint16
}

func float32At(data []byte, at int) float64 {
	return float64(math.Float32frombits(binary.LittleEndian.Uint32(data[at:])))
}

// isList reports whether data is a list of at most n elements of size bytes each.
func isList(data []byte, size, n int) bool { return len(data)%size == 0 && len(data) <= size*n }

func (r *Report) decodeOfferedWork(data []byte) bool {
	if !isList(data, workSize, maxReportClasses) {
		return false
	}
	for at := 0; at < len(data); at += workSize {
		r.OfferedWork = append(r.OfferedWork, float32At(data, at))
	}
	return true
}

func (r *Report) decodeVerdicts(data []byte) bool {
	if !isList(data, verdictSize, maxVerdicts) {
		return false
	}
	for at := 0; at < len(data); at += verdictSize {
		age := binary.LittleEndian.Uint16(data[at+8:])
		r.Verdicts = append(r.Verdicts, Verdict{
			Backend: binary.LittleEndian.Uint64(data[at:]),
			Healthy: age&1 == 1,
			Age:     tick.Tick(age>>1) * verdictAgeUnit,
		})
	}
	return true
}

func (r *Report) decodeEvidence(data []byte) bool {
	if !isList(data, evidenceSize, maxEvidence) {
		return false
	}
	r.Evidence = []Evidence{}
	for at := 0; at < len(data); at += evidenceSize {
		counts := data[at+8]
		r.Evidence = append(r.Evidence, Evidence{
			Backend:   binary.LittleEndian.Uint64(data[at:]),
			Failures:  int(counts >> 4),
			Successes: int(counts & 0x0f),
			Age:       tick.Tick(data[at+9]) * evidenceAgeUnit,
		})
	}
	return true
}
