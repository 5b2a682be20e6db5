package controller

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Limits on the connections that carry calls. Each connection costs a goroutine, a file descriptor and about 10 KiB. An idle
// edge node or relay has up to six connections: one for its lease, two for watches and a few for operations. maxConns has room
// for the idle connections of a thousand edge nodes and three hundred relays. maxConnsPerProcess has room for all operations
// that one process proposes at once after a failover. It also keeps one process from taking the connections that other
// processes need for their leases.
const (
	maxConns           = 8192 // maximum number of connections of all processes except controllers
	maxConnsPerProcess = 256  // maximum number of connections of any one process, whether it is a controller or not
)

// connLimiter limits the connections that carry calls. Connections of other controllers do not count towards the total. If they
// were refused, no lease could be granted, because each lease needs the confirmations of other controllers
// (leadershipConfirmer). A client treats a refused connection like an unreachable controller and tries the next controller
// after a pause. A connLimiter is safe for concurrent use.
type connLimiter struct {
	limit, limitPerProcess int
	isController           func(name string) bool

	mu        sync.Mutex     // guards the fields below
	total     int            // number of connections of all processes except controllers
	byProcess map[string]int // by process, including controllers: number of its connections
}

// admit counts a new connection of a process until release is called. If the connection would exceed a limit, it is not
// counted; release is then nil, and refusal is the reason.
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

// remove stops counting a connection of a process. The parameter counted is what the connection added to l.total: 1, or 0 for
// a controller.
func (l *connLimiter) remove(from string, counted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total -= counted
	l.byProcess[from]--
	if l.byProcess[from] == 0 {
		delete(l.byProcess, from)
	}
}
