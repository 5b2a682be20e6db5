package testcluster

import (
	"context"
	"time"
)

// stall is a span of time in which the test process, and with it its clients, was not scheduled.
type stall struct{ from, to time.Time }

// recordStalls records stalls for RequestsWithoutStalls, so that a response does not count as late if only the test process was
// late to read it.
func (c *Cluster) recordStalls(ctx context.Context) {
	const every = 20 * time.Millisecond
	tick := time.NewTicker(every)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > 5*every {
			c.mu.Lock()
			c.stalls = append(c.stalls, stall{last.Add(every), now})
			c.mu.Unlock()
		}
		last = now
	}
}

// RequestsWithoutStalls returns the requests that have ended. Each request's End is earlier by the time for which the test process was
// stalled during the request.
func (c *Cluster) RequestsWithoutStalls() []Request {
	all := c.Requests()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range all {
		m := &all[i]
		start, end := m.Start, m.End
		for _, s := range c.stalls {
			from, to := s.from, s.to
			if from.Before(start) {
				from = start
			}
			if to.After(end) {
				to = end
			}
			if to.After(from) {
				m.End = m.End.Add(from.Sub(to))
			}
		}
	}
	return all
}
