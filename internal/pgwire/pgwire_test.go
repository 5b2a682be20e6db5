package pgwire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const (
	asks  = "SELECT content FROM kv WHERE name = '7f3a' /* id=9b1f,c=basket,t=acme,d=480 */"
	write = `INSERT INTO kv (name, content) VALUES ('7f3a', '\x9f03') RETURNING content /* d=480,c=order,x=1,id=9b,r=1,h=77 */`
)

func TestQueries(t *testing.T) {
	long := strings.Replace(write, "9f03", strings.Repeat("00", MaxValue+1), 1)
	for _, c := range []struct {
		name, text, code string
	}{
		{"read", asks, ""},
		{"write, names in another order, unknown ones", write, ""},
		{"longest value", strings.Replace(write, "9f03", strings.Repeat("00", MaxValue), 1), ""},
		{"value too long", long, StateLimitExceeded},
		{"other statement", "DELETE FROM kv", StateSyntaxError},
		{"no comment", asks[:44], StateSyntaxError},
		{"comment not at the end", asks + " ", StateSyntaxError},
		{"half a byte of a value", strings.Replace(write, "9f03", "9f0", 1), StateSyntaxError},
		{"name twice", strings.Replace(asks, "t=acme", "d=1", 1), StateSyntaxError},
		{"no id", strings.Replace(asks, "id=9b1f,", "", 1), StateInvalidParameter},
		{"no op type", strings.Replace(asks, "c=basket,", "", 1), StateInvalidParameter},
		{"wait is no number", strings.Replace(asks, "480", "48x", 1), StateInvalidParameter},
		{"wait out of range", strings.Replace(asks, "480", "99999999999999999999", 1), StateInvalidParameter},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, fault := ParseQuery([]byte(c.text))
			if got := ""; fault != nil && fault.SQLState != c.code || fault == nil && c.code != got {
				t.Fatalf("fault %v, want %q", fault, c.code)
			}
			if fault != nil {
				return
			}
			got := string(bytes.Join(q.Forward(33), nil))
			want := strings.Replace(c.text, "d=480", "d=33", 1)
			if got[HeaderSize:] != want+"\x00" || q.WaitMs != 480 {
				t.Errorf("sent on as %.100q, wait %d", got[HeaderSize:], q.WaitMs)
			}
			if kind, size, err := ClientHeader([]byte(got)); kind != 'Q' || size != len(got) || err != nil {
				t.Errorf("head %c %d %v of %d bytes", kind, size, err, len(got))
			}
		})
	}
}

// row is what a unit answers: a report, one row, its end.
func row(value string) []byte {
	b := message(nil, 'S', []byte("server_load\x00queue=7\x00"))
	b = message(b, 'T', append([]byte("\x00\x01content\x00"), make([]byte, 18)...))
	b = message(b, 'D', append([]byte{0, 1, 0, 0, byte(len(value) >> 8), byte(len(value))}, value...))
	return message(b, 'C', []byte("SELECT 1\x00"))
}

func TestAnswersSplitAnywhere(t *testing.T) {
	whole := append(row("hello"), ReadyForQuery()...)
	for cut := range whole {
		var a Response
		if err := a.Read(whole[:cut]); err != nil || a.Ready {
			t.Fatalf("first %d bytes: %v, ready %v", cut, err, a.Ready)
		}
		if need := a.Need(whole[:cut]); need <= cut || need > len(whole) {
			t.Fatalf("first %d bytes: needs %d", cut, need)
		}
		if err := a.Read(whole); err != nil || !a.Ready || a.SQLState != StateSuccess || len(a.Rows) != 3 {
			t.Fatalf("cut at %d: %v %+v", cut, err, a)
		}
		if got := ParseLoad(a.Load, []string{"util", "queue"}); fmt.Sprint(got) != "[0 7]" {
			t.Fatalf("load %v", got)
		}
	}
}

func TestAnswers(t *testing.T) {
	r := string(row("x"))
	for _, c := range []struct {
		name, in, state string
		bad             bool
	}{
		{"error", string(ErrorResponse("ERROR", "XX000", "m", "")) + string(ReadyForQuery()), "XX000", false},
		{"fatal error", string(ErrorResponse("FATAL", "53300", "m", "1")), "53300", false},
		{"greeting", string(AuthenticationOK()), "", false},
		{"row without description", r[len("Sxxxxserver_load\x00queue=7\x00"):][37:], "", true},
		{"two rows", r + r, "", true},
		{"error after a row", r + string(ErrorResponse("ERROR", "XX000", "m", "")), "", true},
		{"password asked for", "R\x00\x00\x00\x08\x00\x00\x00\x03", "", true},
		{"unknown kind", "~\x00\x00\x00\x04", "", true},
		{"no length", "C\x00\x00\x00\x03", "", true},
		{"too long", "D\x7f\x00\x00\x00", "", true},
		{"error in place of an end", "E\x00\x00\x00\x05\x00", "", true},
		{"no end to notices", strings.Repeat("N\x00\x00\x00\x05\x00", 99), "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a Response
			err := a.Read([]byte(c.in))
			if (err != nil) != c.bad || !c.bad && a.SQLState != c.state {
				t.Errorf("state %q, error %v", a.SQLState, err)
			}
		})
	}
}

func TestStartups(t *testing.T) {
	for _, c := range []struct {
		name, in string
		start    StartupKind
		size     int
		bad      bool
	}{
		{"session", string(StartupMessage()), StartSession, len(StartupMessage()), false},
		{"cut short", string(StartupMessage()[:20]), 0, 0, false},
		{"SSL", "\x00\x00\x00\x08\x04\xd2\x16\x2f", StartEncrypted, 8, false},
		{"GSS", "\x00\x00\x00\x08\x04\xd2\x16\x30", StartEncrypted, 8, false},
		{"cancel", "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678", StartCancel, 16, false},
		{"other version", "\x00\x00\x00\x08\x00\x02\x00\x00", 0, 0, true},
		{"too short", "\x00\x00\x00\x07\x00\x03\x00\x00", 0, 0, true},
		{"too long", "\x7f\x00\x00\x07\x00\x03\x00\x00", 0, 0, true},
		{"parameters without end", "\x00\x00\x00\x0a\x00\x03\x00\x00us", 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			start, size, err := ParseStartup([]byte(c.in))
			if start != c.start && err == nil || size != c.size || (err != nil) != c.bad {
				t.Errorf("got %v %d %v", start, size, err)
			}
		})
	}
}

func FuzzQuery(f *testing.F) {
	f.Add([]byte(asks))
	f.Add([]byte(write))
	f.Fuzz(func(t *testing.T, text []byte) {
		if q, fault := ParseQuery(text); fault == nil {
			again, fault := ParseQuery(bytes.Join(q.Forward(9), nil)[HeaderSize : HeaderSize+len(text)-(q.to-q.from)+1])
			if fault != nil || again.Key != q.Key || again.ID != q.ID || again.WaitMs != 9 {
				t.Errorf("%q does not come back: %v", text, fault)
			}
		}
	})
}

func FuzzAnswer(f *testing.F) {
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

func FuzzStartup(f *testing.F) {
	f.Add(StartupMessage())
	f.Fuzz(func(t *testing.T, in []byte) {
		if _, size, err := ParseStartup(in); err == nil && size > len(in) {
			t.Errorf("size %d of %d", size, len(in))
		}
	})
}

func TestValueOfARow(t *testing.T) {
	row := []byte("D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02hi")
	if v, ok := RowValue(row); !ok || string(v) != "hi" {
		t.Errorf("%q, %v", v, ok)
	}
	for i := range row { // cut at any byte, or of another form
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
