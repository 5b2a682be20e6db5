package overload

import (
	"math"
	"testing"

	"silvercove/internal/tick"
)

// TestUpdatePeer_ReportsRestartsAndDepartures: reports, restarts, outdated incarnations and departures of other relays
// update two counts: the peers with a fresh report, and the voters. The admitted fractions of the voters enter the
// median.
func TestUpdatePeer_ReportsRestartsAndDepartures(t *testing.T) {
	good := Report{LocalFraction: 1, SharedFraction: 0.5, OfferedWork: []float64{1}}
	invalid := good
	invalid.SharedFraction = math.NaN()
	m := NewManager(testStart, 1, "a", testSettings(5, nil))
	steps := []struct {
		name          string
		incarnation   uint64
		report        Report
		age           tick.Tick
		state         PeerState
		fresh, voters int
	}{
		{"b", 5, good, 0, "alive", 1, 1},
		{"b", 4, Report{LocalFraction: 1, SharedFraction: 0.1}, 0, "dead", 1, 1}, // ignored, as the incarnation is outdated
		{"b", 5, invalid, -1, "alive", 1, 1},
		{"a", 9, good, 0, "alive", 1, 1}, // ignored, as the name is that of the relay itself
		{"c", 1, Report{}, 0, "alive", 1, 1},
		{"c", 1, Report{LocalFraction: 1, SharedFraction: 1}, 0, "alive", 2, 1}, // not counted in voters, because peer c has no requests
		{"b", 6, good, 4 * tick.Second, "alive", 1, 0},                          // peer b has restarted, and its report is too old to be fresh
		{"b", 6, good, 0, "slow", 2, 1},
		{"b", 6, good, 0, "dead", 1, 0},
		{"b", 6, good, 0, "alive", 1, 0}, // peer b is alive again, but its report is not newer than the last one
		{"d", 1, good, 0, "left", 1, 0},
	}
	for i, s := range steps {
		m.UpdatePeer(testStart, PeerUpdate{Name: s.name, Incarnation: s.incarnation, Report: s.report, Age: s.age, State: s.state})
		if len(m.fleet.fresh) != s.fresh || m.fleet.voters != s.voters {
			t.Errorf("step %d: %d fresh peers, %d voters", i, len(m.fleet.fresh), m.fleet.voters)
		}
	}
	m.advance(testStart + isolationTimeout)
	if len(m.fleet.fresh) != 0 || m.fleet.offeredWork != [maxClasses]float64{} {
		t.Errorf("%d fresh peers after isolationTimeout", len(m.fleet.fresh))
	}
	full := NewManager(testStart, 1, "a", testSettings(5, nil))
	for i := range maxPeers + 10 {
		full.UpdatePeer(testStart, PeerUpdate{Name: relayName(i), Incarnation: 1, Report: good, State: PeerAlive})
	}
	if len(full.fleet.peers) != maxPeers {
		t.Errorf("%d peers are kept, which is not maxPeers", len(full.fleet.peers))
	}
}
