package overload

import (
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

// TestRetryBudget_IsSharedByFleet: retries are earned by first attempts, wherever in the fleet they are needed.
func TestRetryBudget_IsSharedByFleet(t *testing.T) {
	c := newTestFleet(10, nil)
	retries, firsts, short := 0, 0, 0
	c.run(60, func(i int, m *Manager) {
		for range 4 {
			m.RecordFirstAttempt(c.now)
			firsts++
		}
		if i < 3 { // they alone need them: more than there are
			for range 9 {
				if m.AllowRetry(c.now, false) {
					retries++
				} else {
					short++
				}
			}
		}
	})
	own := 0.1 * float64(firsts) * 3 / 10
	if float64(retries) < 1.3*own || short == 0 || float64(retries) > 0.1*float64(firsts) {
		t.Errorf("%d retries, %d short; their own budget is %.0f, the fleet's %.0f", retries, short, own, 0.1*float64(firsts))
	}
	if c.relays[1].AllowRetry(c.now, true) {
		t.Error("a retry of its client's retry")
	}
}

// TestRetryBudget_StartsEmpty: a relay that has just started has next to no budget; it grows with its traffic.
func TestRetryBudget_StartsEmpty(t *testing.T) {
	m := NewManager(testStart, 1, "a", testSettings(3, nil))
	if m.AllowRetry(testStart, false) {
		t.Error("a retry before any first attempt")
	}
	for range 100 {
		m.RecordFirstAttempt(testStart)
	}
	left := func(now tick.Tick) (n int) {
		for range 100 {
			if m.AllowRetry(now, false) {
				n++
			}
		}
		return n
	}
	if n := left(testStart); n != 9 {
		t.Errorf("%d retries for 100 first attempts", n)
	}
	for range 100 {
		m.RecordFirstAttempt(testStart)
	}
	if n := left(testStart + 100*tick.Second); n > 1 {
		t.Errorf("%d retries saved up over a minute without traffic", n)
	}
}

// TestRetryBudget_PassesToOneHeir: one heir, the same in all views, takes what a dead relay had left, once.
func TestRetryBudget_PassesToOneHeir(t *testing.T) {
	c := newTestFleet(6, nil)
	c.run(5, func(i int, m *Manager) {
		for range 10 {
			m.RecordFirstAttempt(c.now)
		}
	})
	dead := c.relays[2].LocalReport(c.now)
	if dead.RetryCredit < 5 {
		t.Fatalf("it has %.1f left", dead.RetryCredit)
	}
	c.relays[2] = nil
	heirs := 0
	for range 2 {
		for _, m := range c.relays {
			if m == nil {
				continue
			}
			m.budget.credit = 0
			m.UpdatePeer(c.now, PeerUpdate{Name: relayName(2), Incarnation: 0, Report: dead, State: PeerDead})
			if m.budget.credit > 0 {
				heirs++
			}
		}
	}
	if heirs != 1 {
		t.Errorf("%d heirs", heirs)
	}
}

// TestRetryBudget_NeverExceedsShare: under any order of traffic, reports lost, late, retried or overtaken, deaths
// (also false ones), restarts and joins, the retries of all relays never exceed the share of their first attempts by
// more than what the relays that were held for dead had reported to have left, once for each relay that heard of the
// death.
func TestRetryBudget_NeverExceedsShare(t *testing.T) {
	type note struct {
		from   int
		run    uint64
		report Report
		at     tick.Tick
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "relays")
		falls := rapid.Bool().Draw(t, "falls")
		c := newTestFleet(n, nil)
		var sent []note
		firsts, retries, slack := 0, 0, 1e-3
		t.Repeat(map[string]func(*rapid.T){
			"traffic": func(t *rapid.T) {
				m := c.relays[rapid.IntRange(0, n-1).Draw(t, "at")]
				for range rapid.IntRange(1, 200).Draw(t, "firsts") {
					m.RecordFirstAttempt(c.now)
					firsts++
				}
			},
			"retries": func(t *rapid.T) {
				m := c.relays[rapid.IntRange(0, n-1).Draw(t, "at")]
				for range rapid.IntRange(1, 40).Draw(t, "asked") {
					if m.AllowRetry(c.now, rapid.IntRange(0, 9).Draw(t, "of a client retry") == 0) {
						retries++
					}
				}
			},
			"time": func(t *rapid.T) { c.now += tick.Tick(rapid.IntRange(1, 150000).Draw(t, "ticks")) },
			"report": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "from")
				report, err := DecodeReport(c.relays[i].LocalReport(c.now).Encode())
				if err != nil {
					t.Fatal(err)
				}
				sent = append(sent, note{i, c.incarnations[i], report, c.now})
			},
			"delivery": func(t *rapid.T) { // any of those sent, to anyone, again or later than newer ones
				if len(sent) == 0 {
					return
				}
				s := sent[rapid.IntRange(max(0, len(sent)-20), len(sent)-1).Draw(t, "which")]
				to := rapid.IntRange(0, n-1).Draw(t, "to")
				state := PeerAlive
				if falls && rapid.IntRange(0, 3).Draw(t, "dead") == 0 {
					state = PeerDead
					if p := c.relays[to].fleet.peers[relayName(s.from)]; p != nil {
						slack += p.report.RetryCredit
					}
				}
				if to != s.from {
					c.relays[to].UpdatePeer(c.now, PeerUpdate{Name: relayName(s.from), Incarnation: s.run, Report: s.report, Age: c.now - s.at, State: state})
				}
			},
			"round": func(t *rapid.T) { // all report to all, and ask for what they can get
				c.exchangeReports()
				for _, m := range c.relays {
					for range 60 {
						if m.AllowRetry(c.now, false) {
							retries++
						}
					}
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "which")
				c.incarnations[i]++
				c.relays[i] = NewManager(c.now, uint64(len(sent)), relayName(i), testSettings(float64(n), nil))
			},
			"": func(t *rapid.T) {
				if over := float64(retries) - 0.1*float64(firsts); over > slack {
					t.Fatalf("%d retries on %d first attempts: %.2f over, slack %.2f", retries, firsts, over, slack)
				}
			},
		})
	})
}
