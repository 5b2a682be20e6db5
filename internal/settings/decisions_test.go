package settings

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"

	"silvercove/balancer"
)

// generatedSite is a random site without names. It holds how many classes, zones, tenants and machine kinds the site
// has; document adds their names.
type generatedSite struct {
	classes, zones, tenants, kinds int
	topLevel                       map[string]any // top-level members of the document, except the lists that contain names
	classMembers                   []map[string]any
	seed                           uint64
}

func generateSite(t *rapid.T) generatedSite {
	pick := func(label string, of ...any) any { return rapid.SampledFrom(of).Draw(t, label) }
	s := generatedSite{classes: rapid.IntRange(1, 4).Draw(t, "classes"),
		zones:   rapid.IntRange(1, 3).Draw(t, "zones"),
		tenants: rapid.IntRange(0, 3).Draw(t, "customers"),
		kinds:   rapid.IntRange(1, 2).Draw(t, "kinds"),
		seed:    rapid.Uint64().Draw(t, "seed")}
	for range s.classes {
		s.classMembers = append(s.classMembers, map[string]any{"on_time": pick("on_time", 0.1, 0.3, 1.0),
			"deadline":    pick("deadline", 1.0, 2.0),
			"semantics":   pick("semantics", "read_like", "idempotency_key", "non_idempotent", "twice_at_least"),
			"dedup_scope": pick("dedup_scope", "all", "zone", "cell", "rack"), "window": pick("window", 0.0, 0.2, 5.0),
			"worth": pick("worth", 0.5, 1.0, 4.0)})
	}
	s.topLevel = map[string]any{"balancers": pick("balancers", 1, 3),
		"discovery": pick("discovery", "automatic", "subscribe"),
		"limits": map[string]any{"send_cap": pick("send_cap", 1, 2, 4),
			"may_cancel":  pick("may_cancel", true, false),
			"retry_after": pick("retry_after", true, false), "max_retry_after": 1.0,
			"connect_timeout": 0.2, "idle_close": 5.0},
		"rules": map[string]any{"ask_every": 4.0, "cold": pick("cold", 0.0, 2.0), "cold_from": 0.4,
			"drain_grace":   0.5,
			"fall_multiple": 2.0, "tip_after": 1.0},
		"family_info": map[string]any{"control": pick("control", "single", "clocked"),
			"counted_by":   pick("counted_by", "all", "per_lane"),
			"counted_over": 1.0, "uncounted": pick("uncounted", 0.0, 2.0),
			"most_shares": []any{0.3, 1.0}, "shares": []any{0.2, 1.0},
			"guarded_stages": pick("guarded_stages", 0, 1),
			"forward_only":   pick("forward_only", true, false),
			"found_share":    pick("found_share", 0.0, 0.5), "metrics_period": 1.0,
			"vote_wait": 1.0, "votes_per_s": 100.0, "ballot_ttl": 2.0},
	}
	return s
}

// siteNames holds names for the classes, zones, tenants and machine kinds of a generated site.
type siteNames struct{ classes, zones, tenants, kinds []string }

func (s generatedSite) plainNames() (n siteNames) {
	number := func(what string, n int) (all []string) {
		for i := range n {
			all = append(all, fmt.Sprint(what, i))
		}
		return all
	}
	return siteNames{number("class-", s.classes), number("zone-", s.zones), number("customer-", s.tenants),
		number("kind-", s.kinds)}
}

func (s generatedSite) unusualNames(t *rapid.T) siteNames {
	nonEmpty := rapid.OneOf(rapid.SampledFrom(hostileNames), rapid.StringN(1, 40, -1).Filter(utf8.ValidString))
	maybeEmpty := rapid.OneOf(nonEmpty, rapid.Just(""))
	draw := func(of *rapid.Generator[string], n int, what string) []string {
		return rapid.SliceOfNDistinct(of, n, n, rapid.ID[string]).Draw(t, what)
	}
	return siteNames{draw(nonEmpty, s.classes, "class names"), draw(maybeEmpty, s.zones, "zone names"),
		draw(maybeEmpty, s.tenants, "customer names"), draw(maybeEmpty, s.kinds, "kind names")}
}

