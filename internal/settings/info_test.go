package settings

import (
	"reflect"
	"strings"
	"testing"
)

func TestRead(t *testing.T) {
	set, err := Read([]byte(`{"balancers":3,"discovery":"automatic","nothing":null,"limits":{"send_cap":2,"retry_after":true},
		"family_info":{"most_shares":[0.1,1],"counted_by":"per_lane"},"zones":[{"name":"a"},{"name":"b"}],
		"grades":[{"name":"g","semantics":"non_idempotent","on_time":0.5,"deadline":2}]}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]any{"relays": 3.0, "discovery": "automatic", "limits.max_deliveries": 2.0,
		"limits.come_back": true, "rollout.caps": []any{0.1, 1.0}, "rollout.exposure_by": "op_type",
		"zones":    []map[string]any{{"name": "a"}, {"name": "b"}},
		"op_types": []map[string]any{{"name": "g", "repeats": "at_most_once", "service_target": 0.5, "command_timeout": 2.0}}} {
		if got := set[name]; !reflect.DeepEqual(got, want) {
			t.Errorf("%s is %v, wanted %v", name, got, want)
		}
	}
	if _, ok := set["nothing"]; ok {
		t.Error("what is absent has a value")
	}
	for _, c := range []struct{ text, want string }{{"{", "settings"}, {"[]", "settings"}, {"{}", "grades"},
		{`{"grades":[]}`, "grades"}, {`{"grades":[1]}`, "grades"}, {`{"grades":{"a":1}}`, "grades"}} {
		if _, err := Read([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"grades":[{"name":"g"}],"limits":{"x":[{"y":null}]}}`))
	f.Add([]byte(`{"grades":[{"name":"g","on_time":1}],"limits":{"x":[{"y":null}],"send_cap":1e300}}`))
	f.Add([]byte(ordinary))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Read(text)
		if err != nil {
			return
		}
		if len(set["op_types"].([]map[string]any)) == 0 {
			t.Error("settings without op types are taken")
		}
		finite(t, set)
	})
}
