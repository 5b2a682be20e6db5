package controller

import (
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/rs/zerolog"
)

// newRaftLogger passes raft's log lines on: warnings, and everything where the log has level debug.
func newRaftLogger(log zerolog.Logger) hclog.Logger {
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: raftLogWriter{log}, DisableTime: true})
	if log.GetLevel() <= zerolog.DebugLevel {
		logger.SetLevel(hclog.Debug)
	}
	return logger
}

// raftLogWriter writes raft's log lines as lines of the controller's log.
type raftLogWriter struct{ logger zerolog.Logger }

// Write takes one line. What raft calls an error is a warning here: most often another controller does not answer.
func (w raftLogWriter) Write(text []byte) (int, error) {
	line := strings.TrimSpace(string(text))
	level := zerolog.DebugLevel
	if strings.HasPrefix(line, "[WARN] ") || strings.HasPrefix(line, "[ERROR]") {
		level = zerolog.WarnLevel
	}
	w.logger.WithLevel(level).Str("event", "raft").Str("line", line).Msg("raft library line")
	return len(text), nil
}
