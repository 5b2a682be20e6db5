package settings

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/standin/golden"
)

// The golden trace records the result of parsing many generated settings documents. The result is the value of each
// setting that is read, in the unit in which the code uses the setting, or the error of a document that is refused.
// Settings that are not read are not in the trace; TestRead_IgnoresUnknownSettings and
// TestDecisions_UnknownSettingsIgnored cover them.

const (
	goldenFile  = "settings.golden"
	goldenSeeds = 150
)

// canonicalLines returns the values of a Site as sorted lines "path = value", one or more for each setting that is read.
func canonicalLines(site Site) []string {
	var lines []string
	say := func(path, format string, values ...any) {
		lines = append(lines, path+" = "+fmt.Sprintf(format, values...))
	}
	ticks := func(path string, v balancer.Seconds) { say(path, "%d ticks", v.Ticks()) }
	nanoseconds := func(path string, v balancer.Seconds) { say(path, "%d ns", v.Duration().Nanoseconds()) }
	names := func(path string, names []string) {
		for i, name := range names {
			say(fmt.Sprintf("%s[%d]", path, i), "%q", shorten(name))
		}
	}
	numbers := func(path string, list []float64) {
		say(path, "%d stages", max(1, len(list)))
		for i, number := range list {
			say(fmt.Sprintf("%s[%d]", path, i), "%v", number)
		}
	}
	s := site.Balancer

	say("balancers", "%v", s.Relays)
	say("discovery", "on demand: %v", s.Discovery == balancer.DiscoverySubscribe)
	names("kinds", site.MachineKinds)
	names("load_info.columns", site.LoadColumns)
	names("parties", site.Tenants)
	names("zones", site.Zones)

	nanoseconds("limits.connect_timeout", s.Limits.ConnectTimeout)
	ticks("limits.idle_close", s.Limits.IdleTimeout)
	nanoseconds("limits.idle_close", s.Limits.IdleTimeout)
	ticks("limits.max_retry_after", s.Limits.MaxRetryAfter)
	nanoseconds("limits.max_retry_after", s.Limits.MaxRetryAfter)
	say("limits.may_cancel", "%v", s.Limits.MayCancel)
	say("limits.peers", "%v", s.Limits.Gossip)
	say("limits.retry_after", "%v", s.Limits.RetryAfter)
	say("limits.send_cap", "%d", s.Limits.MaxAttempts)

	ticks("rules.ask_every", s.Endpoints.PollInterval)
	ticks("rules.cold", s.SlowStart.Window)
	say("rules.cold_from", "%v", s.SlowStart.InitialFraction)
	ticks("rules.drain_grace", s.Endpoints.DrainGrace)
	nanoseconds("rules.drain_grace", s.Endpoints.DrainGrace)
	say("rules.fall_multiple", "%v", s.SlowStart.OverloadMultiple)
	ticks("rules.tip_after", s.SlowStart.OverloadWindow)

	say("family_info.control", "by the clock: %v", s.Rollout.Control == balancer.AdvanceByClock)
	say("family_info.counted_by", "a count a class: %v", s.Rollout.ExposurePerClass)
	ticks("family_info.counted_over", s.Rollout.ExposureWindow)
	say("family_info.forward_only", "%v", s.Rollout.ForwardOnly)
	say("family_info.found_share", "%v", s.Rollout.FoundShare)
	say("family_info.guarded_stages", "%d", s.Rollout.GuardedStages)
	ticks("family_info.metrics_period", s.Rollout.MetricsPeriod)
	numbers("family_info.most_shares", s.Rollout.StageCaps)
	numbers("family_info.shares", s.Rollout.StageShares)
	say("family_info.uncounted", "%v", s.Rollout.ExposureFree)
	ticks("family_info.ballot_ttl", s.Rollout.VoteLifetime)
	ticks("family_info.vote_wait", s.Rollout.VoteTimeout)
	nanoseconds("family_info.vote_wait", s.Rollout.VoteTimeout)
	say("family_info.votes_per_s", "%v", s.Rollout.VotesPerSecond)
	ticks("(the operator's evidence wait)", s.Rollout.EvidenceWait)
	ticks("(the operator's report time)", s.Rollout.ReportWithin)

	for i, class := range s.Classes {
		at := func(name string) string { return fmt.Sprintf("grades[%d].%s", i, name) }
		say(at("name"), "%q", shorten(class.Name))
		say(at("worth"), "%v", class.PriorityWeight)
		ticks(at("on_time"), class.LatencyObjective)
		nanoseconds(at("deadline"), class.Deadline)
		ticks(at("window"), class.DedupWindow)
		say(at("semantics"), "%s", map[balancer.Idempotency]string{balancer.Idempotent: "idempotent",
			balancer.IdempotentWithKey: "idempotent with a key", balancer.AtMostOnce: "at most once"}[class.Idempotency])
		say(at("dedup_scope"), "%s", map[balancer.DedupScope]string{balancer.DedupEverywhere: "everywhere",
			balancer.DedupZone: "zone", balancer.DedupCell: "cell", balancer.DedupNowhere: "nowhere"}[class.DedupScope])
	}
	slices.Sort(lines)
	return lines
}

