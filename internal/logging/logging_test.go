package logging_test

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"silvercove/internal/logging"
)

func TestComponent(t *testing.T) {
	var out bytes.Buffer
	log := logging.Component(zerolog.New(&out), "dispatch")
	log("backend listed", slog.Uint64("backend_id", 3), slog.String("backend", "s-1"), slog.Duration("age_ms", time.Second))
	log("a message without fields")
	want := `{"level":"info","component":"dispatch","backend_id":3,"backend":"s-1","age_ms":1000,"message":"backend listed"}
{"level":"info","component":"dispatch","message":"a message without fields"}
`
	if out.String() != want {
		t.Errorf("got  %s\nwant %s", out.String(), want)
	}
}

func TestLeveled(t *testing.T) {
	var out bytes.Buffer
	log := logging.Leveled(zerolog.New(&out).Level(zerolog.InfoLevel), "director")
	log(slog.LevelDebug, "below the logger's level")
	log(slog.LevelInfo, "an event")
	log(slog.LevelWarn, "a failure that is retried", slog.String("server", "s-1"))
	log(slog.LevelError, "a permanent failure")
	want := `{"level":"info","component":"director","message":"an event"}
{"level":"warn","component":"director","server":"s-1","message":"a failure that is retried"}
{"level":"error","component":"director","message":"a permanent failure"}
`
	if out.String() != want {
		t.Errorf("got  %s\nwant %s", out.String(), want)
	}
}
