package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// secondAnswer has half of the servers answer now and then twice, the second time some milliseconds later and only if no other query has
// arrived on that connection by then. It checks that each client gets the value of its own request. Between the relay and the servers
// bytes are under way for 0.42 to 0.78 ms, as between halls.
func secondAnswer(e *environment) (broken []string, err error) {
	d := &desk{environment: e, names: []string{"n1"}}
	defer d.close()
	d.world = newWorld(e.rec, stage{Revision: 41, State: "live", MaxShare: 1, since: time.Now().Add(-time.Hour)})
	for i := range 8 {
		u, err := d.newUnit(fmt.Sprintf("s-%02d", i), 41)
		if err != nil {
			return nil, err
		}
		u.way = func() time.Duration { return between(420*time.Microsecond, 780*time.Microsecond) }
		if e.trouble && i < 4 {
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
	c := &clients{rec: e.rec, relay: "n1", address: r.address, classes: deskClasses(), keys: 20000, ids: &ids}
	c.wrong = func(id, key string, value []byte) {
		mu.Lock()
		defer mu.Unlock()
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
	return broken, d.checkAlive()
}
