package controller

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
)

func benchmarkControllers(b *testing.B, count int, f func(c *testFleet, i int)) {
	b.Helper()
	c := newTestFleet(b, 10*time.Second, count, 8)
	c.start()
	for i := range 8 {
		if err := c.requestLease(fmt.Sprintf("edge-%c", 'a'+i), 1); err != nil {
			b.Fatal(err)
		}
	}
	var next atomic.Int64
	b.SetParallelism(32)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			f(c, int(next.Add(1)))
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "a_second")
}

func BenchmarkLeases(b *testing.B) {
	for _, count := range []int{1, 3} {
		b.Run(fmt.Sprint("keepers=", count), func(b *testing.B) {
			benchmarkControllers(b, count, func(c *testFleet, i int) {
				node := fmt.Sprintf("edge-%c", 'a'+i%8)
				_, _, err := c.processes[node].client.RequestLease(testContext(b), controllerclient.LeaseRequest{Node: node, Incarnation: 1, RecordCount: uint64(i)})
				if err != nil {
					b.Error(err)
				}
			})
		})
	}
}

func BenchmarkOperations(b *testing.B) {
	for _, count := range []int{1, 3} {
		b.Run(fmt.Sprint("keepers=", count), func(b *testing.B) {
			benchmarkControllers(b, count, func(c *testFleet, i int) {
				c.create(fmt.Sprintf("edge-%c", 'a'+i%8), fmt.Sprint("camera-", b.N, "-", i), "edge-a")
			})
		})
	}
}
