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

// BenchmarkCutOver moves an instance with 64 KiB of state back and forth while one client writes. It takes the longest time
// between two successful answers during each move, and reports the median and the 99th percentile over all moves.
func BenchmarkCutOver(b *testing.B) {
	c := newServingFleet(b, 2, false, "")
	clients := map[string]*sqlClient{"edge-a": dialNode(b, c.processes["edge-a"].peer.RequestAddress), "edge-b": dialNode(b, c.processes["edge-b"].peer.RequestAddress)}
	for i := range 8 {
		clients["edge-a"].write(fmt.Sprint("s", i), "camera-7", make([]byte, 8<<10))
	}
	var pauses []time.Duration
	id, primary := 0, "edge-a"
	for b.Loop() {
		next := map[string]string{"edge-a": "edge-b", "edge-b": "edge-a"}[primary]
		c.startCopy("camera-7", next, true)
		lastAnswer, longest := time.Now(), time.Duration(0)
		for done := false; !done; {
			id++
			for _, name := range []string{primary, next} {
				v, state := clients[name].write(fmt.Sprint("w", id), "camera-7", []byte("x"))
				if state == pgwire.StateSuccess {
					longest = max(longest, time.Since(lastAnswer))
					lastAnswer, done = time.Now(), strings.HasSuffix(v, next)
					break
				}
			}
		}
		pauses = append(pauses, longest)
		primary = next
	}
	slices.Sort(pauses)
	b.ReportMetric(float64(pauses[len(pauses)/2].Microseconds())/1000, "hold-p50-ms")
	b.ReportMetric(float64(pauses[len(pauses)*99/100].Microseconds())/1000, "hold-p99-ms")
}

// BenchmarkWrites writes from 8 clients to one instance that has a replica.
func BenchmarkWrites(b *testing.B) {
	for _, withDisk := range []bool{false, true} {
		b.Run(fmt.Sprint("disk ", withDisk), func(b *testing.B) {
			c := newServingFleet(b, 2, withDisk, "edge-b")
			var writers sync.WaitGroup
			ids := make(chan int)
			for range 8 {
				client := dialNode(b, c.processes["edge-a"].peer.RequestAddress)
				writers.Go(func() {
					for i := range ids {
						if v, state := client.write(fmt.Sprint("e", i), "camera-7", []byte("x")); state != pgwire.StateSuccess {
							b.Error(v, state)
						}
					}
				})
			}
			written := 0
			for b.Loop() {
				written++
				ids <- written
			}
			close(ids)
			writers.Wait()
			b.ReportMetric(float64(written)/b.Elapsed().Seconds(), "effects/s")
		})
	}
}

// BenchmarkDeviceMoves moves the devices of 200 instances to the other zone at the same time. The planner limits how many instances
// move at once.
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
	allAssignments := func(ok func(a placement.Assignment) bool) func() bool {
		return func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			changes, err := c.client.Assignments(ctx, 0)
			if err != nil || len(changes.Assignments) != cameras {
				return false
			}
			return !slices.ContainsFunc(changes.Assignments, func(a placement.Assignment) bool { return !ok(a) })
		}
	}
	c.waitFor("all instances are served and have a replica", allAssignments(func(a placement.Assignment) bool { return a.EverServed && len(a.Replicas) > 0 && a.CopyTarget == "" }))
	zone := "north"
	for b.Loop() {
		if zone == "north" {
			zone = "south"
		} else {
			zone = "north"
		}
		start := time.Now()
		for i := range cameras {
			if _, err := c.client.MoveDevice(b.Context(), fmt.Sprint("camera-", i), zone); err != nil {
				b.Fatal(err)
			}
		}
		c.waitFor("all instances run in the zone of their device", allAssignments(func(a placement.Assignment) bool {
			return a.State == placement.Running && a.Primary != "" && c.processes[a.Primary].peer.Zone == zone
		}))
		b.ReportMetric(time.Since(start).Seconds(), "s/200-cameras")
	}
}
