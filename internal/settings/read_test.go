package settings

import (
	"encoding/json"
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"silvercove/balancer"
)

// sampleDocument is the settings document of a fictitious site. It has every setting of the wire format's documentation
// and a few unknown ones.
const sampleDocument = `{"balancers":3,"blend":{"whole":0.5,"worst_class":0.25,"tail_part":0.25,
"tail_miss":0.1},
	"clients":{"marks_retry":true},"discovery":"subscribe","family":"rollout",
	"family_info":{"ayes_needed":2,"ballot_ttl":5.0,"behind_price":0.25,"control":"majority",
	"counted_by":"per_lane",
		"counted_over":3.0,"forward_only":true,"found_share":0.75,"guarded_stages":1,"harm_price":3.0,
		"metrics_period":1.0,
		"most_shares":[0.2,0.6,1.0],"moves_after":0.0,"noes_needed":2,"repeat_every":4.0,
		"replace_mode":"rolling",
		"shares":[0.1,0.5,1.0],"soak":2.0,"tally_sample":0.2,"to_pause":0,"uncounted":3.0,
		"vote_wait":1.5,
		"votes_per_s":20.0,"warm_keys":false,"new_here":7},
	"grades":[{"deadline":3.0,"dedup_scope":"all","late_worth":0.1,"name":"crop","on_time":0.8,
	"semantics":"read_like",
			"stream":false,"window":4.0,"worth":2.0},
		{"deadline":4.0,"dedup_scope":"zone","late_worth":0.0,"name":"sell","on_time":1.5,
		"semantics":"idempotency_key",
			"stream":true,"window":2.5,"worth":6.0,"aim_stretch":2.0},
		{"deadline":4.0,"dedup_scope":"cell","late_worth":0.0,"name":"print","on_time":1.5,
		"semantics":"non_idempotent",
			"stream":false,"window":2.5,"worth":1.0,"more":[1,2]}],
	"kinds":["small","large"],
	"limits":{"connect_timeout":0.4,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"idle_close":20.0,
	"max_open":1000,
		"max_retry_after":2.0,"may_cancel":true,"may_duplicate":false,"peers":true,"probing":true,
		"retry_after":true,
		"send_cap":4,"streams_per_conn":16},
	"load_info":{"columns":["queue","util"],"source":"inline"},"me":1,"over_share_worth":0.3,
	"parties":[{"fraction":0.75,"name":"one","quota_per_s":80.0},{"fraction":0.25,"name":"two",
	"quota_per_s":20.0}],
	"prices":{"connection":0.0,"cross_zone":0.1,"waste":0.05},
	"rules":{"answer_slack":0.1,"ask_every":8.0,"cold":3.0,"cold_from":0.4,"drain_grace":0.5,
	"fall_multiple":3.0,"tip_after":1.0},
	"stage":0,"tick":0.01,"tiers":["desk"],"weights":"rough","worth_by":"request","zone":1,
	"zones":["east","west"],
	"later":{"deep":{"est":[true,"x"]},"flat":null}}`

// sampleSite returns the expected result of reading sampleDocument.
func sampleSite() Site {
	return Site{
		Zones:        []string{"east", "west"},
		MachineKinds: []string{"small", "large"},
		Tenants:      []string{"one", "two"},
		LoadColumns:  []string{"queue", "util"},
		Balancer: balancer.Settings{
			Relays:    3,
			Discovery: balancer.DiscoverySubscribe,
			Classes: []balancer.RequestClass{
				{Name: "crop", Idempotency: balancer.Idempotent, DedupScope: balancer.DedupEverywhere, DedupWindow: 4,
					LatencyObjective: 0.8, Deadline: 3, PriorityWeight: 2},
				{Name: "sell", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupZone, DedupWindow: 2.5,
					LatencyObjective: 1.5, Deadline: 4, PriorityWeight: 6},
				{Name: "print", Idempotency: balancer.AtMostOnce, DedupScope: balancer.DedupCell, DedupWindow: 2.5,
					LatencyObjective: 1.5, Deadline: 4, PriorityWeight: 1},
			},
			Limits: balancer.Limits{MaxAttempts: 4, MayCancel: true, RetryAfter: true, MaxRetryAfter: 2, ConnectTimeout: 0.4,
				IdleTimeout: 20, Gossip: true},
			Endpoints: balancer.EndpointRules{DrainGrace: 0.5, PollInterval: 8},
			SlowStart: balancer.SlowStart{Window: 3, InitialFraction: 0.4, OverloadMultiple: 3, OverloadWindow: 1},
			Rollout: balancer.Rollout{Control: balancer.AdvanceByVotes, StageShares: []float64{0.1, 0.5, 1},
				StageCaps: []float64{0.2, 0.6, 1}, GuardedStages: 1, ExposureFree: 3, ExposureWindow: 3, ExposurePerClass: true,
				ForwardOnly: true, FoundShare: 0.75, MetricsPeriod: 1, VoteLifetime: 5, VoteTimeout: 1.5, VotesPerSecond: 20},
		},
	}
}

