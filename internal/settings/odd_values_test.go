package settings

import (
	"reflect"
	"strings"
	"testing"

	"silvercove/balancer"
)

// wantError is a text that the error of a valueCase must contain.
type wantError string

// firstClass returns the first request class, which is the class that a path in grades refers to.
func firstClass(s Site) balancer.RequestClass { return s.Balancer.Classes[0] }

// Functions that return the part of a Site that a valueCase checks.
var (
	relays         = func(s Site) any { return s.Balancer.Relays }
	maxAttemptsOf  = func(s Site) any { return s.Balancer.Limits.MaxAttempts }
	connectTimeout = func(s Site) any { return s.Balancer.Limits.ConnectTimeout }
	idleTimeout    = func(s Site) any { return s.Balancer.Limits.IdleTimeout }
	mayCancel      = func(s Site) any { return s.Balancer.Limits.MayCancel }
	overloadWindow = func(s Site) any { return s.Balancer.SlowStart.OverloadWindow }
	pollInterval   = func(s Site) any { return s.Balancer.Endpoints.PollInterval }
	exposureFree   = func(s Site) any { return s.Balancer.Rollout.ExposureFree }
	perClass       = func(s Site) any { return s.Balancer.Rollout.ExposurePerClass }
	guardedStages  = func(s Site) any { return s.Balancer.Rollout.GuardedStages }
	stageCaps      = func(s Site) any { return s.Balancer.Rollout.StageCaps }
	controlOf      = func(s Site) any { return s.Balancer.Rollout.Control }
	discoveryOf    = func(s Site) any { return s.Balancer.Discovery }
	idempotencyOf  = func(s Site) any { return firstClass(s).Idempotency }
	scope          = func(s Site) any { return firstClass(s).DedupScope }
	objective      = func(s Site) any { return firstClass(s).LatencyObjective }
	deadline       = func(s Site) any { return firstClass(s).Deadline }
	dedupWindow    = func(s Site) any { return firstClass(s).DedupWindow }
	weight         = func(s Site) any { return firstClass(s).PriorityWeight }
	firstTenant    = func(s Site) any { return s.Tenants[0] }
	tenantList     = func(s Site) any { return s.Tenants }
	zoneList       = func(s Site) any { return s.Zones }
	kindList       = func(s Site) any { return s.MachineKinds }
	columnList     = func(s Site) any { return s.LoadColumns }
)

// valueCase sets one setting of sampleDocument to a JSON value. The value "" removes the setting instead. The function
// in the field named field selects the part of the resulting Site that must equal want.
type valueCase struct {
	path, value string
	field       func(Site) any
	want        any // expected part of the Site, or a wantError if Read must fail
}

