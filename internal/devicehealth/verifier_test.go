package devicehealth_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"silvercove/internal/devicehealth"
	"silvercove/internal/tick"
)

const second = tick.Second

// Mains fails for a whole zone of four nodes whose batteries are nearly empty. Their readings support their claims to
// evacuate. The last node is verified as evacuating within 2 s of the first node. LastResort then ranks the nodes'
// instances.
func TestVerifier_WholeZoneDrainsWithinTwoSeconds(t *testing.T) {
	var nodes []*simulatedNode
	for i := range 4 {
		node := newSimulatedNode(t, uint64(i+1), fmt.Sprintf("0 charge 0.05%d\n0 load 0.9\n0 mains on\n20 mains off", 5+i), nil)
		node.monitor.SetInstances(0, 3, 3*64<<10)
		nodes = append(nodes, node)
	}
	verifier := devicehealth.NewVerifier()
	var timeline strings.Builder
	fmt.Fprintf(&timeline, "%4s  %-9s %-9s %-9s %-9s all tired\n", "s", "north-1", "north-2", "north-3", "north-4")
	first, last := 0, 0
	var previous string
	reports := map[string]devicehealth.Report{}
	for s := 1; s <= 40; s++ {
		line := ""
		for i, node := range nodes {
			name := fmt.Sprintf("north-%d", i+1)
			own := node.step(t)
			r := verifier.Verify(tick.FromDuration(node.machine.Now), name, "north", own)
			if r.State != own.State {
				t.Errorf("%d s: %s reports %s %v, but is verified as %s: %v", s, name, own.State, own.Reasons, r.State, r.Reasons[0])
			}
			reports[name] = r
			line += fmt.Sprintf("%-9s ", r.State)
			if r.MustEvacuate() && first == 0 {
				first = s
			}
		}
		all := devicehealth.AllEvacuating(reports)
		if all && last == 0 {
			last = s
		}
		if line += fmt.Sprint(all); line != previous {
			fmt.Fprintf(&timeline, "%4d  %s\n", s, line)
		}
		previous = line
	}
	if first == 0 || last == 0 || last-first > 2 {
		t.Errorf("the first node evacuates at %d s, all at %d s", first, last)
	}
	var instances []devicehealth.Instance
	for i := range 12 {
		instances = append(instances, devicehealth.Instance{Name: fmt.Sprintf("camera-%02d", i+1), Node: fmt.Sprintf("north-%d", i%4+1),
			PriorityWeight: float64(1 + 10*(i%5))})
	}
	fmt.Fprintf(&timeline, "\nthe floor at 40 s\n")
	for _, i := range devicehealth.LastResort(reports, instances) {
		fmt.Fprintf(&timeline, "%-10s importance %2.0f  %s\n", i.Name, i.PriorityWeight, map[bool]string{true: i.Node, false: "not served"}[i.Node != ""])
	}
	expectTimeline(t, "all units of one zone tired within 2 s", timeline.String())
}

// reportClaiming returns a report that claims the given state without readings that support it.
func reportClaiming(state devicehealth.State) devicehealth.Report {
	return devicehealth.Report{Version: 1, State: state, AcceptFraction: 1, SpareCapacity: 4, LastResortCapacity: 1, TimeToEmpty: devicehealth.Never, TimeToOverheat: devicehealth.Never,
		MigrationTime: 60 * second, Reasons: []string{"so it says"}}
}

