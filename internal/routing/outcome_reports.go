package routing

import (
	"context"
	"maps"
	"slices"
	"time"

	"silvercove/internal/controllerclient"
)

// reportInterval is the time between two reports of outcomes to the controllers, and the timeout of one report.
const reportInterval = time.Second

// OutcomeReporter sends reports of outcomes to the controllers. A *controllerclient.Client implements it.
type OutcomeReporter interface {
	ReportOutcomes(ctx context.Context, report controllerclient.OutcomeReport) error
}

// Report reports the outcomes of requests at edge nodes to the controllers until the context ends, and then returns
// nil. If a report fails, its outcomes are dropped and not sent again, because they
// describe only the state at that time.
func (a *OverloadAgent) Report(ctx context.Context, to OutcomeReporter) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		report := a.takeOutcomes()
		if len(report.Nodes) == 0 && report.RolloutState == "" {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, reportInterval)
		err := to.ReportOutcomes(callContext, report)
		cancel()
		if err != nil && ctx.Err() == nil {
			a.log.Debug().Err(err).Msg("outcomes not reported")
		}
	}
}

// takeOutcomes returns a report of the outcomes since its last call, sorted by edge node. The report also has the
// newest software version and the state of its rollout.
func (a *OverloadAgent) takeOutcomes() controllerclient.OutcomeReport {
	a.mu.Lock()
	outcomes, stage := a.outcomes, a.stage
	a.outcomes = make(map[string]*controllerclient.NodeOutcomes, len(outcomes))
	a.mu.Unlock()
	nodes := make([]controllerclient.NodeOutcomes, 0, len(outcomes))
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		nodes = append(nodes, *outcomes[name])
	}
	return controllerclient.OutcomeReport{Nodes: nodes, SoftwareVersion: stage.Version, RolloutState: stage.Phase}
}
