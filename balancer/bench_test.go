package balancer

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures the decisions for one request from its arrival to its answer, including the start of an
// attempt, with many backends and classes. To compare two versions of the balancer, run both alternately and compare
// the results with benchstat.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{10, 1000, 10000} {
		for _, classes := range []int{1, 10, 200} {
			b.Run(fmt.Sprintf("backends %d, classes %d", backends, classes), func(b *testing.B) {
				var types []RequestClass
				for range classes {
					types = append(types, RequestClass{Idempotency: Idempotent, LatencyObjective: 0.5, Deadline: 2, PriorityWeight: 1})
				}
				r := newFixture(func(s *Settings) { s.Classes = types })
				for i := range backends {
					version := uint16(1)
					if i%10 == 0 {
						version = 2
					}
					r.addBackend(uint32(i), version, 0)
				}
				r.status(2, 0, Canary, 0.2)
				i := 0
				for b.Loop() {
					r.now += 10
					if i%50 == 0 {
						r.OnTimer(r.now, 0)
					}
					request := r.request(i % classes)
					for _, attempt := range r.host.started {
						if attempt.Request == request {
							r.OnOutcome(r.now+5, attempt, Succeeded, 5, true, nil)
						}
					}
					r.host.started = r.host.started[:0]
					clear(r.host.rejected)
					i++
				}
			})
		}
	}
}
