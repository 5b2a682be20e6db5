package leases

import "silvercove/internal/tick"

// Timings are the timeouts and intervals of the controllers and their clients. All are derived from the lease duration: after a
// leader fails, the controllers must elect a new one and the nodes must renew their leases with it before the leases expire. On
// average, half a lease duration is left for the election and the renewals.
type Timings struct {
	HeartbeatTimeout         tick.Tick // a follower starts an election after this long without a heartbeat
	CommitInterval           tick.Tick // longest time until followers learn what has been agreed
	ConfirmTimeout           tick.Tick // longest time for a majority to confirm the leadership
	ProposalTimeout          tick.Tick // maximum time for an operation to be agreed; when it has passed, the caller is told that there is no majority
	NodeUpdateInterval       tick.Tick // shortest interval between two node updates to a watching client; one update contains all changes since the previous one
	AssignmentUpdateInterval tick.Tick // shortest interval between two assignment updates to a watching client; one update contains all changes since the previous one
	RetryDelayMin            tick.Tick // first delay between two attempts of a client, doubled after each attempt
	RetryDelayMax            tick.Tick // upper limit of the delay between two attempts of a client
}

// Limits of Timings.CommitInterval.
const (
	commitIntervalMin = tick.Second / 1000
	commitIntervalMax = tick.Second / 20
)

// TimingsFor returns the timings for a lease duration.
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
