package stagedrollout

import (
	"log/slog"
	"time"
)

// installTimeout is installing as a duration.
const installTimeout = time.Duration(installWindow) * (time.Second / time.Duration(Second))

// OnReport records a server's report: the version it runs, and how the installation of a version ended, if one did.
func (r *Rollout) OnReport(now Tick, s *Server, running, tried uint16, result InstallResult) {
	s.running = running
	if tried == r.version && s.assigned == r.version && result != InstallPending && r.version != r.releasedVersion {
		failed := 1.0
		if result == InstallSucceeded {
			failed = 0
		}
		r.results = append(r.results, failed)
		r.results = r.results[max(0, len(r.results)-recentResults):]
		switch result {
		case InstallFailed:
			r.recordFailure(now, s)
		case InstallDeclined:
			s.excluded = true
			r.log("server declined the version and is excluded", s)
			r.rollBack(now, s)
		}
	}
	r.reconcile(now)
}

// log writes a warning about a server and the newest version.
func (r *Rollout) log(message string, s *Server, fields ...slog.Attr) {
	all := []slog.Attr{slog.String("server", s.Name), slog.Int("version", int(r.version))}
	r.host.Log(slog.LevelWarn, message, append(all, fields...)...)
}

// InstallResult is how an installation ended.
type InstallResult uint8

// The results of an installation.
const (
	InstallPending   InstallResult = iota // none has ended
	InstallSucceeded                      // the server runs the version
	InstallFailed                         // the server may retry later
	InstallDeclined                       // the server does not want the version
)

// recordFailure rolls a server back after a failed installation, with a retry delay that doubles; after maxFailures it is
// excluded. Another server is assigned the version in its place.
func (r *Rollout) recordFailure(now Tick, s *Server) {
	s.failures++
	if s.failures >= maxFailures {
		s.excluded = true
		r.log("server failed too many installations and is excluded", s, slog.Int("failures", s.failures))
	}
	s.retryAt = now + min(maxRetryDelay, minRetryDelay<<(s.failures-1))
	r.rollBack(now, s)
}
