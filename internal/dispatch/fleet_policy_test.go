package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// fakePolicy gives preset answers and records the calls.
type fakePolicy struct {
	admits, retries, probes, ejected bool
	asked                            []string
}

func (p *fakePolicy) note(values ...any) { p.asked = append(p.asked, fmt.Sprint(values...)) }

func (p *fakePolicy) Admit(class int, weight float64, tenant string, clientRetry bool) (bool, time.Duration) {
	p.note("admit ", class, " ", weight, " ", tenant, " ", clientRetry)
	return p.admits, 700 * time.Millisecond
}

func (p *fakePolicy) RecordFirstAttempt() { p.note("first") }

func (p *fakePolicy) AllowRetry(clientRetry bool) bool {
	p.note("retry ", clientRetry)
	return p.retries
}

// RecordOutcome records only the first letter of the backend's name, because the balancer may choose either of the two
// backends.
func (p *fakePolicy) RecordOutcome(backend string, good bool) {
	p.note("outcome ", backend[:1], " ", good)
}

func (p *fakePolicy) RecordServiceTime(class int, took time.Duration) {
	p.note("service time ", class, " ", took > 0)
}

func (p *fakePolicy) AllowProbe(string) bool { return p.probes }
func (p *fakePolicy) IsEjected(string) bool  { return p.ejected }

// newPolicyDispatcher makes a dispatcher with two backends. A nil policy makes a relay that belongs to no fleet.
func newPolicyDispatcher(policy FleetPolicy, retryAfter bool) *Dispatcher {
	site := newSite(3, class("read", balancer.Idempotent, 2), class("sell", balancer.AtMostOnce, 7))
	site.Balancer.Limits.RetryAfter, site.Balancer.Limits.MaxRetryAfter = retryAfter, 0.5
	callbacks := noopCallbacks()
	callbacks.FleetPolicy = policy
	d := New(1, site, callbacks)
	d.UpdateStage(releasedStage(1))
	d.UpdateEndpoints(true, readyEndpoints("s-1", "s-2"))
	return d
}

// TestFleetPolicy_ShedRequestNeverReachesBalancer: a request that the fleet policy sheds is rejected at once, and the
// balancer never sees it.
func TestFleetPolicy_ShedRequestNeverReachesBalancer(t *testing.T) {
	for _, c := range []struct {
		retryAfter bool
		want       time.Duration
	}{{true, 500 * time.Millisecond}, {false, 0}} {
		policy := &fakePolicy{}
		d := newPolicyDispatcher(policy, c.retryAfter)
		call := accept(t, d, Request{Class: "sell", Tenant: "acme", ClientRetry: true})
		if step := d.Next(call); step.Answer != Rejected || step.RetryAfter != c.want || step.Attempt != nil {
			t.Errorf("%+v", step)
		}
		n := d.Snapshot()
		if n.OpenRequests != 0 || n.Attempts != 0 || n.Shed != 1 || n.Classes[1].Accepted != 1 || n.Classes[1].Rejected != 1 {
			t.Errorf("%+v", n)
		}
		if want := []string{"admit 1 7 acme true"}; !slices.Equal(policy.asked, want) {
			t.Errorf("%q", policy.asked)
		}
	}
}

// TestFleetPolicy_ExhaustedRetryBudgetEndsRequest: if the fleet policy allows no retry, a request whose attempt failed
// gets the final answer of its idempotency class at once.
func TestFleetPolicy_ExhaustedRetryBudgetEndsRequest(t *testing.T) {
	for _, c := range []struct {
		name, class, state   string
		status               transport.CloseStatus
		retries, clientRetry bool
		want                 FinalAnswer
		asked                []string
	}{
		{"error, idempotent", "read", stateInternal, answered, false, false, Rejected,
			[]string{"admit 0 2 acme false", "first", "outcome s false", "retry false"}},
		{"at capacity", "read", stateAtCapacity, answered, false, false, Rejected,
			[]string{"admit 0 2 acme false", "first", "retry false"}},
		{"error, a retry by the client", "read", stateInternal, answered, false, true, Rejected,
			[]string{"admit 0 2 acme true", "outcome s false", "retry true"}},
		{"may have run, at most once", "sell", "", reset, false, false, Failed,
			[]string{"admit 1 7 acme false", "first", "outcome s false"}},
		{"never ran, at most once", "sell", stateAtCapacity, answered, false, false, Rejected,
			[]string{"admit 1 7 acme false", "first", "retry false"}},
		{"error, with retry budget left", "read", stateInternal, answered, true, false, NoAnswer,
			[]string{"admit 0 2 acme false", "first", "outcome s false", "retry false"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			policy := &fakePolicy{admits: true, retries: c.retries}
			d := newPolicyDispatcher(policy, true)
			call := accept(t, d, Request{Class: c.class, Tenant: "acme", ClientRetry: c.clientRetry})
			first := d.Next(call).Attempt
			if first == nil {
				t.Fatal("no attempt")
			}
			d.Report(first, c.state, c.status, nil)
			step := d.Next(call)
			if step.Answer != c.want || (step.Attempt != nil) != (c.want == NoAnswer) {
				t.Errorf("%+v", step)
			}
			if !slices.Equal(policy.asked, c.asked) {
				t.Errorf("%q", policy.asked)
			}
			if step.Attempt != nil {
				d.Report(step.Attempt, pgwire.StateSuccess, answered, nil)
				if last := policy.asked[len(policy.asked)-1]; last != "service time 0 true" {
					t.Error(last)
				}
			}
		})
	}
}

// TestFleetPolicy_DecidesProbesAndEjections: the dispatcher passes the balancer's questions about a backend on to the
// fleet policy, by the name of the backend. Without a fleet policy, the dispatcher allows everything.
func TestFleetPolicy_DecidesProbesAndEjections(t *testing.T) {
	policy := &fakePolicy{}
	d := newPolicyDispatcher(policy, true)
	backend := &d.backends["s-2"].Backend
	if (host{d}).AllowProbe(backend) {
		t.Error("a probe is allowed although the fleet policy forbids it")
	}
	policy.probes = true
	if !(host{d}).AllowProbe(backend) {
		t.Error("a probe is refused although the fleet policy allows it")
	}
	policy.ejected = true
	if !(host{d}).IsEjected(backend) {
		t.Error("a backend is not ejected although the fleet policy has ejected it")
	}
	alone := host{newPolicyDispatcher(nil, true)}
	backend = &alone.dispatcher.backends["s-1"].Backend
	if alone.IsEjected(backend) || !alone.AllowProbe(backend) || !alone.AllowRetry(&balancer.Request{ClientRetry: true}) {
		t.Error("without a fleet policy, a retry or a probe is refused, or a backend is ejected")
	}
}
