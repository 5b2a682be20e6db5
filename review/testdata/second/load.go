package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// ask is one request of a fleetLoad and its answer.
type ask struct {
	id, relay, instance string
	began, ended        time.Time
	answer              answer
}

// fleetLoad sends writes to instances through relays at a steady rate, and keeps every request with its answer.
type fleetLoad struct {
	f         *fleet
	instances []string
	class     string
	timeout   time.Duration
	ids       atomic.Int64

	mu   sync.Mutex
	asks []ask

	stopping chan struct{}
	running  sync.WaitGroup
}

func newFleetLoad(f *fleet, class string, timeout time.Duration, instances ...string) *fleetLoad {
	return &fleetLoad{f: f, instances: instances, class: class, timeout: timeout, stopping: make(chan struct{})}
}

// run sends writes through a relay at a rate, by as many clients as are given.
func (l *fleetLoad) run(relay string, rate float64, clients int) {
	jobs := make(chan struct{})
	for range clients {
		l.running.Go(func() {
			c := &fleetClient{address: l.f.clients[relay]}
			defer c.drop()
			for range jobs {
				l.write(c, relay)
			}
		})
	}
	l.running.Go(func() {
		defer close(jobs)
		for next := time.Now(); ; next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
			select {
			case <-l.stopping:
				return
			case <-time.After(time.Until(next)):
			}
			select {
			case jobs <- struct{}{}:
			case <-l.stopping:
				return
			}
		}
	})
}

func (l *fleetLoad) write(c *fleetClient, relay string) {
	a := ask{id: fmt.Sprintf("%016x", l.ids.Add(1)), relay: relay, instance: l.instances[rand.IntN(len(l.instances))], began: time.Now()}
	l.f.rec.lineAt(a.began, "sent relay=%s instance=%s id=%s", relay, a.instance, a.id)
	a.answer = c.ask(insertion(a.instance, a.id, l.class, l.timeout), l.timeout+time.Second)
	a.ended = time.Now()
	l.f.rec.lineAt(a.ended, "answer relay=%s id=%s %s index=%d epoch=%d node=%s %s after_ms=%d", relay, a.id, a.answer.how, a.answer.index,
		a.answer.epoch, a.answer.node, a.answer.reason, a.ended.Sub(a.began).Milliseconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks = append(l.asks, a)
}

// stop ends the load and waits for the last answers.
func (l *fleetLoad) stop() {
	close(l.stopping)
	l.running.Wait()
}

// last reads the last entry of an instance's log.
func (l *fleetLoad) last(relay, instance string) answer {
	c := &fleetClient{address: l.f.clients[relay]}
	defer c.drop()
	var a answer
	for range 20 {
		a = c.ask(selection(instance, fmt.Sprintf("%016x", l.ids.Add(1)), l.class, l.timeout), l.timeout)
		if a.how == "served" {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.f.rec.line("last instance=%s %s index=%d epoch=%d node=%s", instance, a.how, a.index, a.epoch, a.node)
	return a
}

// count returns how many writes of an instance were sent, and how many had each answer.
func (l *fleetLoad) count(instance string) (sent int, by map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	by = map[string]int{}
	for _, a := range l.asks {
		if a.instance == instance {
			sent++
			by[a.answer.how]++
		}
	}
	return sent, by
}