// valueCases cover settings that are missing, null, zero, negative, huge, fractional or of a wrong type.
var valueCases = []valueCase{
	{"balancers", "", relays, 0.0},
	{"balancers", "null", relays, 0.0},
	{"balancers", "0", relays, 0.0},
	{"balancers", "-3", relays, 0.0},
	{"balancers", "2.5", relays, 2.5},
	{"balancers", "1e300", relays, maxRelays},
	{"balancers", `"3"`, nil, wantError("balancers: a number is wanted, not \"3\"")},
	{"balancers", "1e999", nil, wantError("1e999")},

	{"limits/send_cap", "", maxAttemptsOf, 1},
	{"limits/send_cap", "null", maxAttemptsOf, 1},
	{"limits/send_cap", "0", nil, wantError("limits.send_cap: a whole number from 1 on is wanted, not 0")},
	{"limits/send_cap", "-1", nil, wantError("limits.send_cap")},
	{"limits/send_cap", "2.5", nil, wantError("limits.send_cap")},
	{"limits/send_cap", "1e300", maxAttemptsOf, maxAttempts},
	{"limits/connect_timeout", "", connectTimeout, balancer.Seconds(4)},
	{"limits/connect_timeout", "0", connectTimeout, balancer.Seconds(4)},
	{"limits/connect_timeout", "-0.1", nil, wantError("limits.connect_timeout")},
	{"limits/connect_timeout", "1e300", connectTimeout, balancer.Seconds(maxDurationSeconds)},
	{"limits/idle_close", "1e300", idleTimeout, balancer.Seconds(maxDurationSeconds)},
	{"limits/idle_close", "0", idleTimeout, balancer.Seconds(0)},
	{"limits/may_cancel", "1", nil, wantError("limits.may_cancel: true or false is wanted")},
	{"limits/may_cancel", "null", mayCancel, false},
	{"limits", "3", nil, wantError("limits: an object is wanted")},
	{"limits", "null", maxAttemptsOf, 1},

	{"rules/cold", "1e300", nil, wantError("rules.cold")},
	{"rules/cold", "-1", nil, wantError("rules.cold")},
	{"rules/tip_after", "", overloadWindow, balancer.Seconds(3)},
	{"rules/tip_after", "0", overloadWindow, balancer.Seconds(3)},
	{"rules/cold_from", "1.5", nil, wantError("rules.cold_from: a number from 0 to 1 is wanted")},
	{"rules/fall_multiple", "-2", nil, wantError("rules.fall_multiple")},
	{"rules/ask_every", "1e300", pollInterval, balancer.Seconds(maxDurationSeconds)},

	{"family_info/counted_over", "", exposureFree, 0.0},
	{"family_info/counted_over", "0", exposureFree, 0.0},
	{"family_info/counted_over", "1e300", nil, wantError("family_info.counted_over")},
	{"family_info/counted_by", `"weekday"`, nil,
		wantError("family_info.counted_by: one of all, per_lane is wanted, not \"weekday\"")},
	{"family_info/counted_by", "", perClass, false},
	{"family_info/guarded_stages", "0.5", nil, wantError("family_info.guarded_stages")},
	{"family_info/guarded_stages", "1e300", guardedStages, maxStages},
	{"family_info/most_shares", "[0.1,2]", nil, wantError("family_info.most_shares")},
	{"family_info/most_shares", "[0.1,null]", nil, wantError("family_info.most_shares")},
	{"family_info/most_shares", "0.1", nil, wantError("family_info.most_shares: a list of numbers")},
	{"family_info/most_shares", "[]", stageCaps, []float64{}},
	{"family_info/found_share", "1.01", nil, wantError("family_info.found_share")},
	{"family_info/control", `"clocked"`, controlOf, balancer.AdvanceByClock},
	{"family_info/control", `"majority"`, controlOf, balancer.AdvanceByVotes},
	{"family_info/control", `"weekday"`, controlOf, balancer.AdvanceByVotes},

	{"grades/semantics", `"window"`, idempotencyOf, balancer.AtMostOnce},
	{"grades/semantics", "", idempotencyOf, balancer.AtMostOnce},
	{"grades/semantics", `""`, idempotencyOf, balancer.AtMostOnce},
	{"grades/semantics", `"redeliverable"`, idempotencyOf, balancer.AtMostOnce},
	{"grades/semantics", `"Read_Like"`, idempotencyOf, balancer.AtMostOnce},
	{"grades/semantics", "null", idempotencyOf, balancer.AtMostOnce},
	{"grades/semantics", `"idempotency_key"`, idempotencyOf, balancer.IdempotentWithKey},
	{"grades/semantics", "7", nil, wantError("grades: place 0: semantics")},
	{"grades/dedup_scope", `"rack"`, scope, balancer.DedupNowhere},
	{"grades/dedup_scope", "", scope, balancer.DedupNowhere},
	{"grades/dedup_scope", `"cell"`, scope, balancer.DedupCell},
	{"grades/on_time", "", objective, balancer.Seconds(3)},
	{"grades/on_time", "0", objective, balancer.Seconds(3)},
	{"grades/on_time", "1e300", objective, balancer.Seconds(maxDurationSeconds)},
	{"grades/on_time", "-1", nil, wantError("on_time")},
	{"grades/deadline", "null", deadline, balancer.Seconds(0.8)},
	{"grades/deadline", "1e300", deadline, balancer.Seconds(maxDurationSeconds)},
	{"grades/window", "-1", nil, wantError("window")},
	{"grades/window", "0", dedupWindow, balancer.Seconds(0)},
	{"grades/window", "1e300", dedupWindow, balancer.Seconds(maxDurationSeconds)},
	{"grades/worth", "0.5", weight, 0.5},
	{"grades/worth", "-0.5", nil, wantError("worth")},
	{"grades/name", "", nil, wantError("grades: place 0: no name")},
	{"grades/name", `""`, nil, wantError("grades: place 0: no name")},
	{"grades/name", "5", nil, wantError("grades: place 0: name: a word is wanted")},
	{"grades/name", `"sell"`, nil, wantError(`grades: "sell" stands twice`)},

	{"parties/name", `""`, firstTenant, ""},
	{"parties/name", `"two"`, nil, wantError(`parties: "two" stands twice`)},
	{"parties/name", "", nil, wantError("parties: place 0: no name")},
	{"parties", "[]", tenantList, []string{}},
	{"zones", `["a","a"]`, nil, wantError(`zones: "a" stands twice`)},
	{"zones", `["",".","a"]`, zoneList, []string{"", ".", "a"}},
	{"zones", `[{"name":"a"},{"name":"a"}]`, nil, wantError(`zones: "a" stands twice`)},
	{"zones", `["a",1]`, nil, wantError("zones")},
	{"kinds", `["a","a"]`, kindList, []string{"a", "a"}},
	{"kinds", `[{"name":"a"}]`, kindList, []string{"a"}},
	{"load_info/columns", `["window"]`, columnList, []string{"window"}},
	{"load_info/columns", `[1]`, nil, wantError("load_info.columns")},
	{"discovery", "1", nil, wantError("discovery: a word is wanted")},
	{"discovery", `"per_lane"`, discoveryOf, balancer.DiscoveryAutomatic},
	{"discovery", `"subscribe"`, discoveryOf, balancer.DiscoverySubscribe},
}

// TestRead_MissingAndExtremeValues checks the rules for missing, null and extreme values that docs/relay.md states under
// "Settings".
func TestRead_MissingAndExtremeValues(t *testing.T) {
	for _, c := range valueCases {
		t.Run(c.path+"="+c.value, func(t *testing.T) {
			site, err := Read(documentWith(t, c.path, c.value))
			if text, ok := c.want.(wantError); ok {
				if err == nil || !strings.Contains(err.Error(), string(text)) {
					t.Fatalf("got error %v, want one with %q", err, text)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := c.field(site); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	neither := `{"grades":[{"name":"g","semantics":"read_like","on_time":0}]}`
	if _, err := Read([]byte(neither)); err == nil || !strings.Contains(err.Error(), `"g" has neither`) {
		t.Errorf("class without latency objective and deadline: got error %v", err)
	}
	twice := `{"grades":[{"name":"g","on_time":1}],"rules":{"cold":1,"x":{"cold":1,"cold":2}}}`
	if _, err := Read([]byte(twice)); err == nil || !strings.Contains(err.Error(), "rules.x.cold: stands twice") {
		t.Errorf("duplicate name in an object: got error %v", err)
	}
	if _, err := Read([]byte("{\"grades\":[{\"name\":\"\xff\",\"on_time\":1}]}")); err == nil {
		t.Error("a document that is not UTF-8 is accepted")
	}
}
