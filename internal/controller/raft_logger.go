package controller

import (
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/rs/zerolog"
)

// newRaftLogger returns a logger that forwards raft's log lines to log: warnings and errors only, or all lines if log has level
// debug.
func newRaftLogger(log zerolog.Logger) hclog.Logger {
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: raftLogWriter{log}, DisableTime: true})
	if log.GetLevel() <= zerolog.DebugLevel {
		logger.SetLevel(hclog.Debug)
	}
	return logger
}

// raftLogWriter writes raft's log lines to the controller's log.
type raftLogWriter struct{ logger zerolog.Logger }

// Write writes one line. An error of raft is logged as a warning: most often, the cause is another controller that does not
// answer.
func (w raftLogWriter) Write(text []byte) (int, error) {
	line := strings.TrimSpace(string(text))
	level := zerolog.DebugLevel
	if strings.HasPrefix(line, "[WARN] ") || strings.HasPrefix(line, "[ERROR]") {
		level = zerolog.WarnLevel
	}
	w.logger.WithLevel(level).Str("event", "raft").Str("line", line).Msg("raft library line")
	return len(text), nil
}
