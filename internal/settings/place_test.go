package settings

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
)

// ordinary are the settings of a made-up site, with all that a page of the wire tells of.
const ordinary = `{"balancers":3,"blend":{"whole":0.5,"worst_class":0.25,"tail_part":0.25,
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

// flatten is how names were translated once: at any depth, by the name alone.
func flatten(prefix string, from, to map[string]any) {
	names := map[string]string{
		"balancers": "relays", "blend": "weights", "grades": "op_types", "family_info": "rollout",
		"parties": "customers", "load_info": "load", "marks_retry": "marks_repeats",
		"on_time": "service_target", "deadline": "command_timeout", "semantics": "repeats",
		"dedup_scope": "repeat_group", "late_worth": "late_importance", "worth": "importance",
		"window": "repeat_window", "stream": "streams", "worth_by": "importance_by",
		"over_share_worth": "over_share_importance", "fraction": "share", "columns": "figures",
		"ayes_needed": "votes_on", "noes_needed": "votes_back", "to_pause": "votes_hold",
		"ballot_ttl": "vote_life", "counted_by": "exposure_by",
		"counted_over": "exposure_window", "uncounted": "exposure_free", "most_shares": "caps",
		"shares": "stage_shares", "soak": "bake", "send_cap": "max_deliveries",
		"probing": "probes", "may_duplicate": "second_copies", "max_retry_after": "max_come_back",
		"retry_after": "come_back",
	}
	words := map[string]string{"read_like": "redeliverable", "idempotency_key": "deduplicated",
		"non_idempotent": "at_most_once", "per_lane": "op_type"}
	for name, value := range from {
		if ours, ok := names[name]; ok {
			name = ours
		}
		switch v := value.(type) {
		case map[string]any:
			flatten(prefix+name+".", v, to)
		case []any:
			maps := make([]map[string]any, 0, len(v))
			for _, one := range v {
				if m, ok := one.(map[string]any); ok {
					flat := map[string]any{}
					flatten("", m, flat)
					maps = append(maps, flat)
				}
			}
			if to[prefix+name] = v; len(maps) > 0 && len(maps) == len(v) {
				to[prefix+name] = maps
			}
		case string:
			if ours, ok := words[v]; ok {
				v = ours
			}
			to[prefix+name] = v
		case nil:
		default:
			to[prefix+name] = v
		}
	}
}

// TestOrdinarySettingsAreAsEver holds the translation by place against the one by name.
func TestOrdinarySettingsAreAsEver(t *testing.T) {
	got, err := Read([]byte(ordinary))
	if err != nil {
		t.Fatal(err)
	}
	var raw map[string]any
	if err := json.Unmarshal([]byte(ordinary), &raw); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{}
	flatten("", raw, want)
	for name := range want {
		if !reflect.DeepEqual(got[name], want[name]) {
			t.Errorf("%s is %v, was %v", name, got[name], want[name])
		}
	}
	if len(got) != len(want) || len(got) < 70 {
		t.Errorf("%d settings, were %d", len(got), len(want))
	}
}

// with puts a member of the ordinary settings, as a path without the names of lists, to a JSON value.
func with(t *testing.T, path, value string) []byte {
	t.Helper()
	var doc map[string]any
	if err := json.Unmarshal([]byte(ordinary), &doc); err != nil {
		t.Fatal(err)
	}
	at := doc
	steps := strings.Split(path, "/")
	for _, step := range steps[:len(steps)-1] {
		switch v := at[step].(type) {
		case map[string]any:
			at = v
		case []any:
			at = v[0].(map[string]any)
		default:
			t.Fatalf("no %s", path)
		}
	}
	if at[steps[len(steps)-1]] = json.RawMessage(value); value == "" {
		delete(at, steps[len(steps)-1])
	}
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestAnswersToOddValues: what docs/relay.md states under "Settings".
func TestAnswersToOddValues(t *testing.T) {
	for _, c := range []struct {
		path, value, name string
		want              any // an error that says so where it is one
	}{
		{"balancers", "", "relays", nil}, {"balancers", "null", "relays", nil}, {"balancers", "0", "relays", 0.0},
		{"balancers", "-3", "relays", 0.0},
		{"balancers", "2.5", "relays", 2.5},
		{"balancers", "1e300", "relays", mostRelays},
		{"balancers", `"3"`, "", failure("balancers: a number is wanted, not \"3\"")},
		{"balancers", "1e999", "", failure("1e999")},
		{"limits/send_cap", "", "limits.max_deliveries", 1.0},
		{"limits/send_cap", "null", "limits.max_deliveries", 1.0},
		{"limits/send_cap", "0", "", failure("limits.send_cap: a whole number from 1 on is wanted, not 0")},
		{"limits/send_cap", "-1", "", failure("limits.send_cap")},
		{"limits/send_cap", "2.5", "", failure("limits.send_cap")},
		{"limits/send_cap", "1e300", "limits.max_deliveries", float64(mostSends)},
		{"limits/connect_timeout", "", "limits.connect_timeout", 4.0},
		{"limits/connect_timeout", "0", "limits.connect_timeout", 4.0},
		{"limits/connect_timeout", "-0.1", "", failure("limits.connect_timeout")},
		{"limits/connect_timeout", "1e300", "limits.connect_timeout", longestSpan},
		{"limits/idle_close", "1e300", "limits.idle_close", longestSpan},
		{"limits/idle_close", "0", "limits.idle_close", 0.0},
		{"limits/may_cancel", "1", "", failure("limits.may_cancel: true or false is wanted")},
		{"limits/may_cancel", "null", "limits.may_cancel", nil},
		{"limits", "3", "", failure("limits: an object is wanted")},
		{"limits", "null", "limits.max_deliveries", 1.0},
		{"rules/cold", "1e300", "", failure("rules.cold")}, {"rules/cold", "-1", "", failure("rules.cold")},
		{"rules/tip_after", "", "rules.tip_after", 3.0}, {"rules/tip_after", "0", "rules.tip_after", 3.0},
		{"rules/cold_from", "1.5", "", failure("rules.cold_from: a number from 0 to 1 is wanted")},
		{"rules/fall_multiple", "-2", "", failure("rules.fall_multiple")},
		{"rules/ask_every", "1e300", "rules.ask_every", longestSpan},
		{"family_info/counted_over", "", "rollout.exposure_free", nil},
		{"family_info/counted_over", "0", "rollout.exposure_free", nil},
		{"family_info/counted_over", "1e300", "", failure("family_info.counted_over")},
		{"family_info/counted_by", `"weekday"`, "",
			failure("family_info.counted_by: one of all, per_lane is wanted, not \"weekday\"")},
		{"family_info/counted_by", "", "rollout.exposure_by", nil},
		{"family_info/guarded_stages", "0.5", "", failure("family_info.guarded_stages")},
		{"family_info/guarded_stages", "1e300", "rollout.guarded_stages", float64(mostStages)},
		{"family_info/most_shares", "[0.1,2]", "", failure("family_info.most_shares")},
		{"family_info/most_shares", "[0.1,null]", "", failure("family_info.most_shares")},
		{"family_info/most_shares", "0.1", "", failure("family_info.most_shares: a list of numbers")},
		{"family_info/most_shares", "[]", "rollout.caps", []any{}},
		{"family_info/found_share", "1.01", "", failure("family_info.found_share")},
		{"grades/semantics", `"window"`, "repeats", atMostOnce}, {"grades/semantics", "", "repeats", atMostOnce},
		{"grades/semantics", `""`, "repeats", atMostOnce},
		{"grades/semantics", `"redeliverable"`, "repeats", atMostOnce},
		{"grades/semantics", `"Read_Like"`, "repeats", atMostOnce},
		{"grades/semantics", "null", "repeats", atMostOnce},
		{"grades/semantics", "7", "", failure("grades: place 0: semantics")},
		{"grades/on_time", "", "service_target", 3.0}, {"grades/on_time", "0", "service_target", 3.0},
		{"grades/on_time", "1e300", "service_target", longestSpan},
		{"grades/on_time", "-1", "", failure("on_time")},
		{"grades/deadline", "null", "command_timeout", 0.8},
		{"grades/deadline", "1e300", "command_timeout", longestSpan},
		{"grades/window", "-1", "", failure("window")}, {"grades/window", "0", "repeat_window", 0.0},
		{"grades/window", "1e300", "repeat_window", longestSpan},
		{"grades/worth", "0.5", "importance", 0.5}, {"grades/worth", "-0.5", "", failure("worth")},
		{"grades/name", "", "", failure("grades: place 0: no name")},
		{"grades/name", `""`, "", failure("grades: place 0: no name")},
		{"grades/name", "5", "", failure("grades: place 0: name: a word is wanted")},
		{"grades/name", `"sell"`, "", failure(`grades: "sell" stands twice`)},
		{"parties/name", `""`, "name", ""}, {"parties/name", `"two"`, "", failure(`parties: "two" stands twice`)},
		{"parties/name", "", "", failure("parties: place 0: no name")}, {"parties", "[]", "customers", []any{}},
		{"zones", `["a","a"]`, "", failure(`zones: "a" stands twice`)},
		{"zones", `["",".","a"]`, "zones", []any{"", ".", "a"}},
		{"zones", `[{"name":"a"},{"name":"a"}]`, "", failure(`zones: "a" stands twice`)},
		{"zones", `["a",1]`, "", failure("zones")},
		{"kinds", `["a","a"]`, "kinds", []any{"a", "a"}},
		{"kinds", `[{"name":"a"}]`, "kinds", []map[string]any{{"name": "a"}}},
		{"load_info/columns", `["window"]`, "load.figures", []any{"window"}},
		{"load_info/columns", `[1]`, "", failure("load_info.columns")},
		{"discovery", "1", "", failure("discovery: a word is wanted")},
		{"discovery", `"per_lane"`, "discovery", "per_lane"},
	} {
		t.Run(c.path+"="+c.value, func(t *testing.T) {
			set, err := Read(with(t, c.path, c.value))
			if text, ok := c.want.(failure); ok {
				if err == nil || !strings.Contains(err.Error(), string(text)) {
					t.Fatalf("error %v, wanted %s", err, text)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			for list, ours := range map[string]string{"grades/": "op_types", "parties/": "customers"} {
				if strings.HasPrefix(c.path, list) {
					set = set[ours].([]map[string]any)[0]
				}
			}
			if got := set[c.name]; !reflect.DeepEqual(got, c.want) {
				t.Errorf("%s is %v, wanted %v", c.name, got, c.want)
			}
		})
	}
	neither := `{"grades":[{"name":"g","semantics":"read_like","on_time":0}]}`
	if _, err := Read([]byte(neither)); err == nil || !strings.Contains(err.Error(), `"g" has neither`) {
		t.Errorf("no time at all: %v", err)
	}
	twice := `{"grades":[{"name":"g","on_time":1}],"rules":{"cold":1,"x":{"cold":1,"cold":2}}}`
	if _, err := Read([]byte(twice)); err == nil || !strings.Contains(err.Error(), "rules.x.cold: stands twice") {
		t.Errorf("a name twice: %v", err)
	}
	if _, err := Read([]byte("{\"grades\":[{\"name\":\"\xff\",\"on_time\":1}]}")); err == nil {
		t.Error("what is not UTF-8 is taken")
	}
}

type failure string

// TestNamesPassUntouched: the same words as names of all sorts, and as names that nobody knows.
func TestNamesPassUntouched(t *testing.T) {
	for _, name := range append([]string{""}, hostile...) {
		quoted, err := json.Marshal(name)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(`{"grades":[{"name":NAME,"on_time":1,"deadline":2}],"kinds":[NAME],"zones":[NAME],
			"parties":[{"name":NAME}],"load_info":{"columns":[NAME]}}`, "NAME", string(quoted))
		set, err := Read([]byte(text))
		if name == "" {
			if err == nil {
				t.Error("an op type without a name is taken")
			}
			continue
		}
		if err != nil {
			t.Errorf("%q: %v", name, err)
			continue
		}
		for where, got := range map[string]any{"grades": set["op_types"].([]map[string]any)[0]["name"],
			"parties": set["customers"].([]map[string]any)[0]["name"], "zones": set["zones"].([]any)[0],
			"kinds": set["kinds"].([]any)[0], "columns": set["load.figures"].([]any)[0]} {
			if got != name {
				t.Errorf("%s: %q is %q", where, name, got)
			}
		}
	}
}

// TestUnknownNamesShadowNothing: none of ours changes, and all that came is there.
func TestUnknownNamesShadowNothing(t *testing.T) {
	plain, err := Read([]byte(ordinary))
	if err != nil {
		t.Fatal(err)
	}
	for path, kept := range map[string]string{
		"relays": `"relays"`, "limits.max_deliveries": `"limits.max_deliveries"`,
		"limits/max_deliveries": `limits."max_deliveries"`,
		"rollout":               `"rollout".caps`, "op_types": `"op_types"`, "semantics": "semantics", "window": "window",
		"limits/window": "limits.window", "rollout.evidence_wait": `"rollout.evidence_wait"`,
		"family_info/evidence_wait": `rollout."evidence_wait"`,
		"grades/repeats":            "", "grades/importance": "", "grades/a.b": "",
		"": `""`, `"relays"`: `"\"relays\""`, "weights.whole": `"weights.whole"`, "prices/per_lane": "prices.per_lane",
	} {
		value := "77"
		if path == "rollout" {
			value = `{"caps":77}`
		}
		set, err := Read(with(t, path, value))
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		if kept != "" && set[kept] != 77.0 {
			t.Errorf("%s is not kept as %s", path, kept)
		}
		if kept == "" {
			one := set["op_types"].([]map[string]any)[0]
			name := strings.TrimPrefix(path, "grades/")
			if quoted := `"` + name + `"`; one[quoted] != 77.0 {
				t.Errorf("%s is not kept as %s", path, quoted)
			} else {
				delete(one, quoted)
			}
		}
		for name, want := range plain {
			if !reflect.DeepEqual(set[name], want) {
				t.Errorf("%s makes %s %v", path, name, set[name])
			}
		}
	}
}

// finite fails where a figure would leave the module's whole numbers.
func finite(t interface{ Errorf(string, ...any) }, set map[string]any) {
	for _, name := range []string{"limits.connect_timeout", "limits.idle_close", "limits.max_come_back",
		"rules.ask_every", "rules.cold", "rules.drain_grace", "rules.tip_after", "rollout.exposure_window", "rollout.vote_life",
		"rollout.vote_wait", "rollout.metrics_period"} {
		if v, _ := set[name].(float64); !(v >= 0 && v*1e4 <= math.MaxUint32) {
			t.Errorf("%s is %v", name, v)
		}
	}
}
