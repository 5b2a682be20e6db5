package testcluster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"silvercove/internal/placement"
)

// startTwoZones starts two edge nodes in each of two zones and the controllers in the south. The parameter away is the
// number of replicas of an instance that are kept in another zone.
func startTwoZones(tb testing.TB, away int) (c *Cluster, nodeNames []string) {
	tb.Helper()
	nodeNames = []string{"edge-a", "edge-b", "edge-c", "edge-d"}
	var nodes []Node
	for i, u := range nodeNames {
		nodes = append(nodes, Node{Name: u, Role: "edge", Zone: []string{"north", "south"}[i/2]})
	}
	for i := range 3 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("keeper-%d", i+1), Role: "keeper", Zone: "south"})
	}
	c = New(tb, 80, append(shortLeaseSettings(), fmt.Sprintf("away %d", away)), nodes...)
	c.Start()
	c.Wait(0, "* leads")
	for _, u := range nodeNames {
		c.Wait(0, u+" lease gained")
	}
	return c, nodeNames
}

// A zone is cut off from the other zone and from the controllers for longer than restart_after, while clients write to an
// instance in the zone that is cut off. With a replica in the other zone, the instance must continue in the other zone with every
// acknowledged effect, and move back once its zone is reachable. Without such a replica, the instance starts empty.
func TestAZoneCutOffForLongLosesNothing(t *testing.T) {
	for _, away := range []int{1, 0} {
		t.Run(fmt.Sprintf("away-%d", away), func(t *testing.T) {
			t.Parallel()
			if testing.Short() {
				t.Skip("real processes")
			}
			c, nodeNames := startTwoZones(t, away)
			stop := c.startInstance(t, "cam-1", nodeNames...)
			first := c.waitForAssignment(t, "cam-1", func(p placement.Assignment) bool { return len(p.Replicas) == 1 && p.CopyTarget == "" })
			if far := first.Replicas[0] != "edge-b"; far != (away == 1) {
				t.Fatalf("replica is in the wrong zone: %+v", first)
			}
			c.playScript(t, `
				split edge-a,edge-b edge-c,edge-d,keeper-1,keeper-2,keeper-3
				when edge-a stops cam-1@1
				when * acts cam-1@2
				when desk acked cam-1@2
				ask load 3s
			`)
			p := c.waitForAssignment(t, "cam-1", func(p placement.Assignment) bool { return p.State == placement.Running && p.Epoch >= 2 })
			if p.Primary == "edge-a" || p.Primary == "edge-b" {
				t.Errorf("primary is in the zone that was cut off: %+v", p)
			}
			c.playScript(t, `
				heal edge-a,edge-b *
				when * acts cam-1@3
				when desk acked cam-1@3
			`)
			p = c.waitForAssignment(t, "cam-1", func(p placement.Assignment) bool {
				return (p.Primary == "edge-a" || p.Primary == "edge-b") && len(p.Replicas) == 1 && p.CopyTarget == ""
			})
			stop()
			if away == 0 {
				if CheckHistory(c.Requests()) == nil {
					t.Error("nothing was lost without a replica in another zone")
				}
				return
			}
			if far := p.Replicas[0]; far != "edge-c" && far != "edge-d" || p.MissingEntries > 0 {
				t.Errorf("replica is not in the other zone, or effects are missing: %+v", p)
			}
			c.checkRun(t)
			c.checkEventOrder(t, "edge-a acts cam-1@1", "edge-a stops cam-1@1", "* placed cam-1@2 "+first.Replicas[0],
				first.Replicas[0]+" acts cam-1@2", "desk acked cam-1@2", "* placed cam-1@3", "desk acked cam-1@3")
		})
	}
}

// BenchmarkAcks measures the time until a write is acknowledged. A client sends one request after the other to an instance whose
// replica is in the same zone, or in another zone with the given one-way delay.
func BenchmarkAcks(b *testing.B) {
	for _, away := range []int{0, 1} {
		for _, delay := range []string{"0ms", "10ms", "20ms"} {
			b.Run(fmt.Sprintf("away=%d/oneway=%s", away, delay), func(b *testing.B) {
				c, _ := startTwoZones(b, away)
				if _, err := c.Create(b.Context(), "cam-1", "edge-a", "north"); err != nil {
					b.Fatal(err)
				}
				c.waitForAssignment(b, "cam-1", func(p placement.Assignment) bool { return len(p.Replicas) == 1 && p.CopyTarget == "" })
				if err := c.Do("delay edge-a,edge-b edge-c,edge-d " + delay); err != nil {
					b.Fatal(err)
				}
				k := c.Client("one", "edge-a")
				defer k.Close()
				k.Write("cam-1", waitTimeout)
				var all []time.Duration
				for b.Loop() {
					if m := k.Write("cam-1", waitTimeout); m.Outcome == Succeeded {
						all = append(all, m.End.Sub(m.Start))
					}
				}
				if p := c.waitForAssignment(b, "cam-1", func(placement.Assignment) bool { return true }); len(p.Replicas) != 1 ||
					(p.Replicas[0] != "edge-b") != (away == 1) || len(all) == 0 {
					b.Skipf("a replica was dropped, as happens on a busy machine: %+v", p)
				}
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "ms-p50")
				b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "ms-p99")
			})
		}
	}
}