// document encodes the site as a settings document with the names n. It also adds the members of the parameter more at
// the top level, but a member of the site takes precedence over a member of more with
// the same name.
func (s generatedSite) document(t *rapid.T, n siteNames, more map[string]any) []byte {
	doc := map[string]any{}
	for name, value := range more {
		doc[name] = value
	}
	for name, value := range s.topLevel {
		doc[name] = value
	}
	var grades, parties []any
	for i, op := range s.classMembers {
		grade := map[string]any{"name": n.classes[i]}
		for name, value := range op {
			grade[name] = value
		}
		grades = append(grades, grade)
	}
	for _, name := range n.tenants {
		parties = append(parties, map[string]any{"name": name, "fraction": 0.5, "quota_per_s": 10})
	}
	doc["grades"], doc["parties"], doc["zones"], doc["kinds"] = grades, parties, n.zones, n.kinds
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// simulate runs a balancer with the settings in simulated time and returns the trace of its actions. As in a relay,
// requests and endpoints refer to classes, zones and tenants by name, and the settings map each name to the index that
// the balancer uses.
func (s generatedSite) simulate(t *rapid.T, text []byte, n siteNames) []string {
	read, err := Read(text)
	if err != nil {
		t.Fatal(err)
	}
	checkDurations(t, read.Balancer)
	indexByName := func(names []string) map[string]int {
		index := map[string]int{}
		for i, name := range names {
			index[name] = i
		}
		return index
	}
	var classNames []string
	for _, class := range read.Balancer.Classes {
		classNames = append(classNames, class.Name)
	}
	classes, zones, tenants := indexByName(classNames), indexByName(read.Zones), indexByName(read.Tenants)
	number := func(of map[string]int, name string) int {
		i, ok := of[name]
		if !ok {
			t.Fatalf("name %q is not in the settings", name)
		}
		return i
	}
	w := &simulatedHost{now: 100 * balancer.Second, random: rand.New(rand.NewPCG(s.seed, 1))}
	w.balancer = balancer.New(w, w.now, s.seed, read.Balancer)
	backends := make([]*balancer.Backend, 6)
	list := func(i int, version uint16, started balancer.Tick) {
		w.balancer.OnEndpoint(w.now, backends[i], balancer.Endpoint{Zone: number(zones, n.zones[i%s.zones]), Cell: i / 2,
			MachineKind: i % s.kinds, State: balancer.Ready, NominalWeight: 1, StartedAt: started, Version: version})
	}
	for i := range backends {
		backends[i] = &balancer.Backend{ID: uint32(i)}
		list(i, 1, 0)
	}
	w.balancer.OnListSynced(w.now, true)
	status := balancer.ReleaseStatus{Version: 1, Phase: balancer.Released, ExposureCap: 1, Outcome: balancer.Succeeded}
	w.balancer.OnReleaseStatus(w.now, status)
	for i := range 300 {
		at := w.now + balancer.Tick(i)*balancer.Second/100
		op := n.classes[w.random.IntN(s.classes)]
		key := w.random.Uint64N(20)
		w.at(at, func() {
			c := &balancer.Request{ID: uint64(i), Class: number(classes, op), Key: key, Deadline: w.now + balancer.Second}
			if s.tenants > 0 {
				c.Tenant = number(tenants, n.tenants[i%s.tenants])
			}
			w.balancer.OnRequest(w.now, c)
		})
	}
	w.at(w.now+balancer.Second/2, func() {
		list(0, 2, w.now)
		status = balancer.ReleaseStatus{Version: 2, Phase: balancer.Canary, ExposureCap: 0.3, Outcome: balancer.Succeeded}
		w.balancer.OnReleaseStatus(w.now, status)
	})
	w.at(w.now+2*balancer.Second, func() {
		w.balancer.OnWrongAnswer(w.now, backends[0], number(classes, n.classes[0]), balancer.Second/10)
		w.balancer.OnMetrics(w.now, 2, number(classes, n.classes[0]), 30, 20, balancer.Second/10, 0)
	})
	w.run(w.now + 4*balancer.Second)
	return w.trace
}

// simulatedHost is a balancer.Host in simulated time.
type simulatedHost struct {
	now      balancer.Tick
	random   *rand.Rand
	balancer *balancer.Balancer
	queue    []event
	answered map[*balancer.Request]bool
	ended    map[*balancer.Attempt]bool
	trace    []string
}

type event struct {
	at balancer.Tick
	do func()
}

func (w *simulatedHost) at(at balancer.Tick, do func()) {
	i, _ := slices.BinarySearchFunc(w.queue, at, func(e event, at balancer.Tick) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

func (w *simulatedHost) run(until balancer.Tick) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.now = max(w.now, next.at)
		next.do()
	}
}

func (w *simulatedHost) log(format string, values ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%d ", w.now)+fmt.Sprintf(format, values...))
}

func (w *simulatedHost) endAttempt(attempt *balancer.Attempt, sent balancer.Tick, outcome balancer.Outcome) {
	if w.ended[attempt] {
		return
	}
	if w.ended == nil {
		w.ended, w.answered = map[*balancer.Attempt]bool{}, map[*balancer.Request]bool{}
	}
	w.ended[attempt] = true
	w.answered[attempt.Request] = w.answered[attempt.Request] || outcome == balancer.Succeeded
	w.balancer.OnOutcome(w.now, attempt, outcome, w.now-sent, w.answered[attempt.Request], nil)
}

func (w *simulatedHost) StartAttempt(attempt *balancer.Attempt, stopAt balancer.Tick) {
	w.log("start request %d attempt %d at backend %d until %d", attempt.Request.ID, attempt.Number, attempt.Backend.ID, stopAt)
	outcome, latency, sent := balancer.Succeeded, balancer.Tick(50+w.random.IntN(500)), w.now
	switch draw := w.random.IntN(20); {
	case draw == 0:
		outcome = balancer.Reset
	case draw == 1:
		outcome = balancer.AtCapacity
	case draw <= 3 || attempt.Backend.Version == 2 && draw < 12:
		outcome = balancer.Errored
	case draw == 4:
		latency = 2 * balancer.Second
	}
	if w.now+latency >= stopAt {
		outcome, latency = balancer.TimedOut, max(1, stopAt-w.now)
	}
	w.at(w.now+latency, func() { w.endAttempt(attempt, sent, outcome) })
}

func (w *simulatedHost) CancelAttempt(attempt *balancer.Attempt) {
	w.log("cancel request %d attempt %d", attempt.Request.ID, attempt.Number)
	sent := w.now
	w.at(w.now+1, func() { w.endAttempt(attempt, sent, balancer.Cancelled) })
}

func (w *simulatedHost) Reject(c *balancer.Request, retryAfter balancer.Tick) {
	w.log("reject %d, retry after %d", c.ID, retryAfter)
	w.finishRequest(c)
}

func (w *simulatedHost) Fail(c *balancer.Request) {
	w.log("fail %d", c.ID)
	w.finishRequest(c)
}

func (w *simulatedHost) finishRequest(c *balancer.Request) {
	if w.answered == nil {
		w.ended, w.answered = map[*balancer.Attempt]bool{}, map[*balancer.Request]bool{}
	}
	w.answered[c] = true
}

func (w *simulatedHost) SetTimer(at balancer.Tick, tag uint32) {
	w.at(max(at, w.now+1), func() { w.balancer.OnTimer(w.now, tag) })
}
func (w *simulatedHost) CastVote(version uint16, stage int, v balancer.Verdict) {
	w.log("vote %d on version %d at stage %d", v, version, stage)
}
func (w *simulatedHost) Probe(backend *balancer.Backend)     { w.log("probe %d", backend.ID) }
func (w *simulatedHost) CloseIdle(backend *balancer.Backend) { w.log("close %d", backend.ID) }
func (w *simulatedHost) SendGossip(peer uint32, data []byte) { w.log("gossip to %d %x", peer, data) }
func (w *simulatedHost) Log(message string, fields ...slog.Attr) {
	w.log("log %s", balancer.LogLine(message, fields...))
}

func (w *simulatedHost) WatchEndpoints(on bool) { w.log("watch %v", on) }
func (w *simulatedHost) FetchEndpoints()        { w.log("fetch") }

// requireSameTrace fails the test at the first action that differs between the traces plain and other. plain must have
// at least 100 actions, because a comparison of fewer would show little. The parameter what names the change between the
// two runs in the failure message.
func requireSameTrace(t *rapid.T, what string, plain, other []string) {
	if len(plain) < 100 {
		t.Fatalf("only %d actions to compare", len(plain))
	}
	for i := range plain {
		if i >= len(other) || plain[i] != other[i] {
			t.Fatalf("%s change action %d of %d, which was: %s", what, i, len(plain), plain[i])
		}
	}
	if len(other) != len(plain) {
		t.Fatalf("%s: got %d actions, want %d", what, len(other), len(plain))
	}
}

// TestDecisions_IndependentOfNames guards against decisions that depend on a name. The same site with other names must
// lead to the same actions.
func TestDecisions_IndependentOfNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := generateSite(t)
		plain, odd := s.plainNames(), s.unusualNames(t)
		requireSameTrace(t, "other names", s.simulate(t, s.document(t, plain, nil), plain),
			s.simulate(t, s.document(t, odd, nil), odd))
	})
}

