package dispatch

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
)

// hostile are names that are words of the settings, paths in them, or hard to print.
var hostile = []string{"window", "worth", "deadline", "read_like", "per_lane", "a.b", "limits.max_deliveries", " ", "\x00",
	"写真", fmt.Sprintf("%09999d", 0)}

// site are settings with one op type, sent again within a zone alone.
func site(class, column string, zones ...string) settings.Site {
	return settings.Site{
		Balancer: balancer.Settings{
			Relays: 1,
			Classes: []balancer.RequestClass{{Name: class, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupZone,
				DedupWindow: 5, LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}},
			Limits:  balancer.Limits{MaxAttempts: 3},
			Rollout: balancer.Rollout{ExposureWindow: 1},
		},
		Zones:        zones,
		MachineKinds: []string{column},
		Tenants:      []string{class},
		LoadColumns:  []string{column},
	}
}

func siteGate(t *testing.T, set settings.Site) *Dispatcher {
	t.Helper()
	nothing := func(string) {}
	g := New(1, set, Callbacks{Log: nothing, CloseIdle: nothing, WatchEndpoints: func(bool) {}, Vote: func(Vote) {}})
	g.UpdateStage(RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.RunTimers(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return g
}

// TestOpTypesByAnyName: each is found by its own name, no other.
func TestOpTypesByAnyName(t *testing.T) {
	for _, name := range hostile {
		g := siteGate(t, site(name, "queue", name))
		if c, ok := g.Accept(Request{Class: name, Tenant: name, ReceivedAt: time.Now(), Timeout: time.Second}); !ok || c.module.Tenant != 0 {
			t.Errorf("%.20q is not taken as it is named", name)
		}
		for _, other := range append([]string{"", "crop"}, hostile...) {
			if _, ok := g.Accept(Request{Class: other}); ok && other != name {
				t.Errorf("%.20q is taken for %.20q", other, name)
			}
		}
	}
}

// TestRepeatsStayInTheirZone: a zone that the settings lack is not the first of theirs, and no name is no zone. A command
// that may have run at a unit is sent again only where its repeats are dropped.
func TestRepeatsStayInTheirZone(t *testing.T) {
	for _, c := range []struct {
		name, first, second string
		again               bool
	}{
		{"one of the settings", "east", "east", true}, {"two of the settings", "east", "west", false},
		{"one that the settings lack", "east", "north", false}, {"the same that they lack", "north", "north", true},
		{"two that they lack", "north", "south", false}, {"none", "", "", false}, {"the first and none", "east", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := siteGate(t, site("crop", "queue", "east", "west"))
			zone := func(name, of string) Endpoint {
				return Endpoint{Name: name, Address: "127.0.0.1:9", Zone: of, State: "up", Weight: 1, Version: 1}
			}
			g.UpdateEndpoints(true, []Endpoint{zone("s-1", c.first)})
			cmd, ok := g.Accept(Request{Class: "crop", ReceivedAt: time.Now(), Timeout: 2 * time.Second})
			if !ok {
				t.Fatal("not taken")
			}
			step := g.Next(cmd)
			if step.Attempt == nil || step.Attempt.Name != "s-1" {
				t.Fatalf("not delivered: %+v", step)
			}
			g.UpdateEndpoints(false, []Endpoint{zone("s-2", c.second)})
			g.Report(step.Attempt, "", transport.CloseStatus{Reason: transport.ConnectionReset, Flushed: true}, nil)
			step = g.Next(cmd)
			if got := step.Attempt != nil; got != c.again || got && step.Attempt.Name != "s-2" {
				t.Errorf("sent again: %v, wanted %v", got, c.again)
			}
		})
	}
}

// TestTwoGatesShareNothing: two customers' relays in one process, at work by turns.
func TestTwoGatesShareNothing(t *testing.T) {
	both := func() []settings.Site {
		return []settings.Site{site("window", "queue", "east"), site("worth", "util", "west", "east")}
	}
	sets, before := both(), both()
	a, b := siteGate(t, sets[0]), siteGate(t, sets[1])
	a.UpdateEndpoints(true, []Endpoint{{Name: "s-1", Address: "127.0.0.1:1", Zone: "east", State: "up", Weight: 1, Version: 1}})
	b.UpdateEndpoints(true, []Endpoint{{Name: "s-1", Address: "127.0.0.1:2", Zone: "east", State: "up", Weight: 1, Version: 1}})
	if _, ok := a.Accept(Request{Class: "worth"}); ok {
		t.Error("a knows an op type of b")
	}
	for i := range 20 {
		for _, g := range []*Dispatcher{a, b} {
			name, state := "window", "XX000"
			if g == b {
				name, state = "worth", pgwire.Complete
			}
			cmd, ok := g.Accept(Request{Class: name, ReceivedAt: time.Now(), Timeout: time.Second})
			if !ok {
				t.Fatalf("%s is not taken", name)
			}
			if step := g.Next(cmd); step.Attempt != nil {
				g.Report(step.Attempt, state, transport.CloseStatus{}, nil)
			} else if g == b {
				t.Fatalf("b does not deliver command %d: what failed at a is held against it", i)
			}
		}
	}
	if of := a.Counters.Classes[0]; of.Name != "window" || of.Succeeded != 0 || a.Counters.Attempts < 2 {
		t.Errorf("counts of a %+v, %d delivered", of, a.Counters.Attempts)
	}
	if of := b.Counters.Classes[0]; of.Name != "worth" || of.Succeeded != 20 {
		t.Errorf("counts of b %+v", of)
	}
	if len(b.ReadyBackends()) != 1 || b.ReadyBackends()[0].Address != "127.0.0.1:2" || a.units["s-1"].Zone != 0 || b.units["s-1"].Zone != 1 {
		t.Errorf("units %v and %v", a.ReadyBackends(), b.ReadyBackends())
	}
	if !reflect.DeepEqual(a.LoadColumns(), []string{"queue"}) || !reflect.DeepEqual(b.LoadColumns(), []string{"util"}) {
		t.Errorf("figures %v and %v", a.LoadColumns(), b.LoadColumns())
	}
	a.UpdateEndpoints(true, nil)
	if len(a.ReadyBackends()) != 0 || len(b.ReadyBackends()) != 1 {
		t.Error("a list of a is one of b")
	}
	if !reflect.DeepEqual(sets, before) {
		t.Error("settings were changed")
	}
}
