package edgenode

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/placement"
)

// BenchmarkCutOver moves an instance with 64 KiB of state to and fro while one client writes, and tells for how long no
// request was answered.
func BenchmarkCutOver(b *testing.B) {
	c := newServingFleet(b, 2, false, "")
	at := map[string]*sqlClient{"edge-a": dialNode(b, c.processes["edge-a"].peer.RequestAddress), "edge-b": dialNode(b, c.processes["edge-b"].peer.RequestAddress)}
	for i := range 8 {
		at["edge-a"].write(fmt.Sprint("s", i), "camera-7", make([]byte, 8<<10))
	}
	var holds []time.Duration
	id, owner := 0, "edge-a"
	for b.Loop() {
		next := map[string]string{"edge-a": "edge-b", "edge-b": "edge-a"}[owner]
		c.startCopy("camera-7", next, true)
		last, worst := time.Now(), time.Duration(0)
		for moved := false; !moved; {
			id++
			for _, name := range []string{owner, next} {
				v, state := at[name].write(fmt.Sprint("w", id), "camera-7", []byte("x"))
				if state == pgwire.StateSuccess {
					worst = max(worst, time.Since(last))
					last, moved = time.Now(), strings.HasSuffix(v, next)
					break
				}
			}
		}
		holds = append(holds, worst)
		owner = next
	}
	slices.Sort(holds)
	b.ReportMetric(float64(holds[len(holds)/2].Microseconds())/1000, "hold-p50-ms")
	b.ReportMetric(float64(holds[len(holds)*99/100].Microseconds())/1000, "hold-p99-ms")
}

// BenchmarkWrites writes from 8 clients to one instance with a replica.
func BenchmarkWrites(b *testing.B) {
	for _, files := range []bool{false, true} {
		b.Run(fmt.Sprint("disk ", files), func(b *testing.B) {
			c := newServingFleet(b, 2, files, "edge-b")
			var all sync.WaitGroup
			work := make(chan int)
			for range 8 {
				k := dialNode(b, c.processes["edge-a"].peer.RequestAddress)
				all.Go(func() {
					for i := range work {
						if v, state := k.write(fmt.Sprint("e", i), "camera-7", []byte("x")); state != pgwire.StateSuccess {
							b.Error(v, state)
						}
					}
				})
			}
			n := 0
			for b.Loop() {
				n++
				work <- n
			}
			close(work)
			all.Wait()
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "effects/s")
		})
	}
}

// BenchmarkDeviceMoves has the devices of 200 instances cross to the other zone at once, by the planner's own bounds.
func BenchmarkDeviceMoves(b *testing.B) {
	const cameras = 200
	c := newTestFleet(b, 4, false, func(c *testFleet) {
		c.realPlanner = true
		for name, v := range map[string]float64{"lease": 1, "copies": 1, "dwell": 0.1, "restart_after": 5, "silence": 1, "moves.unit": 8,
			"moves.link": 4, "moves.all": 64, "falls": 100, "edges": 4, "keepers": 1, "places": 400} {
			c.settings["fleet."+name] = v
		}
	})
	for i := range cameras {
		c.propose(placement.Operation{Kind: placement.OpCreate, Instance: fmt.Sprint("camera-", i), Target: []string{"edge-a", "edge-b"}[i%2], Zone: "north", Weight: 3})
	}
	all := func(ok func(p placement.Assignment) bool) func() bool {
		return func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			got, err := c.client.Assignments(ctx, 0)
			if err != nil || len(got.Assignments) != cameras {
				return false
			}
			return !slices.ContainsFunc(got.Assignments, func(p placement.Assignment) bool { return !ok(p) })
		}
	}
	c.waitFor("all run with a holder", all(func(p placement.Assignment) bool { return p.EverServed && len(p.Replicas) > 0 && p.CopyTarget == "" }))
	zone := "north"
	for b.Loop() {
		if zone == "north" {
			zone = "south"
		} else {
			zone = "north"
		}
		began := time.Now()
		for i := range cameras {
			if _, err := c.client.MoveDevice(b.Context(), fmt.Sprint("camera-", i), zone); err != nil {
				b.Fatal(err)
			}
		}
		c.waitFor("all crossed", all(func(p placement.Assignment) bool {
			return p.State == placement.Running && p.Primary != "" && c.processes[p.Primary].peer.Zone == zone
		}))
		b.ReportMetric(time.Since(began).Seconds(), "s/200-cameras")
	}
}