// TestRead_TakesEverySetting compares every field of the Site that Read returns with the value in sampleDocument.
func TestRead_TakesEverySetting(t *testing.T) {
	got, err := Read([]byte(sampleDocument))
	if err != nil {
		t.Fatal(err)
	}
	if want := sampleSite(); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// TestRead_LeavesNoFieldOut guards against a gap in sampleDocument. A field whose expected value is zero would pass
// TestRead_TakesEverySetting without being read. ReportWithin and EvidenceWait are zero because they are set in the
// operator's file, not in the document.
func TestRead_LeavesNoFieldOut(t *testing.T) {
	var zero []string
	var walk func(path string, v reflect.Value)
	walk = func(path string, v reflect.Value) {
		switch v.Kind() {
		case reflect.Struct:
			for i := range v.NumField() {
				walk(path+"."+v.Type().Field(i).Name, v.Field(i))
			}
		default:
			if v.IsZero() {
				zero = append(zero, path)
			}
		}
	}
	walk("", reflect.ValueOf(sampleSite()))
	want := []string{".Balancer.Rollout.Control", ".Balancer.Rollout.ReportWithin", ".Balancer.Rollout.EvidenceWait"}
	if !reflect.DeepEqual(zero, want) { // "majority" is the zero value of Control; TestRead_MissingAndExtremeValues covers "clocked"
		t.Errorf("zero fields: got %v, want %v", zero, want)
	}
}

func TestRead_SmallAndMalformedDocuments(t *testing.T) {
	site, err := Read([]byte(`{"balancers":3,"discovery":"automatic","nothing":null,"limits":{"send_cap":2,"retry_after":true},
		"family_info":{"most_shares":[0.1,1],"counted_by":"per_lane"},"zones":[{"name":"a"},{"name":"b"}],
		"grades":[{"name":"g","semantics":"non_idempotent","on_time":0.5,"deadline":2}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := Site{Zones: []string{"a", "b"}, Balancer: balancer.Settings{
		Relays:  3,
		Classes: []balancer.RequestClass{{Name: "g", Idempotency: balancer.AtMostOnce, LatencyObjective: 0.5, Deadline: 2}},
		Limits:  balancer.Limits{MaxAttempts: 2, RetryAfter: true, ConnectTimeout: 2},
		Rollout: balancer.Rollout{StageCaps: []float64{0.1, 1}, ExposurePerClass: true},
	}}
	if !reflect.DeepEqual(site, want) {
		t.Errorf("got  %+v\nwant %+v", site, want)
	}
	for _, c := range []struct{ text, want string }{{"{", "settings"}, {"[]", "settings"}, {"{}", "grades"},
		{`{"grades":[]}`, "grades"}, {`{"grades":[1]}`, "grades"}, {`{"grades":{"a":1}}`, "grades"}} {
		if _, err := Read([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v", c.text, err)
		}
	}
}

// TestError_NamesSetting checks that errors.As finds the path of the setting and, for an element of a list, its index.
func TestError_NamesSetting(t *testing.T) {
	_, err := Read(documentWith(t, "limits/send_cap", "0"))
	var outer *Error
	if !errors.As(err, &outer) || outer.Setting != "limits.send_cap" {
		t.Errorf("got error %v", err)
	}
	_, err = Read(documentWith(t, "grades/worth", "-1"))
	var element *Error
	if !errors.As(err, &outer) || outer.Setting != "grades" || !errors.As(outer.Err, &element) || element.Setting != "place 0" {
		t.Errorf("got error %v", err)
	}
	if _, err = Read([]byte("\xff")); !errors.Is(err, ErrNotUTF8) {
		t.Errorf("got error %v", err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"grades":[{"name":"g"}],"limits":{"x":[{"y":null}]}}`))
	f.Add([]byte(`{"grades":[{"name":"g","on_time":1}],"limits":{"x":[{"y":null}],"send_cap":1e300}}`))
	f.Add([]byte(sampleDocument))
	f.Fuzz(func(t *testing.T, text []byte) {
		site, err := Read(text)
		if err != nil {
			return
		}
		if len(site.Balancer.Classes) == 0 {
			t.Error("settings without request classes are accepted")
		}
		checkDurations(t, site.Balancer)
	})
}

// checkDurations fails if a duration of s, in ticks of 0.1 ms, exceeds the range of an unsigned 32-bit integer.
func checkDurations(t interface{ Errorf(string, ...any) }, s balancer.Settings) {
	for name, v := range map[string]balancer.Seconds{
		"connect timeout": s.Limits.ConnectTimeout, "idle timeout": s.Limits.IdleTimeout,
		"longest retry-after": s.Limits.MaxRetryAfter, "poll interval": s.Endpoints.PollInterval,
		"slow start": s.SlowStart.Window, "drain grace": s.Endpoints.DrainGrace, "overload window": s.SlowStart.OverloadWindow,
		"exposure window": s.Rollout.ExposureWindow, "vote lifetime": s.Rollout.VoteLifetime,
		"vote timeout": s.Rollout.VoteTimeout, "metrics period": s.Rollout.MetricsPeriod,
	} {
		if !(v >= 0 && float64(v)*1e4 <= math.MaxUint32) {
			t.Errorf("%s is %v", name, v)
		}
	}
}

// documentWith returns sampleDocument with a change by setMember.
func documentWith(t *testing.T, path, value string) []byte {
	t.Helper()
	return setMember(t, []byte(sampleDocument), path, value)
}

// setMember returns the document text with the setting at a path set to a JSON value; "" removes the setting. Slashes
// separate the elements of the path. If the path leads through a list, it continues in the first element of the list.
func setMember(t *testing.T, text []byte, path, value string) []byte {
	t.Helper()
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	at := document
	steps := strings.Split(path, "/")
	for _, step := range steps[:len(steps)-1] {
		switch v := at[step].(type) {
		case map[string]any:
			at = v
		case []any:
			at = v[0].(map[string]any)
		default:
			t.Fatalf("path %s is not in the document", path)
		}
	}
	if at[steps[len(steps)-1]] = json.RawMessage(value); value == "" {
		delete(at, steps[len(steps)-1])
	}
	out, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
