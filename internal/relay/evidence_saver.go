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
	rules      evidenceRules
	store      *evidence.Store // used under the dispatcher's lock, as the dispatcher records in it
	dispatcher *dispatch.Dispatcher
	log        zerolog.Logger

	// recalled is what was known of the canary before this start, until the balancer has it. It belongs to newRelay, and then
	// to the goroutine in run.
	recalled recalledEvidence
}

// recalledEvidence is what was known of a version; the slices have a place for each request class.
type recalledEvidence struct {
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
	s := &evidenceSaver{rules: *c.evidenceRules, store: evidence.New(classes), log: log}
	if s.rules.path != "" {
		s.store.Load(s.rules.path)
	}
	return s
}

// recall takes what was known of the canary before this start, before anything new comes.
func (s *evidenceSaver) recall(stage dispatch.RolloutStage) {
	if s.store.LoadError != "" {
		s.log.Warn().Str("path", s.rules.path).Str("error", s.store.LoadError).Msg("evidence lost")
	}
	if stage.Phase != "testing" {
		return
	}
	s.recalled.version = stage.Version
	s.dispatcher.WithLock(func() {
		s.recalled.outcomes, s.recalled.failures = s.store.DecayedCounts(wallClockTick(time.Now()), stage.Version, s.rules.halfLife)
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
	for class := range s.recalled.outcomes {
		outcomes += s.recalled.outcomes[class]
		failures += s.recalled.failures[class]
	}
	if outcomes > 0 {
		s.dispatcher.RestoreEvidence(s.recalled.version, s.recalled.outcomes, s.recalled.failures)
		s.log.Info().Uint16("version", s.recalled.version).Int("outcomes", outcomes).Int("failures", failures).
			Msg("evidence restored")
	}
	s.recalled.outcomes, s.recalled.failures = nil, nil
}

// run saves the evidence until the context ends, and then once more. Of writes that fail one after the other the first is
// logged.
func (s *evidenceSaver) run(ctx context.Context) error {
	if s.rules.path == "" {
		return nil
	}
	ticker := time.NewTicker(s.rules.saveInterval)
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
			s.log.Error().Str("path", s.rules.path).Err(err).Msg("evidence not saved")
		}
		failing = err != nil
	}
	return nil
}

func (s *evidenceSaver) save() error {
	var snapshot []byte
	s.dispatcher.WithLock(func() { snapshot = s.store.Snapshot() })
	return evidence.Save(s.rules.path, snapshot)
}
