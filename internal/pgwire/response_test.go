package pgwire

import (
	"fmt"
	"strings"
	"testing"
)

// row returns a load report and a reply of one row, without ReadyForQuery.
func row(value string) []byte {
	b := appendMessage(nil, 'S', []byte("server_load\x00queue=7\x00"))
	b = appendMessage(b, 'T', append([]byte("\x00\x01content\x00"), make([]byte, 18)...))
	b = appendMessage(b, 'D', append([]byte{0, 1, 0, 0, byte(len(value) >> 8), byte(len(value))}, value...))
	return appendMessage(b, 'C', []byte("SELECT 1\x00"))
}

func TestResponse_SplitAnywhere(t *testing.T) {
	whole := append(row("hello"), ReadyForQuery()...)
	for cut := range whole {
		var r Response
		if err := r.Read(whole[:cut]); err != nil || r.Ready {
			t.Fatalf("first %d bytes: %v, ready %v", cut, err, r.Ready)
		}
		if need := r.Need(whole[:cut]); need <= cut || need > len(whole) {
			t.Fatalf("first %d bytes: Need returned %d", cut, need)
		}
		if err := r.Read(whole); err != nil || !r.Ready || r.SQLState != StateSuccess || len(r.RowMessages) != 3 {
			t.Fatalf("cut at %d: %v %+v", cut, err, r)
		}
		if got := ParseLoad(r.Load, []string{"util", "queue"}); fmt.Sprint(got) != "[0 7]" {
			t.Fatalf("load %v", got)
		}
	}
}

func TestResponse_Read(t *testing.T) {
	reply := string(row("x"))
	for _, c := range []struct {
		name, in, state string
		bad             bool
	}{
		{"error", string(ErrorResponse("ERROR", "XX000", "m", "")) + string(ReadyForQuery()), "XX000", false},
		{"fatal error", string(ErrorResponse("FATAL", "53300", "m", "1")), "53300", false},
		{"greeting", string(AuthenticationOK()), "", false},
		{"row without description", reply[len("Sxxxxserver_load\x00queue=7\x00"):][37:], "", true},
		{"two rows", reply + reply, "", true},
		{"error after a row", reply + string(ErrorResponse("ERROR", "XX000", "m", "")), "", true},
		{"password asked for", "R\x00\x00\x00\x08\x00\x00\x00\x03", "", true},
		{"unknown type", "~\x00\x00\x00\x04", "", true},
		{"no length", "C\x00\x00\x00\x03", "", true},
		{"too long", "D\x7f\x00\x00\x00", "", true},
		{"error without its fields", "E\x00\x00\x00\x05\x00", "", true},
		{"too many notices", strings.Repeat("N\x00\x00\x00\x05\x00", 99), "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Response
			err := r.Read([]byte(c.in))
			if (err != nil) != c.bad || !c.bad && r.SQLState != c.state {
				t.Errorf("state %q, error %v", r.SQLState, err)
			}
		})
	}
}

func TestDataRow_RoundTrip(t *testing.T) {
	b := DataRow([]byte("7 3 edge-a"), "INSERT 0 1")
	var r Response
	if err := r.Read(b); err != nil || !r.Ready || r.SQLState != StateSuccess || len(r.RowMessages) != 3 {
		t.Fatalf("%v %+v", err, r)
	}
	if v, ok := RowValue(r.RowMessages[1].Of(b)); !ok || string(v) != "7 3 edge-a" {
		t.Errorf("%q", v)
	}
}

func TestRowValue(t *testing.T) {
	row := []byte("D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02hi")
	if v, ok := RowValue(row); !ok || string(v) != "hi" {
		t.Errorf("%q, %v", v, ok)
	}
	for i := range row { // a truncated row is invalid
		if v, ok := RowValue(row[:i]); ok {
			t.Errorf("cut at %d: %q", i, v)
		}
	}
	for _, bad := range []string{"D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff", "T\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02hi",
		"D\x00\x00\x00\x0c\x00\x02\x00\x00\x00\x02hi"} {
		if v, ok := RowValue([]byte(bad)); ok {
			t.Errorf("%q: %q", bad, v)
		}
	}
}

func FuzzResponse(f *testing.F) {
	f.Add(append(row("v"), ReadyForQuery()...), 7)
	f.Add(ErrorResponse("FATAL", "53300", "m", "1"), 3)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		var once, twice Response
		first := once.Read(in)
		if cut = min(max(cut, 0), len(in)); twice.Read(in[:cut]) == nil {
			if again := twice.Read(in); (again == nil) != (first == nil) || again == nil && twice.Consumed != once.Consumed {
				t.Errorf("cut at %d: %v %d, whole: %v %d", cut, again, twice.Consumed, first, once.Consumed)
			}
		}
	})
}
