package balancer

import "slices"

// If the discovery service sends the endpoint list only on request, the relay asks for it until a call has succeeded.
// The pauses between calls double up to a bound and have random jitter.
//
// Inputs: the poll interval of the settings, and whether the last call succeeded.
//
// Backoff guards against an overloaded discovery service, which rejects calls. Relays ask less and less often, and
// relays that were rejected together do not ask again together. The site holds a relay responsible for a change of the
// list from 6 s after the discovery service has the change (docs/fleet.md). Pauses last at most 4 s, which leaves two
// seconds for a call.

const (
	// maxPollInterval is the longest mean pause between calls. Jitter adds up to a quarter of it.
	maxPollInterval = 16 * Second / 5
	// initialPollInterval is the mean pause after the first call that failed.
	initialPollInterval = Second / 2
	// initialPollJitter is the upper bound of the pause after the first call that failed. The length of this pause is
	// random.
	initialPollJitter = Second
)

// endpointPolling holds when to ask for the endpoint list.
type endpointPolling struct {
	listSynced   bool // whether the first list has arrived completely
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

// pollIfDue asks for changes of the list if the next call is due, and schedules the call after it.
func (b *Balancer) pollIfDue() {
	if b.polling && b.now >= b.nextPoll {
		b.host.WatchEndpoints(true)
		b.schedulePoll()
	}
}

// schedulePoll doubles the poll interval up to its bound and draws the time of the next call around the end of that
// interval.
func (b *Balancer) schedulePoll() {
	longest := max(Second, b.settings.Endpoints.PollInterval.Ticks()/2)
	b.pollInterval = min(2*b.pollInterval, longest, maxPollInterval)
	b.nextPoll = b.now + b.pollInterval*3/4 + Tick(b.random.intN(int(b.pollInterval/2)))
}

// OnListSynced handles the end of an update of the endpoint list. If ok is false, the call for the update has failed.
func (b *Balancer) OnListSynced(now Tick, ok bool) {
	b.now = now
	if ok && !b.listSynced && b.evaluation != nil {
		// While the first list arrives, backends are added one by one. If the evaluation started in that time,
		// startEvaluation counted only some of them. The count made now includes backends that already run the canary.
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

// OnEndpoint handles the endpoint list's entry for a backend.
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

// resetHistory drops what is known of a backend whose process was replaced.
func (backend *Backend) resetHistory(now Tick) {
	backend.successTimes, backend.recentFailures, backend.relativeLatencies = nil, nil, nil
	backend.warmUpSends = nil
	backend.failureWealth, backend.ejected, backend.probationInterval = 1, false, 0
	backend.lastAnswer, backend.waitingSince = now, now
}

// applyListing inserts a ready backend into the parameter backends at the given position, unless the parameter contains
// the backend already. If the backend is not ready, applyListing removes it.
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
