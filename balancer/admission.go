package balancer

import (
	"cmp"
	"slices"
)

// The rule: requests wait in one queue, by priority weight and then by the time when they lose their use, until a backend
// may take them. A request whose answer would hardly come in time any more is shed: it is answered at once.
//
// Inputs: the priority weight and the latency objective of the class, the deadline of the request, and the latencies of
// the class's last answers, in ticks.
//
// Guards against overload: seen as queues that grow until every answer is late; holds because what is late anyway takes no
// capacity, and what matters most is served first.

const (
	// maxBlockedPerPass ends a pass through the queue: after so many requests without a backend the others find none either,
	// but for the odd class, which waits for the next pass.
	maxBlockedPerPass = 4
	// lateAttemptInterval is how long a class may go without an answer or a try. A relay that turns away all that it gets for 4 s
	// on end counts as dead to its site (docs/fleet.md), so one request is tried well before.
	lateAttemptInterval = 3 * Second / 2
	// deadlineMargin is how long before the client stops waiting an answer has to be there: two timers, as the one that
	// finds a request late may come an interval late itself.
	deadlineMargin = 2 * timerInterval
)

// admission is the requests that wait.
type admission struct {
	queue    []*Request
	arrivals []Tick // requests received within rateWindow, retries of clients aside
}

// countArrival counts a request towards the relay's rate and the exposure of a canary.
func (b *Balancer) countArrival(r *Request) {
	e := b.exposureOf(r.Class)
	e.arrivals = append(e.arrivals, b.now)
	e.credit = min(e.credit+b.canaryFraction, max(1, b.settings.Rollout.ExposureFree))
	if !r.ClientRetry {
		b.arrivals = append(b.arrivals, b.now)
	}
}

// enqueue puts a request into the queue at its place, unless it is past saving.
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

// expectedLate tells whether a request could hardly be answered in time any more. One that had to wait is tried as long as
// nine in ten answers would be in time. One that has just come is tried as long as half of them would be.
func (b *Balancer) expectedLate(r *Request) bool {
	if b.now != r.receivedAt {
		return b.now >= r.usefulUntil-b.p90Latency[r.Class]
	}
	return b.now >= r.usefulUntil-b.medianLatency[r.Class]
}

// allowLateAttempt tells whether a request that is past saving is tried all the same, and counts that as a try of its class. It
// is one that has just come and whose answer may still be of use, while its class has had neither an answer nor such a try
// for lateAttemptInterval. Asked again at the same time the answer stays.
//
// Guards against a class that is turned away for good: seen as clients with little patience, after slow answers, that are
// never tried, so that no answer shows that backends are fast again; holds because one is tried each lateAttemptInterval.
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

// serveQueue routes what is queued, the most urgent first, until a few find no backend.
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

// shedLate answers what is queued and past saving; serveQueue drops it from the queue.
func (b *Balancer) shedLate() {
	for _, r := range b.queue {
		if r.state != requestAnswered && b.expectedLate(r) && !b.allowLateAttempt(r) {
			b.shed(r)
		}
	}
}

// shed answers a request at once, with a time to come back where clients honour one: half a latency objective and a drawn
// part of another half, so that those shed together do not come back together.
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

// Load is what is in flight or waits for a backend, in parts of what the relay allows itself: above 1 some waits. Requests
// whose instance runs nowhere wait for that alone, and do not count.
func (b *Balancer) Load() float64 {
	n := b.openAttempts()
	for _, r := range b.queue {
		if r.state != requestAnswered && (!r.Pinned || r.PinnedTo != nil) {
			n++
		}
	}
	return n / max(1, b.concurrencyLimit)
}
