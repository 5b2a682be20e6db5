package overload

import (
	"errors"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

func drawReport(t *rapid.T) Report {
	fraction := func(name string) float64 {
		return float64(rapid.IntRange(0, math.MaxUint16).Draw(t, name)) / math.MaxUint16
	}
	number := func(name string) float64 { return float64(float32(rapid.Float64Range(0, 1e6).Draw(t, name))) }
	report := Report{Uptime: tick.Tick(rapid.Int64Range(0, 1<<50).Draw(t, "uptime")),
		LocalFraction: fraction("local fraction"), SharedFraction: fraction("shared fraction"),
		CompletedWork: number("completed work"), FirstAttempts: number("first attempts"), RetryCredit: number("credit"),
		SpilledCredit: rapid.Float64Range(0, 1e12).Draw(t, "spilled")}
	for range rapid.IntRange(0, maxReportClasses).Draw(t, "classes") {
		report.OfferedWork = append(report.OfferedWork, number("work"))
	}
	for range rapid.IntRange(0, maxVerdicts).Draw(t, "verdicts") {
		report.Verdicts = append(report.Verdicts, Verdict{rapid.Uint64().Draw(t, "backend"), rapid.Bool().Draw(t, "healthy"),
			tick.Tick(rapid.IntRange(0, math.MaxUint16/2).Draw(t, "age")) * (tick.Second / 100)})
	}
	report.Evidence = []Evidence{}
	for range rapid.IntRange(0, maxEvidence).Draw(t, "evidence") {
		failures := rapid.IntRange(0, maxOutcomesPerRelay).Draw(t, "failures")
		report.Evidence = append(report.Evidence, Evidence{rapid.Uint64().Draw(t, "backend"), failures,
			rapid.IntRange(0, maxOutcomesPerRelay-failures).Draw(t, "successes"),
			tick.Tick(rapid.IntRange(0, math.MaxUint8).Draw(t, "age")) * (tick.Second / 10)})
	}
	if rapid.Bool().Draw(t, "later version") {
		report.UnknownFields = append([]byte{200, 3}, "new"...)
	}
	return report
}

// TestReport_RoundTrip: a decoded report equals the encoded one, which takes less than 300 bytes. Fields of a later version
// are kept.
func TestReport_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		b := report.Encode()
		if len(b) >= MaxReportSize {
			t.Fatalf("the encoded report has %d bytes", len(b))
		}
		got, err := DecodeReport(b)
		if err != nil || !reflect.DeepEqual(got, report) {
			t.Fatalf("%+v, %v, want %+v", got, err, report)
		}
	})
}

// TestDecodeReport_RejectsInvalid: an invalid message is rejected whole. Data that a later version appended to a field is
// skipped.
func TestDecodeReport_RejectsInvalid(t *testing.T) {
	good := Report{LocalFraction: 1, SharedFraction: 1, OfferedWork: []float64{1}, Verdicts: []Verdict{{Backend: 1}}}.Encode()
	without := func(field byte) []byte {
		b := []byte{ReportVersion}
		for rest := good[1:]; len(rest) > 0; rest = rest[2+int(rest[1]):] {
			if rest[0] != field {
				b = append(b, rest[:2+int(rest[1])]...)
			}
		}
		return b
	}
	for _, c := range []struct {
		name  string
		data  []byte
		fails bool
	}{
		{"good", good, false},
		{"a later version", append([]byte{9}, good[1:]...), false},
		{"a longer field", append(without(fieldUptime), fieldUptime, 9, 1, 0, 0, 0, 0, 0, 0, 0, 7), false},
		{"without offered work", without(fieldOfferedWork), false},
		{"an earlier version, without evidence", without(fieldEvidence), false},
		{"too many outcomes", append(without(fieldEvidence), fieldEvidence, 10, 1, 2, 3, 4, 5, 6, 7, 8, 0x12, 0), true},
		{"empty", nil, true},
		{"version 0", append([]byte{0}, good[1:]...), true},
		{"truncated", good[:len(good)-1], true},
		{"too long", make([]byte, MaxReportSize+1), true},
		{"without fractions", without(fieldFractions), true},
		{"duplicate field", append(good[:len(good):len(good)], fieldOfferedWork, 0), true},
		{"truncated number", append(without(fieldOfferedWork), fieldOfferedWork, 3, 0, 0, 0), true},
		{"NaN", append(without(fieldOfferedWork), fieldOfferedWork, 4, 0xff, 0xff, 0xff, 0xff), true},
		{"negative work", append(without(fieldOfferedWork), fieldOfferedWork, 4, 0, 0, 0x80, 0xbf), true},
		{"negative uptime", append(without(fieldUptime), fieldUptime, 8, 0, 0, 0, 0, 0, 0, 0, 0x80), true},
	} {
		if _, err := DecodeReport(c.data); (err != nil) != c.fails || err != nil && !errors.Is(err, ErrMalformedReport) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func FuzzDecodeReport(f *testing.F) {
	f.Add(Report{LocalFraction: 1, SharedFraction: 0.5, OfferedWork: []float64{1, 2}, Verdicts: []Verdict{{1, true, 100}}}.Encode())
	f.Add([]byte{1, 1, 8})
	f.Fuzz(func(t *testing.T, b []byte) {
		report, err := DecodeReport(b)
		if err != nil {
			return
		}
		reencoded, err := DecodeReport(report.Encode())
		if err != nil {
			t.Fatalf("re-encoded %+v: %v", report, err)
		}
		if reencoded.Uptime != report.Uptime || len(reencoded.OfferedWork) != len(report.OfferedWork) || string(reencoded.UnknownFields) != string(report.UnknownFields) {
			t.Fatalf("%+v, after re-encoding %+v", report, reencoded)
		}
		m := NewManager(testStart, 1, "a", testSettings(3, nil))
		m.UpdatePeer(testStart, PeerUpdate{Name: "b", Incarnation: 1, Report: report, State: PeerAlive})
		m.UpdatePressure(testStart+1000, Pressure{BackendUtilization: 2})
		if a := m.AdmittedFraction(); !(a > 0 && a <= 1) || math.IsNaN(m.budget.credit) {
			t.Fatalf("admitted fraction %v out of range, or a retry credit that is NaN", a)
		}
	})
}
