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

// TestRouting_PinnedRequestFollowsItsInstance: to that backend alone, after a pause once it was refused, and it waits while
// the instance runs nowhere; refusals of pinned requests eject no backend and lower no limit.
func TestRouting_PinnedRequestFollowsItsInstance(t *testing.T) {
	b := newFixture(nil)
	one, two := b.addBackend(1, 1, 0), b.addBackend(2, 1, 0)
	for range 30 {
		c := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: two}
		b.OnRequest(b.now, c)
		check(t, "to", b.host.started[len(b.host.started)-1].Backend, two)
		b.finish(c, Succeeded)
	}
	c := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: two}
	b.OnRequest(b.now, c)
	n, limit := len(b.host.started), b.concurrencyLimit
	b.finish(c, AtCapacity)
	check(t, "sent again at once", len(b.host.started), n)
	b.advance(Second / 10)
	check(t, "sent again after a pause", len(b.host.started), n+1)
	b.finish(c, AtCapacity)
	c.PinnedTo = one
	b.OnInstancesMoved(b.now)
	check(t, "sent where it runs now", len(b.host.started), n+2)
	check(t, "to", b.host.started[n+1].Backend, one)
	b.finish(c, Succeeded)
	check(t, "limit", b.concurrencyLimit >= limit, true)
	for range 40 {
		c := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: two}
		b.OnRequest(b.now, c)
		b.finish(c, AtCapacity)
		c.answered = true
	}
	check(t, "ejected", two.ejected, false)
	nowhere := &Request{Deadline: b.now + 2*Second, Pinned: true}
	n = len(b.host.started)
	b.OnRequest(b.now, nowhere)
	b.advance(Second)
	check(t, "sent while it runs nowhere", len(b.host.started), n)
	_, rejected := b.host.rejected[nowhere]
	check(t, "rejected when its target is lost", rejected, true)
}
