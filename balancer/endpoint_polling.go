package balancer

import "slices"

// The rule: where the endpoint list comes only to those who ask, it is asked for until a call has succeeded, after pauses
// that double and are drawn.
//
// Inputs: the settings' poll interval, whether the last call succeeded.
//
// Guards against a discovery service that is overbooked: seen as calls that are turned away; holds because relays ask
// less and less often, and those that were turned away together do not come again together. A relay
// answers for a change of the list from 6 s after discovery has it (docs/fleet.md), so the pause has a bound that leaves a
// call two seconds.

const (
	// maxPollInterval is the longest pause in the middle; up to a quarter more is drawn.
	maxPollInterval = 16 * Second / 5
	// initialPollInterval is the pause after the first call that failed.
	initialPollInterval = Second / 2
	// initialPollJitter is drawn beside the first pause's end.
	initialPollJitter = Second
)

// endpointPolling is when to ask for the endpoint list.
type endpointPolling struct {
	listSynced   bool // the first list is complete
	polling      bool
	nextPoll     Tick
	pollInterval Tick
}

func (b *Balancer) startPolling() {
	if b.settings.Discovery != DiscoverySubscribe {
		return
	}
	b.host.WatchEndpoints(true)
	b.polling, b.pollInterval = true, maxPollInterval
	b.schedulePoll()
}

// pollIfDue asks for changes of the list, less often each time.
func (b *Balancer) pollIfDue() {
	if b.polling && b.now >= b.nextPoll {
		b.host.WatchEndpoints(true)
		b.schedulePoll()
	}
}

// schedulePoll draws the time of the next call, around a pause that doubles.
func (b *Balancer) schedulePoll() {
	longest := max(Second, b.settings.Endpoints.PollInterval.Ticks()/2)
	b.pollInterval = min(2*b.pollInterval, longest, maxPollInterval)
	b.nextPoll = b.now + b.pollInterval*3/4 + Tick(b.random.intN(int(b.pollInterval/2)))
}

// OnListSynced takes the end of one piece of news of the endpoint list, or that a call for it failed.
func (b *Balancer) OnListSynced(now Tick, ok bool) {
	b.now = now
	if ok && !b.listSynced && b.evaluation != nil {
		// At a start backends come one by one, and some of them run the canary already.
		b.evaluation.baselineBackends = float64(len(b.backends))
	}
	b.listSynced = b.listSynced || ok
	switch {
	case ok:
		b.polling = b.polling && now == b.startedAt
	case !b.polling:
		b.polling, b.pollInterval = true, initialPollInterval
		b.nextPoll = now + Tick(b.random.intN(int(initialPollJitter)))
	}
	b.serveQueue()
}

// OnEndpoint takes what the endpoint list says of a backend.
func (b *Balancer) OnEndpoint(now Tick, backend *Backend, endpoint Endpoint) {
	b.now = now
	if backend.listed && (endpoint.StartedAt != backend.StartedAt || endpoint.Version != backend.Version) {
		backend.resetHistory(now)
	}
	if !backend.listed || endpoint.StartedAt != backend.StartedAt {
		b.startSlowStart(backend)
	}
	backend.listed, backend.Endpoint = true, endpoint
	b.backends = applyListing(b.backends, backend, b.random.intN(len(b.backends)+1))
	if endpoint.State == Ready {
		b.startEvaluation(endpoint.Version)
	}
}

// resetHistory drops what is known of a backend that is another process now.
func (backend *Backend) resetHistory(now Tick) {
	backend.successTimes, backend.recentFailures, backend.relativeLatencies = nil, nil, nil
	backend.warmUpSends = nil
	backend.failureWealth, backend.ejected, backend.probationInterval = 1, false, 0
	backend.lastAnswer, backend.waitingSince = now, now
}

// applyListing puts a ready backend at a place of a list that lacks it, and takes out one that is not ready.
func applyListing(backends []*Backend, backend *Backend, position int) []*Backend {
	at := slices.Index(backends, backend)
	switch {
	case backend.State == Ready && at < 0:
		return slices.Insert(backends, position, backend)
	case backend.State != Ready && at >= 0:
		return slices.Delete(backends, at, at+1)
	}
	return backends
}
