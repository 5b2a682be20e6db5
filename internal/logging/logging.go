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
	log = log.With().Str("component", name).Logger()
	return func(message string, fields ...slog.Attr) {
		event := log.Info()
		for _, field := range fields {
			event = add(event, field)
		}
		event.Msg(message)
	}
}

func add(event *zerolog.Event, field slog.Attr) *zerolog.Event {
	if field.Value.Kind() == slog.KindDuration {
		return event.Dur(field.Key, field.Value.Duration())
	}
	return event.Interface(field.Key, field.Value.Any())
}
