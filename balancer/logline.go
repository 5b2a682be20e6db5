package balancer

import (
	"log/slog"
	"strconv"
	"strings"
)

// LogLine formats a message of Host.Log and its fields as one line of text: "message: key=value key=value". A value
// that is empty or contains a space, an equals sign or a quotation mark is quoted.
func LogLine(message string, fields ...slog.Attr) string {
	var line strings.Builder
	line.WriteString(message)
	for i, f := range fields {
		if i == 0 {
			line.WriteByte(':')
		}
		line.WriteByte(' ')
		line.WriteString(f.Key)
		line.WriteByte('=')
		value := f.Value.String()
		if value == "" || strings.ContainsAny(value, " =\"") {
			value = strconv.Quote(value)
		}
		line.WriteString(value)
	}
	return line.String()
}

// loggingRelays is the average number of relays that log an event that many relays observe.
const loggingRelays = 4

// logSampled logs an event at a few random relays, so that hundreds of relays do not all log the same line. Each relay
// draws independently whether it logs the event.
func (b *Balancer) logSampled(message string, fields ...slog.Attr) {
	if b.random.intN(int(max(1, b.settings.Relays))) < loggingRelays {
		b.host.Log(message, fields...)
	}
}
