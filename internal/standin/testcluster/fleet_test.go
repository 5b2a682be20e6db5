package testcluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/internal/placement"
)

// shortLeaseSettings returns lines of the block fleet with short times for tests. The dwell time, which is the setting
// fleet.dwell, is 0. With the race detector, the lease duration is doubled, because the processes run several times as slowly.
func shortLeaseSettings() []string {
	lease := scaled(time.Second)
	if raceDetector {
		lease *= 2
	}
	ms := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	return []string{"lease " + ms(lease), "silence " + ms(lease/2), "dwell 0s", "restart_after " + ms(scaled(time.Second))}
}

// startFleet starts three controllers, edge nodes in two zones, and further nodes, and waits until a controller leads and the edge
// nodes have leases.
func startFleet(t *testing.T, seed uint64, north, south int, more ...Node) *Cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	var nodes []Node
	for i := range 3 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("keeper-%d", i+1), Role: "keeper", Zone: "north"})
	}
	for i := range north + south {
		zone := "north"
		if i >= north {
			zone = "south"
		}
		nodes = append(nodes, Node{Name: "edge-" + string(rune('a'+i)), Role: "edge", Zone: zone})
	}
	c := New(t, seed, shortLeaseSettings(), append(nodes, more...)...)
	c.Start()
	c.Wait(0, "* leads")
	for i := range north + south {
		c.Wait(0, "edge-"+string(rune('a'+i))+" lease gained")
	}
	return c
}

