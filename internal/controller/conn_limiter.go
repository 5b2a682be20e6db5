package controller

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Bounds of the connections with calls. Each costs a goroutine, a descriptor and some 10 KiB. Of a thousand
// edge units and three hundred relays each has up to six at rest: a lease's, two of watches and a few steps.
// One process may have as many as all its steps after a fall need at once, and must not keep others from
// their leases.
const (
	maxConns           = 8192 // of all but keepers
	maxConnsPerProcess = 256  // of one process, a keeper too
)

// connLimiter counts the connections with calls. Those of other keepers are not counted among all: without their
// word no lease is granted. What is turned away counts as a keeper that is silent: a client tries the next
// one after a pause.
type connLimiter struct {
	limit, limitPerProcess int
	isController           func(name string) bool

	mu        sync.Mutex
	total     int
	byProcess map[string]int // by process, of the file
}

// admit takes a process's connection in, until leave is called, or says why not.
func (c *connLimiter) admit(from string) (leave func(), why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := 1
	if c.isController(from) {
		one = 0
	}
	switch {
	case c.byProcess[from] >= c.limitPerProcess:
		why = fmt.Sprintf("busy: %s has %d connections here already; try again", from, c.byProcess[from])
	case one > 0 && c.total >= c.limit:
		why = fmt.Sprintf("busy: there are %d connections here already; try again", c.total)
	default:
		c.byProcess[from]++
		c.total += one
		return func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.total -= one
			if c.byProcess[from]--; c.byProcess[from] == 0 {
				delete(c.byProcess, from)
			}
		}, ""
	}
	metrics.GetOrCreateCounter("cove_keeper_turned_away_total").Inc()
	return nil, why
}
