package balancer

import (
	"log/slog"
	"testing"
)

// desk is a Host that writes down what the module does.
type desk struct {
	sent   []*Attempt
	stops  []Tick
	nacked map[*Request]Tick
	failed map[*Request]bool
	called []*Attempt
	votes  []Verdict
	stages []int
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
func (d *desk) Log(string, ...slog.Attr)     {}
func (d *desk) WatchEndpoints(bool)          { d.watch++ }
func (d *desk) FetchEndpoints()              {}
func (d *desk) CastVote(_ uint16, stage int, v Verdict) {
	d.votes, d.stages = append(d.votes, v), append(d.stages, stage)
}

const start = 100 * Second

// The request classes of the test settings, by their place.
const (
	idempotent = iota
	withKey
	atMostOnce
)

// settings makes the settings of a small site; change may be nil.
func settings(change func(*Settings)) Settings {
	class := func(idempotency Idempotency, scope DedupScope) RequestClass {
		return RequestClass{Idempotency: idempotency, DedupScope: scope, DedupWindow: 1, LatencyObjective: 0.5, Deadline: 2,
			PriorityWeight: 1}
	}
	s := Settings{
		Relays: 1,
		Classes: []RequestClass{class(Idempotent, DedupNowhere), class(IdempotentWithKey, DedupZone),
			class(AtMostOnce, DedupNowhere)},
		Limits:    Limits{MaxAttempts: 3, MayCancel: true, RetryAfter: true, MaxRetryAfter: 1},
		Endpoints: EndpointRules{DrainGrace: 1, PollInterval: 10},
		SlowStart: SlowStart{Window: 4, InitialFraction: 0.5, OverloadMultiple: 2, OverloadWindow: 1},
		Rollout: Rollout{ExposureFree: 2, ExposureWindow: 4, StageCaps: []float64{0.2, 1}, StageShares: []float64{0.1, 1},
			VoteLifetime: 4, VoteTimeout: 1, VotesPerSecond: 100},
	}
	if change != nil {
		change(&s)
	}
	return s
}

// bench is a module with its host and a clock.
type bench struct {
	*Balancer
	host *desk
	now  Tick
}

func newBench(more func(*Settings)) *bench {
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
