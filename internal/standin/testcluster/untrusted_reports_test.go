package testcluster

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/standin/backends"
)

// waitForNode waits until the leading controller's view of an edge node satisfies the condition good, and returns the view. The
// parameter takes is the time after which the condition is expected to hold. waitForNode waits for at most this time plus
// waitTimeout.
func (c *Cluster) waitForNode(t *testing.T, name, wanted string, takes time.Duration, good func(controllerclient.Node) bool) (u controllerclient.Node) {
	t.Helper()
	for end := time.Now().Add(takes + waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		all, err := c.controllers.Nodes(t.Context())
		at := slices.IndexFunc(all.Nodes, func(u controllerclient.Node) bool { return u.Name == name })
		if err != nil || at < 0 {
			continue
		}
		if u = all.Nodes[at]; good(u) {
			return u
		}
	}
	t.Fatalf("node %s is not %s: %+v", name, wanted, u)
	return u
}

// moveDevices moves the devices of instances between the zones, one after the other, until stop is called. every is the time
// between two moves.
func (c *Cluster) moveDevices(every time.Duration, instances ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			_, _ = c.MoveDevice(ctx, instances[n%len(instances)], []string{"south", "north"}[n/len(instances)%2])
			select {
			case <-ctx.Done():
			case <-time.After(every):
			}
		}
	})
	return func() { cancel(); done.Wait() }
}

