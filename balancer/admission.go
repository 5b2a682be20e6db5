package balancer

import (
	"cmp"
	"slices"
)

// Admission keeps the requests that wait for a backend in one queue. The queue is ordered by priority weight and,
// within one weight, by the time until which an answer is useful. A request that is expected to be answered too late is
// shed: the relay answers it at once.
//
// Inputs: the priority weight and the latency objective of the class, the deadline of the request, and the latencies of
// the class's last answers in ticks.
//
// Shedding guards against overload, in which queues grow until every answer is late. A request that would be answered
// late anyway is shed and takes no capacity. The requests with the highest weight are served first.

const (
	// maxBlockedPerPass is the number of requests that find no eligible backend before a pass through the queue ends.
	// Later requests in the queue rarely find a backend either. Those that could find one wait for the next pass.
	maxBlockedPerPass = 4
	// lateAttemptInterval is how long a class must have had neither an answer nor a late attempt before it may get a
	// late attempt (see allowLateAttempt). A site treats a relay that rejects every request for 4 s as dead
	// (docs/fleet.md), so one request is attempted well before 4 s have passed.
	lateAttemptInterval = 3 * Second / 2
	// deadlineMargin is how long before the deadline of a request its answer has to arrive. It is two timer intervals,
	// since the timer call that finds a request late may itself be one interval late.
	deadlineMargin = 2 * timerInterval
)

// admission holds the queued requests and the recent arrivals.
type admission struct {
	queue    []*Request
	arrivals []Tick // times of the requests received within rateWindow, without retries by clients
}

// countArrival counts a request towards the relay's arrival rate and towards the exposure of a canary.
func (b *Balancer) countArrival(r *Request) {
	e := b.exposureOf(r.Class)
	e.arrivals = append(e.arrivals, b.now)
	e.credit = min(e.credit+b.canaryFraction, max(1, b.settings.Rollout.ExposureFree))
	if !r.ClientRetry {
		b.arrivals = append(b.arrivals, b.now)
	}
}

// enqueue inserts a request into the ordered queue. It sheds the request instead if the request is expected to be late
// and allowLateAttempt does not allow a late attempt.
func (b *Balancer) enqueue(r *Request) {
	r.usefulUntil = min(r.Deadline-deadlineMargin, r.receivedAt+b.class(r).LatencyObjective.Ticks())
	if b.expectedLate(r) && !b.allowLateAttempt(r) {
		b.shed(r)
		return
	}
	r.state = requestQueued
	at, _ := slices.BinarySearchFunc(b.queue, r, func(other, _ *Request) int {
		return cmp.Or(cmp.Compare(r.priority, other.priority), cmp.Compare(other.usefulUntil, r.usefulUntil), -1)
	})
	b.queue = slices.Insert(b.queue, at, r)
}

// expectedLate reports whether a request is unlikely to be answered in time. A request that had to wait is attempted as
// long as nine in ten answers would be in time. A request that has just arrived is attempted as long as half of them
// would be.
func (b *Balancer) expectedLate(r *Request) bool {
	if b.now != r.receivedAt {
		return b.now >= r.usefulUntil-b.p90Latency[r.Class]
	}
	return b.now >= r.usefulUntil-b.medianLatency[r.Class]
}

// allowLateAttempt reports whether a request may be attempted although it is expected to be late. If so, it records the
// late attempt for the request's class. It allows a late attempt if the request has just arrived, an answer may still
// be useful, and the class has had neither an answer nor a late attempt for lateAttemptInterval. If it is called again
// for the same request at the same time, it returns the same result.
//
// Late attempts guard against a class that is rejected for good. Without late attempts, no request with a short
// deadline would be attempted after slow answers. No answer would then show that backends are fast again. One late
// attempt in each lateAttemptInterval can show it.
func (b *Balancer) allowLateAttempt(r *Request) bool {
	if b.now != r.receivedAt || b.now >= r.usefulUntil {
		return false
	}
	if !r.triedDespiteDelay && b.now <= b.lastAnswerOrLateAttempt[r.Class]+lateAttemptInterval {
		return false
	}
	r.triedDespiteDelay = true
	b.lastAnswerOrLateAttempt[r.Class] = b.now
	return true
}

// serveQueue routes the queued requests in order until maxBlockedPerPass of them have found no backend.
func (b *Balancer) serveQueue() {
	var blocked []*Request
	seen := 0
	for ; seen < len(b.queue) && len(blocked) < maxBlockedPerPass; seen++ {
		r := b.queue[seen]
		switch {
		case r.state == requestAnswered:
		case b.expectedLate(r) && !b.allowLateAttempt(r):
			b.shed(r)
		case b.route(r):
			r.state = requestInFlight
		default:
			blocked = append(blocked, r)
		}
	}
	b.queue = slices.Replace(b.queue, 0, seen, blocked...)
}

// shedLate sheds the queued requests that are expected to be late. serveQueue then removes them from the queue.
func (b *Balancer) shedLate() {
	for _, r := range b.queue {
		if r.state != requestAnswered && b.expectedLate(r) && !b.allowLateAttempt(r) {
			b.shed(r)
		}
	}
}

// shed answers a request at once: it rejects the request if a retry by the client is safe, and fails it otherwise. If
// clients honour a retry-after time (Limits.RetryAfter), a rejection names half a latency objective plus a random time
// of up to another half, but at most MaxRetryAfter. The random part keeps clients whose requests were shed at the same
// time from all retrying at the same time.
func (b *Balancer) shed(r *Request) {
	r.state = requestAnswered
	if !b.safeToReject(r) {
		b.host.Fail(r)
		return
	}
	retryAfter := Tick(0)
	if b.settings.Limits.RetryAfter {
		half := b.class(r).LatencyObjective.Ticks() / 2
		retryAfter = min(b.settings.Limits.MaxRetryAfter.Ticks(), half+Tick(b.random.intN(int(half)+1)))
	}
	b.host.Reject(r, retryAfter)
}

// Load returns the number of attempts in flight and of requests that wait for a backend, divided by the concurrency
// limit. If the load is above 1, some requests wait. A pinned request whose instance runs nowhere waits for that
// instance alone and does not count.
func (b *Balancer) Load() float64 {
	n := b.openAttempts()
	for _, r := range b.queue {
		if r.state != requestAnswered && (!r.Pinned || r.PinnedTo != nil) {
			n++
		}
	}
	return n / max(1, b.concurrencyLimit)
}
