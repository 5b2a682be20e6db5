package relay

import (
	"context"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/evidence"
)

// memory is what the relay keeps of builds beside the module, and over a restart where a path is named.
type memory struct {
	ledger *evidence.Store
	path   string
	every  time.Duration
	half   balancer.Tick

	build  uint16 // known from before this start, until the module has it
	n, bad []int
}

// newMemory makes one if an operator's file speaks of verdicts.
func newMemory(t Config) *memory {
	if t.verdicts == nil {
		return nil
	}
	var ops []string
	for _, class := range t.site.Balancer.Classes {
		ops = append(ops, class.Name)
	}
	seconds := func(name string) float64 { s, _ := t.verdicts[name].(float64); return s }
	m := &memory{ledger: evidence.New(ops), every: time.Duration(seconds("save") * float64(time.Second)),
		half: balancer.Tick(seconds("half_life") * float64(balancer.Second))}
	if m.path, _ = t.verdicts["ledger"].(string); m.path != "" {
		m.ledger.Load(m.path)
	}
	return m
}

// age takes what was known of the build on trial before this start, before anything new comes.
func (m *memory) age(r *relay, news dispatch.RolloutStage) {
	if m.ledger.LoadError != "" {
		r.log.Warn().Str("why", m.ledger.LoadError).Msg("what was known of builds is lost: the relay starts afresh")
	}
	if news.Phase == "testing" {
		m.build = news.Version
		r.gate.WithLock(func() {
			m.n, m.bad = m.ledger.DecayedCounts(balancer.Tick(time.Now().UnixMicro()/100), news.Version, m.half)
		})
	}
}

// recall hands it to the module: not at once, as the module first needs outcomes at the earlier build to hold
// it against.
func (m *memory) recall(r *relay) {
	total, wrong := 0, 0
	for i := range m.n {
		total, wrong = total+m.n[i], wrong+m.bad[i]
	}
	if total > 0 {
		r.gate.RestoreEvidence(m.build, m.n, m.bad)
		r.log.Info().Uint16("build", m.build).Int("outcomes", total).Int("failed", wrong).
			Msg("known from before the restart")
	}
	m.n, m.bad = nil, nil
}

// run writes the ledger until the context ends, and then once more.
func (m *memory) run(ctx context.Context, r *relay) error {
	if m.path == "" {
		return nil
	}
	beat := time.NewTicker(m.every)
	defer beat.Stop()
	failing := false
	for over := false; !over; {
		select {
		case <-beat.C:
			m.recall(r)
		case <-ctx.Done():
			over = true
		}
		var text []byte
		r.gate.WithLock(func() { text = m.ledger.Snapshot() })
		err := evidence.Save(m.path, text)
		if err != nil && !failing {
			r.log.Error().Err(err).Msg("what is known of builds cannot be written: a restart would lose it")
		}
		failing = err != nil
	}
	return nil
}
