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
	report := Report{Uptime: tick.Tick(rapid.Int64Range(0, 1<<50).Draw(t, "up")), LocalFraction: fraction("own"), SharedFraction: fraction("shared"),
		CompletedWork: number("done"), FirstAttempts: number("firsts"), RetryCredit: number("credit"), SpilledCredit: rapid.Float64Range(0, 1e12).Draw(t, "spilled")}
	for range rapid.IntRange(0, maxReportClasses).Draw(t, "op types") {
		report.OfferedWork = append(report.OfferedWork, number("work"))
	}
	for range rapid.IntRange(0, maxVerdicts).Draw(t, "units") {
		report.Verdicts = append(report.Verdicts, Verdict{rapid.Uint64().Draw(t, "unit"), rapid.Bool().Draw(t, "well"),
			tick.Tick(rapid.IntRange(0, math.MaxUint16/2).Draw(t, "age")) * (tick.Second / 100)})
	}
	report.Evidence = []Evidence{}
	for range rapid.IntRange(0, maxEvidence).Draw(t, "signs") {
		failures := rapid.IntRange(0, maxOutcomesPerRelay).Draw(t, "bad")
		report.Evidence = append(report.Evidence, Evidence{rapid.Uint64().Draw(t, "unit"), failures, rapid.IntRange(0, maxOutcomesPerRelay-failures).Draw(t, "good"),
			tick.Tick(rapid.IntRange(0, math.MaxUint8).Draw(t, "age")) * (tick.Second / 10)})
	}
	if rapid.Bool().Draw(t, "of a later version") {
		report.UnknownFields = append([]byte{200, 3}, "new"...)
	}
	return report
}

// TestReport_RoundTrip: a report is read as it was, in under 300 bytes, with fields of a later version kept.
func TestReport_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		b := report.Encode()
		if len(b) >= MaxReportSize {
			t.Fatalf("%d bytes", len(b))
		}
		got, err := DecodeReport(b)
		if err != nil || !reflect.DeepEqual(got, report) {
			t.Fatalf("%+v, %v, want %+v", got, err, report)
		}
	})
}

// TestDecodeReport_RejectsInvalid: what makes no sense is refused whole; what a later version added at the end of a field is skipped.
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
		{"without work", without(fieldOfferedWork), false},
		{"of an earlier version, without signs", without(fieldEvidence), false},
		{"too many outcomes", append(without(fieldEvidence), fieldEvidence, 10, 1, 2, 3, 4, 5, 6, 7, 8, 0x12, 0), true},
		{"empty", nil, true},
		{"no version", append([]byte{0}, good[1:]...), true},
		{"cut", good[:len(good)-1], true},
		{"too long", make([]byte, MaxReportSize+1), true},
		{"without admits", without(fieldFractions), true},
		{"twice", append(good[:len(good):len(good)], fieldOfferedWork, 0), true},
		{"half a number", append(without(fieldOfferedWork), fieldOfferedWork, 3, 0, 0, 0), true},
		{"no number", append(without(fieldOfferedWork), fieldOfferedWork, 4, 0xff, 0xff, 0xff, 0xff), true},
		{"less than none", append(without(fieldOfferedWork), fieldOfferedWork, 4, 0, 0, 0x80, 0xbf), true},
		{"before its start", append(without(fieldUptime), fieldUptime, 8, 0, 0, 0, 0, 0, 0, 0, 0x80), true},
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
		again, err := DecodeReport(report.Encode())
		if err != nil {
			t.Fatalf("%+v: %v", report, err)
		}
		if again.Uptime != report.Uptime || len(again.OfferedWork) != len(report.OfferedWork) || string(again.UnknownFields) != string(report.UnknownFields) {
			t.Fatalf("%+v, then %+v", report, again)
		}
		m := NewManager(testStart, 1, "a", testSettings(3, nil))
		m.UpdatePeer(testStart, PeerUpdate{Name: "b", Incarnation: 1, Report: report, State: PeerAlive})
		m.UpdatePressure(testStart+1000, Pressure{BackendUtilization: 2})
		if a := m.AdmittedFraction(); !(a > 0 && a <= 1) || math.IsNaN(m.budget.credit) {
			t.Fatalf("admits %v", a)
		}
	})
}
