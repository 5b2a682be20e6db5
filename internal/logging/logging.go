// Package logging joins the parts that write their log lines as a constant message with typed fields (log/slog) to the
// process's logger (zerolog).
package logging

import (
	"log/slog"

	"github.com/rs/zerolog"
)

// Component gives a function that writes lines of one component at level info, each field under its own key. A duration is
// written in milliseconds, so its key should end in _ms. It may be called from any goroutine.
func Component(log zerolog.Logger, name string) func(message string, fields ...slog.Attr) {
	write := Leveled(log, name)
	return func(message string, fields ...slog.Attr) { write(slog.LevelInfo, message, fields...) }
}

// Func writes one line: a constant message with typed fields, at a level. It may be called from any goroutine.
type Func = func(level slog.Level, message string, fields ...slog.Attr)

// Leveled is Component for a part whose lines have different levels.
func Leveled(log zerolog.Logger, name string) Func {
	log = log.With().Str("component", name).Logger()
	return func(level slog.Level, message string, fields ...slog.Attr) {
		event := log.WithLevel(zerologLevel(level))
		for _, field := range fields {
			event = addField(event, field)
		}
		event.Msg(message)
	}
}

// zerologLevel is the level of the process's logger that a level of log/slog stands for.
func zerologLevel(level slog.Level) zerolog.Level {
	switch {
	case level >= slog.LevelError:
		return zerolog.ErrorLevel
	case level >= slog.LevelWarn:
		return zerolog.WarnLevel
	case level >= slog.LevelInfo:
		return zerolog.InfoLevel
	}
	return zerolog.DebugLevel
}

func addField(event *zerolog.Event, field slog.Attr) *zerolog.Event {
	if field.Value.Kind() == slog.KindDuration {
		return event.Dur(field.Key, field.Value.Duration())
	}
	return event.Interface(field.Key, field.Value.Any())
}
