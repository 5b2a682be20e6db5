package fleetsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/placement"
	"silvercove/internal/standin/testcluster"
)

// logEvent adds an event to the digest and, if Size.KeepTimeline is set, to the timeline.
func (f *Fleet) logEvent(e testcluster.Event) {
	e.At = timelineStart.Add(f.now.Duration())
	_, _ = fmt.Fprintf(f.digest, "%d %s %s\n", f.now, e.Node, e.Text())
	if f.KeepTimeline {
		f.timeline = append(f.timeline, e)
	}
}

var timelineStart = time.Unix(0, 0)

// Digest returns a hash of the timeline. Runs with the same seed have the same digest.
func (f *Fleet) Digest() uint64 { return f.digest.Sum64() }

// Timeline draws the events of the run with one column per process.
func (f *Fleet) Timeline() string {
	columns := []string{"script"}
	for _, k := range f.cluster.controllers {
		columns = append(columns, k.endpoint.name)
	}
	for _, u := range f.nodes {
		if !slices.Contains(columns, u.displayName) {
			columns = append(columns, u.displayName)
		}
	}
	for _, r := range f.relays {
		columns = append(columns, r.endpoint.name)
	}
	return testcluster.Draw(columns, timelineStart, f.timeline)
}

// recordDecision adds two keys to the coverage for a decision for an instance. The first key is the pair of the instance's
// previous decision and this decision. The second key is this pair together with the state of the assignment and, if
// KeepTimeline is set, the kinds of faults under way.
func (f *Fleet) recordDecision(name string, decision uint8, assignment placement.Assignment) {
	before := f.lastDecision[name]
	f.lastDecision[name] = decision
	kinds := uint64(0)
	if f.KeepTimeline {
		for kind := range f.activeFaults {
			kinds += xxhash.Sum64String(kind) // a sum does not depend on the order of the map
		}
	}
	replicaCount := min(3, len(assignment.Replicas))
	key := fmt.Sprintf("%d %d %d %v %v %d", before, decision, replicaCount, assignment.CopyTarget != "", assignment.State, kinds)
	f.coverage[xxhash.Sum64String(key)] = struct{}{}
	f.coverage[uint64(before)<<8|uint64(decision)] = struct{}{}
}

// decisions lists the agreed operations and the actions of nodes. Coverage keys hold the index of a decision in this list.
var decisions = []string{"", string(placement.OpCreate), string(placement.OpStartCopy), "move", string(placement.OpReplicaReady),
	string(placement.OpDropReplica),
	string(placement.OpCutOver), string(placement.OpCancelCopy), string(placement.OpFailOver), "fail-lost", string(placement.OpRestart), string(placement.OpMoveDevice),
	string(placement.OpResetFailures), string(placement.OpMarkServed), string(placement.OpReportIncomplete), string(placement.OpQuarantine), string(placement.OpRelease),
	string(placement.OpDelete), "acts", "stops", "drops", "refused"}

// decision returns the number of the decision with the given name.
func decision(name string) uint8 { return uint8(slices.Index(decisions, name)) }

// Pairs returns the pairs of decisions that followed each other directly for any one instance during the run.
func (f *Fleet) Pairs() (all []string) {
	for key := range f.coverage {
		if key < 1<<16 {
			all = append(all, decisions[key>>8]+">"+decisions[key&255])
		}
	}
	slices.Sort(all)
	return all
}

// reasonTitle shortens a reason for the timeline. If the reason is longer than 24 bytes, only the part before its first colon
// remains.
func reasonTitle(text string) string {
	if first, _, ok := strings.Cut(text, ":"); ok && len(text) > 24 {
		return first
	}
	return text
}
