package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/evidence"
)

// evidenceSaver owns the evidence store, which records the outcomes of each version. If the settings name a file, it saves
// the store there, and gives the balancer the counts of the canary from before a restart.
type evidenceSaver struct {
	settings   evidenceSettings
	store      *evidence.Store // guarded by the dispatcher's lock, as the dispatcher records outcomes in it
	dispatcher *dispatch.Dispatcher
	log        zerolog.Logger

	// pending holds the canary's counts from before the restart until the balancer has received them. It is used by
	// newRelay, and then only by the goroutine in run.
	pending canaryCounts
}

// canaryCounts holds the outcomes and failures of a version, indexed by request class.
type canaryCounts struct {
	version  uint16
	outcomes []int
	failures []int
}

// newEvidenceSaver creates a saver and loads the file that an earlier process has saved, if there is one. The caller sets
// the dispatcher after creating it.
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

// prepareRestore sets pending to the canary's counts from the loaded file, before new outcomes are recorded. It leaves
// pending empty if no version is being tested, and logs a warning if the file could not be loaded.
func (s *evidenceSaver) prepareRestore(stage dispatch.RolloutStage) {
	if s.store.LoadError != "" {
		s.log.Warn().Str("path", s.settings.path).Str("error", s.store.LoadError).Msg("evidence file not loaded")
	}
	if stage.Phase != "testing" {
		return
	}
	s.pending.version = stage.Version
	s.dispatcher.WithLock(func() {
		s.pending.outcomes, s.pending.failures = s.store.DecayedCounts(wallClockTick(time.Now()), stage.Version, s.settings.halfLife)
	})
}

// wallClockTick converts a time to the clock of the evidence store: ticks of 100 microseconds since 1970.
func wallClockTick(at time.Time) balancer.Tick {
	const microsecondsPerTick = 100
	return balancer.Tick(at.UnixMicro() / microsecondsPerTick)
}

// restore gives the pending counts to the balancer. run calls it only after the first save interval, as the balancer
// first needs outcomes of the stable version to compare them with.
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

// run saves the evidence at each save interval until the context ends, and then once more. Of several failed writes in a
// row, only the first is logged. It returns nil.
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

// save writes a snapshot of the store to the file.
func (s *evidenceSaver) save() error {
	var snapshot []byte
	s.dispatcher.WithLock(func() { snapshot = s.store.Snapshot() })
	return evidence.Save(s.settings.path, snapshot)
}
