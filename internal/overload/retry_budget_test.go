package overload

import (
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

// TestRetryBudget_IsSharedByFleet: retries are earned by first attempts at all relays and can be spent wherever in the
// fleet they are needed.
func TestRetryBudget_IsSharedByFleet(t *testing.T) {
	f := newTestFleet(10, nil)
	retries, firstAttempts, denied := 0, 0, 0
	f.run(60, func(i int, m *Manager) {
		for range 4 {
			m.RecordFirstAttempt(f.now)
			firstAttempts++
		}
		if i < 3 { // only these three relays need retries, and they need more than the budget allows
			for range 9 {
				if m.AllowRetry(f.now, false) {
					retries++
				} else {
					denied++
				}
			}
		}
	})
	ownBudget := 0.1 * float64(firstAttempts) * 3 / 10
	if float64(retries) < 1.3*ownBudget || denied == 0 || float64(retries) > 0.1*float64(firstAttempts) {
		t.Errorf("%d retries, %d denied; the three relays' own budget is %.0f, the fleet's %.0f",
			retries, denied, ownBudget, 0.1*float64(firstAttempts))
	}
	if f.relays[1].AllowRetry(f.now, true) {
		t.Error("a client's retry was retried")
	}
}

// TestRetryBudget_StartsEmpty: a relay that has just started may not retry. Its budget grows with its traffic.
func TestRetryBudget_StartsEmpty(t *testing.T) {
	m := NewManager(testStart, 1, "a", testSettings(3, nil))
	if m.AllowRetry(testStart, false) {
		t.Error("a retry before any first attempt")
	}
	for range 100 {
		m.RecordFirstAttempt(testStart)
	}
	countRetries := func(now tick.Tick) (n int) {
		for range 100 {
			if m.AllowRetry(now, false) {
				n++
			}
		}
		return n
	}
	if n := countRetries(testStart); n != 9 {
		t.Errorf("%d retries for 100 first attempts", n)
	}
	for range 100 {
		m.RecordFirstAttempt(testStart)
	}
	if n := countRetries(testStart + 100*tick.Second); n > 1 {
		t.Errorf("%d retries saved up over a minute without traffic", n)
	}
}

// TestRetryBudget_PassesToOneSuccessor: the credit that a dead relay had left passes once, to one successor. All relays
// choose the same successor.
func TestRetryBudget_PassesToOneSuccessor(t *testing.T) {
	f := newTestFleet(6, nil)
	f.run(5, func(i int, m *Manager) {
		for range 10 {
			m.RecordFirstAttempt(f.now)
		}
	})
	dead := f.relays[2].LocalReport(f.now)
	if dead.RetryCredit < 5 {
		t.Fatalf("the relay that dies has only %.1f left", dead.RetryCredit)
	}
	f.relays[2] = nil
	successors := 0
	for range 2 {
		for _, m := range f.relays {
			if m == nil {
				continue
			}
			m.budget.credit = 0
			m.UpdatePeer(f.now, PeerUpdate{Name: relayName(2), Incarnation: 0, Report: dead, State: PeerDead})
			if m.budget.credit > 0 {
				successors++
			}
		}
	}
	if successors != 1 {
		t.Errorf("%d successors", successors)
	}
}

// budgetModel drives the retry budgets of a fleet by random events and counts the first attempts and retries.
type budgetModel struct {
	*testFleet
	allowDeaths   bool // relays may be declared dead, whether or not they are
	sent          []sentReport
	firstAttempts int
	retries       int
	slack         float64 // sum of the retry credits that relays had reported before they were declared dead; each credit counts once for each other relay that was told of the death
}

// sentReport is a report in transit.
type sentReport struct {
	from        int
	incarnation uint64
	report      Report
	at          tick.Tick
}

func (b *budgetModel) anyRelay(t *rapid.T, label string) int {
	return rapid.IntRange(0, len(b.relays)-1).Draw(t, label)
}

func (b *budgetModel) sendFirstAttempts(t *rapid.T) {
	m := b.relays[b.anyRelay(t, "at")]
	for range rapid.IntRange(1, 200).Draw(t, "first attempts") {
		m.RecordFirstAttempt(b.now)
		b.firstAttempts++
	}
}

func (b *budgetModel) retry(t *rapid.T) {
	m := b.relays[b.anyRelay(t, "at")]
	for range rapid.IntRange(1, 40).Draw(t, "retries asked for") {
		if m.AllowRetry(b.now, rapid.IntRange(0, 9).Draw(t, "client retry") == 0) {
			b.retries++
		}
	}
}

func (b *budgetModel) advance(t *rapid.T) {
	b.now += tick.Tick(rapid.IntRange(1, 150000).Draw(t, "ticks"))
}

func (b *budgetModel) sendReport(t *rapid.T) {
	i := b.anyRelay(t, "from")
	report, err := DecodeReport(b.relays[i].LocalReport(b.now).Encode())
	if err != nil {
		t.Fatal(err)
	}
	b.sent = append(b.sent, sentReport{from: i, incarnation: b.incarnations[i], report: report, at: b.now})
}

// deliver delivers one of the last 20 reports to a relay. The relay may have received the same report or a newer report
// before.
func (b *budgetModel) deliver(t *rapid.T) {
	if len(b.sent) == 0 {
		return
	}
	s := b.sent[rapid.IntRange(max(0, len(b.sent)-20), len(b.sent)-1).Draw(t, "which")]
	to := b.anyRelay(t, "to")
	state := PeerAlive
	if b.allowDeaths && rapid.IntRange(0, 3).Draw(t, "dead") == 0 {
		state = PeerDead
		if p := b.relays[to].fleet.peers[relayName(s.from)]; p != nil {
			b.slack += p.report.RetryCredit
		}
	}
	if to == s.from {
		return
	}
	b.relays[to].UpdatePeer(b.now, PeerUpdate{
		Name:        relayName(s.from),
		Incarnation: s.incarnation,
		Report:      s.report,
		Age:         b.now - s.at,
		State:       state,
	})
}

// exchangeAndRetry lets all relays exchange reports and take all retries that they can get.
func (b *budgetModel) exchangeAndRetry(*rapid.T) {
	b.exchangeReports()
	for _, m := range b.relays {
		for range 60 {
			if m.AllowRetry(b.now, false) {
				b.retries++
			}
		}
	}
}

func (b *budgetModel) restart(t *rapid.T) {
	i := b.anyRelay(t, "which")
	b.incarnations[i]++
	directives := testSettings(float64(len(b.relays)), nil)
	b.relays[i] = NewManager(b.now, uint64(len(b.sent)), relayName(i), directives)
}

func (b *budgetModel) check(t *rapid.T) {
	if excess := float64(b.retries) - 0.1*float64(b.firstAttempts); excess > b.slack {
		t.Fatalf("%d retries for %d first attempts: %.2f above the share, slack %.2f", b.retries, b.firstAttempts, excess, b.slack)
	}
}

// TestRetryBudget_NeverExceedsShare: the retries of all relays exceed the share of their first attempts by at most
// budgetModel.slack. The slack is the sum of the retry credits that relays had reported before they were declared dead.
// Each credit counts once for each relay that was told of the death. The bound holds under any order of traffic,
// restarts and deaths, including wrongly declared deaths. It also holds if reports are lost, late, repeated or
// overtaken.
func TestRetryBudget_NeverExceedsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "relays")
		b := &budgetModel{
			testFleet:   newTestFleet(n, nil),
			allowDeaths: rapid.Bool().Draw(t, "may die"),
			slack:       1e-3, // the initial slack allows for rounding errors
		}
		t.Repeat(map[string]func(*rapid.T){
			"first attempts":     b.sendFirstAttempts,
			"retries":            b.retry,
			"time":               b.advance,
			"report":             b.sendReport,
			"delivery":           b.deliver,
			"exchange and retry": b.exchangeAndRetry,
			"restart":            b.restart,
			"":                   b.check,
		})
	})
}
