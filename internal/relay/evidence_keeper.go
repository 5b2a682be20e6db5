package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/evidence"
)

// evidenceKeeper keeps what was seen of each version beside the balancer, and over a restart where the rules name a file.
type evidenceKeeper struct {
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

// newEvidenceKeeper makes a keeper and reads what an earlier process has saved. The dispatcher is set once it is made.
func newEvidenceKeeper(c Config, log zerolog.Logger) *evidenceKeeper {
	var classes []string
	for _, class := range c.site.Balancer.Classes {
		classes = append(classes, class.Name)
	}
	k := &evidenceKeeper{rules: *c.evidenceRules, store: evidence.New(classes), log: log}
	if k.rules.path != "" {
		k.store.Load(k.rules.path)
	}
	return k
}

// recall takes what was known of the canary before this start, before anything new comes.
func (k *evidenceKeeper) recall(stage dispatch.RolloutStage) {
	if k.store.LoadError != "" {
		k.log.Warn().Str("path", k.rules.path).Str("error", k.store.LoadError).Msg("evidence lost")
	}
	if stage.Phase != "testing" {
		return
	}
	k.recalled.version = stage.Version
	k.dispatcher.WithLock(func() {
		k.recalled.outcomes, k.recalled.failures = k.store.DecayedCounts(wallClockTick(time.Now()), stage.Version, k.rules.halfLife)
	})
}

// wallClockTick is a time of day as the evidence store counts it.
func wallClockTick(at time.Time) balancer.Tick {
	const microsecondsPerTick = 100
	return balancer.Tick(at.UnixMicro() / microsecondsPerTick)
}

// restore hands what was recalled to the balancer: not at once, as that first needs outcomes at the stable version to
// compare with.
func (k *evidenceKeeper) restore() {
	outcomes, failures := 0, 0
	for class := range k.recalled.outcomes {
		outcomes += k.recalled.outcomes[class]
		failures += k.recalled.failures[class]
	}
	if outcomes > 0 {
		k.dispatcher.RestoreEvidence(k.recalled.version, k.recalled.outcomes, k.recalled.failures)
		k.log.Info().Uint16("version", k.recalled.version).Int("outcomes", outcomes).Int("failures", failures).
			Msg("evidence restored")
	}
	k.recalled.outcomes, k.recalled.failures = nil, nil
}

// run saves the evidence until the context ends, and then once more. Of writes that fail one after the other the first is
// logged.
func (k *evidenceKeeper) run(ctx context.Context) error {
	if k.rules.path == "" {
		return nil
	}
	ticker := time.NewTicker(k.rules.saveInterval)
	defer ticker.Stop()
	failing := false
	for ended := false; !ended; {
		select {
		case <-ticker.C:
			k.restore()
		case <-ctx.Done():
			ended = true
		}
		err := k.save()
		if err != nil && !failing {
			k.log.Error().Str("path", k.rules.path).Err(err).Msg("evidence not saved")
		}
		failing = err != nil
	}
	return nil
}

func (k *evidenceKeeper) save() error {
	var snapshot []byte
	k.dispatcher.WithLock(func() { snapshot = k.store.Snapshot() })
	return evidence.Save(k.rules.path, snapshot)
}