// startWriters starts clients, each of which sends one request after another to an instance. stop ends the clients and waits for
// them.
func (c *Cluster) startWriters(clients int, wait time.Duration, create func(name string) *Client, instance string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for i := range clients {
		done.Go(func() {
			k := create(fmt.Sprintf("%s-client%d", instance, i))
			defer k.Close()
			for n := 0; ctx.Err() == nil; n++ {
				if n%5 == 4 {
					k.Read(instance, wait)
				} else {
					k.Write(instance, wait)
				}
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return func() { cancel(); done.Wait() }
}

// checkRun checks the requests and events of a run with CheckHistory, CheckEpochs, CheckOneServes and CheckDeadlines, and writes
// the run's event file.
func (c *Cluster) checkRun(t *testing.T) {
	t.Helper()
	c.writeEventFile(t)
	all := c.Requests()
	for name, err := range map[string]error{"history": CheckHistory(all), "epochs": CheckEpochs(all), "one serves": CheckOneServes(c.Events()),
		"deadlines": CheckDeadlines(c.RequestsWithoutStalls(), waitTimeout/20)} {
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	n := map[Outcome]int{}
	for _, m := range all {
		n[m.Outcome]++
	}
	t.Logf("requests: %v", n)
}

// createInstance creates an instance. It is no error if the instance exists already, because the client repeats a call whose
// response is lost.
func (c *Cluster) createInstance(ctx context.Context, instance, node, zone string) error {
	_, err := c.Create(ctx, instance, node, zone)
	if errors.Is(err, placement.ErrExists) {
		return nil
	}
	return err
}

// startInstance creates an instance at edge-a, starts clients that write to it through all the named nodes, and waits until the
// instance has a replica.
func (c *Cluster) startInstance(t *testing.T, instance string, nodeNames ...string) (stop func()) {
	t.Helper()
	if err := c.createInstance(t.Context(), instance, "edge-a", "north"); err != nil {
		t.Fatal(err)
	}
	c.Wait(0, "edge-a acts "+instance+"@1")
	stop = c.startWriters(3, time.Second, func(name string) *Client { return c.Client(name, nodeNames...) }, instance)
	c.waitForReplica(t, instance)
	return stop
}

// waitForReplica waits until the controllers have agreed that an instance has a replica. Until then, a failure of the primary may
// lose acknowledged effects.
func (c *Cluster) waitForReplica(t *testing.T, instance string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		all, err := c.Controllers().Assignments(t.Context(), 0)
		if err == nil && slices.ContainsFunc(all.Assignments, func(p placement.Assignment) bool {
			return p.Instance == instance && p.State == placement.Running && len(p.Replicas) > 0
		}) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s has no replica: %+v, %v", instance, all, err)
		}
	}
}

// playScript executes a script with Play. The functions of its ask lines are:
//
//	cross INSTANCE ZONE  moves the instance's device to the zone
//	leader VERB          applies the verb to the leading controller
//	load DURATION        waits
func (c *Cluster) playScript(t *testing.T, script string) {
	t.Helper()
	err := c.Play(t.Context(), script, map[string]func([]string) error{
		"cross": func(w []string) error {
			_, err := c.MoveDevice(t.Context(), w[0], w[1])
			return err
		},
		"leader": func(w []string) error { return c.Do(w[0] + " " + c.leader()) },
		"load":   func(w []string) error { d, _ := time.ParseDuration(w[0]); time.Sleep(d); return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
}

// leader returns the running controller that has become leader last.
func (c *Cluster) leader() (name string) {
	for _, e := range c.Events() {
		if p, err := c.node(e.Node); err == nil && e.Name == "leads" && p.command != nil {
			name = e.Node
		}
	}
	return name
}

// writeUntilAcknowledged writes to an instance until a write is acknowledged in any epoch.
func (c *Cluster) writeUntilAcknowledged(t *testing.T, instance string, nodeNames ...string) Request {
	t.Helper()
	k := c.Client("last-"+instance, nodeNames...)
	defer k.Close()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if m := k.Write(instance, time.Second); m.Outcome == Succeeded {
			return m
		}
	}
	t.Fatalf("no write to %s was acknowledged", instance)
	return Request{}
}

func (c *Cluster) checkEventOrder(t *testing.T, words ...string) {
	t.Helper()
	if err := CheckOrder(c.Events(), words...); err != nil {
		t.Error(err)
	}
}

func TestHandover_DeviceCrossesZones(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 1, 1, 1)
	stop := c.startInstance(t, "cam-1", "edge-a", "edge-b")
	c.playScript(t, `
		ask cross cam-1 south
		when edge-b acts cam-1@2
		when desk acked cam-1@2
	`)
	stop()
	c.checkRun(t)
	c.checkEventOrder(t, "edge-a acts cam-1@1", "desk crosses cam-1", "edge-a stops cam-1@1", "* placed cam-1@2 edge-b",
		"edge-b acts cam-1@2", "desk acked cam-1@2")
}

// The primary's report that it has stopped serving is lost, and then the primary is killed. A replica must take over once the lease has
// expired.
func TestOwnerKilledBetweenStopAndSwitch(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 2, 1, 1)
	stop := c.startInstance(t, "cam-1", "edge-a", "edge-b")
	c.playScript(t, `
		cut edge-a keeper-1,keeper-2,keeper-3 oneway
		ask cross cam-1 south
		when edge-a stops cam-1@1
		kill edge-a
		when edge-b acts cam-1@2
		when desk acked cam-1@2
		heal edge-a *
	`)
	stop()
	c.checkRun(t)
	c.checkEventOrder(t, "edge-a stops cam-1@1", "edge-a kill", "* placed cam-1@2 edge-b", "edge-b acts cam-1@2")
}

// An effect is replicated, its acknowledgement is lost, and the primary is killed. A retry must get the first response.
func TestFailover_PrimaryKilledBeforeAck(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 3, 1, 1)
	c.startInstance(t, "cam-1", "edge-a", "edge-b")()
	k, allNodes := c.Client("one", "edge-a"), c.Client("all", "edge-a", "edge-b")
	defer k.Close()
	defer allNodes.Close()
	if m := k.Write("cam-1", time.Second); m.Outcome != Succeeded {
		t.Fatalf("write before the fault: %+v", m)
	}
	c.playScript(t, "cut edge-a desk oneway")
	first := k.Write("cam-1", 300*time.Millisecond)
	if first.Outcome != Unknown {
		t.Fatalf("write whose acknowledgement is lost: %+v", first)
	}
	c.playScript(t, `
		kill edge-a
		when edge-b acts cam-1@2
	`)
	again := allNodes.Retry(first, 2*time.Second)
	if again.Outcome != Succeeded || again.Epoch != 1 || again.Node != "edge-a" {
		t.Errorf("the retry did not get the first response: %+v", again)
	}
	if m := allNodes.Write("cam-1", 2*time.Second); m.Outcome != Succeeded || m.Seq != again.Seq+1 || m.Epoch != 2 {
		t.Errorf("after effect %d: %+v", again.Seq, m)
	}
	c.checkRun(t)
}

func TestHandover_NewPrimaryKilled(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 4, 1, 2)
	stop := c.startInstance(t, "cam-1", "edge-a", "edge-b", "edge-c")
	c.playScript(t, "ask cross cam-1 south")
	primary := c.waitUntilServing("cam-1@2")
	c.playScript(t, "kill "+primary+"\nwhen * acts cam-1@3\nwhen desk acked cam-1")
	stop()
	c.checkRun(t)
	c.checkEventOrder(t, "edge-a stops cam-1@1", primary+" acts cam-1@2", primary+" kill", "* placed cam-1@3", "* acts cam-1@3")
}

// waitUntilServing waits until a node serves an instance, given as INSTANCE@EPOCH, and returns the node.
func (c *Cluster) waitUntilServing(instance string) string {
	c.test.Helper()
	after := c.Wait(0, "* acts "+instance)
	return c.Events()[after-1].Node
}

func TestHandover_LeadingControllerKilled(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 5, 1, 1)
	stop := c.startInstance(t, "cam-1", "edge-a", "edge-b")
	leader := c.leader()
	c.playScript(t, `
		cut edge-a keeper-1,keeper-2,keeper-3 oneway   # its report that it has stopped is lost
		ask cross cam-1 south
		when edge-a stops cam-1@1
		kill `+leader+`
		when * leads
		when * acts cam-1@2
		when desk acked cam-1@2
		heal edge-a *
		start `+leader+`
	`)
	stop()
	c.checkRun(t)
	c.checkEventOrder(t, "edge-a stops cam-1@1", leader+" kill", "* leads", "* placed cam-1@2", "* acts cam-1@2")
}

