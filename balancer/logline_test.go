package balancer

import (
	"log/slog"
	"testing"
)

func TestLogLine(t *testing.T) {
	for _, c := range []struct {
		message string
		fields  []slog.Attr
		want    string
	}{
		{"backend ejected", nil, "backend ejected"},
		{"backend ejected", []slog.Attr{slog.Uint64("backend", 7)}, "backend ejected: backend=7"},
		{"vote", []slog.Attr{slog.String("verdict", "promote"), slog.Int("stage", 2)}, "vote: verdict=promote stage=2"},
		{"vote", []slog.Attr{slog.String("evidence", "resets: test 1")}, `vote: evidence="resets: test 1"`},
		{"vote", []slog.Attr{slog.String("evidence", "")}, `vote: evidence=""`},
	} {
		check(t, c.message, LogLine(c.message, c.fields...), c.want)
	}
}

// TestLogSampled checks that every relay logs every event if there are at most loggingRelays relays, and only some of
// the events if there are many relays.
func TestLogSampled(t *testing.T) {
	for _, c := range []struct {
		relays               float64
		minLogged, maxLogged int // bounds on how many of 1000 events are logged
	}{{0, 1000, 1000}, {4, 1000, 1000}, {400, 3, 30}} {
		b := newFixture(func(s *Settings) { s.Relays = c.relays })
		for range 1000 {
			b.logSampled("backend ejected")
		}
		if n := len(b.host.logged); n < c.minLogged || n > c.maxLogged {
			t.Errorf("%v relays: %d of 1000 events logged", c.relays, n)
		}
	}
}
