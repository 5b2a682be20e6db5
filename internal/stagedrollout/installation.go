package stagedrollout

import (
	"log/slog"
	"time"
)

// installTimeout is installWindow as a time.Duration.
const installTimeout = time.Duration(installWindow) * (time.Second / time.Duration(Second))

// OnReport records a server's report. running is the version that the server runs. triedVersion is the version that the
// server last tried to install, 0 if unknown. result is the result of that installation, InstallPending if unknown.
func (r *Rollout) OnReport(now Tick, s *Server, running, triedVersion uint16, result InstallResult) {
	s.running = running
	if triedVersion == r.version && s.assigned == r.version && result != InstallPending && r.version != r.releasedVersion {
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

// InstallResult is the result of an installation.
type InstallResult uint8

// The results of an installation.
const (
	InstallPending   InstallResult = iota // the installation has not ended, or its result is not known
	InstallSucceeded                      // the server runs the version
	InstallFailed                         // the installation failed; the server may retry later
	InstallDeclined                       // the server refuses the version and is excluded from it
)

// recordFailure rolls a server back after a failed installation, so that another server can be assigned the version in
// its place. The server may retry after a delay that doubles with each failure. After maxFailures failures the server
// is excluded.
func (r *Rollout) recordFailure(now Tick, s *Server) {
	s.failures++
	if s.failures >= maxFailures {
		s.excluded = true
		r.log("server failed too many installations and is excluded", s, slog.Int("failures", s.failures))
	}
	s.retryAt = now + min(maxRetryDelay, minRetryDelay<<(s.failures-1))
	r.rollBack(now, s)
}
