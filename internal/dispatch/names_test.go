package dispatch

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
)

// unusualNames are names that are words of the settings, paths in them, or hard to print.
var unusualNames = []string{"window", "worth", "deadline", "read_like", "per_lane", "a.b", "limits.max_deliveries", " ", "\x00",
	"写真", fmt.Sprintf("%09999d", 0)}

// zoneDedupSite has one class, which is sent again within a zone alone.
func zoneDedupSite(className, column string, zones ...string) settings.Site {
	return settings.Site{
		Zones:        zones,
		MachineKinds: []string{column},
		Tenants:      []string{className},
		LoadColumns:  []string{column},
		Balancer: balancer.Settings{
			Relays:  1,
			Limits:  balancer.Limits{MaxAttempts: 3},
			Rollout: balancer.Rollout{ExposureWindow: 1},
			Classes: []balancer.RequestClass{{Name: className, Idempotency: balancer.IdempotentWithKey,
				DedupScope: balancer.DedupZone, DedupWindow: 5, LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}},
		},
	}
}

// TestAccept_FindsClassByExactName: each is found by its own name, no other.
func TestAccept_FindsClassByExactName(t *testing.T) {
	for _, name := range unusualNames {
		d := startDispatcher(t, zoneDedupSite(name, "queue", name), noopCallbacks())
		call, ok := d.Accept(Request{Class: name, Tenant: name, ReceivedAt: time.Now(), Timeout: time.Second})
		if !ok || call.request.Tenant != 0 {
			t.Errorf("%.20q is not taken as it is named", name)
		}
		for _, other := range append([]string{"", "crop"}, unusualNames...) {
			if _, ok := d.Accept(Request{Class: other}); ok && other != name {
				t.Errorf("%.20q is taken for %.20q", other, name)
			}
		}
	}
}

// TestNext_RetriesStayInDeduplicationZone: a zone that the settings lack is not the first of theirs, and no name is no zone. A request
// that may have run at a backend is sent again only where its repeats are dropped.
func TestNext_RetriesStayInDeduplicationZone(t *testing.T) {
	for _, c := range []struct {
		name, first, second string
		again               bool
	}{
		{"one of the settings", "east", "east", true}, {"two of the settings", "east", "west", false},
		{"one that the settings lack", "east", "north", false}, {"the same that they lack", "north", "north", true},
		{"two that they lack", "north", "south", false}, {"none", "", "", false}, {"the first and none", "east", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDispatcher(t, zoneDedupSite("crop", "queue", "east", "west"), noopCallbacks())
			in := func(zone, name string) []Endpoint {
				e := readyEndpoints(name)
				e[0].Zone = zone
				return e
			}
			d.UpdateEndpoints(true, in(c.first, "s-1"))
			call := accept(t, d, Request{Class: "crop", Timeout: 2 * time.Second})
			step := d.Next(call)
			if step.Attempt == nil || step.Attempt.Name != "s-1" {
				t.Fatalf("not sent: %+v", step)
			}
			d.UpdateEndpoints(false, in(c.second, "s-2"))
			d.Report(step.Attempt, "", reset, nil)
			step = d.Next(call)
			if got := step.Attempt != nil; got != c.again || got && step.Attempt.Name != "s-2" {
				t.Errorf("sent again: %v, wanted %v", got, c.again)
			}
		})
	}
}

// TestDispatcher_InstancesAreIndependent: the relays of two tenants in one process, at work by turns.
func TestDispatcher_InstancesAreIndependent(t *testing.T) {
	sites := func() []settings.Site {
		return []settings.Site{zoneDedupSite("window", "queue", "east"), zoneDedupSite("worth", "util", "west", "east")}
	}
	given := sites()
	a, b := startDispatcher(t, given[0], noopCallbacks()), startDispatcher(t, given[1], noopCallbacks())
	at := func(address string) []Endpoint {
		e := readyEndpoints("s-1")
		e[0].Zone, e[0].Address = "east", address
		return e
	}
	a.UpdateEndpoints(true, at("127.0.0.1:1"))
	b.UpdateEndpoints(true, at("127.0.0.1:2"))
	if _, ok := a.Accept(Request{Class: "worth"}); ok {
		t.Error("a knows a class of b")
	}
	for i := range 20 {
		if step := a.Next(accept(t, a, Request{Class: "window"})); step.Attempt != nil {
			a.Report(step.Attempt, stateInternal, answered, nil)
		}
		step := b.Next(accept(t, b, Request{Class: "worth"}))
		if step.Attempt == nil {
			t.Fatalf("b does not send request %d: what failed at a is held against it", i)
		}
		b.Report(step.Attempt, pgwire.StateSuccess, answered, nil)
	}
	if c := a.Snapshot(); c.Classes[0].Name != "window" || c.Classes[0].Succeeded != 0 || c.Attempts < 2 {
		t.Errorf("counters of a %+v", c)
	}
	if c := b.Snapshot().Classes[0]; c.Name != "worth" || c.Succeeded != 20 {
		t.Errorf("counters of b %+v", c)
	}
	if ready := b.ReadyBackends(); len(ready) != 1 || ready[0].Address != "127.0.0.1:2" {
		t.Errorf("backends of a %v, of b %v", a.ReadyBackends(), ready)
	}
	if a.backends["s-1"].Zone != 0 || b.backends["s-1"].Zone != 1 {
		t.Errorf("zones %d and %d", a.backends["s-1"].Zone, b.backends["s-1"].Zone)
	}
	if !slices.Equal(a.LoadColumns(), []string{"queue"}) || !slices.Equal(b.LoadColumns(), []string{"util"}) {
		t.Errorf("load columns %v and %v", a.LoadColumns(), b.LoadColumns())
	}
	a.UpdateEndpoints(true, nil)
	if len(a.ReadyBackends()) != 0 || len(b.ReadyBackends()) != 1 {
		t.Error("a list of a is one of b")
	}
	if !reflect.DeepEqual(given, sites()) {
		t.Error("settings were changed")
	}
}