// shorten replaces a long name by its beginning and its length, to keep the trace small.
func shorten(name string) string {
	const most = 60
	if len(name) <= most {
		return name
	}
	return fmt.Sprintf("%s... (%d bytes)", name[:most], len(name))
}

// goldenPaths are the paths of the settings in the wire format's documentation, and a few paths that are not in the
// documentation. A path through a list of objects refers to the first object.
var goldenPaths = []string{
	"balancers", "blend", "blend/whole", "clients", "clients/marks_retry", "discovery", "family", "family_info",
	"family_info/ayes_needed", "family_info/ballot_ttl", "family_info/behind_price", "family_info/control",
	"family_info/counted_by", "family_info/counted_over", "family_info/forward_only", "family_info/found_share",
	"family_info/guarded_stages", "family_info/harm_price", "family_info/metrics_period", "family_info/most_shares",
	"family_info/moves_after", "family_info/noes_needed", "family_info/repeat_every", "family_info/replace_mode",
	"family_info/shares", "family_info/soak", "family_info/tally_sample", "family_info/to_pause", "family_info/uncounted",
	"family_info/vote_wait", "family_info/votes_per_s", "family_info/warm_keys", "family_info/unheard_of",
	"grades", "grades/aim_stretch", "grades/deadline", "grades/dedup_scope", "grades/late_worth", "grades/name",
	"grades/on_time", "grades/semantics", "grades/stream", "grades/unheard_of", "grades/window", "grades/worth", "kinds",
	"limits", "limits/connect_timeout", "limits/cpu_us_per_request", "limits/cpu_us_per_s", "limits/idle_close",
	"limits/max_open", "limits/max_retry_after", "limits/may_cancel", "limits/may_duplicate", "limits/peers",
	"limits/probing", "limits/retry_after", "limits/send_cap", "limits/streams_per_conn", "limits/unheard_of",
	"load_info", "load_info/columns", "load_info/source", "me", "over_share_worth", "parties", "parties/fraction",
	"parties/name", "parties/quota_per_s", "prices", "prices/waste", "rules", "rules/answer_slack", "rules/ask_every",
	"rules/cold", "rules/cold_from", "rules/drain_grace", "rules/fall_multiple", "rules/tip_after", "stage", "tick", "tiers",
	"unheard_of", "weights", "worth_by", "zone", "zones",
}

// goldenValues are the JSON values that TestRead_MatchesGoldenTrace sets at each of goldenPaths. The value "" removes
// the setting instead.
var goldenValues = []string{
	"", "null", "0", "-0.0", "-1", "-1e-9", "0.00029", "0.29", "0.5", "1", "1.0000001", "3", "32.5", "33", "1001", "1e7", "360000", "360001",
	"1e300", "1e999", "true", "false", `""`, `"3"`, `"subscribe"`, `"clocked"`, `"all"`, `"per_lane"`, `"zone"`, `"cell"`,
	`"read_like"`, `"idempotency_key"`, `"non_idempotent"`, `"redeliverable"`, `"two"`, `"sell"`, `"east"`,
	"[]", "{}", "[null]", "[1]", "[-1]", "[0.25,0.5]", "[0.25,2]", `["a"]`, `["a","a"]`, `["a",1]`, `[{}]`, `[{"name":"a"}]`,
	`[{"name":"a"},{"name":"a"}]`, `[{"name":"a"},"b"]`, `[{"name":"","on_time":1}]`, `[{"name":"a","on_time":0.0001}]`,
	`[{"name":"a","deadline":0.7},{"name":"b","on_time":5,"semantics":"read_like"}]`, `{"name":1}`, `{"unheard_of":{"a":1,"b":[{}]}}`,
}

