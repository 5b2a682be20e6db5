package stagedrollout

import (
	"log/slog"
	"time"
)

// installTimeout is installing as a duration.
const installTimeout = time.Duration(installWindow) * (time.Second / time.Duration(Second))

// OnReport takes a server's report: what it runs, and how an installation of a build went, if one ended.
func (w *Rollout) OnReport(now Tick, s *Server, running, tried uint16, ended InstallResult) {
	s.running = running
	if tried == w.version && s.assigned == w.version && ended != InstallPending && w.version != w.releasedVersion {
		bad := 1.0
		if ended == InstallSucceeded {
			bad = 0
		}
		w.results = append(w.results, bad)
		w.results = w.results[max(0, len(w.results)-recentResults):]
		switch ended {
		case InstallFailed:
			w.recordFailure(now, s)
		case InstallDeclined:
			s.excluded = true
			w.log("server declined the version and is excluded", s)
			w.rollBack(now, s)
		}
	}
	w.reconcile(now)
}

// log writes a warning about a server and the newest build.
func (w *Rollout) log(message string, s *Server, fields ...slog.Attr) {
	all := []slog.Attr{slog.String("server", s.Name), slog.Int("version", int(w.version))}
	w.host.Log(slog.LevelWarn, message, append(all, fields...)...)
}

// InstallResult tells how an installation ended.
type InstallResult uint8

// The endings of an installation.
const (
	InstallPending InstallResult = iota
	InstallSucceeded
	InstallFailed
	InstallDeclined
)

// recordFailure puts a server off: for longer each time, and for good after some. Its place goes to another.
func (w *Rollout) recordFailure(now Tick, s *Server) {
	s.failures++
	if s.failures >= maxFailures {
		s.excluded = true
		w.log("server failed too many installations and is excluded", s, slog.Int("failures", s.failures))
	}
	s.retryAt = now + min(maxRetryDelay, minRetryDelay<<(s.failures-1))
	w.rollBack(now, s)
}
