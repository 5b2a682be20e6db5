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
	mostConns = 8192 // of all but keepers
	mostOfOne = 256  // of one process, a keeper too
)

// crowd counts the connections with calls. Those of other keepers are not counted among all: without their
// word no lease is granted. What is turned away counts as a keeper that is silent: a client tries the next
// one after a pause.
type crowd struct {
	most, mostOf int
	keeper       func(name string) bool

	mu  sync.Mutex
	all int
	of  map[string]int // by process, of the file
}

// admit takes a process's connection in, until leave is called, or says why not.
func (c *crowd) admit(from string) (leave func(), why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := 1
	if c.keeper(from) {
		one = 0
	}
	switch {
	case c.of[from] >= c.mostOf:
		why = fmt.Sprintf("busy: %s has %d connections here already; try again", from, c.of[from])
	case one > 0 && c.all >= c.most:
		why = fmt.Sprintf("busy: there are %d connections here already; try again", c.all)
	default:
		c.of[from]++
		c.all += one
		return func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.all -= one
			if c.of[from]--; c.of[from] == 0 {
				delete(c.of, from)
			}
		}, ""
	}
	metrics.GetOrCreateCounter("cove_keeper_turned_away_total").Inc()
	return nil, why
}
