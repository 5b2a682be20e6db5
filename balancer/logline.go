package balancer

import (
	"log/slog"
	"strconv"
	"strings"
)

// LogLine is a message of Host.Log with its fields as one line of text: "message: key=value key=value". Words that are
// empty or have a space, an equals sign or a quote are quoted.
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

// loggingRelays is how many relays, on average, log what many of them see alike.
const loggingRelays = 4

// logSampled logs at a few of the relays.
// Guards against a flood of lines: seen as one line from each of hundreds of relays; holds because each draws for itself.
func (b *Balancer) logSampled(message string, fields ...slog.Attr) {
	if b.random.intN(int(max(1, b.settings.Relays))) < loggingRelays {
		b.host.Log(message, fields...)
	}
}
