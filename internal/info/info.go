// Package info turns the settings object that a relay is given into a plain map in the
// project's words. The adapter and the real relay share it.
package info

import (
	"encoding/json"
	"fmt"
)

// ourNames gives the project's word for a name of the wire; a name not listed
// here passes as it is.
var ourNames = map[string]string{
	"balancers": "relays", "blend": "weights", "grades": "op_types", "family_info": "rollout",
	"parties": "customers", "load_info": "load", "marks_retry": "marks_repeats",
	"on_time": "service_target", "deadline": "command_timeout", "semantics": "repeats",
	"dedup_scope": "repeat_group", "late_worth": "late_importance", "worth": "importance",
	"window": "repeat_window", "stream": "streams", "worth_by": "importance_by",
	"over_share_worth": "over_share_importance", "fraction": "share", "columns": "figures",
	"ayes_needed": "votes_on", "noes_needed": "votes_back", "to_pause": "votes_hold",
	"ballot_ttl": "vote_life", "votes_per_s": "votes_per_s", "counted_by": "exposure_by",
	"counted_over": "exposure_window", "uncounted": "exposure_free", "most_shares": "caps",
	"shares": "stage_shares", "soak": "bake", "send_cap": "max_deliveries",
	"probing": "probes", "may_duplicate": "second_copies", "max_retry_after": "max_come_back",
	"retry_after": "come_back",
}

// ourWords does the same for the values that are words.
var ourWords = map[string]string{
	"read_like": "redeliverable", "idempotency_key": "deduplicated", "non_idempotent": "at_most_once",
	"per_lane": "op_type",
}

// Read turns the wire's settings into a plain map in our words. The members of
// an object get its name before theirs; a list of objects stays a list of maps.
func Read(text []byte) (map[string]any, error) {
	var raw map[string]any
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	out := map[string]any{}
	flatten("", raw, out)
	types, ok := out["op_types"].([]map[string]any)
	if !ok || len(types) == 0 {
		return nil, fmt.Errorf("settings: grades is no list of classes")
	}
	return out, nil
}

func flatten(prefix string, from, to map[string]any) {
	for name, value := range from {
		if ours, ok := ourNames[name]; ok {
			name = ours
		}
		switch v := value.(type) {
		case map[string]any:
			flatten(prefix+name+".", v, to)
		case []any:
			to[prefix+name] = list(v)
		case string:
			if ours, ok := ourWords[v]; ok {
				v = ours
			}
			to[prefix+name] = v
		case nil: // absent
		default:
			to[prefix+name] = v
		}
	}
}

func list(values []any) any {
	maps := make([]map[string]any, 0, len(values))
	for _, v := range values {
		if m, ok := v.(map[string]any); ok {
			one := map[string]any{}
			flatten("", m, one)
			maps = append(maps, one)
		}
	}
	if len(maps) > 0 && len(maps) == len(values) {
		return maps
	}
	return values
}
