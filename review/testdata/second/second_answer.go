package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Shares of secondAnswer.
const (
	fullShare  = 0.1  // of the queries, turned away by a unit whose queue is full, with and without the disruption
	againShare = 0.05 // of the answers, sent twice
)

// secondAnswer has the units answer now and then twice, the second time some milliseconds later and only if no other query has
// arrived on that connection by then. It checks that each client gets the value of its own request, and that no sell-licence, which must
// never run twice, runs twice. Between the relay and the units bytes are under way for 0.42 to 0.78 ms, as between halls.
func secondAnswer(e *environment) (broken []string, err error) {
	d := &desk{environment: e, names: []string{"n1"}}
	defer d.close()
	d.world = newWorld(e.rec, stage{Revision: 41, State: "live", MaxShare: 1, since: time.Now().Add(-time.Hour)})
	for i := range 8 {
		u, err := d.newUnit(fmt.Sprintf("s-%02d", i), 41)
		if err != nil {
			return nil, err
		}
		u.full = func() bool { return rand.Float64() < fullShare }
		u.way = func() time.Duration { return between(420*time.Microsecond, 780*time.Microsecond) }
		if e.trouble {
			u.again = func() (time.Duration, bool) {
				return between(2*time.Millisecond, 12*time.Millisecond), rand.Float64() < 0.05
			}
		}
		d.world.list(u, "up", time.Time{})
	}
	settings, limits := deskSettings(), deskLimits()
	settings["balancers"] = 1
	limits["sockets"] = 256
	r, err := startRelay(e.root, e.folder, "n1", d.world, limits, settings)
	if err != nil {
		return nil, err
	}
	d.relays = []*relayProcess{r}
	var ids atomic.Int64
	var mu sync.Mutex
	var wrong atomic.Int64
	c := &clients{rec: e.rec, relay: "n1", address: r.address, classes: deskClasses(), keys: 20000, ids: &ids}
	c.wrong = func(id, key string, value []byte) {
		mu.Lock()
		defer mu.Unlock()
		wrong.Add(1)
		broken = append(broken, fmt.Sprintf("request %s for %s was answered with %q", id, key, value))
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { c.run(220, stop) })
	time.Sleep(60 * time.Second)
	close(stop)
	running.Wait()
	fmt.Printf("sent %d, served %d, refused %d, failed %d, no answer %d\n", c.sent.Load(), c.served.Load(), c.refused.Load(),
		c.failed.Load(), c.lost.Load())
	fmt.Printf("%d clients got the value of another request\n", wrong.Load())
	return append(broken, d.ranTwice("sell-licence")...), d.checkAlive()
}

// ranTwice returns the requests of a class that have run more than once.
func (d *desk) ranTwice(class string) (broken []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := map[string][]string{}
	for _, q := range d.queries {
		if q.class == class {
			runs[q.id] = append(runs[q.id], q.unit)
		}
	}
	for id, units := range runs {
		if len(units) > 1 {
			broken = append(broken, fmt.Sprintf("%s %s ran %d times, at %v", class, id, len(units), units))
		}
	}
	fmt.Printf("%d requests of the class %s ran twice\n", len(broken), class)
	return broken
}
