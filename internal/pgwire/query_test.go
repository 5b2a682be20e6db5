package pgwire

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const (
	selectText = "SELECT content FROM kv WHERE name = '7f3a' /* id=9b1f,c=basket,t=acme,d=480 */"
	insertText = `INSERT INTO kv (name, content) VALUES ('7f3a', '\x9f03') RETURNING content /* d=480,c=order,x=1,id=9b,r=1,h=77 */`
)

func TestParseQuery(t *testing.T) {
	long := strings.Replace(insertText, "9f03", strings.Repeat("00", MaxValue+1), 1)
	for _, c := range []struct {
		name, text, code string
	}{
		{"read", selectText, ""},
		{"write, names in another order, unknown ones", insertText, ""},
		{"longest value", strings.Replace(insertText, "9f03", strings.Repeat("00", MaxValue), 1), ""},
		{"value too long", long, StateLimitExceeded},
		{"other statement", "DELETE FROM kv", StateSyntaxError},
		{"no comment", selectText[:44], StateSyntaxError},
		{"comment not at the end", selectText + " ", StateSyntaxError},
		{"value with half a byte", strings.Replace(insertText, "9f03", "9f0", 1), StateSyntaxError},
		{"name twice", strings.Replace(selectText, "t=acme", "d=1", 1), StateSyntaxError},
		{"no id", strings.Replace(selectText, "id=9b1f,", "", 1), StateInvalidParameter},
		{"no request class", strings.Replace(selectText, "c=basket,", "", 1), StateInvalidParameter},
		{"timeout is no number", strings.Replace(selectText, "480", "48x", 1), StateInvalidParameter},
		{"timeout out of range", strings.Replace(selectText, "480", "99999999999999999999", 1), StateInvalidParameter},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, queryErr := ParseQuery([]byte(c.text))
			if queryErr != nil && queryErr.SQLState != c.code || queryErr == nil && c.code != "" {
				t.Fatalf("error %v, want %q", queryErr, c.code)
			}
			if queryErr != nil {
				return
			}
			got := string(bytes.Join(q.Forward(33*time.Millisecond), nil))
			want := strings.Replace(c.text, "d=480", "d=33", 1)
			if got[HeaderSize:] != want+"\x00" || q.Timeout != 480*time.Millisecond {
				t.Errorf("forwarded as %.100q, timeout %v", got[HeaderSize:], q.Timeout)
			}
			if kind, size, err := ClientHeader([]byte(got)); kind != 'Q' || size != len(got) || err != nil {
				t.Errorf("header %c %d %v of %d bytes", kind, size, err, len(got))
			}
		})
	}
}

func TestQuery_Value(t *testing.T) {
	q, queryErr := ParseQuery([]byte(`INSERT INTO kv (name, content) VALUES ('7f3a', '\x9fA30b') RETURNING content /* d=480,c=order,id=9b */`))
	if queryErr != nil || string(q.Value()) != "\x9f\xa3\x0b" {
		t.Errorf("%v %x", queryErr, q.Value())
	}
}

func FuzzParseQuery(f *testing.F) {
	f.Add([]byte(selectText))
	f.Add([]byte(insertText))
	f.Fuzz(func(t *testing.T, text []byte) {
		if q, queryErr := ParseQuery(text); queryErr == nil {
			again, queryErr := ParseQuery(bytes.Join(q.Forward(9*time.Millisecond), nil)[HeaderSize : HeaderSize+len(text)-q.timeout.size()+1])
			if queryErr != nil || again.Key != q.Key || again.ID != q.ID || again.Timeout != 9*time.Millisecond {
				t.Errorf("%q is not the same after forwarding: %v", text, queryErr)
			}
		}
	})
}
