package leases

import "silvercove/internal/tick"

// Timings are the controllers' own spans, all parts of a lease: a new leader has to be found, and nodes to renew with it,
// before their leases are over, where half of one is left on the average.
type Timings struct {
	HeartbeatTimeout         tick.Tick // without a heartbeat for so long a follower looks for a new leader
	CommitInterval           tick.Tick // followers hear of what is agreed at least so often
	ConfirmTimeout           tick.Tick // for a majority to confirm the lead
	ProposalTimeout          tick.Tick // for an operation to be agreed, or the caller is told that the majority is gone
	NodeUpdateInterval       tick.Tick // changes of nodes are told together, so often at most
	AssignmentUpdateInterval tick.Tick // and those of assignments
	RetryDelayMin            tick.Tick // of a client, doubled each time
	RetryDelayMax            tick.Tick
}

// Bounds of the commit interval.
const (
	commitIntervalMin = tick.Second / 1000
	commitIntervalMax = tick.Second / 20
)

// TimingsFor returns the spans for a lease.
func TimingsFor(config Config) Timings {
	lease := config.Duration()
	return Timings{
		HeartbeatTimeout:         lease / 4,
		CommitInterval:           min(max(lease/20, commitIntervalMin), commitIntervalMax),
		ConfirmTimeout:           lease / 3,
		ProposalTimeout:          2 * lease,
		NodeUpdateInterval:       lease / 10,
		AssignmentUpdateInterval: lease / 500,
		RetryDelayMin:            lease / 20,
		RetryDelayMax:            lease / 4,
	}
}
