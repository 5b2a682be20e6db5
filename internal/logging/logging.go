// Package logging lets components that write log lines as a constant message with typed fields (log/slog) use the process's
// logger (zerolog).
package logging

import (
	"log/slog"

	"github.com/rs/zerolog"
)

// Component returns a function that writes log lines of a component at level info, with each field under its own key. A
// duration is written in milliseconds, so its key should end in _ms. The function may be called from any goroutine.
func Component(log zerolog.Logger, name string) func(message string, fields ...slog.Attr) {
	write := Leveled(log, name)
	return func(message string, fields ...slog.Attr) { write(slog.LevelInfo, message, fields...) }
}

// Func writes one log line at a level: a constant message with typed fields. It may be called from any goroutine.
type Func = func(level slog.Level, message string, fields ...slog.Attr)

// Leveled returns a function that writes log lines of a component at the level given in each call. Fields are written as
// Component writes them.
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
