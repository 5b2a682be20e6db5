package relay

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"silvercove/internal/standin/backends"
)

// TestCompleteList_OmitsBusyBackend checks that a complete list is applied if discovery answers a poll with it instead
// of with changes. The list omits a backend with a request in flight. That request must get its one response on its
// connection, and new requests must go to other backends.
func TestCompleteList_OmitsBusyBackend(t *testing.T) {
	first, second := newBlockingBackend(t, "s-1"), newBlockingBackend(t, "s-2")
	second.release()
	s := newScriptedDiscovery(t, first.entry("up"))
	_, listen, done := startWithDiscovery(t, s)
	atWork := send(listen, "first")
	backends.Eventually(t, "the backend has the request", func() bool { return first.queries.Load() == 1 })
	s.publish(t, true, second.entry("up"))
	wantAnswer(t, "the next request", send(listen, "next"), 1, 0)
	first.release()
	wantAnswer(t, "the request at work", atWork, 1, 0)
	for i := range 8 { // the backend that the list omits would now answer at once, but must get none of these requests
		wantAnswer(t, "a request", send(listen, fmt.Sprint("c", i, "-")), 1, 0)
	}
	if a, b := first.queries.Load(), second.queries.Load(); a != 1 || b != 9 {
		t.Errorf("the backends received %d and %d queries", a, b)
	}
	done()
}

// TestCompleteList_Empty checks that an empty complete list is applied. A request in flight must end as usual. A new
// request must be rejected within its deadline and never be sent to a backend. After the next list, requests must be
// served again.
func TestCompleteList_Empty(t *testing.T) {
	u := newBlockingBackend(t, "s-1")
	s := newScriptedDiscovery(t, u.entry("up"))
	_, listen, done := startWithDiscovery(t, s)
	atWork := send(listen, "first")
	backends.Eventually(t, "the backend has the request", func() bool { return u.queries.Load() == 1 })
	s.publish(t, true)
	u.release()
	wantAnswer(t, "the request at work", atWork, 1, 0)
	wantAnswer(t, "a request with no backend", send(listen, "nobody"), 0, 1)
	if n := u.queries.Load(); n != 1 {
		t.Errorf("the backend received %d queries", n)
	}
	s.publish(t, true, u.entry("up"))
	wantAnswer(t, "a request after it", send(listen, "again"), 1, 0)
	if n := u.queries.Load(); n != 2 {
		t.Errorf("the backend received %d queries", n)
	}
	done()
}

// TestDiscoveryMove_WhileBackendsDrain changes the discovery address by SIGHUP. At that time, the old agent is silent,
// and a backend drains with a request in flight. The new agent, which numbers its versions differently, drains a second
// backend. The request in flight must get its one response, and neither draining backend may get another request.
func TestDiscoveryMove_WhileBackendsDrain(t *testing.T) {
	first, second, third := newBlockingBackend(t, "s-1"), newBlockingBackend(t, "s-2"), newBlockingBackend(t, "s-3")
	second.release()
	third.release()
	s := newScriptedDiscovery(t, first.entry("up"))
	next := newScriptedDiscovery(t, first.entry("draining"), second.entry("draining"), third.entry("up"))
	next.seq = 2
	replace, listen, done := startWithDiscovery(t, s)
	atWork := send(listen, "first")
	backends.Eventually(t, "the backend has the request", func() bool { return first.queries.Load() == 1 })
	s.publish(t, false, first.entry("draining"), second.entry("up"), third.entry("up"))
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	replace(configText(next.Listener.Addr().String(), next.Listener.Addr().String(), page(3, true, first.entry("up"))))
	sendSignal(t, os.Getpid(), syscall.SIGHUP)
	next.waitApplied(t)
	before := second.queries.Load()
	for i := range 5 {
		wantAnswer(t, "a request", send(listen, fmt.Sprint("c", i, "-")), 1, 0)
	}
	first.release()
	wantAnswer(t, "the request at work", atWork, 1, 0)
	if a, b, c := first.queries.Load(), second.queries.Load()-before, third.queries.Load(); a != 1 || b != 0 || c != 5 {
		t.Errorf("the backends received %d, %d and %d queries", a, b, c)
	}
	done()
}
