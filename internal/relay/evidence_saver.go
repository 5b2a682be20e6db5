package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/evidence"
)

// evidenceSaver keeps what was seen of each version beside the balancer, and over a restart where the rules name a file.
type evidenceSaver struct {
	settings   evidenceSettings
	store      *evidence.Store // used under the dispatcher's lock, as the dispatcher records in it
	dispatcher *dispatch.Dispatcher
	log        zerolog.Logger

	// pending is what was known of the canary before this start, until the balancer has it. It belongs to newRelay, and then
	// to the goroutine in run.
	pending canaryCounts
}

// canaryCounts is what was known of a version; the slices have a place for each request class.
type canaryCounts struct {
	version  uint16
	outcomes []int
	failures []int
}

// newEvidenceSaver makes a saver and reads what an earlier process has saved. The dispatcher is set once it is made.
func newEvidenceSaver(c Config, log zerolog.Logger) *evidenceSaver {
	var classes []string
	for _, class := range c.site.Balancer.Classes {
		classes = append(classes, class.Name)
	}
	s := &evidenceSaver{settings: *c.evidenceSettings, store: evidence.New(classes), log: log}
	if s.settings.path != "" {
		s.store.Load(s.settings.path)
	}
	return s
}

// prepareRestore takes what was known of the canary before this start, before anything new comes.
func (s *evidenceSaver) prepareRestore(stage dispatch.RolloutStage) {
	if s.store.LoadError != "" {
		s.log.Warn().Str("path", s.settings.path).Str("error", s.store.LoadError).Msg("evidence lost")
	}
	if stage.Phase != "testing" {
		return
	}
	s.pending.version = stage.Version
	s.dispatcher.WithLock(func() {
		s.pending.outcomes, s.pending.failures = s.store.DecayedCounts(wallClockTick(time.Now()), stage.Version, s.settings.halfLife)
	})
}

// wallClockTick is a time of day as the evidence store counts it.
func wallClockTick(at time.Time) balancer.Tick {
	const microsecondsPerTick = 100
	return balancer.Tick(at.UnixMicro() / microsecondsPerTick)
}

// restore hands what was recalled to the balancer: not at once, as that first needs outcomes at the stable version to
// compare with.
func (s *evidenceSaver) restore() {
	outcomes, failures := 0, 0
	for class := range s.pending.outcomes {
		outcomes += s.pending.outcomes[class]
		failures += s.pending.failures[class]
	}
	if outcomes > 0 {
		s.dispatcher.RestoreEvidence(s.pending.version, s.pending.outcomes, s.pending.failures)
		s.log.Info().Uint16("version", s.pending.version).Int("outcomes", outcomes).Int("failures", failures).
			Msg("evidence restored")
	}
	s.pending.outcomes, s.pending.failures = nil, nil
}

// run saves the evidence until the context ends, and then once more. Of writes that fail one after the other the first is
// logged.
func (s *evidenceSaver) run(ctx context.Context) error {
	if s.settings.path == "" {
		return nil
	}
	ticker := time.NewTicker(s.settings.saveInterval)
	defer ticker.Stop()
	failing := false
	for ended := false; !ended; {
		select {
		case <-ticker.C:
			s.restore()
		case <-ctx.Done():
			ended = true
		}
		err := s.save()
		if err != nil && !failing {
			s.log.Error().Str("path", s.settings.path).Err(err).Msg("evidence not saved")
		}
		failing = err != nil
	}
	return nil
}

func (s *evidenceSaver) save() error {
	var snapshot []byte
	s.dispatcher.WithLock(func() { snapshot = s.store.Snapshot() })
	return evidence.Save(s.settings.path, snapshot)
}
