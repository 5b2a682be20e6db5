package balancer

import (
	"log/slog"
	"slices"
	"testing"
)

// testStart is the time at which the relays of the tests start.
const testStart = 100 * Second

// The request classes of testSettings, by index.
const (
	idempotent = iota
	withKey
	atMostOnce
)

// testSettings returns the settings of a small site. change modifies them and may be nil.
func testSettings(change func(*Settings)) Settings {
	class := func(idempotency Idempotency, scope DedupScope) RequestClass {
		return RequestClass{
			Idempotency:      idempotency,
			DedupScope:       scope,
			DedupWindow:      1,
			LatencyObjective: 0.5,
			Deadline:         2,
			PriorityWeight:   1,
		}
	}
	s := Settings{
		Relays: 1,
		Classes: []RequestClass{
			idempotent: class(Idempotent, DedupNowhere),
			withKey:    class(IdempotentWithKey, DedupZone),
			atMostOnce: class(AtMostOnce, DedupNowhere),
		},
		Limits:    Limits{MaxAttempts: 3, MayCancel: true, RetryAfter: true, MaxRetryAfter: 1},
		Endpoints: EndpointRules{DrainGrace: 1, PollInterval: 10},
		SlowStart: SlowStart{Window: 4, InitialFraction: 0.5, OverloadMultiple: 2, OverloadWindow: 1},
		Rollout: Rollout{
			ExposureFree:   2,
			ExposureWindow: 4,
			StageCaps:      []float64{0.2, 1},
			StageShares:    []float64{0.1, 1},
			VoteLifetime:   4,
			VoteTimeout:    1,
			VotesPerSecond: 100,
		},
	}
	if change != nil {
		change(&s)
	}
	return s
}

// recordingHost is a Host that records the balancer's actions.
type recordingHost struct {
	started    []*Attempt
	rejected   map[*Request]Tick // retry-after time of each rejected request
	failed     map[*Request]bool
	cancelled  []*Attempt
	votes      []Verdict
	stages     []int // stages of the votes
	watchCalls int
	logged     []string
}

func newRecordingHost() *recordingHost {
	return &recordingHost{rejected: map[*Request]Tick{}, failed: map[*Request]bool{}}
}

func (h *recordingHost) StartAttempt(a *Attempt, _ Tick)    { h.started = append(h.started, a) }
func (h *recordingHost) Reject(r *Request, retryAfter Tick) { h.rejected[r] = retryAfter }
func (h *recordingHost) Fail(r *Request)                    { h.failed[r] = true }
func (h *recordingHost) CancelAttempt(a *Attempt)           { h.cancelled = append(h.cancelled, a) }
func (h *recordingHost) SetTimer(Tick, uint32)              {}
func (h *recordingHost) Probe(*Backend)                     {}
func (h *recordingHost) CloseIdle(*Backend)                 {}
func (h *recordingHost) SendGossip(uint32, []byte)          {}
func (h *recordingHost) WatchEndpoints(bool)                { h.watchCalls++ }
func (h *recordingHost) FetchEndpoints()                    {}
func (h *recordingHost) Log(message string, fields ...slog.Attr) {
	h.logged = append(h.logged, LogLine(message, fields...))
}

func (h *recordingHost) CastVote(_ uint16, stage int, v Verdict) {
	h.votes, h.stages = append(h.votes, v), append(h.stages, stage)
}

// fixture is a balancer with its host and a clock.
type fixture struct {
	*Balancer
	host *recordingHost
	now  Tick
}

func newFixture(change func(*Settings)) *fixture {
	host := newRecordingHost()
	return &fixture{Balancer: New(host, testStart, 7, testSettings(change)), host: host, now: testStart}
}

// addBackend lists a ready backend with the given version and start time; 0 means long ago. Each added backend is in a
// zone of its own.
func (b *fixture) addBackend(id uint32, version uint16, started Tick) *Backend {
	backend := &Backend{ID: id}
	b.OnEndpoint(b.now, backend, Endpoint{Zone: int(id), State: Ready, Version: version, StartedAt: started})
	return backend
}

// request passes a request of a class to the balancer, with a deadline two seconds from now.
func (b *fixture) request(class int) *Request {
	r := &Request{Class: class, Deadline: b.now + 2*Second}
	b.OnRequest(b.now, r)
	return r
}

// advance moves the clock forward and calls OnTimer after each timerInterval.
func (b *fixture) advance(span Tick) {
	for end := b.now + span; b.now < end; {
		b.now = min(end, b.now+timerInterval)
		b.OnTimer(b.now, 0)
	}
}

// finish ends the last attempt of a request with an outcome.
func (b *fixture) finish(r *Request, outcome Outcome) {
	b.OnOutcome(b.now, r.attempts[len(r.attempts)-1], outcome, 100, outcome == Succeeded, nil)
}

// succeedAll ends every started attempt with a success.
func (b *fixture) succeedAll() {
	for _, attempt := range b.host.started {
		b.OnOutcome(b.now, attempt, Succeeded, 100, true, nil)
	}
}

// status reports the release status of the newest version to the balancer.
func (b *fixture) status(version uint16, stage int, phase RolloutPhase, exposureCap float64) {
	b.OnReleaseStatus(b.now, ReleaseStatus{Version: version, Stage: stage, Phase: phase, ExposureCap: exposureCap,
		Outcome: Succeeded})
}

// feedOutcomes reports n outcomes of attempts at a version. Every failEvery-th outcome is an error, or none if
// failEvery is 0.
func (b *fixture) feedOutcomes(version uint16, n, failEvery int) {
	backend := &Backend{ID: 99, Endpoint: Endpoint{State: Ready, Version: version}}
	for i := range n {
		outcome := Succeeded
		if failEvery > 0 && i%failEvery == 0 {
			outcome = Errored
		}
		attempt := &Attempt{Request: &Request{state: requestAnswered}, Backend: backend, chosenAt: b.now, slowAfter: b.now + 5000,
			lateAfter: b.now + 5000, version: version}
		backend.lastAnswer, backend.inFlight = b.now, 1
		b.OnOutcome(b.now, attempt, outcome, 100, true, nil)
	}
}

// fleetHost is the host of a relay that belongs to a fleet.
type fleetHost struct {
	*recordingHost
	retriesLeft int // number of retries that the fleet still allows
	mayProbe    bool
	ejected     *Backend
	probeCalls  int
}

func (h *fleetHost) IsEjected(backend *Backend) bool { return backend == h.ejected }

func (h *fleetHost) AllowRetry(*Request) bool {
	h.retriesLeft--
	return h.retriesLeft >= 0
}

func (h *fleetHost) AllowProbe(*Backend) bool {
	h.probeCalls++
	return h.mayProbe
}

func newFleetFixture(retries int, mayProbe bool) (*fixture, *fleetHost) {
	host := &fleetHost{recordingHost: newRecordingHost(), retriesLeft: retries, mayProbe: mayProbe}
	b := &fixture{Balancer: New(host, testStart, 7, testSettings(nil)), host: host.recordingHost, now: testStart}
	return b, host
}

func check[T comparable](tb testing.TB, what string, got, want T) {
	tb.Helper()
	if got != want {
		tb.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func checkAll[T comparable](tb testing.TB, what string, got, want []T) {
	tb.Helper()
	if !slices.Equal(got, want) {
		tb.Errorf("%s: got %v, want %v", what, got, want)
	}
}