// goldenDocuments are complete documents, most of them malformed or incomplete.
var goldenDocuments = []string{
	"", " ", "{", "}", "null", "[]", "3", `"text"`, "{}", `{"grades":[]}`, `{"grades":null}`, `{"grades":[null]}`, `{"grades":[1]}`,
	`{"grades":{"a":1}}`, `{"grades":[{"name":"a","on_time":1}]}`, `{"grades":[{"name":"a","on_time":1}]} `,
	`{"grades":[{"name":"a","on_time":1}]} x`, `{"grades":[{"name":"a","on_time":1}],}`,
	`{"grades":[{"name":"a","on_time":1}],"grades":[{"name":"a","on_time":1}]}`,
	`{"grades":[{"name":"a","on_time":1,"on_time":2}]}`, `{"grades":[{"name":"a","on_time":1}],"rules":{"cold":1,"cold":1}}`,
	`{"grades":[{"name":"a","on_time":1}],"x":[{"y":{"z":1,"z":1}}]}`, `{"grades":[{"name":"a","on_time":1}],"x":[[[{"y":1,"y":1}]]]}`,
	`{"grades":[{"name":"a","on_time":1}],"a.b":1,"a":{"b":1}}`, `{"Grades":[{"name":"a","on_time":1}]}`,
	`{"grades":[{"name":"a"}]}`, `{"grades":[{"name":"a","on_time":0,"deadline":0}]}`, `{"grades":[{"name":"a","on_time":null,"deadline":0}]}`,
	`{"grades":[{"name":"a","on_time":1},{"name":"b"}]}`, `{"grades":[{"name":"a","on_time":1},{"name":"a","on_time":1}]}`,
	`{"grades":[{"name":"a","on_time":1}],"limits.send_cap":5,"limits":{"max_deliveries":7}}`,
	`{"grades":[{"name":"a","on_time":1,"service_target":9,"repeats":"redeliverable"}],"rollout":{"caps":[1]},"op_types":3}`,
	`{"grades":[{"name":"a","on_time":1}],"rollout.evidence_wait":4,"rollout":{"report_within":4},"family_info":{"evidence_wait":4,"report_within":3}}`,
	`{"grades":[{"name":"a","on_time":1}],"rules":{"cold":2}}`, `{"grades":[{"name":"a","on_time":1}],"rules":{"cold":2,"tip_after":0}}`,
	`{"grades":[{"name":"a","on_time":1}],"family_info":{"uncounted":5}}`, `{"grades":[{"name":"a","on_time":1}],"family_info":{"uncounted":5,"counted_over":0.00001}}`,
	`{"grades":[{"name":"a","on_time":1},{"name":"b","deadline":9}],"limits":{}}`,
	`{"grades":[{"name":"\u0000\"\\é写真","on_time":1}],"zones":["\u202e",""],"kinds":["","",""],"parties":[{"name":""}]}`,
	"{\"grades\":[{\"name\":\"\xff\",\"on_time\":1}]}", `{"grades":[{"name":"` + strings.Repeat("long", 50) + `"}]}`,
	`{"grades":[{"name":"` + strings.Repeat("写", 70) + `"}]}`, `{"grades":"` + strings.Repeat("long ", 50) + `"}`,
	`{"grades":[{"name":"a","on_time":1}],"` + strings.Repeat("n", 100) + `":{"x":1,"x":2}}`, sampleDocument,
}