// The primary, the new primary and the leading controller are killed one after the other, and each is started again with its disk.
func TestFailover_BothPrimariesAndLeadingControllerKilled(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 6, 1, 2)
	nodeNames := []string{"edge-a", "edge-b", "edge-c"}
	stop := c.startInstance(t, "cam-1", nodeNames...)
	c.playScript(t, "kill edge-a")
	second := c.waitUntilServing("cam-1@2")
	c.playScript(t, "when desk acked cam-1\nstart edge-a\nwhen edge-a lease gained")
	c.waitForReplica(t, "cam-1")
	c.playScript(t, "kill "+second)
	third := c.waitUntilServing("cam-1@3")
	leader := c.leader()
	c.playScript(t, "when desk acked cam-1\nstart "+second+"\nkill "+leader+"\nwhen * leads\nstart "+leader)
	stop()
	last := c.writeUntilAcknowledged(t, "cam-1", nodeNames...)
	t.Logf("%s, then %s, then %s; last %+v", "edge-a", second, third, last)
	c.checkRun(t)
}

func TestLinkOfOwnerAndKeepersCutOneWay(t *testing.T) {
	for name, cut := range map[string]string{"asks": "edge-a keeper-1,keeper-2,keeper-3", "answers": "keeper-1,keeper-2,keeper-3 edge-a"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, 7, 1, 1)
			stop := c.startInstance(t, "cam-1", "edge-a", "edge-b")
			c.playScript(t, `
				cut `+cut+` oneway
				when edge-a stops cam-1@1
				when edge-b acts cam-1@2
				when desk acked cam-1@2
				heal * *
				when edge-a lease gained
			`)
			stop()
			c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b")
			c.checkRun(t)
			c.checkEventOrder(t, "links link cut", "edge-a stops cam-1@1", "* placed cam-1@2 edge-b", "edge-b acts cam-1@2", "links link up",
				"edge-a lease gained")
		})
	}
}

// A primary is stopped (SIGSTOP) until its lease has expired. A request that is sent to the stopped primary must be refused when the
// primary is woken.
func TestOwnerStoppedPastItsLeaseAndWoken(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 8, 1, 1)
	stop := c.startInstance(t, "cam-1", "edge-a", "edge-b")
	k := c.Client("waits", "edge-a")
	defer k.Close()
	if m := k.Write("cam-1", time.Second); m.Outcome != Succeeded {
		t.Fatalf("write before the stop: %+v", m)
	}
	c.playScript(t, "stop edge-a")
	answer := make(chan Request, 1)
	go func() { answer <- k.Write("cam-1", 10*time.Second) }()
	c.playScript(t, `
		when edge-b acts cam-1@2
		when desk acked cam-1@2
		wake edge-a
		when edge-a stops cam-1@1
	`)
	if m := <-answer; m.Outcome != NotRun {
		t.Errorf("a request that waited at a primary past its lease was not refused: %+v", m)
	}
	stop()
	c.checkRun(t)
	c.checkEventOrder(t, "edge-a stop", "* placed cam-1@2 edge-b", "edge-b acts cam-1@2", "edge-a wake", "edge-a stops cam-1@1")
}

// Two zones are partitioned for ten seconds while devices cross between them. The traffic between the nodes of the two zones is
// held back and then arrives all at once. The instances of the two devices that are then in the south must be served
// there.
func TestTwoZonesApartWhileCamerasCross(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 9, 2, 2)
	var stops []func()
	nodeNames := []string{"edge-a", "edge-b", "edge-c", "edge-d"}
	for _, cam := range []string{"cam-1", "cam-2", "cam-3"} {
		stops = append(stops, c.startInstance(t, cam, nodeNames...))
	}
	c.playScript(t, `
		ask cross cam-1 south                  # in progress when the partition starts
		stall edge-a,edge-b edge-c,edge-d
		split edge-c,edge-d keeper-1,keeper-2,keeper-3
		ask cross cam-2 south
		ask load 5s
		ask cross cam-2 north
		ask cross cam-3 south
		ask load 5s
		heal * *
	`)
	c.waitForSouth(t, "cam-1", nodeNames...)
	c.waitForSouth(t, "cam-3", nodeNames...)
	for _, stop := range stops {
		stop()
	}
	c.writeUntilAcknowledged(t, "cam-2", nodeNames...)
	c.checkRun(t)
}

