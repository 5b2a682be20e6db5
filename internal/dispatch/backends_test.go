package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
)

// TestUpdateEndpoints_MemoryIsBoundedOverRollouts simulates a month of rollouts. Each rollout replaces all backends by
// backends with new names and addresses, while a request is in flight. The test guards against a dispatcher or balancer
// that keeps removed backends for ever: the number of kept backends has to stay at about twice the fleet, checked as at
// most three times the fleet, and the heap must not grow by more than maxGrown.
func TestUpdateEndpoints_MemoryIsBoundedOverRollouts(t *testing.T) {
	const (
		fleet    = 12
		rollouts = 3000
		maxGrown = 256 << 10 // maximum growth of the heap, in bytes
	)
	site := newSite(2, class("read", balancer.Idempotent, 1))
	site.Balancer.Rollout.ForwardOnly = true
	d := New(1, site, noopCallbacks())
	listed := func(version int, state string) (all []Endpoint) {
		for i := range fleet {
			name := fmt.Sprintf("u-%d-%d", version, i)
			all = append(all, Endpoint{Name: name, Address: name, State: state, Version: uint16(version)})
		}
		return all
	}
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	var before int64
	for version := 1; version <= rollouts; version++ {
		d.UpdateStage(releasedStage(uint16(version)))
		d.UpdateEndpoints(false, listed(version, "up"))
		call := accept(t, d, Request{Class: "read", Key: fmt.Sprint("key ", version), Timeout: time.Minute})
		attempt := d.Next(call).Attempt
		if attempt == nil {
			t.Fatalf("version %d: the request got no attempt", version)
		}
		d.UpdateEndpoints(false, listed(version-1, "removed"))
		if !d.Report(attempt, pgwire.StateSuccess, answered, nil) {
			t.Fatalf("version %d: the attempt did not succeed", version)
		}
		c := d.Snapshot()
		if c.Backends > 3*fleet || c.OpenRequests != 0 || c.InFlight != 0 || len(d.backendsByID) > 3*fleet {
			t.Fatalf("version %d: %d backends, %d IDs, %d open requests and %d attempts in flight are kept", version, c.Backends,
				len(d.backendsByID), c.OpenRequests, c.InFlight)
		}
		if version == rollouts/10 {
			before = heap()
		}
	}
	if grown := heap() - before; grown > maxGrown {
		t.Errorf("the heap grew by %d kB", grown>>10)
	}
}

// TestUpdateEndpoints_KeepsRemovedBackendForRetention: a backend that is listed again soon after its removal keeps its
// state. A backend with an attempt in flight is not dropped, even after the retention.
func TestUpdateEndpoints_KeepsRemovedBackendForRetention(t *testing.T) {
	site := newSite(2, class("read", balancer.Idempotent, 1))
	site.Balancer.SlowStart.Window = 0.2
	d := New(1, site, noopCallbacks())
	d.UpdateStage(releasedStage(1))
	d.UpdateEndpoints(true, readyEndpoints("first"))
	firstBackend := d.backends["first"]
	attempt := d.Next(accept(t, d, Request{Class: "read", Timeout: time.Minute})).Attempt
	d.UpdateEndpoints(true, nil)
	d.UpdateEndpoints(true, readyEndpoints("first"))
	if d.backends["first"] != firstBackend {
		t.Error("a backend that is listed again within its retention has lost its state")
	}
	d.UpdateEndpoints(true, nil)
	time.Sleep(250 * time.Millisecond) // longer than the retention
	d.UpdateEndpoints(true, nil)
	if d.backends["first"] == nil {
		t.Fatal("a backend was dropped with an attempt in flight")
	}
	d.Report(attempt, pgwire.StateSuccess, answered, nil)
	d.UpdateEndpoints(true, nil)
	if d.backends["first"] != nil || len(d.removed) != 0 {
		t.Error("a removed backend is kept after its retention")
	}
	d.UpdateEndpoints(true, readyEndpoints("second"))
	if len(d.backendsByID) != 1 || d.backends["second"].ID != 0 {
		t.Error("the ID of a dropped backend is not used again")
	}
}