// If all nodes of a zone claim without support that they must evacuate, at most half of the claims are granted.
// A withdrawn claim still counts as granted for claimRetention. The nodes therefore cannot evacuate one after the other
// by withdrawing claims and making new ones.
func TestVerify_ClaimsAloneNeverDrainZone(t *testing.T) {
	for n := 1; n <= 8; n++ {
		verifier := devicehealth.NewVerifier()
		for i := range n {
			verifier.Verify(0, fmt.Sprint("u", i), "north", reportClaiming(devicehealth.StateAccepting))
		}
		evacuating := func() (all int) {
			for i := range n {
				if r, _ := verifier.Verified(0, fmt.Sprint("u", i)); r.MustEvacuate() {
					all++
				} else if r.State == devicehealth.StateHolding && !strings.Contains(r.Reasons[0], "without readings or outcomes") {
					t.Errorf("a node holds for a reason other than a claim without support: %v", r.Reasons)
				}
			}
			return all
		}
		for i := range n {
			verifier.Verify(second, fmt.Sprint("u", i), "north", reportClaiming(devicehealth.StateShuttingDown))
		}
		if got := evacuating(); got != n/2 {
			t.Errorf("%d of %d nodes evacuate on claims alone", got, n)
		}
		// All nodes withdraw their claims and claim again in reverse order. No claim is granted: the withdrawn claims
		// count as granted for claimRetention and use up maxClaimShare.
		for i := range n {
			verifier.Verify(2*second, fmt.Sprint("u", i), "north", reportClaiming(devicehealth.StateAccepting))
		}
		for i := range n {
			verifier.Verify(3*second, fmt.Sprint("u", n-1-i), "north", reportClaiming(devicehealth.StateEvacuating))
		}
		if got := evacuating(); got != 0 {
			t.Errorf("%d of %d nodes evacuate in turn", got, n)
		}
		for i := range n {
			verifier.Verify(700*second, fmt.Sprint("u", i), "north", reportClaiming(devicehealth.StateAccepting))
			verifier.Verify(1400*second, fmt.Sprint("u", i), "north", reportClaiming(devicehealth.StateEvacuating))
		}
	}
}

func TestVerify_ReadingsAndOutcomesSupportClaims(t *testing.T) {
	pointerTo := func(v float64) *float64 { return &v }
	hot := reportClaiming(devicehealth.StateEvacuating)
	hot.TimeToOverheat, hot.Readings = 100*second, devicehealth.KeyReadings{Temperature: pointerTo(79), TemperatureLimit: pointerTo(85)}
	farFromLimit := hot
	farFromLimit.Readings.Temperature = pointerTo(50)
	empty := reportClaiming(devicehealth.StateEvacuating)
	empty.Readings = devicehealth.KeyReadings{Charge: pointerTo(0.01), FullCharge: pointerTo(216000), Draw: pointerTo(30)}
	shutdown := reportClaiming(devicehealth.StateShuttingDown)
	shutdown.ShutdownRequested = true
	for _, c := range []struct {
		name     string
		before   *devicehealth.Report
		r        devicehealth.Report
		failures int
		want     devicehealth.State
	}{
		{"hot", nil, hot, 0, devicehealth.StateEvacuating},
		{"hot, far from its limit", nil, farFromLimit, 0, devicehealth.StateHolding},
		{"empty", nil, empty, 0, devicehealth.StateEvacuating},
		{"empty after a jump", &devicehealth.Report{Version: 1, State: devicehealth.StateAccepting, Readings: devicehealth.KeyReadings{Charge: pointerTo(0.9)}}, empty, 0, devicehealth.StateHolding},
		{"shutdown requested", nil, shutdown, 0, devicehealth.StateShuttingDown},
		{"claim alone", nil, reportClaiming(devicehealth.StateEvacuating), 0, devicehealth.StateHolding},
		{"claim of a failing node", nil, reportClaiming(devicehealth.StateEvacuating), 8, devicehealth.StateEvacuating},
	} {
		verifier := devicehealth.NewVerifier()
		if c.before == nil {
			c.before = &devicehealth.Report{Version: 1, State: devicehealth.StateAccepting}
		}
		verifier.Verify(0, "u", "north", *c.before)
		for range c.failures {
			verifier.RecordOutcome(second, "u", false)
		}
		if r := verifier.Verify(2*second, "u", "north", c.r); r.State != c.want {
			t.Errorf("%s: verified as %s: %v", c.name, r.State, r.Reasons)
		}
	}
}

// A node that reports itself healthy but fails its requests is not believed, while the other nodes of its zone are.
func TestVerify_FailingNodeIsNotBelieved(t *testing.T) {
	const failsFrom, failsUntil = 300, 900 // seconds: node u0 fails most requests from failsFrom until failsUntil
	verifier := devicehealth.NewVerifier()
	var timeline strings.Builder
	fmt.Fprintf(&timeline, "%6s  %-9s %s\n", "s", "counts as", "why")
	previous := devicehealth.State("")
	rng := rand.New(rand.NewPCG(5, 5))
	for s := range 2400 {
		now := tick.Tick(s) * second
		for i := range 4 {
			name := fmt.Sprint("u", i)
			r := verifier.Verify(now, name, "north", reportClaiming(devicehealth.StateAccepting))
			if i > 0 && r.State != devicehealth.StateAccepting {
				t.Fatalf("%d s: %s is verified as %s: %v", s, name, r.State, r.Reasons)
			}
			if i == 0 && r.State != previous {
				fmt.Fprintf(&timeline, "%6d  %-9s %s\n", s, r.State, r.Reasons[0])
				previous = r.State
			}
			if i == 0 && r.MustEvacuate() {
				continue // its instances have migrated away, so there are no outcomes
			}
			failures := 0.02
			if i == 0 && s >= failsFrom && s < failsUntil {
				failures = 0.8
			}
			for range 2 {
				verifier.RecordOutcome(now, name, rng.Float64() >= failures)
			}
		}
	}
	expectTimeline(t, "a unit that lies, at the keeper", timeline.String())
}