// Without a majority of controllers for 20 s, nothing is assigned and leases expire, so that all instances stop. Then service must
// resume. One controller comes back with an older copy of its disk.
func TestKeepersMajorityGoneAndOneBackWithAnOldDisk(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 10, 1, 1)
	c.playScript(t, "save keeper-3")
	stop := c.startInstance(t, "cam-1", "edge-a", "edge-b")
	c.playScript(t, `
		kill keeper-2
		kill keeper-3
		when edge-a stops cam-1@1
		ask load 20s
		restore keeper-3
		start keeper-2,keeper-3
		when * leads
		when edge-a lease gained
	`)
	last := c.writeUntilAcknowledged(t, "cam-1", "edge-a", "edge-b")
	stop()
	c.checkRun(t)
	t.Logf("last write: %+v", last)
	c.checkEventOrder(t, "keeper-3 kill", "edge-a stops cam-1@1", "keeper-3 restore", "* leads", "edge-a lease gained", "* acts cam-1")
}

// All processes are ended with SIGTERM and started again, one after the other, under load.
func TestRollOfAllProcessesUnderLoad(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 11, 2, 2)
	nodeNames := []string{"edge-a", "edge-b", "edge-c", "edge-d"}
	stop := c.startInstance(t, "cam-1", nodeNames...)
	for _, u := range nodeNames {
		c.playScript(t, "end "+u+"\nstart "+u+"\nwhen "+u+" lease gained")
	}
	for _, k := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		c.playScript(t, "end "+k+"\nstart "+k+"\nask load 300ms")
	}
	c.writeUntilAcknowledged(t, "cam-1", nodeNames...)
	stop()
	c.checkRun(t)
}

// The leading controller is stopped (SIGSTOP) until another controller is elected. The primary is cut off from the controllers
// that were not stopped, and the new leader assigns the primary's instance to another node. Then the former leader is woken. It
// must confirm no operation and no lease of its former term.
func TestLeadingKeeperStoppedAndWoken(t *testing.T) {
	t.Parallel()
	c := startFleet(t, 16, 2, 1)
	nodeNames := []string{"edge-a", "edge-b", "edge-c"}
	stop := c.startInstance(t, "cam-1", nodeNames...)
	formerLeader := c.leader()
	var others []string
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		if name != formerLeader {
			others = append(others, name)
		}
	}
	from := len(c.Events())
	otherControllers := strings.Join(others, ",")
	c.playScript(t, "stop "+formerLeader)
	c.Wait(from, "* leads")
	next := c.leader()
	// The primary and the test reach only the stopped controller, which has their calls in its buffers when it wakes.
	c.playScript(t, "cut edge-a "+otherControllers+"\ncut desk "+otherControllers)
	createResult, healed := make(chan error, 1), make(chan struct{})
	go func() {
		_, err := c.Create(t.Context(), "cam-2", "edge-b", "north")
		select {
		case <-healed:
		default:
			if err == nil {
				err = errors.New("a former leader confirmed an operation")
			}
		}
		createResult <- err
	}()
	c.Wait(from, "edge-a stops cam-1@1")
	c.Wait(from, "* placed cam-1@2")
	woken := len(c.Events())
	c.playScript(t, "wake "+formerLeader+"\nask load 2s")
	for _, e := range c.Events()[woken:] {
		if e.Is(formerLeader + " leads") {
			break // the woken controller has been elected again, so it may grant leases
		}
		if e.Is("edge-a lease gained") || e.Is("edge-a acts cam-1@1") {
			t.Errorf("%s uses a lease that a former leader granted: %s", e.Node, e.Text())
		}
	}
	close(healed)
	c.playScript(t, "heal edge-a "+otherControllers+"\nheal desk "+otherControllers)
	if err := <-createResult; err != nil && !errors.Is(err, placement.ErrExists) {
		t.Error(err)
	}
	c.Wait(woken, "edge-a lease gained")
	if m := c.writeUntilAcknowledged(t, "cam-1", nodeNames...); m.Epoch < 2 {
		t.Errorf("write after the failover: %+v", m)
	}
	c.waitForAssignment(t, "cam-2", func(p placement.Assignment) bool { return p.Primary == "edge-b" })
	stop()
	c.checkRun(t)
	c.checkEventOrder(t, formerLeader+" stop", next+" leads", "edge-a stops cam-1@1", "* placed cam-1@2", formerLeader+" wake")
}
