package balancer

import "testing"

// desk is a Host that writes down what the module does.
type desk struct {
	sent   []*Attempt
	stops  []Tick
	nacked map[*Request]Tick
	failed map[*Request]bool
	called []*Attempt
	votes  []Verdict
	stages []int
	logs   []string
	watch  int
}

func (d *desk) StartAttempt(v *Attempt, stopAt Tick) {
	d.sent, d.stops = append(d.sent, v), append(d.stops, stopAt)
}
func (d *desk) Reject(c *Request, back Tick) { d.nacked[c] = back }
func (d *desk) Fail(c *Request)              { d.failed[c] = true }
func (d *desk) CancelAttempt(v *Attempt)     { d.called = append(d.called, v) }
func (d *desk) SetTimer(Tick, uint32)        {}
func (d *desk) Probe(*Backend)               {}
func (d *desk) CloseIdle(*Backend)           {}
func (d *desk) SendGossip(uint32, []byte)    {}
func (d *desk) Log(text string)              { d.logs = append(d.logs, text) }
func (d *desk) WatchEndpoints(bool)          { d.watch++ }
func (d *desk) FetchEndpoints()              {}
func (d *desk) CastVote(_ uint16, stage int, v Verdict) {
	d.votes, d.stages = append(d.votes, v), append(d.stages, stage)
}

const start = 100 * Second

// opType numbers of the test settings.
const (
	redeliverable = iota
	deduplicated
	atMostOnce
)

// settings makes the settings of a small site; more overrides single names.
func settings(more map[string]any) map[string]any {
	op := func(kind, group string) map[string]any {
		return map[string]any{"repeats": kind, "repeat_group": group, "repeat_window": 1.0,
			"service_target": 0.5, "command_timeout": 2.0, "importance": 1.0}
	}
	set := map[string]any{
		"relays": 1.0, "limits.max_deliveries": 3.0, "limits.may_cancel": true, "limits.come_back": true,
		"limits.max_come_back": 1.0, "rules.cold": 4.0, "rules.cold_from": 0.5, "rules.fall_multiple": 2.0,
		"rules.tip_after": 1.0, "rules.drain_grace": 1.0, "rules.ask_every": 10.0,
		"rollout.exposure_free": 2.0, "rollout.exposure_window": 4.0, "rollout.exposure_by": "all",
		"rollout.caps": []any{0.2, 1.0}, "rollout.stage_shares": []any{0.1, 1.0}, "rollout.guarded_stages": 0.0,
		"rollout.control": "single", "rollout.vote_life": 4.0, "rollout.vote_wait": 1.0, "rollout.votes_per_s": 100.0,
		"rollout.found_share": 0.0,
		"op_types":            []map[string]any{op("redeliverable", ""), op("deduplicated", "zone"), op("at_most_once", "")},
	}
	for name, value := range more {
		set[name] = value
	}
	return set
}

// bench is a module with its host and a clock.
type bench struct {
	*Balancer
	host *desk
	now  Tick
}

func newBench(more map[string]any) *bench {
	host := &desk{nacked: map[*Request]Tick{}, failed: map[*Request]bool{}}
	return &bench{Balancer: New(host, start, 7, settings(more)), host: host, now: start}
}

// unit lists a unit of a build as ready, started at a time (0: long ago).
func (b *bench) unit(door uint32, build uint16, started Tick) *Backend {
	u := &Backend{ID: door}
	b.OnEndpoint(b.now, u, Endpoint{Zone: int(door), State: Ready, Version: build, StartedAt: started})
	return u
}

// take hands the module a command of an op type with two seconds left.
func (b *bench) take(op int) *Request {
	c := &Request{Class: op, Deadline: b.now + 2*Second}
	b.OnRequest(b.now, c)
	return c
}

// pass moves the clock and lets the timer run every 50 ms on the way.
func (b *bench) pass(span Tick) {
	for end := b.now + span; b.now < end; {
		b.now = min(end, b.now+timerInterval)
		b.OnTimer(b.now, 0)
	}
}

// end ends the last delivery of a command.
func (b *bench) end(c *Request, e Outcome) {
	b.OnOutcome(b.now, c.attempts[len(c.attempts)-1], e, 100, e == Succeeded, nil)
}

// answer acks all that is out.
func (b *bench) answer() {
	for _, d := range b.host.sent {
		b.OnOutcome(b.now, d, Succeeded, 100, true, nil)
	}
}

func (b *bench) news(build uint16, stage int, p RolloutPhase, share float64) {
	b.OnReleaseStatus(b.now, ReleaseStatus{Version: build, Stage: stage, Phase: p, ExposureCap: share, Outcome: Succeeded})
}

func check[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