// A version is rolled back while nodes that run it receive instances, and the leading controller is killed soon after. Once the
// controllers know of the rollback, they must hand nothing over to those nodes, and the instances there must move away.
func TestABuildTakenBackWhileItsUnitsReceiveInstances(t *testing.T) {
	t.Parallel()
	p, err := backends.NewPlatform(nil, 1, []float64{1}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	ctx, stop := context.WithCancel(t.Context())
	var offer sync.WaitGroup
	defer offer.Wait()
	defer stop()
	offer.Go(func() { p.Offer(ctx, 7, 0) })
	node := func(name, zone, build string) Node {
		return Node{Name: name, Role: "edge", Zone: zone, Directives: []string{"build " + build}}
	}
	c := startFleetWithNodes(t, 70, node("edge-a", "north", "1"), node("edge-b", "north", "7"), node("edge-c", "south", "1"),
		node("edge-d", "south", "7"), Node{Name: "relay-1", Role: "relay", Zone: "north", Platform: p.Address()},
		Node{Name: "relay-2", Role: "relay", Zone: "south", Platform: p.Address()})
	nodeNames, newVersionNodes := []string{"edge-a", "edge-b", "edge-c", "edge-d"}, []string{"edge-b", "edge-d"}
	for _, u := range nodeNames {
		c.Wait(0, u+" lease gained")
	}
	cams := []string{"cam-1", "cam-2", "cam-3", "cam-4", "cam-5", "cam-6"}
	var stops []func()
	for _, cam := range cams {
		stops = append(stops, c.startInstance(t, cam, nodeNames...))
	}
	stopMoving := c.moveDevices(30*time.Millisecond, cams...)
	c.Wait(0, "edge-d acts")
	answer, err := http.Post("http://"+p.Address()+"/judgements", "application/json",
		strings.NewReader(`{"Revision":7,"Wave":0,"Decision":"ROLLBACK"}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	c.Wait(0, "* build back")
	c.playScript(t, "ask load 1s\nask leader kill\nwhen * leads\nask load 3s")
	stopMoving()
	for _, cam := range cams {
		c.waitForAssignment(t, cam, func(p placement.Assignment) bool {
			return p.State == placement.Running && !slices.Contains(newVersionNodes, p.Primary) && p.CopyTarget == ""
		})
		c.writeUntilAcknowledged(t, cam, nodeNames...)
	}
	for _, stop := range stops {
		stop()
	}
	events := c.Events()
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	rollbackIndex := slices.IndexFunc(events, func(e Event) bool { return e.Is("* build back") })
	stoppedBefore := map[string]bool{} // instances whose primary had stopped for a handover before the controllers knew of the rollback
	for i, e := range events {
		switch {
		case e.Name == "stops" && strings.Contains(e.Why, "handed over"):
			stoppedBefore[e.Instance] = i < rollbackIndex
		case i > rollbackIndex && e.Name == "placed" && slices.Contains(newVersionNodes, e.To) && !strings.Contains(e.Why, "fell") && !stoppedBefore[e.Instance]:
			t.Errorf("an instance was handed over to a node whose version is rolled back: %s", e.Line)
		}
	}
	c.checkRun(t)
}

// False claims of nodes about their health or their power must have a limited effect. If the requests that relays send to a node
// fail, a claim of good health must not keep the node from being evacuated.
// If the readings of several nodes of a zone do not support their claims of low power, only one of these nodes may be evacuated.
func TestNodeHealth_FalseReports(t *testing.T) {
	t.Run("says it is well and fails", testClaimsHealth)
	t.Run("says it is tired", testClaimsLowPower)
}

func testClaimsHealth(t *testing.T) {
	t.Helper()
	t.Parallel()
	c := startFleetWithNodes(t, 71, append([]Node{{Name: "edge-a", Role: "edge", Zone: "north"}, {Name: "edge-b", Role: "edge", Zone: "north"},
		{Name: "edge-c", Role: "edge", Zone: "south"}}, relayNodes(2)...)...)
	var stops []func()
	for i, node := range []string{"edge-a", "edge-b", "edge-c"} {
		cam := fmt.Sprintf("cam-%d", i+1)
		c.Wait(0, node+" lease gained")
		if err := c.createInstance(t.Context(), cam, node, map[string]string{"edge-c": "south"}[node]); err != nil {
			t.Fatal(err)
		}
		for _, relay := range []string{"relay-1", "relay-2"} {
			c.Wait(0, relay+" routes "+cam)
			stops = append(stops, c.startWriters(4, time.Second, func(name string) *Client {
				return c.RelayClient(name+"-"+relay, relay)
			}, cam))
		}
	}
	c.waitForReplica(t, "cam-1")
	c.playScript(t, "ask load 1s\ndrop relay-1,relay-2 edge-a 60%")
	u := c.waitForNode(t, "edge-a", "evacuating", 0, func(u controllerclient.Node) bool {
		return slices.ContainsFunc(u.Reasons, func(why string) bool { return strings.Contains(why, "fails more of its commands") })
	})
	if u.Accepting || u.State != controllerclient.StateEvacuating {
		t.Errorf("the failing node is not evacuated: %+v", u)
	}
	c.waitForAssignment(t, "cam-1", func(p placement.Assignment) bool { return p.State == placement.Running && p.Primary != "edge-a" })
	c.Wait(0, "desk acked cam-1@2")
	if _, err := c.MoveDevice(t.Context(), "cam-3", "north"); err != nil {
		t.Fatal(err)
	}
	c.waitForAssignment(t, "cam-3", func(p placement.Assignment) bool { return p.Primary == "edge-b" && p.CopyTarget == "" })
	for _, stop := range stops {
		stop()
	}
	for _, e := range c.Events() {
		if e.Is("edge-a strength") && e.State != controllerclient.StateAccepting {
			t.Errorf("the node does not claim to be healthy: %s", e.Text())
		}
	}
	c.checkRun(t)
	c.checkEventOrder(t, "links link relay-1 edge-a drop", "edge-a stops cam-1@1 handed", "* placed cam-1@2", "* acts cam-1@2", "desk acked cam-1@2")
}

func testClaimsLowPower(t *testing.T) {
	t.Helper()
	t.Parallel()
	script := ""
	// The sensors report a false temperature that rises by half a degree a second. The node therefore forecasts that it will
	// overheat, and claims that it must evacuate. No single reading is hot enough to support this claim.
	for s := range 40 {
		script += fmt.Sprintf("%d lie temp %.1f\n", s, 41+0.5*float64(s))
	}
	dirB, startB := newBattery(t, 5, script)
	dirC, startC := newBattery(t, 6, script)
	c := startFleetWithNodes(t, 72, Node{Name: "edge-a", Role: "edge", Zone: "north"}, batteryNode("edge-b", "south", dirB), batteryNode("edge-c", "south", dirC))
	liars, nodeNames := []string{"edge-b", "edge-c"}, []string{"edge-a", "edge-b", "edge-c"}
	var stops []func()
	for _, u := range liars {
		c.Wait(0, u+" strength accepts")
		if err := c.createInstance(t.Context(), "cam-"+u, u, "south"); err != nil {
			t.Fatal(err)
		}
		c.Wait(0, u+" acts")
		stops = append(stops, c.startWriters(2, time.Second, func(name string) *Client { return c.Client(name, nodeNames...) }, "cam-"+u))
		c.waitForReplica(t, "cam-"+u)
	}
	startB()
	startC()
	for _, u := range liars {
		// The node's state becomes hands-on 15 s after its script starts, because of the rate at which its readings rise.
		c.Wait(0, u+" strength hands-on")
	}
	moved := 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all, err := c.controllers.Nodes(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		evacuated := 0
		for _, u := range all.Nodes {
			if u.HasLease && slices.Contains(liars, u.Name) && (u.State == controllerclient.StateEvacuating || u.State == controllerclient.StateShuttingDown) {
				evacuated++
			}
		}
		if evacuated > 1 {
			t.Fatalf("claims alone evacuate more than one node of the zone: %+v", all.Nodes)
		}
	}
	for _, u := range liars {
		if p := c.waitForAssignment(t, "cam-"+u, func(p placement.Assignment) bool { return p.State == placement.Running && p.CopyTarget == "" }); p.Primary != u {
			moved++
		}
	}
	if moved != 1 {
		t.Errorf("%d of two instances left the nodes that claim low power, want 1", moved)
	}
	for _, stop := range stops {
		stop()
	}
	c.checkRun(t)
}

// The sensor files exist, but their contents do not change though the node works. The node's readings are then unknown: it must accept
// nothing new, and keep what it runs.
func TestReadingsFrozen(t *testing.T) {
	t.Parallel()
	north, freeze := newBattery(t, 7, "0 load 0.5\n10 freeze\n")
	c := startFleetWithNodes(t, 73, batteryNode("edge-a", "north", north), Node{Name: "edge-b", Role: "edge", Zone: "south"})
	nodeNames := []string{"edge-a", "edge-b"}
	c.Wait(0, "edge-a strength accepts")
	stop := c.startInstance(t, "cam-1", nodeNames...)
	stopExtraLoad := c.startWriters(12, time.Second, func(name string) *Client { return c.Client(name+"-more", nodeNames...) }, "cam-1")
	if err := c.createInstance(t.Context(), "cam-2", "edge-b", "south"); err != nil {
		t.Fatal(err)
	}
	c.Wait(0, "edge-b acts cam-2")
	freeze()
	c.waitForNode(t, "edge-a", "unknown", time.Minute, func(u controllerclient.Node) bool {
		return u.HasLease && !u.Accepting && u.State == controllerclient.StateHolding &&
			slices.ContainsFunc(u.Reasons, func(why string) bool { return strings.Contains(why, "unknown: stuck: the same for") })
	})
	if _, err := c.MoveDevice(t.Context(), "cam-2", "north"); err != nil {
		t.Fatal(err)
	}
	c.playScript(t, "ask load 2s")
	if p := c.waitForAssignment(t, "cam-2", func(placement.Assignment) bool { return true }); p.Primary != "edge-b" || p.CutOver {
		t.Errorf("an instance was handed over to the node: %+v", p)
	}
	if m := c.writeUntilAcknowledged(t, "cam-1", nodeNames...); m.Epoch != 1 || m.Node != "edge-a" {
		t.Errorf("the node does not keep its instance: %+v", m)
	}
	stopExtraLoad()
	stop()
	c.checkRun(t)
}

// The power of all nodes of a zone fails at the same moment and returns. The instances of these nodes must not start elsewhere before the
// power returns, because no running node has all effects of these instances. No acknowledged effect may be lost. The other zone must continue.
func TestFailover_PowerFailureOfZone(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("real processes")
	}
	var nodes []Node
	for i := range 3 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("keeper-%d", i+1), Role: "keeper", Zone: "south"})
	}
	for i, zone := range []string{"north", "north", "south", "south"} {
		nodes = append(nodes, Node{Name: "edge-" + string(rune('a'+i)), Role: "edge", Zone: zone})
	}
	c := New(t, 74, append(shortLeaseSettings()[:3:3], "restart_after 60s"), nodes...)
	c.Start()
	c.Wait(0, "* leads")
	nodeNames := []string{"edge-a", "edge-b", "edge-c", "edge-d"}
	var stops []func()
	cams := []string{"cam-a", "cam-b", "cam-c", "cam-d"}
	for i, u := range nodeNames {
		c.Wait(0, u+" lease gained")
		if err := c.createInstance(t.Context(), cams[i], u, nodes[3+i].Zone); err != nil {
			t.Fatal(err)
		}
		c.Wait(0, u+" acts "+cams[i])
		stops = append(stops, c.startWriters(3, time.Second, func(name string) *Client { return c.Client(name, nodeNames...) }, cams[i]))
	}
	for _, cam := range cams {
		c.waitForReplica(t, cam)
	}
	c.playScript(t, `
		ask load 500ms
		kill edge-a,edge-b
		when * lapsed edge-a
		when * placed lost
		ask load 2s
	`)
	for _, cam := range cams[2:] {
		c.writeUntilAcknowledged(t, cam, nodeNames[2:]...)
	}
	c.playScript(t, "start edge-a,edge-b")
	for _, cam := range cams {
		c.writeUntilAcknowledged(t, cam, nodeNames...)
		if p := c.waitForAssignment(t, cam, func(p placement.Assignment) bool { return p.State == placement.Running }); p.MissingEntries > 0 {
			t.Errorf("effects are missing after the power failure: %+v", p)
		}
	}
	for _, stop := range stops {
		stop()
	}
	c.checkRun(t)
	c.checkEventOrder(t, "edge-b kill", "* placed lost", "edge-a start", "* acts")
}
