package pgwire

import "testing"

func TestParseStartup(t *testing.T) {
	for _, c := range []struct {
		name, in string
		kind     StartupKind
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
			kind, size, err := ParseStartup([]byte(c.in))
			if kind != c.kind && err == nil || size != c.size || (err != nil) != c.bad {
				t.Errorf("got %v %d %v", kind, size, err)
			}
		})
	}
}

func FuzzParseStartup(f *testing.F) {
	f.Add(StartupMessage())
	f.Fuzz(func(t *testing.T, in []byte) {
		if _, size, err := ParseStartup(in); err == nil && size > len(in) {
			t.Errorf("size %d of %d", size, len(in))
		}
	})
}
