package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
)

// shedder is a fleet that answers as it is told, and writes down what it was asked.
type shedder struct {
	take, again, probes, avoids bool
	asked                       []string
}

func (s *shedder) Admit(op int, importance float64, customer string, repeated bool) (bool, time.Duration) {
	s.asked = append(s.asked, fmt.Sprint("take ", op, " ", importance, " ", customer, " ", repeated))
	return s.take, 700 * time.Millisecond
}
func (s *shedder) RecordFirstAttempt() { s.asked = append(s.asked, "first") }
func (s *shedder) AllowRetry(repeated bool) bool {
	s.asked = append(s.asked, fmt.Sprint("again ", repeated))
	return s.again
}
func (s *shedder) RecordOutcome(unit string, good bool) {
	s.asked = append(s.asked, fmt.Sprint("outcome ", unit, " ", good))
}
func (s *shedder) RecordServiceTime(op int, took time.Duration) {
	s.asked = append(s.asked, fmt.Sprint("worked ", op, " ", took > 0))
}
func (s *shedder) AllowProbe(string) bool { return s.probes }
func (s *shedder) IsEjected(string) bool  { return s.avoids }

func withShed(s LoadShedder, comeBack bool) *Dispatcher {
	op := func(name string, repeats balancer.Idempotency, importance float64) balancer.RequestClass {
		return balancer.RequestClass{Name: name, Idempotency: repeats, LatencyObjective: 1, Deadline: 4, PriorityWeight: importance}
	}
	nothing := func(string) {}
	g := New(1, settings.Site{Balancer: balancer.Settings{
		Relays:  1,
		Classes: []balancer.RequestClass{op("read", balancer.Idempotent, 2), op("sell", balancer.AtMostOnce, 7)},
		Limits:  balancer.Limits{MaxAttempts: 3, RetryAfter: comeBack, MaxRetryAfter: 0.5},
	}},
		Callbacks{Log: nothing, CloseIdle: nothing, WatchEndpoints: func(bool) {}, LoadShedder: s})
	g.UpdateStage(RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	g.UpdateEndpoints(true, []Endpoint{{Name: "s-1", Address: "127.0.0.1:9", State: "up", Version: 1},
		{Name: "s-2", Address: "127.0.0.1:9", State: "up", Version: 1}})
	return g
}

// TestShed: a command that the fleet does not take is nacked at once, and the module never sees it.
func TestShed(t *testing.T) {
	for _, c := range []struct {
		comeBack bool
		want     time.Duration
	}{{true, 500 * time.Millisecond}, {false, 0}} {
		s := &shedder{}
		g := withShed(s, c.comeBack)
		cmd, _ := g.Accept(Request{Class: "sell", Tenant: "acme", ReceivedAt: time.Now(), Timeout: time.Second, ClientRetry: true})
		if step := g.Next(cmd); step.Answer != Rejected || step.RetryAfter != c.want || step.Attempt != nil {
			t.Errorf("%+v", step)
		}
		if n := g.Snapshot(); n.OpenRequests != 0 || n.Attempts != 0 || n.Shed != 1 || n.Classes[1].Accepted != 1 || n.Classes[1].Rejected != 1 {
			t.Errorf("%+v", n)
		}
		if want := []string{"take 1 7 acme true"}; !slices.Equal(s.asked, want) {
			t.Errorf("%q", s.asked)
		}
	}
}

// TestNoMoreRepeats: where the fleet has no repeat left a command gets its final answer at once, by the rules.
func TestNoMoreRepeats(t *testing.T) {
	for _, c := range []struct {
		name, op, state string
		end             transport.CloseStatus
		again, repeated bool
		want            FinalAnswer
		asked           []string
	}{
		{"an error of a redeliverable one", "read", "XX000", transport.CloseStatus{Flushed: true}, false, false, Rejected,
			[]string{"take 0 2 acme false", "first", "outcome s false", "again false"}},
		{"turned away", "read", "53300", transport.CloseStatus{Flushed: true}, false, false, Rejected, []string{"take 0 2 acme false", "first", "again false"}},
		{"a repeat of its client's", "read", "XX000", transport.CloseStatus{Flushed: true}, false, true, Rejected,
			[]string{"take 0 2 acme true", "outcome s false", "again true"}},
		{"may have run, at most once", "sell", "", transport.CloseStatus{Reason: transport.ConnectionReset, Flushed: true}, false, false, Failed,
			[]string{"take 1 7 acme false", "first", "outcome s false"}},
		{"never ran, at most once", "sell", "53300", transport.CloseStatus{Flushed: true}, false, false, Rejected, []string{"take 1 7 acme false", "first", "again false"}},
		{"with budget it is tried again", "read", "XX000", transport.CloseStatus{Flushed: true}, true, false, NoAnswer,
			[]string{"take 0 2 acme false", "first", "outcome s false", "again false"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &shedder{take: true, again: c.again}
			g := withShed(s, true)
			cmd, _ := g.Accept(Request{Class: c.op, Tenant: "acme", ReceivedAt: time.Now(), Timeout: time.Second, ClientRetry: c.repeated})
			first := g.Next(cmd).Attempt
			if first == nil {
				t.Fatal("no delivery")
			}
			g.Report(first, c.state, c.end, nil)
			step := g.Next(cmd)
			if step.Answer != c.want || (step.Attempt != nil) != (c.want == NoAnswer) {
				t.Errorf("%+v", step)
			}
			for i := range s.asked {
				if len(s.asked[i]) > 10 && s.asked[i][:10] == "outcome s-" {
					s.asked[i] = "outcome s" + s.asked[i][11:]
				}
			}
			if !slices.Equal(s.asked, c.asked) {
				t.Errorf("%q", s.asked)
			}
			if step.Attempt != nil {
				g.Report(step.Attempt, pgwire.Complete, transport.CloseStatus{}, nil)
				if last := s.asked[len(s.asked)-1]; last != "worked 0 true" {
					t.Error(last)
				}
			}
		})
	}
}

// TestProbesAreAsked: the gate offers the module what the fleet says of a unit, by its name.
func TestProbesAreAsked(t *testing.T) {
	s := &shedder{}
	g := withShed(s, true)
	u := g.units["s-2"]
	if g.MayProbe(&u.Backend) {
		t.Error("the fleet says no")
	}
	s.probes = true
	if !g.MayProbe(&u.Backend) {
		t.Error("the fleet says yes")
	}
	s.avoids = true
	if !g.AvoidsBackend(&u.Backend) {
		t.Error("the fleet avoids it")
	}
	alone := withShed(nil, true)
	if alone.AvoidsBackend(&alone.units["s-1"].Backend) || !alone.MayProbe(&alone.units["s-1"].Backend) || !alone.MayRetry(&balancer.Request{ClientRetry: true}) {
		t.Error("a relay on its own asks nobody")
	}
}
