package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// members are the names of one object of the document.
type members map[string]place

// place is what stands under one name: its name in our words and, of what is read, how it is taken.
type place struct {
	ours    string
	members members                      // of an object
	take    func(value any) (any, error) // nil: as it is
}

// The bounds of what is read. Ticks of a span, and what is drawn from them, stay within the module's whole numbers.
const (
	longestSpan = 360_000.0 // seconds
	mostRelays  = 1e6
	mostSends   = 32
	mostStages  = 1000
)

const atMostOnce = "at_most_once"

var document = members{
	"balancers":        {ours: "relays", take: capped(mostRelays)},
	"blend":            {ours: "weights", members: members{}},
	"clients":          {ours: "clients", members: members{"marks_retry": {ours: "marks_repeats"}}},
	"discovery":        {ours: "discovery", take: word},
	"family":           {ours: "family"},
	"family_info":      {ours: "rollout", members: rollout},
	"grades":           {ours: "op_types", take: list(opType, distinctNotEmpty)},
	"kinds":            {ours: "kinds", take: names},
	"limits":           {ours: "limits", members: limits},
	"load_info":        {ours: "load", members: load},
	"me":               {ours: "me"},
	"over_share_worth": {ours: "over_share_importance"},
	"parties":          {ours: "customers", take: list(customer, distinct)},
	"prices":           {ours: "prices", members: members{}},
	"rules":            {ours: "rules", members: rules},
	"stage":            {ours: "stage"},
	"tick":             {ours: "tick"},
	"tiers":            {ours: "tiers"},
	"weights":          {ours: "weights"},
	"worth_by":         {ours: "importance_by"},
	"zone":             {ours: "zone"},
	"zones":            {ours: "zones", take: zones},
}

var load = members{"columns": {ours: "figures", take: words}, "source": {ours: "source"}}

var opType = members{
	"aim_stretch": {ours: "aim_stretch"},
	"on_time":     {ours: "service_target", take: span},
	"deadline":    {ours: "command_timeout", take: span},
	"semantics": {ours: "repeats", take: oneOf(map[string]string{"read_like": "redeliverable",
		"idempotency_key": "deduplicated", "non_idempotent": atMostOnce}, atMostOnce)},
	"dedup_scope": {ours: "repeat_group", take: word},
	"late_worth":  {ours: "late_importance"},
	"name":        {ours: "name", take: word},
	"stream":      {ours: "streams"},
	"window":      {ours: "repeat_window", take: span},
	"worth":       {ours: "importance", take: number},
}

var customer = members{
	"fraction": {ours: "share"}, "name": {ours: "name", take: word}, "quota_per_s": {ours: "quota_per_s"},
}

var limits = members{
	"connect_timeout": {ours: "connect_timeout", take: span}, "cpu_us_per_request": {ours: "cpu_us_per_request"},
	"cpu_us_per_s": {ours: "cpu_us_per_s"}, "idle_close": {ours: "idle_close", take: span},
	"max_open": {ours: "max_open"}, "max_retry_after": {ours: "max_come_back", take: span},
	"may_cancel": {ours: "may_cancel", take: flag}, "may_duplicate": {ours: "second_copies", take: flag},
	"peers": {ours: "peers", take: flag}, "probing": {ours: "probes", take: flag},
	"retry_after": {ours: "come_back", take: flag}, "send_cap": {ours: "max_deliveries", take: sends},
	"streams_per_conn": {ours: "streams_per_conn"},
}

var rules = members{
	"answer_slack": {ours: "answer_slack"}, "ask_every": {ours: "ask_every", take: span},
	"cold": {ours: "cold", take: bound}, "cold_from": {ours: "cold_from", take: share},
	"drain_grace": {ours: "drain_grace", take: span}, "fall_multiple": {ours: "fall_multiple", take: number},
	"tip_after": {ours: "tip_after", take: bound},
}

var rollout = members{
	"ayes_needed": {ours: "votes_on"}, "ballot_ttl": {ours: "vote_life", take: span},
	"behind_price": {ours: "behind_price"}, "control": {ours: "control", take: word},
	"counted_by":   {ours: "exposure_by", take: oneOf(map[string]string{"all": "all", "per_lane": "op_type"}, "")},
	"counted_over": {ours: "exposure_window", take: bound}, "forward_only": {ours: "forward_only", take: flag},
	"found_share":    {ours: "found_share", take: share},
	"guarded_stages": {ours: "guarded_stages", take: whole(mostStages)},
	"harm_price":     {ours: "harm_price"}, "metrics_period": {ours: "metrics_period", take: span},
	"most_shares": {ours: "caps", take: shares}, "moves_after": {ours: "moves_after"},
	"noes_needed": {ours: "votes_back"}, "repeat_every": {ours: "repeat_every"},
	"replace_mode": {ours: "replace_mode"}, "shares": {ours: "stage_shares", take: shares}, "soak": {ours: "bake"},
	"tally_sample": {ours: "tally_sample"}, "to_pause": {ours: "votes_hold"},
	"uncounted": {ours: "exposure_free", take: number}, "vote_wait": {ours: "vote_wait", take: span},
	"votes_per_s": {ours: "votes_per_s", take: number}, "warm_keys": {ours: "warm_keys"},
}

// taken are the paths that nothing else of the document may have.
var taken = document.paths()

