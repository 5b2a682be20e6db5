package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// hostileNames are names that a parser could mistake for something else: names and values of settings, paths, identifiers
// of the code, and text that is hard to print.
var hostileNames = []string{"window", "worth", "deadline", "read_like", "per_lane", "idempotency_key",
	"non_idempotent", "a.b", "at_most_once", "op_type", "redeliverable", "all", "zone", "cell", "name", "grades",
	"limits.max_deliveries", ".", "..", `"`, `\`, " ", "\x00", "null", "0", "Ökosystem", "写真", "\u202e", "name ",
	strings.Repeat("long.", 4000)}

// unknownPaths are paths of the document whose last name has no meaning at its position. The last names are settings at
// another position, paths, and identifiers of the code.
var unknownPaths = []string{
	"relays", "limits.max_deliveries", "limits/max_deliveries", "rollout", "op_types", "semantics", "window", "limits/window",
	"rollout.evidence_wait", "family_info/evidence_wait", "family_info/report_within", "grades/repeats", "grades/importance",
	"grades/a.b", "", `"relays"`, "weights.whole", "prices/per_lane", "Balancer", "Zones", "limits/MaxAttempts", "grades/Name",
	"rules/send_cap", "send_cap", "Limits", "GRADES", "grades/Name", "Name",
}

// TestRead_KeepsNamesUnchanged guards against a name that the parser interprets. Each hostile name must be read unchanged
// as the name of a class, tenant, zone, machine kind and load column.
func TestRead_KeepsNamesUnchanged(t *testing.T) {
	for _, name := range append([]string{""}, hostileNames...) {
		quoted, err := json.Marshal(name)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.ReplaceAll(`{"grades":[{"name":NAME,"on_time":1,"deadline":2}],"kinds":[NAME],"zones":[NAME],
			"parties":[{"name":NAME}],"load_info":{"columns":[NAME]}}`, "NAME", string(quoted))
		site, err := Read([]byte(text))
		if name == "" {
			if err == nil {
				t.Error("a request class with an empty name is accepted")
			}
			continue
		}
		if err != nil {
			t.Errorf("%q: %v", name, err)
			continue
		}
		for where, got := range map[string]string{"grades": site.Balancer.Classes[0].Name, "parties": site.Tenants[0],
			"zones": site.Zones[0], "kinds": site.MachineKinds[0], "columns": site.LoadColumns[0]} {
			if got != name {
				t.Errorf("%s: name %q is read as %q", where, name, got)
			}
		}
	}
}

// TestRead_IgnoresUnknownSettings guards against a name that is read at a position where the schema does not list it. Any
// value at such a position must leave the settings as they are.
func TestRead_IgnoresUnknownSettings(t *testing.T) {
	for _, path := range unknownPaths {
		for _, value := range []string{"77", "null", `{"caps":77}`, `[{"name":"x"}]`, `"subscribe"`} {
			site, err := Read(documentWith(t, path, value))
			if err != nil {
				t.Errorf("%s=%s: %v", path, value, err)
				continue
			}
			if want := sampleSite(); !reflect.DeepEqual(site, want) {
				t.Errorf("%s=%s: got %+v, want %+v", path, value, site, want)
			}
		}
	}
}
