package benchadapter

import (
	"fmt"

	"silvercove/balancer"
	"silvercove/internal/settings"
)

// instance is one balancer, with the tables that map the wire's IDs of requests and backends to the balancer's objects. It
// implements balancer.Host; see actions.go.
type instance struct {
	number       uint32
	out          *writer // shared by all instances of the process, since all actions of a batch go into one reply
	balancer     *balancer.Balancer
	classes      int                     // number of request classes in the settings
	requests     map[uint64]*openRequest // requests that later events may still refer to, by ID
	backends     map[uint32]*balancer.Backend
	backendOrder []uint32 // IDs of the backends in the order in which they were first listed
}

// openRequest is a request that later events may still refer to.
type openRequest struct {
	request  *balancer.Request
	attempts []*balancer.Attempt
	inFlight int  // number of attempts without an outcome
	answered bool // whether the request has its final answer or its client is gone
}

// newInstance creates an instance from a start event and starts its balancer.
func newInstance(out *writer, now balancer.Tick, number uint32, event startEvent) (*instance, error) {
	site, err := settings.Read(event.settings)
	if err != nil {
		return nil, err
	}
	i := &instance{
		number:   number,
		out:      out,
		classes:  len(site.Balancer.Classes),
		requests: map[uint64]*openRequest{},
		backends: map[uint32]*balancer.Backend{},
	}
	i.balancer = balancer.New(i, now, event.seed, site.Balancer)
	return i, nil
}

// handle reads one event of this instance and passes it to the balancer. An event about a request, attempt or backend
// that the instance does not know, or no longer keeps, has no effect.
func (i *instance) handle(r *reader, now balancer.Tick, code eventCode, lists *endpointLists) error {
	switch code {
	case eventEndpointUpdate:
		if event := r.endpointUpdateEvent(); r.err == nil {
			return i.updateEndpoints(now, event, lists)
		}
	case eventRequest:
		if event := r.requestEvent(); r.err == nil {
			return i.onRequest(now, event)
		}
	case eventStreamStart:
		if event := r.streamStartEvent(); r.err == nil {
			i.onStreamStart(now, event)
		}
	case eventOutcome:
		if event := r.outcomeEvent(); r.err == nil {
			i.onOutcome(now, event)
		}
	case eventClientGone:
		if id := r.u64("corr"); r.err == nil {
			i.onClientGone(now, id)
		}
	case eventTimer:
		if tag := r.u32("tag"); r.err == nil {
			i.balancer.OnTimer(now, tag)
		}
	case eventProbe:
		if event := r.probeEvent(); r.err == nil {
			i.onProbe(now, event)
		}
	case eventGossip:
		if event := r.gossipEvent(); r.err == nil {
			i.balancer.OnGossip(now, event.sender, event.data)
		}
	case eventRelease:
		if status := r.releaseStatus(); r.err == nil {
			i.balancer.OnReleaseStatus(now, status)
		}
	case eventMetrics:
		if event := r.metricsEvent(); r.err == nil {
			i.onMetrics(now, event)
		}
	case eventWrongAnswer:
		if event := r.wrongAnswerEvent(); r.err == nil {
			i.onWrongAnswer(now, event)
		}
	}
	return nil
}

func (i *instance) onRequest(now balancer.Tick, event requestEvent) error {
	if event.class >= i.classes {
		return fmt.Errorf("class %d of %d", event.class, i.classes)
	}
	request := event.request()
	i.requests[request.ID] = &openRequest{request: request}
	i.balancer.OnRequest(now, request)
	return nil
}

// attempt returns the open request and the attempt that the ID names, or nil for both if the instance does not know the
// attempt.
func (i *instance) attempt(id attemptID) (*openRequest, *balancer.Attempt) {
	open := i.requests[id.request]
	if open == nil || id.number >= len(open.attempts) {
		return nil, nil
	}
	return open, open.attempts[id.number]
}

func (i *instance) onStreamStart(now balancer.Tick, event streamStartEvent) {
	if _, attempt := i.attempt(event.attempt); attempt != nil {
		i.balancer.OnStreamStart(now, attempt)
	}
}

func (i *instance) onOutcome(now balancer.Tick, event outcomeEvent) {
	open, attempt := i.attempt(event.attempt)
	if attempt == nil {
		return
	}
	open.inFlight--
	open.answered = open.answered || event.finalAnswer
	i.balancer.OnOutcome(now, attempt, event.outcome, event.elapsed, event.finalAnswer, event.load)
	i.dropIfFinished(event.attempt.request)
}

func (i *instance) onClientGone(now balancer.Tick, id uint64) {
	open := i.requests[id]
	if open == nil {
		return
	}
	open.answered = true
	i.balancer.OnClientGone(now, open.request)
	i.dropIfFinished(id)
}

func (i *instance) onProbe(now balancer.Tick, event probeEvent) {
	if backend := i.backends[event.backend]; backend != nil {
		i.balancer.OnProbe(now, backend, event.outcome, event.elapsed, event.load)
	}
}

func (i *instance) onMetrics(now balancer.Tick, event metricsEvent) {
	if event.class < i.classes {
		i.balancer.OnMetrics(now, event.version, event.class, event.attempts, event.failed, event.latency, event.age)
	}
}

func (i *instance) onWrongAnswer(now balancer.Tick, event wrongAnswerEvent) {
	if backend := i.backends[event.backend]; backend != nil && event.class < i.classes {
		i.balancer.OnWrongAnswer(now, backend, event.class, event.age)
	}
}

// dropIfFinished drops a request if it has its final answer and no attempt is in flight. No later event can refer to such
// a request.
func (i *instance) dropIfFinished(id uint64) {
	if open := i.requests[id]; open != nil && open.answered && open.inFlight <= 0 {
		delete(i.requests, id)
	}
}