// TestDecisions_UnknownSettingsIgnored guards against a setting that is read at the wrong position. It adds members
// with unknown names at the top level of the document. They must not change an action of the balancer. Many of the
// names are settings at another position, or are paths.
func TestDecisions_UnknownSettingsIgnored(t *testing.T) {
	known := map[string]bool{}
	for _, setting := range documentSchema {
		known[setting.name] = true
	}
	paths := make([]string, 0, len(goldenPaths))
	for _, path := range goldenPaths {
		paths = append(paths, strings.ReplaceAll(path, "/", "."))
	}
	rapid.Check(t, func(t *rapid.T) {
		s := generateSite(t)
		names := rapid.OneOf(rapid.SampledFrom(paths), rapid.SampledFrom(hostileNames), rapid.SampledFrom(unknownPaths),
			rapid.String().Filter(utf8.ValidString))
		values := rapid.SampledFrom([]any{nil, 0, -1, 1e300, "subscribe", "per_lane", true, []any{},
			[]any{map[string]any{}}, map[string]any{"max_deliveries": 1, "caps": []any{}}})
		more := map[string]any{}
		for name, value := range rapid.MapOfN(names, values, 1, 8).Draw(t, "unknown") {
			if !known[name] {
				more[name] = value
			}
		}
		n := s.plainNames()
		requireSameTrace(t, "unknown settings", s.simulate(t, s.document(t, n, nil), n),
			s.simulate(t, s.document(t, n, more), n))
	})
}