// paths are those of ours, with what the operator's own file sets.
func (all members) paths() map[string]bool {
	out := map[string]bool{"rollout.evidence_wait": true, "rollout.report_within": true}
	for _, is := range all {
		out[is.ours] = true
		for _, under := range is.members {
			out[is.ours+"."+under.ours] = true
		}
	}
	return out
}

// What follows takes one value each.

func word(value any) (any, error) {
	if v, ok := value.(string); ok {
		return v, nil
	}
	return nil, wanted("a word", value)
}

func flag(value any) (any, error) {
	if v, ok := value.(bool); ok {
		return v, nil
	}
	return nil, wanted("true or false", value)
}

func number(value any) (any, error) {
	if v, ok := value.(float64); ok && v >= 0 {
		return v, nil
	}
	return nil, wanted("a number that is not negative", value)
}

// capped takes any number. One below 0 counts as 0, one above most as that.
func capped(most float64) func(any) (any, error) {
	return func(value any) (any, error) {
		if v, ok := value.(float64); ok {
			return min(max(v, 0), most), nil
		}
		return nil, wanted("a number", value)
	}
}

// span takes seconds. What is longer than any time that matters counts as the longest.
func span(value any) (any, error) {
	if v, ok := value.(float64); ok && v >= 0 {
		return min(v, longestSpan), nil
	}
	return nil, wanted("a number of seconds that is not negative", value)
}

// bound takes the span of a rule that a shorter one would break.
func bound(value any) (any, error) {
	if v, ok := value.(float64); ok && v >= 0 && v <= longestSpan {
		return v, nil
	}
	return nil, wanted(fmt.Sprintf("a number of seconds from 0 to %v", longestSpan), value)
}

func share(value any) (any, error) {
	if v, ok := value.(float64); ok && v >= 0 && v <= 1 {
		return v, nil
	}
	return nil, wanted("a number from 0 to 1", value)
}

// whole takes a whole number, one above most as that.
func whole(most float64) func(any) (any, error) {
	return func(value any) (any, error) {
		if v, ok := value.(float64); ok && v >= 0 && v == math.Trunc(v) {
			return min(v, most), nil
		}
		return nil, wanted("a whole number that is not negative", value)
	}
}

// sends takes how many deliveries a command may have. With none a relay would serve nothing.
func sends(value any) (any, error) {
	if v, ok := value.(float64); ok && v >= 1 && v == math.Trunc(v) {
		return min(v, mostSends), nil
	}
	return nil, wanted("a whole number from 1 on", value)
}

// oneOf takes a word of a closed set; any other is taken for another, or refused where that is "".
func oneOf(set map[string]string, another string) func(any) (any, error) {
	return func(value any) (any, error) {
		v, ok := value.(string)
		ours, known := set[v]
		switch {
		case known:
			return ours, nil
		case ok && another != "":
			return another, nil
		}
		return nil, wanted("one of "+strings.Join(slices.Sorted(maps.Keys(set)), ", "), value)
	}
}

// shares takes a list of parts of the whole, one for each stage.
func shares(value any) (any, error) {
	all, ok := value.([]any)
	if !ok {
		return nil, wanted("a list of numbers from 0 to 1", value)
	}
	for _, v := range all {
		if _, err := share(v); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func words(value any) (any, error) {
	all, ok := value.([]any)
	if !ok {
		return nil, wanted("a list of words", value)
	}
	for _, v := range all {
		if _, err := word(v); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// names takes a list of names, or of objects that have one.
func names(value any) (any, error) {
	if all, _ := value.([]any); len(all) > 0 {
		if _, ok := all[0].(map[string]any); ok {
			return list(members{"name": {ours: "name", take: word}}, mayRepeat)(value)
		}
	}
	return words(value)
}

// zones are names that differ: of two with one name nobody could tell which a unit is in.
func zones(value any) (any, error) {
	all, err := names(value)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	switch l := all.(type) {
	case []any:
		for _, v := range l {
			if err := once(seen, v.(string)); err != nil {
				return nil, err
			}
		}
	case []map[string]any:
		for _, v := range l {
			if err := once(seen, v["name"].(string)); err != nil {
				return nil, err
			}
		}
	}
	return all, nil
}

func once(seen map[string]bool, name string) error {
	if seen[name] {
		return fmt.Errorf("%s stands twice", strconv.Quote(short(name)))
	}
	seen[name] = true
	return nil
}

// naming says what holds for the names of a list.
type naming int

const (
	mayRepeat naming = iota
	distinct
	distinctNotEmpty
)

// list takes a list of objects that have a name each.
func list(each members, rule naming) func(any) (any, error) {
	taken := each.paths()
	return func(value any) (any, error) {
		all, ok := value.([]any)
		if !ok {
			return nil, wanted("a list", value)
		}
		if len(all) == 0 {
			return all, nil
		}
		out, seen := make([]map[string]any, 0, len(all)), map[string]bool{}
		for i, v := range all {
			object, ok := v.(map[string]any)
			if !ok {
				return nil, wanted(fmt.Sprintf("an object at place %d", i), v)
			}
			one := map[string]any{}
			if err := each.translate("", "", taken, object, one); err != nil {
				return nil, fmt.Errorf("place %d: %w", i, err)
			}
			name, named := one["name"].(string)
			if !named || name == "" && rule == distinctNotEmpty {
				return nil, fmt.Errorf("place %d: no name", i)
			}
			if err := once(seen, name); err != nil && rule != mayRepeat {
				return nil, err
			}
			out = append(out, one)
		}
		return out, nil
	}
}
