package balancer

import "testing"

func TestRouting_SkipsBackendsThatAreNotReady(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		b := newFixture(nil)
		backend := b.addBackend(1, 1, 0)
		listing := backend.Endpoint
		listing.State = state
		b.OnEndpoint(b.now, backend, listing)
		b.request(idempotent)
		check(t, "attempts", len(b.host.started), 0)
	}
}

// TestRouting_PinnedRequestFollowsItsInstance: a pinned request goes only to the backend of its instance. If that
// backend refuses the request, the request goes there again after a pause. The request waits while the instance runs
// nowhere. Refused pinned requests eject no backend and lower no limit.
func TestRouting_PinnedRequestFollowsItsInstance(t *testing.T) {
	b := newFixture(nil)
	first, second := b.addBackend(1, 1, 0), b.addBackend(2, 1, 0)
	for range 30 {
		request := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: second}
		b.OnRequest(b.now, request)
		check(t, "backend of the attempt", b.host.started[len(b.host.started)-1].Backend, second)
		b.finish(request, Succeeded)
	}
	request := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: second}
	b.OnRequest(b.now, request)
	n, limit := len(b.host.started), b.concurrencyLimit
	b.finish(request, AtCapacity)
	check(t, "attempts, before the pause has passed", len(b.host.started), n)
	b.advance(Second / 10)
	check(t, "attempts, after the pause", len(b.host.started), n+1)
	b.finish(request, AtCapacity)
	request.PinnedTo = first
	b.OnInstancesMoved(b.now)
	check(t, "attempts, after the instance moved", len(b.host.started), n+2)
	check(t, "backend of the attempt", b.host.started[n+1].Backend, first)
	b.finish(request, Succeeded)
	check(t, "limit", b.concurrencyLimit >= limit, true)
	for range 40 {
		request := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: second}
		b.OnRequest(b.now, request)
		b.finish(request, AtCapacity)
		request.state = requestAnswered
	}
	check(t, "ejected", second.ejected, false)
	nowhere := &Request{Deadline: b.now + 2*Second, Pinned: true}
	n = len(b.host.started)
	b.OnRequest(b.now, nowhere)
	b.advance(Second)
	check(t, "attempts, while the instance runs nowhere", len(b.host.started), n)
	_, rejected := b.host.rejected[nowhere]
	check(t, "rejected while the instance runs nowhere", rejected, true)
}

// TestRouting_RecordsRefusal: a request that no backend takes records the highest value of Refusal. This is the refusal
// by the backend that passed the most checks.
func TestRouting_RecordsRefusal(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
		set    func(b *fixture, backend *Backend)
		want   Refusal
	}{
		{"taken", nil, func(*fixture, *Backend) {}, NotRefused},
		{"limit", nil, func(b *fixture, _ *Backend) { b.concurrencyLimit = 0 }, RefusedByLimit},
		{"draining", nil, func(b *fixture, backend *Backend) {
			b.OnEndpoint(b.now, backend, Endpoint{State: Draining, Version: 1})
		}, RefusedByEndpoint},
		{"ejected", nil, func(b *fixture, backend *Backend) {
			backend.ejected, backend.nextProbationAttempt = true, b.now+Second
		}, RefusedByEjection},
		{"warming up", nil, func(b *fixture, backend *Backend) {
			backend.StartedAt, backend.lastWarmUpSend, backend.warmUpCreditNeeded = b.now, b.now, 1
		}, RefusedBySlowStart},
		{"at capacity", nil, func(b *fixture, backend *Backend) {
			backend.inFlight, backend.lastAnswer = 5, b.now
		}, RefusedByCapacity},
		{"canary without exposure", nil, func(b *fixture, _ *Backend) { b.status(1, 0, Canary, 0) }, RefusedByExposure},
		{"canary in a guarded stage", func(s *Settings) { s.Rollout.GuardedStages = 1 }, func(b *fixture, _ *Backend) {
			b.status(1, 0, Canary, 1)
		}, RefusedByExposure},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(c.change)
			b.status(1, 0, Released, 1)
			backend := b.addBackend(1, 1, 0)
			c.set(b, backend)
			r := b.request(withKey)
			check(t, "refusal", r.Refusal().String(), c.want.String())
			check(t, "started", len(r.attempts) > 0, c.want == NotRefused)
		})
	}
}
