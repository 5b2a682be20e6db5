package controller

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Bounds of the connections with calls. Each costs a goroutine, a descriptor and some 10 KiB. Of a thousand edge nodes and
// three hundred relays each has up to six when idle: a lease's, two of watches and a few operations. One process may have as
// many as all its operations after a failover need at once, and must not keep others from their leases.
const (
	maxConns           = 8192 // of all processes but controllers
	maxConnsPerProcess = 256  // of one process, a controller too
)

// connLimiter bounds the connections with calls. Those of other controllers are not counted among all: without their
// confirmations no lease is granted. To a client that is refused the controller looks silent: it tries the next one after a
// pause. It is safe for concurrent use.
type connLimiter struct {
	limit, limitPerProcess int
	isController           func(name string) bool

	mu        sync.Mutex     // guards the fields below
	total     int            // connections of all processes but controllers
	byProcess map[string]int // connections of each process that has any
}

// admit counts a process's connection in until leave is called, or says why not.
func (l *connLimiter) admit(from string) (release func(), refusal string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counted := 1
	if l.isController(from) {
		counted = 0
	}
	switch {
	case l.byProcess[from] >= l.limitPerProcess:
		refusal = fmt.Sprintf("busy: %s has %d connections here already; try again", from, l.byProcess[from])
	case counted > 0 && l.total >= l.limit:
		refusal = fmt.Sprintf("busy: there are %d connections here already; try again", l.total)
	default:
		l.byProcess[from]++
		l.total += counted
		return func() { l.remove(from, counted) }, ""
	}
	metrics.GetOrCreateCounter("cove_keeper_turned_away_total").Inc()
	return nil, refusal
}

// remove counts a connection out.
func (l *connLimiter) remove(from string, counted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total -= counted
	l.byProcess[from]--
	if l.byProcess[from] == 0 {
		delete(l.byProcess, from)
	}
}
