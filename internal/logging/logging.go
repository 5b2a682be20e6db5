// Package logging connects components that log through a function of this package to the process's logger (zerolog).
// Such a component passes a constant message with typed fields (log/slog), and does not depend on zerolog.
package logging

import (
	"log/slog"

	"github.com/rs/zerolog"
)

// Component returns a function that writes log lines of the named component at level info, with each field under its
// own key. A duration is written in milliseconds, so its key should end in _ms. The function may be called from any
// goroutine.
func Component(log zerolog.Logger, name string) func(message string, fields ...slog.Attr) {
	write := Leveled(log, name)
	return func(message string, fields ...slog.Attr) { write(slog.LevelInfo, message, fields...) }
}

// Func writes one log line at the given level, with a constant message and typed fields. It may be called from any
// goroutine.
type Func = func(level slog.Level, message string, fields ...slog.Attr)

// Leveled returns a function that writes log lines of the named component at the level given in each call. It writes
// the fields in the same way as the function that Component returns.
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

// zerologLevel converts a level of log/slog to one of zerolog.
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

// addField adds a field to a log line; a duration is written in milliseconds.
func addField(event *zerolog.Event, field slog.Attr) *zerolog.Event {
	if field.Value.Kind() == slog.KindDuration {
		return event.Dur(field.Key, field.Value.Duration())
	}
	return event.Interface(field.Key, field.Value.Any())
}
