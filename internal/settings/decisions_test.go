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

// site is a made-up deployment without names.
type site struct {
	classes, zones, customers, kinds int
	figures                          map[string]any // the document, lists with names left out
	ops                              []map[string]any
	seed                             uint64
}

func drawSite(t *rapid.T) site {
	pick := func(label string, of ...any) any { return rapid.SampledFrom(of).Draw(t, label) }
	s := site{classes: rapid.IntRange(1, 4).Draw(t, "classes"),
		zones:     rapid.IntRange(1, 3).Draw(t, "zones"),
		customers: rapid.IntRange(0, 3).Draw(t, "customers"),
		kinds:     rapid.IntRange(1, 2).Draw(t, "kinds"),
		seed:      rapid.Uint64().Draw(t, "seed")}
	for range s.classes {
		s.ops = append(s.ops, map[string]any{"on_time": pick("on_time", 0.1, 0.3, 1.0),
			"deadline":    pick("deadline", 1.0, 2.0),
			"semantics":   pick("semantics", "read_like", "idempotency_key", "non_idempotent", "twice_at_least"),
			"dedup_scope": pick("dedup_scope", "all", "zone", "cell", "rack"), "window": pick("window", 0.0, 0.2, 5.0),
			"worth": pick("worth", 0.5, 1.0, 4.0)})
	}
	s.figures = map[string]any{"balancers": pick("balancers", 1, 3),
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

// named is a way to name all that a site names.
type named struct{ classes, zones, customers, kinds []string }

func (s site) plainly() (n named) {
	number := func(what string, n int) (all []string) {
		for i := range n {
			all = append(all, fmt.Sprint(what, i))
		}
		return all
	}
	return named{number("class-", s.classes), number("zone-", s.zones), number("customer-", s.customers),
		number("kind-", s.kinds)}
}

func (s site) oddly(t *rapid.T) named {
	one := rapid.OneOf(rapid.SampledFrom(hostile), rapid.StringN(1, 40, -1).Filter(utf8.ValidString))
	empty := rapid.OneOf(one, rapid.Just(""))
	draw := func(of *rapid.Generator[string], n int, what string) []string {
		return rapid.SliceOfNDistinct(of, n, n, rapid.ID[string]).Draw(t, what)
	}
	return named{draw(one, s.classes, "class names"), draw(empty, s.zones, "zone names"),
		draw(empty, s.customers, "customer names"), draw(empty, s.kinds, "kind names")}
}

// document writes the settings down, with more at the top beside them.
func (s site) document(t *rapid.T, n named, more map[string]any) []byte {
	doc := map[string]any{}
	for name, value := range more {
		doc[name] = value
	}
	for name, value := range s.figures {
		doc[name] = value
	}
	var grades, parties []any
	for i, op := range s.ops {
		one := map[string]any{"name": n.classes[i]}
		for name, value := range op {
			one[name] = value
		}
		grades = append(grades, one)
	}
	for _, name := range n.customers {
		parties = append(parties, map[string]any{"name": name, "fraction": 0.5, "quota_per_s": 10})
	}
	doc["grades"], doc["parties"], doc["zones"], doc["kinds"] = grades, parties, n.zones, n.kinds
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// play runs a module on the settings in simulated time and writes down what it does. Commands and units come with the
// names of the site and get their numbers from the settings, as a front does it.
func (s site) play(t *rapid.T, text []byte, n named) []string {
	read, err := Read(text)
	if err != nil {
		t.Fatal(err)
	}
	checkFinite(t, read.Balancer)
	places := func(names []string) map[string]int {
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
	classes, zones, tenants := places(classNames), places(read.Zones), places(read.Tenants)
	number := func(of map[string]int, name string) int {
		i, ok := of[name]
		if !ok {
			t.Fatalf("%q is no name of the settings", name)
		}
		return i
	}
	w := &world{now: 100 * balancer.Second, chance: rand.New(rand.NewPCG(s.seed, 1))}
	w.balancer = balancer.New(w, w.now, s.seed, read.Balancer)
	units := make([]*balancer.Backend, 6)
	list := func(i int, build uint16, started balancer.Tick) {
		w.balancer.OnEndpoint(w.now, units[i], balancer.Endpoint{Zone: number(zones, n.zones[i%s.zones]), Cell: i / 2,
			MachineKind: i % s.kinds, State: balancer.Ready, NominalWeight: 1, StartedAt: started, Version: build})
	}
	for i := range units {
		units[i] = &balancer.Backend{ID: uint32(i)}
		list(i, 1, 0)
	}
	w.balancer.OnListSynced(w.now, true)
	news := balancer.ReleaseStatus{Version: 1, Phase: balancer.Released, ExposureCap: 1, Outcome: balancer.Succeeded}
	w.balancer.OnReleaseStatus(w.now, news)
	for i := range 300 {
		at := w.now + balancer.Tick(i)*balancer.Second/100
		op := n.classes[w.chance.IntN(s.classes)]
		key := w.chance.Uint64N(20)
		w.at(at, func() {
			c := &balancer.Request{ID: uint64(i), Class: number(classes, op), Key: key, Deadline: w.now + balancer.Second}
			if s.customers > 0 {
				c.Tenant = number(tenants, n.customers[i%s.customers])
			}
			w.balancer.OnRequest(w.now, c)
		})
	}
	w.at(w.now+balancer.Second/2, func() {
		list(0, 2, w.now)
		news = balancer.ReleaseStatus{Version: 2, Phase: balancer.Canary, ExposureCap: 0.3, Outcome: balancer.Succeeded}
		w.balancer.OnReleaseStatus(w.now, news)
	})
	w.at(w.now+2*balancer.Second, func() {
		w.balancer.OnWrongAnswer(w.now, units[0], number(classes, n.classes[0]), balancer.Second/10)
		w.balancer.OnMetrics(w.now, 2, number(classes, n.classes[0]), 30, 20, balancer.Second/10, 0)
	})
	w.run(w.now + 4*balancer.Second)
	return w.did
}

// world is a host with a clock of its own.
type world struct {
	now      balancer.Tick
	chance   *rand.Rand
	balancer *balancer.Balancer
	later    []event
	over     map[*balancer.Request]bool
	ended    map[*balancer.Attempt]bool
	did      []string
}

type event struct {
	at balancer.Tick
	do func()
}

func (w *world) at(at balancer.Tick, do func()) {
	i, _ := slices.BinarySearchFunc(w.later, at, func(e event, at balancer.Tick) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	w.later = slices.Insert(w.later, i, event{at, do})
}

func (w *world) run(until balancer.Tick) {
	for len(w.later) > 0 && w.later[0].at <= until {
		next := w.later[0]
		w.later = w.later[1:]
		w.now = max(w.now, next.at)
		next.do()
	}
}

func (w *world) log(format string, values ...any) {
	w.did = append(w.did, fmt.Sprintf("%d ", w.now)+fmt.Sprintf(format, values...))
}

func (w *world) end(d *balancer.Attempt, sent balancer.Tick, ending balancer.Outcome) {
	if w.ended[d] {
		return
	}
	if w.ended == nil {
		w.ended, w.over = map[*balancer.Attempt]bool{}, map[*balancer.Request]bool{}
	}
	w.ended[d] = true
	w.over[d.Request] = w.over[d.Request] || ending == balancer.Succeeded
	w.balancer.OnOutcome(w.now, d, ending, w.now-sent, w.over[d.Request], nil)
}

func (w *world) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	w.log("deliver %d no %d to %d by %d", d.Request.ID, d.Number, d.Backend.ID, stopAt)
	ending, took, sent := balancer.Succeeded, balancer.Tick(50+w.chance.IntN(500)), w.now
	switch draw := w.chance.IntN(20); {
	case draw == 0:
		ending = balancer.Reset
	case draw == 1:
		ending = balancer.AtCapacity
	case draw <= 3 || d.Backend.Version == 2 && draw < 12:
		ending = balancer.Errored
	case draw == 4:
		took = 2 * balancer.Second
	}
	if w.now+took >= stopAt {
		ending, took = balancer.TimedOut, max(1, stopAt-w.now)
	}
	w.at(w.now+took, func() { w.end(d, sent, ending) })
}

func (w *world) CancelAttempt(d *balancer.Attempt) {
	w.log("cancel %d no %d", d.Request.ID, d.Number)
	sent := w.now
	w.at(w.now+1, func() { w.end(d, sent, balancer.Cancelled) })
}

func (w *world) Reject(c *balancer.Request, back balancer.Tick) {
	w.log("nack %d back %d", c.ID, back)
	w.final(c)
}

func (w *world) Fail(c *balancer.Request) {
	w.log("fail %d", c.ID)
	w.final(c)
}

func (w *world) final(c *balancer.Request) {
	if w.over == nil {
		w.ended, w.over = map[*balancer.Attempt]bool{}, map[*balancer.Request]bool{}
	}
	w.over[c] = true
}

func (w *world) SetTimer(at balancer.Tick, tag uint32) {
	w.at(max(at, w.now+1), func() { w.balancer.OnTimer(w.now, tag) })
}
func (w *world) CastVote(build uint16, stage int, v balancer.Verdict) {
	w.log("vote %d on %d at %d", v, build, stage)
}
func (w *world) Probe(u *balancer.Backend)           { w.log("probe %d", u.ID) }
func (w *world) CloseIdle(u *balancer.Backend)       { w.log("close %d", u.ID) }
func (w *world) SendGossip(peer uint32, data []byte) { w.log("tell %d %x", peer, data) }
func (w *world) Log(message string, fields ...slog.Attr) {
	w.log("log %s", balancer.LogLine(message, fields...))
}

func (w *world) WatchEndpoints(on bool) { w.log("watch %v", on) }
func (w *world) FetchEndpoints()        { w.log("fetch") }

// differ says where two runs part.
func differ(t *rapid.T, what string, plain, other []string) {
	if len(plain) < 100 {
		t.Fatalf("only %d actions", len(plain))
	}
	for i := range plain {
		if i >= len(other) || plain[i] != other[i] {
			t.Fatalf("%s change action %d of %d: %s", what, i, len(plain), plain[i])
		}
	}
	if len(other) != len(plain) {
		t.Fatalf("%s: %d actions, were %d", what, len(other), len(plain))
	}
}

func TestNamesChangeNoDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSite(t)
		plain, odd := s.plainly(), s.oddly(t)
		differ(t, "other names", s.play(t, s.document(t, plain, nil), plain),
			s.play(t, s.document(t, odd, nil), odd))
	})
}

// TestUnknownSettingsChangeNoDecision: names that nobody knows, many of them words of other places, or paths.
func TestUnknownSettingsChangeNoDecision(t *testing.T) {
	known := map[string]bool{}
	for _, setting := range documentSchema {
		known[setting.name] = true
	}
	paths := make([]string, 0, len(goldenPaths))
	for _, path := range goldenPaths {
		paths = append(paths, strings.ReplaceAll(path, "/", "."))
	}
	rapid.Check(t, func(t *rapid.T) {
		s := drawSite(t)
		names := rapid.OneOf(rapid.SampledFrom(paths), rapid.SampledFrom(hostile), rapid.SampledFrom(strangePaths),
			rapid.String().Filter(utf8.ValidString))
		values := rapid.SampledFrom([]any{nil, 0, -1, 1e300, "subscribe", "per_lane", true, []any{},
			[]any{map[string]any{}}, map[string]any{"max_deliveries": 1, "caps": []any{}}})
		more := map[string]any{}
		for name, value := range rapid.MapOfN(names, values, 1, 8).Draw(t, "unknown") {
			if !known[name] {
				more[name] = value
			}
		}
		n := s.plainly()
		differ(t, "unknown settings", s.play(t, s.document(t, n, nil), n),
			s.play(t, s.document(t, n, more), n))
	})
}
