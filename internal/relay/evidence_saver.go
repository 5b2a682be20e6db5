package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/evidence"
)

// evidenceSaver owns the evidence store, which holds the counted outcomes of each version. If the settings name an
// evidence file, evidenceSaver writes the store to the file. After a restart, it passes the canary's counts in the file
// to the balancer.
type evidenceSaver struct {
	settings   evidenceSettings
	store      *evidence.Store // guarded by the dispatcher's lock, under which the dispatcher records outcomes
	dispatcher *dispatch.Dispatcher
	log        zerolog.Logger

	// pending holds the canary's counts that an earlier process saved, until the balancer has received them. newRelay
	// sets pending; after that, only the goroutine in run uses it.
	pending canaryCounts
}

// canaryCounts holds the numbers of outcomes and failures of the canary version. The index is the request class.
type canaryCounts struct {
	version  uint16
	outcomes []int
	failures []int
}

// newEvidenceSaver creates a saver and loads the evidence file, if an earlier process has written one. The caller must
// then set the field dispatcher.
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

// prepareRestore sets pending to the canary's counts in the loaded file. newRelay calls it before the relay records new
// outcomes, so that pending includes none of them. If no version is being tested, pending stays empty. prepareRestore
// logs a warning if the file could not be loaded.
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

// wallClockTick converts a time to a tick of the evidence store's clock, which counts units of 100 microseconds since
// 1970.
func wallClockTick(at time.Time) balancer.Tick {
	const microsecondsPerTick = 100
	return balancer.Tick(at.UnixMicro() / microsecondsPerTick)
}

// restore gives the pending counts to the balancer. The balancer compares them with outcomes of the stable version, so
// it must have such outcomes first. run therefore calls restore only after the first save interval.
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

// run saves the evidence at each save interval, and once more when the context ends. If several writes in a row fail, it
// logs only the first failure. It returns nil.
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
