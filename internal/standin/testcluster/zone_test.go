package testcluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"silvercove/internal/standin/battery"
)

// newBattery simulates an edge node's power and temperature by a script that begins when start is called. Until then the battery is
// full. dir is the directory with the sensor files.
func newBattery(t *testing.T, seed uint64, script string) (dir string, start func()) {
	t.Helper()
	dir = t.TempDir()
	v, err := battery.New(seed, script)
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Write(dir); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	t.Cleanup(func() { stop(); done.Wait() })
	return dir, func() { done.Go(func() { _ = v.Run(ctx, dir, 100*time.Millisecond, 1) }) }
}

func batteryNode(name, zone, dir string) Node {
	return Node{Name: name, Role: "edge", Zone: zone, Directives: []string{"power " + dir}}
}

// startFleetWithNodes starts three controllers and the nodes, and waits until a controller leads.
func startFleetWithNodes(t *testing.T, seed uint64, more ...Node) *Cluster {
	t.Helper()
	return startFleet(t, seed, 0, 0, more...)
}

// heatingScript warms a node as if it stood in the sun, but much faster. Near 85 degrees Celsius a node hands over its instances.
const heatingScript = "0 temp 50\n1 temp 58\n2 temp 66\n3 temp 74\n4 temp 82\n5 temp 88\n6 temp 89\n7 temp 88\n8 temp 89\n"

// Both nodes of the north overheat within the same two seconds. Their instances must move to the south, and service must continue.
func TestAllUnitsOfAZoneTiredAtOnce(t *testing.T) {
	t.Parallel()
	north1, heat1 := newBattery(t, 1, heatingScript)
	north2, heat2 := newBattery(t, 2, heatingScript)
	c := startFleetWithNodes(t, 20, batteryNode("edge-a", "north", north1), batteryNode("edge-b", "north", north2),
		Node{Name: "edge-c", Role: "edge", Zone: "south"}, Node{Name: "edge-d", Role: "edge", Zone: "south"})
	nodeNames := []string{"edge-a", "edge-b", "edge-c", "edge-d"}
	for _, u := range nodeNames {
		c.Wait(0, u+" strength accepts")
	}
	var stops []func()
	for i := range 4 {
		stops = append(stops, c.startInstance(t, fmt.Sprintf("cam-%d", i), nodeNames...))
	}
	heat1()
	heat2()
	c.Wait(0, "edge-a strength hands-on")
	c.Wait(0, "edge-b strength hands-on")
	for i := range 4 {
		cam := fmt.Sprintf("cam-%d", i)
		c.waitForSouth(t, cam, nodeNames...)
	}
	for _, stop := range stops {
		stop()
	}
	c.checkRun(t)
}

// waitForSouth waits until edge-c or edge-d serves an instance.
func (c *Cluster) waitForSouth(t *testing.T, instance string, nodeNames ...string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; {
		if u := c.writeUntilAcknowledged(t, instance, nodeNames...).Node; u == "edge-c" || u == "edge-d" {
			return
		}
		if time.Now().After(end) {
			all, err := c.Controllers().Nodes(t.Context())
			t.Fatalf("%s does not move to the south; nodes %+v, %v", instance, all, err)
		}
	}
}

// A node whose sensor readings are missing must accept no new instance. It is not dead, so the instances that it runs must
// continue there.
func TestNodeHealth_ReadingsMissing(t *testing.T) {
	t.Parallel()
	north, removeReadings := newBattery(t, 3, "0 miss power_supply\n0 miss thermal\n")
	c := startFleetWithNodes(t, 21, batteryNode("edge-a", "north", north), Node{Name: "edge-b", Role: "edge", Zone: "south"})
	stop := c.startInstance(t, "cam-1", "edge-a", "edge-b")
	removeReadings()
	c.Wait(0, "edge-a strength keeps")
	for range 10 {
		if m := c.writeUntilAcknowledged(t, "cam-1", "edge-a"); m.Epoch != 1 {
			t.Errorf("the instance moved: %+v", m)
		}
	}
	stop()
	c.checkRun(t)
}

// The temperature oscillates around the limit. The node must hand over its instance once. Its health state must then not improve
// before the dwell time of package devicehealth has passed. No instance may move back and forth.
func TestNodeHealth_TemperatureOscillatesAroundLimit(t *testing.T) {
	t.Parallel()
	north, startOscillation := newBattery(t, 4, "0 temp 52\n1 temp 64\n2 temp 76\n3 temp 88\n5 temp 80\n7 temp 88\n9 temp 80\n11 temp 88\n")
	c := startFleetWithNodes(t, 22, batteryNode("edge-a", "north", north), Node{Name: "edge-b", Role: "edge", Zone: "north"},
		Node{Name: "edge-c", Role: "edge", Zone: "south"})
	for _, u := range []string{"edge-a", "edge-b", "edge-c"} {
		c.Wait(0, u+" strength accepts")
	}
	stop := c.startInstance(t, "cam-1", "edge-a", "edge-b", "edge-c")
	startOscillation()
	c.Wait(0, "* acts cam-1@2")
	c.playScript(t, "ask load 6s")
	stop()
	changes := 0
	for _, e := range c.Events() {
		if e.Is("edge-a strength") {
			changes++
		}
		if e.Name == "acts" && e.Epoch > 2 {
			t.Errorf("%s: the instance moves back and forth", e.Text())
		}
	}
	// The first change sets the node's health state to accepting. Up to four changes may then lower it step by step to the lowest
	// state.
	if changes > 5 {
		t.Errorf("%d changes of state", changes)
	}
	c.checkRun(t)
}

func TestHandover_RequestsThroughRelay(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 30, 1, 1, Node{Name: "relay-1", Role: "relay", Zone: "north"}, Node{Name: "relay-2", Role: "relay", Zone: "south"})
	if err := c.createInstance(t.Context(), "cam-1", "edge-a", "north"); err != nil {
		t.Fatal(err)
	}
	c.Wait(0, "edge-a acts cam-1@1")
	c.Wait(0, "relay-1 routes cam-1@1")
	c.Wait(0, "relay-2 routes cam-1@1")
	one := c.startWriters(2, 2*time.Second, func(name string) *Client { return c.RelayClient("one-"+name, "relay-1") }, "cam-1")
	two := c.startWriters(2, 2*time.Second, func(name string) *Client { return c.RelayClient("two-"+name, "relay-2") }, "cam-1")
	c.Wait(0, "edge-a synced cam-1")
	c.playScript(t, `
		ask cross cam-1 south
		when edge-b acts cam-1@2
		when relay-1 routes cam-1@2
		when desk acked cam-1@2
		ask load 1s
	`)
	one()
	two()
	c.checkRun(t)
	for _, m := range c.Requests() {
		if m.Outcome != Succeeded && m.Outcome != Rejected { // a relay on a busy machine may shed a request
			t.Errorf("request failed: %+v", m)
		}
	}
	c.checkEventOrder(t, "edge-a stops cam-1@1", "* placed cam-1@2", "edge-b acts cam-1@2", "desk acked cam-1@2")
}
