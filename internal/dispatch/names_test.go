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

// unusualNames are names that equal words or paths of the settings, or that are hard to print.
var unusualNames = []string{"window", "worth", "deadline", "read_like", "per_lane", "a.b", "limits.max_deliveries", " ", "\x00",
	"写真", fmt.Sprintf("%09999d", 0)}

// zoneDedupSite makes the settings of a site with one request class, whose retries are safe only within the zone of the
// first attempt.
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

// TestAccept_FindsClassByExactName: each class is found by its own name and by no other.
func TestAccept_FindsClassByExactName(t *testing.T) {
	for _, name := range unusualNames {
		d := startDispatcher(t, zoneDedupSite(name, "queue", name), noopCallbacks())
		call, ok := d.Accept(Request{Class: name, Tenant: name, ReceivedAt: time.Now(), Timeout: time.Second})
		if !ok || call.request.Tenant != 0 {
			t.Errorf("class %.20q is not accepted by its name", name)
		}
		for _, other := range append([]string{"", "crop"}, unusualNames...) {
			if _, ok := d.Accept(Request{Class: other}); ok && other != name {
				t.Errorf("class %.20q is accepted as %.20q", other, name)
			}
		}
	}
}

// TestNext_RetriesStayInDeduplicationZone: a request that may have run at a backend is sent again only to backends in
// the zone of the first backend, because only backends of that zone drop a repeat of the request. A zone that is
// missing from the settings must not be taken for the first zone of the settings, and two endpoints without a zone are
// never in the same zone.
func TestNext_RetriesStayInDeduplicationZone(t *testing.T) {
	for _, c := range []struct {
		name, first, second string
		again               bool
	}{
		{"both in a zone of the settings", "east", "east", true}, {"in two zones of the settings", "east", "west", false},
		{"second in an unknown zone", "east", "north", false}, {"both in the same unknown zone", "north", "north", true},
		{"in two unknown zones", "north", "south", false}, {"both without a zone", "", "", false}, {"second without a zone", "east", "", false},
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
				t.Errorf("the request is sent again: %v, want %v", got, c.again)
			}
		})
	}
}

// TestDispatcher_InstancesAreIndependent: two dispatchers in one process, with different settings, share no state when
// they are called in turn.
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
		t.Error("dispatcher a accepts a class of b")
	}
	for i := range 20 {
		if step := a.Next(accept(t, a, Request{Class: "window"})); step.Attempt != nil {
			a.Report(step.Attempt, stateInternal, answered, nil)
		}
		step := b.Next(accept(t, b, Request{Class: "worth"}))
		if step.Attempt == nil {
			t.Fatalf("dispatcher b does not send request %d, although only dispatcher a had failures", i)
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
		t.Errorf("dispatcher a has the backends %v, dispatcher b has %v", a.ReadyBackends(), ready)
	}
	if a.backends["s-1"].Zone != 0 || b.backends["s-1"].Zone != 1 {
		t.Errorf("the backend is in zone %d at dispatcher a and in zone %d at dispatcher b, want 0 and 1", a.backends["s-1"].Zone, b.backends["s-1"].Zone)
	}
	if !slices.Equal(a.LoadColumns(), []string{"queue"}) || !slices.Equal(b.LoadColumns(), []string{"util"}) {
		t.Errorf("dispatcher a has the load columns %v, dispatcher b has %v", a.LoadColumns(), b.LoadColumns())
	}
	a.UpdateEndpoints(true, nil)
	if len(a.ReadyBackends()) != 0 || len(b.ReadyBackends()) != 1 {
		t.Error("the endpoint list of a changed the backends of b")
	}
	if !reflect.DeepEqual(given, sites()) {
		t.Error("a dispatcher changed its settings")
	}
}