// validValues holds valid JSON values for the settings at some paths. The trace makes random documents from them.
var validValues = map[string][]string{
	"balancers": {"0", "1", "2.5", "300", "1e9", "-4"}, "discovery": {`"automatic"`, `"subscribe"`, `"other"`},
	"family_info/ballot_ttl": {"0", "0.29", "1e9"}, "family_info/control": {`"single"`, `"clocked"`, `"majority"`, `""`},
	"family_info/counted_by": {`"all"`, `"per_lane"`}, "family_info/counted_over": {"0", "0.29", "1.00009"},
	"family_info/forward_only": {"true", "false"}, "family_info/found_share": {"0", "0.5", "1"},
	"family_info/guarded_stages": {"0", "2", "5000"}, "family_info/metrics_period": {"0", "1.7"},
	"family_info/most_shares": {"[]", "[0]", "[0.1,0.7,1]"}, "family_info/shares": {"[]", "[0.3]", "[0.1,0.7,1]"},
	"family_info/uncounted": {"0", "0.5", "1e6"}, "family_info/vote_wait": {"0", "0.4999", "1e9"},
	"family_info/votes_per_s": {"0", "0.01", "75"}, "grades/deadline": {"0", "0.57", "2.3", "1e9"},
	"grades/dedup_scope": {`"all"`, `"zone"`, `"cell"`, `"rack"`}, "grades/name": {`"a.b"`, `"grades"`, `" "`},
	"grades/semantics": {`"read_like"`, `"idempotency_key"`, `"non_idempotent"`, `"other"`}, "grades/window": {"0", "0.00019", "7"},
	"grades/worth": {"0", "0.25", "1e12"}, "kinds": {"[]", `["x","x"]`, `[{"name":"x","y":1}]`},
	"limits/connect_timeout": {"0", "0.1999", "1e9"}, "limits/idle_close": {"0", "0.29"}, "limits/max_retry_after": {"0", "0.29", "1e9"},
	"limits/may_cancel": {"true", "false"}, "limits/peers": {"true", "false"}, "limits/retry_after": {"true", "false"},
	"limits/send_cap": {"1", "2", "32", "1e9"}, "load_info/columns": {"[]", `["queue"]`, `["util","util"]`},
	"parties": {"[]", `[{"name":"x"}]`, `[{"name":""},{"name":"z"}]`}, "rules/ask_every": {"0", "9.99999"}, "rules/cold": {"0", "4.29"},
	"rules/cold_from": {"0", "0.37", "1"}, "rules/drain_grace": {"0", "0.29"}, "rules/fall_multiple": {"0", "2.5"},
	"rules/tip_after": {"0", "1.5"}, "zones": {"[]", `["x","y","z"]`, `[{"name":"x"}]`},
}

// diffLines compares the lines of a document with the parameter usual: the lines of sampleDocument, or nil to get all
// lines. It returns the lines that are not in usual, and one line for each path in usual that the document lacks.
func diffLines(lines, usual []string) []string {
	var out []string
	for _, line := range lines {
		if !slices.Contains(usual, line) {
			out = append(out, "\t"+line)
		}
	}
	path := func(line string) string { before, _, _ := strings.Cut(line, " = "); return before }
	for _, line := range usual {
		if !slices.ContainsFunc(lines, func(one string) bool { return path(one) == path(line) }) {
			out = append(out, "\t"+path(line)+" is not there")
		}
	}
	return out
}

// TestRead_MatchesGoldenTrace guards against a change in how a setting is read or refused.
func TestRead_MatchesGoldenTrace(t *testing.T) {
	usual, err := Read([]byte(sampleDocument))
	if err != nil {
		t.Fatal(err)
	}
	var trace []string
	take := func(title string, text []byte, against []string) {
		trace = append(trace, title)
		site, err := Read(text)
		if err != nil {
			trace = append(trace, "\terror: "+err.Error())
			return
		}
		trace = append(trace, diffLines(canonicalLines(site), against)...)
	}
	take("the ordinary document", []byte(sampleDocument), nil)
	for i, text := range goldenDocuments {
		take(fmt.Sprintf("document %d: %s", i, strconv.Quote(shorten(text))), []byte(text), nil)
	}
	for _, path := range goldenPaths {
		for _, value := range goldenValues {
			title := path + " : " + value
			if value == "" {
				title = path + " is missing"
			}
			take(title, documentWith(t, path, value), canonicalLines(usual))
		}
	}
	paths := make([]string, 0, len(validValues))
	for path := range validValues {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for seed := range uint64(goldenSeeds) {
		random := rand.New(rand.NewPCG(seed, 0x601d))
		text := []byte(sampleDocument)
		for _, path := range paths {
			if values := validValues[path]; random.IntN(2) == 0 {
				text = setMember(t, text, path, values[random.IntN(len(values))])
			}
		}
		take(fmt.Sprintf("seed %d", seed), text, canonicalLines(usual))
	}
	golden.Lines(t, goldenFile, trace)
}

// TestGoldenValues_CoverDurationRange guards against a golden trace without very short and very long durations. The
// positive numbers in goldenValues must reach from less than 0.001 s, which is a few ticks, to the maximum of 360,000 s.
func TestGoldenValues_CoverDurationRange(t *testing.T) {
	shortest, longest := math.Inf(1), 0.0
	for _, value := range goldenValues {
		if f, err := strconv.ParseFloat(value, 64); err == nil && f > 0 {
			shortest, longest = min(shortest, f), max(longest, f)
		}
	}
	if shortest >= 0.001 || longest < 360_000 {
		t.Errorf("durations only from %v to %v s", shortest, longest)
	}
}