// If all nodes of a zone fail alike, each report is believed: a node is distrusted only if it fails more often than its
// peers.
func TestVerify_FailingZoneIsBelieved(t *testing.T) {
	const failsFrom = 30 // seconds
	verifier := devicehealth.NewVerifier()
	rng := rand.New(rand.NewPCG(5, 6))
	for s := range 600 {
		now := tick.Tick(s) * second
		for i := range 4 {
			name := fmt.Sprint("u", i)
			r := verifier.Verify(now, name, "north", reportClaiming(devicehealth.StateAccepting))
			if s > failsFrom && r.State != devicehealth.StateAccepting {
				t.Fatalf("%d s: all nodes fail, but %s is not believed: %v", s, name, r.Reasons)
			}
			verifier.RecordOutcome(now, name, s < failsFrom || rng.Float64() >= 0.5)
		}
	}
}

func TestVerify_ReadingsAgainstReport(t *testing.T) {
	verifier := devicehealth.NewVerifier()
	pointerTo := func(v float64) *float64 { return &v }
	r := reportClaiming(devicehealth.StateAccepting)
	r.Readings = devicehealth.KeyReadings{Charge: pointerTo(0.005), FullCharge: pointerTo(216000), Draw: pointerTo(30)}
	if got := verifier.Verify(0, "u", "north", r); got.State != devicehealth.StateHolding || got.AcceptFraction != 0 || got.SpareCapacity != 0 {
		t.Errorf("a nearly empty battery contradicts the report, which is verified as %+v", got)
	}
	r.Readings = devicehealth.KeyReadings{Temperature: pointerTo(90), TemperatureLimit: pointerTo(85)}
	if got := verifier.Verify(0, "u2", "north", r); got.State != devicehealth.StateHolding {
		t.Errorf("a temperature above its limit contradicts the report, which is verified as %+v", got)
	}
}

// Each of 100 healthy nodes fails 5% of its requests at random, as its only peer does. At most one of the 100 may raise a
// false alarm.
func TestVerifier_FalseAlarmRate(t *testing.T) {
	alarms := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		verifier := devicehealth.NewVerifier()
		verifier.Verify(0, "a", "north", reportClaiming(devicehealth.StateAccepting))
		verifier.Verify(0, "b", "north", reportClaiming(devicehealth.StateAccepting))
		for range 2000 {
			verifier.RecordOutcome(0, "a", rng.Float64() >= 0.05)
			verifier.RecordOutcome(0, "b", rng.Float64() >= 0.05)
			if r, _ := verifier.Verified(0, "a"); r.State != devicehealth.StateAccepting {
				alarms++
				break
			}
		}
	}
	if alarms > 1 {
		t.Errorf("%d of 100 healthy nodes are not believed; the bound on false alarms is 1%%", alarms)
	}
}

func TestVerifier_NodesJoinAndLeave(t *testing.T) {
	verifier := devicehealth.NewVerifier()
	verifier.RecordOutcome(0, "nobody", false)
	if _, ok := verifier.Verified(0, "nobody"); ok {
		t.Error("a node that has not reported is verified")
	}
	for i := range 6000 {
		name := fmt.Sprint("u", i)
		verifier.Verify(0, name, fmt.Sprint("zone", i%7), reportClaiming(devicehealth.StateAccepting))
		verifier.Verify(0, name, fmt.Sprint("zone", i%5), reportClaiming(devicehealth.StateAccepting))
		if i >= 100 {
			verifier.Remove(fmt.Sprint("u", i-100))
		}
	}
	for i := range 5000 {
		verifier.Verify(0, fmt.Sprint("v", i), "north", reportClaiming(devicehealth.StateAccepting))
	}
	if r := verifier.Verify(0, "one more", "north", reportClaiming(devicehealth.StateAccepting)); r.State != devicehealth.StateHolding {
		t.Errorf("a node beyond the maximum number: %+v", r)
	}
}
