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

// fakePolicy answers as it is told, and writes down what it was asked.
type fakePolicy struct {
	admits, retries, probes, ejected bool
	asked                            []string
}

func (s *fakePolicy) note(values ...any) { s.asked = append(s.asked, fmt.Sprint(values...)) }

func (s *fakePolicy) Admit(class int, weight float64, tenant string, clientRetry bool) (bool, time.Duration) {
	s.note("admit ", class, " ", weight, " ", tenant, " ", clientRetry)
	return s.admits, 700 * time.Millisecond
}

func (s *fakePolicy) RecordFirstAttempt() { s.note("first") }

func (s *fakePolicy) AllowRetry(clientRetry bool) bool {
	s.note("retry ", clientRetry)
	return s.retries
}

// RecordOutcome leaves out which of the two backends it was.
func (s *fakePolicy) RecordOutcome(backend string, good bool) {
	s.note("outcome ", backend[:1], " ", good)
}

func (s *fakePolicy) RecordServiceTime(class int, took time.Duration) {
	s.note("service time ", class, " ", took > 0)
}

func (s *fakePolicy) AllowProbe(string) bool { return s.probes }
func (s *fakePolicy) IsEjected(string) bool  { return s.ejected }

// withPolicy is a dispatcher before two backends. A policy of nil: it belongs to no fleet.
func withPolicy(s FleetPolicy, retryAfter bool) *Dispatcher {
	site := siteOf(3, class("read", balancer.Idempotent, 2), class("sell", balancer.AtMostOnce, 7))
	site.Balancer.Limits.RetryAfter, site.Balancer.Limits.MaxRetryAfter = retryAfter, 0.5
	callbacks := quiet()
	callbacks.FleetPolicy = s
	d := New(1, site, callbacks)
	d.UpdateStage(released(1))
	d.UpdateEndpoints(true, endpoints("s-1", "s-2"))
	return d
}

// TestShed: a request that the fleet does not take is rejected at once, and the balancer never sees it.
func TestShed(t *testing.T) {
	for _, c := range []struct {
		retryAfter bool
		want       time.Duration
	}{{true, 500 * time.Millisecond}, {false, 0}} {
		s := &fakePolicy{}
		d := withPolicy(s, c.retryAfter)
		call := accept(t, d, Request{Class: "sell", Tenant: "acme", ClientRetry: true})
		if step := d.Next(call); step.Answer != Rejected || step.RetryAfter != c.want || step.Attempt != nil {
			t.Errorf("%+v", step)
		}
		n := d.Snapshot()
		if n.OpenRequests != 0 || n.Attempts != 0 || n.Shed != 1 || n.Classes[1].Accepted != 1 || n.Classes[1].Rejected != 1 {
			t.Errorf("%+v", n)
		}
		if want := []string{"admit 1 7 acme true"}; !slices.Equal(s.asked, want) {
			t.Errorf("%q", s.asked)
		}
	}
}

// TestRetryBudget: where the fleet has no retry left a request gets its final answer at once, by the rules.
func TestRetryBudget(t *testing.T) {
	for _, c := range []struct {
		name, class, state   string
		status               transport.CloseStatus
		retries, clientRetry bool
		want                 FinalAnswer
		asked                []string
	}{
		{"an error of an idempotent one", "read", stateInternal, answered, false, false, Rejected,
			[]string{"admit 0 2 acme false", "first", "outcome s false", "retry false"}},
		{"at capacity", "read", stateAtCapacity, answered, false, false, Rejected,
			[]string{"admit 0 2 acme false", "first", "retry false"}},
		{"a retry of its client's", "read", stateInternal, answered, false, true, Rejected,
			[]string{"admit 0 2 acme true", "outcome s false", "retry true"}},
		{"may have run, at most once", "sell", "", reset, false, false, Failed,
			[]string{"admit 1 7 acme false", "first", "outcome s false"}},
		{"never ran, at most once", "sell", stateAtCapacity, answered, false, false, Rejected,
			[]string{"admit 1 7 acme false", "first", "retry false"}},
		{"with budget it is tried again", "read", stateInternal, answered, true, false, NoAnswer,
			[]string{"admit 0 2 acme false", "first", "outcome s false", "retry false"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &fakePolicy{admits: true, retries: c.retries}
			d := withPolicy(s, true)
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
			if !slices.Equal(s.asked, c.asked) {
				t.Errorf("%q", s.asked)
			}
			if step.Attempt != nil {
				d.Report(step.Attempt, pgwire.StateSuccess, answered, nil)
				if last := s.asked[len(s.asked)-1]; last != "service time 0 true" {
					t.Error(last)
				}
			}
		})
	}
}

// TestProbesAreAsked: the dispatcher offers the balancer what the fleet says of a backend, by its name.
func TestProbesAreAsked(t *testing.T) {
	s := &fakePolicy{}
	d := withPolicy(s, true)
	backend := &d.backends["s-2"].Backend
	if (host{d}).AllowProbe(backend) {
		t.Error("the fleet says no")
	}
	s.probes = true
	if !(host{d}).AllowProbe(backend) {
		t.Error("the fleet says yes")
	}
	s.ejected = true
	if !(host{d}).IsEjected(backend) {
		t.Error("the fleet avoids it")
	}
	alone := host{withPolicy(nil, true)}
	backend = &alone.dispatcher.backends["s-1"].Backend
	if alone.IsEjected(backend) || !alone.AllowProbe(backend) || !alone.AllowRetry(&balancer.Request{ClientRetry: true}) {
		t.Error("a relay on its own asks nobody")
	}
}
