package testcluster

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

func relayNodes(n int) (all []Node) {
	for i := range n {
		zone := "north"
		if i%2 == 1 {
			zone = "south"
		}
		all = append(all, Node{Name: fmt.Sprintf("relay-%d", i+1), Role: "relay", Zone: zone})
	}
	return all
}

// goodput returns the number n of requests that began in a span of time, and the share of these requests that were acknowledged.
func goodput(all []Request, from, to time.Time) (share float64, n int) {
	good := 0
	for _, m := range all {
		if m.Start.Before(from) || !m.Start.Before(to) {
			continue
		}
		if n++; m.Outcome == Succeeded {
			good++
		}
	}
	return float64(good) / float64(max(1, n)), n
}

// The load rises to ten times its first level, and seven of ten relays are killed and started again. Once the load has returned to
// its first level, the goodput must recover.
func TestTenfoldLoadWithSevenInTenRelaysKilled(t *testing.T) {
	t.Parallel()
	const n = 10
	c := startFleet(t, 40, 1, 1, relayNodes(n)...)
	cams := []string{"cam-1", "cam-2", "cam-3", "cam-4"}
	for _, cam := range cams {
		if err := c.createInstance(t.Context(), cam, "edge-a", "north"); err != nil {
			t.Fatal(err)
		}
	}
	for i := range n {
		for _, cam := range cams {
			c.Wait(0, fmt.Sprintf("relay-%d routes %s", i+1, cam))
		}
	}
	startLoad := func(clients int) (stop func()) {
		var stops []func()
		for i := range clients {
			relay := fmt.Sprintf("relay-%d", i%n+1)
			stops = append(stops, c.startWriters(1, 2*time.Second, func(name string) *Client {
				return c.RelayClient(fmt.Sprintf("%s-%d", name, i), relay)
			}, cams[i%len(cams)]))
		}
		return func() {
			var all sync.WaitGroup
			for _, stop := range stops {
				all.Go(stop)
			}
			all.Wait()
		}
	}
	stopBaseLoad := startLoad(n)
	before := time.Now()
	c.playScript(t, "ask load 1s")
	stopSurge := startLoad(9 * n)
	c.playScript(t, `
		ask load 500ms
		kill relay-1,relay-2,relay-3,relay-4,relay-5,relay-6,relay-7
		ask load 500ms
		start relay-1,relay-2,relay-3,relay-4,relay-5,relay-6,relay-7
		ask load 1s
	`)
	stopSurge()
	surgeEnd := time.Now()
	shareBefore, countBefore := goodput(c.Requests(), before, before.Add(time.Second))
	shareAfter, countAfter := 0.0, 0
	// The goodput has recovered if at least 95 per cent of the requests of one second are acknowledged. The second must have at
	// least 20 requests. One such second within waitTimeout is enough: in others, a busy machine may delay requests.
	for end := surgeEnd.Add(waitTimeout); shareAfter < 0.95 || countAfter < 20; {
		if time.Now().After(end) {
			t.Errorf("goodput does not recover: %.3f of %d requests", shareAfter, countAfter)
			break
		}
		c.playScript(t, "ask load 1200ms")
		shareAfter, countAfter = goodput(c.Requests(), time.Now().Add(-1200*time.Millisecond), time.Now().Add(-200*time.Millisecond))
	}
	t.Logf("goodput before %.3f of %d, %v after the trigger's end %.3f of %d", shareBefore, countBefore, time.Since(surgeEnd), shareAfter, countAfter)
	stopBaseLoad()
	c.checkRun(t)
}

// A node refuses all connections. All relays together must probe the node only a few times a second, though each relay has requests
// for the node. During the test, one relay stalls and the relays are partitioned.
func TestSickUnitUnderManyRelays(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("real processes")
	}
	const n = 30
	fleet := []Node{{Name: "edge-a", Role: "edge", Zone: "north"}, {Name: "edge-b", Role: "edge", Zone: "south"}}
	for i := range 3 {
		fleet = append(fleet, Node{Name: fmt.Sprintf("keeper-%d", i+1), Role: "keeper", Zone: "north"})
	}
	// The lease is long, so that the leading controller stays the leader although so many processes share the machine.
	c := New(t, 41, []string{"lease 6s", "silence 1s", "dwell 0s", "restart_after 1s"}, append(fleet, relayNodes(n)...)...)
	// The processes are started one after another, because many processes that start at once delay one another.
	for _, p := range fleet {
		c.Start(p.Name)
	}
	c.Wait(0, "* leads")
	c.Wait(0, "edge-a lease gained")
	if err := c.createInstance(t.Context(), "cam-1", "edge-a", "north"); err != nil {
		t.Fatal(err)
	}
	var stops []func()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("relay-%d", i+1))
	}
	for batch := range slices.Chunk(names, 5) {
		c.Start(batch...)
		for _, relay := range batch {
			c.Wait(0, relay+" routes cam-1")
		}
	}
	for _, relay := range names {
		stops = append(stops, c.startWriters(1, time.Second, func(name string) *Client { return c.RelayClient(name+"-"+relay, relay) }, "cam-1"))
	}
	c.playScript(t, "ask load 1s")
	opened := func() (sum int) {
		p, _ := c.node("edge-a")
		for _, l := range p.requestLinks {
			sum += l.Opened()
		}
		return sum
	}
	firstHalf, secondHalf := names[:n/2], names[n/2:]
	sides := strings.Join(firstHalf, ",") + " " + strings.Join(secondHalf, ",")
	before := opened()
	c.playScript(t, "sick edge-a\nask load 5s")
	t.Logf("%d connections in the first 5 s", opened()-before)
	from, since := opened(), time.Now()
	c.playScript(t, `
		ask load 3s
		stop relay-1
		ask load 1s
		wake relay-1
		split `+sides+`
		ask load 2s
		heal `+sides+`
		ask load 1s
	`)
	probes := float64(opened()-from) / time.Since(since).Seconds()
	t.Logf("%.1f connections a second to the refusing node from %d relays", probes, n)
	c.playScript(t, "well edge-a")
	openedBefore := opened()
	k := c.RelayClient("last", "relay-2")
	defer k.Close()
	for end, well := time.Now().Add(waitTimeout), time.Now(); ; {
		if m := k.Write("cam-1", time.Second); m.Outcome == Succeeded {
			t.Logf("first acknowledgement %v after the node accepts connections again", time.Since(well))
			break
		}
		if time.Now().After(end) {
			t.Errorf("the node accepted %d connections again, but no write was acknowledged", opened()-openedBefore)
			break
		}
	}
	for _, stop := range stops {
		stop()
	}
	if probes > 2 {
		t.Errorf("%.1f probes a second", probes)
	}
	c.checkRun(t)
}
