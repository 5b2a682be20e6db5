package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the settings and of the stalls, as the operators' pages give them.
const (
	drainGrace  = time.Second
	socketSlack = 50 * time.Millisecond // "every time limit is 50 ms longer"
	minStall    = 1200 * time.Millisecond
	maxStall    = 2000 * time.Millisecond
	minStallGap = 2300 * time.Millisecond
	maxStallGap = 3600 * time.Millisecond
	stallsBegin = 6 * time.Second
	stallsLast  = 38 * time.Second
)

// deskSettings are the settings of a small deployment: two relays before a dozen servers.
func deskSettings() map[string]any {
	return map[string]any{
		"balancers": 2, "discovery": "automatic", "zones": []string{"jhb-1"}, "kinds": []string{"k3-fast", "k4-slow"},
		"limits": map[string]any{"send_cap": 3, "connect_timeout": 0.25, "idle_close": 30.0, "retry_after": true, "max_retry_after": 1.0,
			"may_cancel": true, "may_duplicate": false, "probing": true, "peers": false},
		"rules": map[string]any{"ask_every": 20.0, "drain_grace": drainGrace.Seconds(), "fall_multiple": 2.0, "tip_after": 1.5, "cold": 4.8,
			"cold_from": 0.34},
		"family_info": map[string]any{"control": "single", "vote_wait": 2.0, "ballot_ttl": 6.0, "votes_per_s": 75.0, "counted_over": 2.0,
			"uncounted": 2.0, "most_shares": []float64{0.17, 0.6, 1}, "shares": []float64{0.1, 0.35, 1}, "counted_by": "all",
			"guarded_stages": 0, "forward_only": false, "metrics_period": 2.0, "found_share": 0.5},
		"load_info": map[string]any{"columns": []string{"queue"}},
		"parties":   []map[string]any{{"name": "veld-images", "quota_per_s": 500.0, "fraction": 1.0}},
		"grades": []map[string]any{
			{"name": "set-caption", "semantics": "read_like", "on_time": 1.0, "deadline": 4.0, "worth": 3.0},
			{"name": "sell-licence", "semantics": "non_idempotent", "on_time": 1.2, "deadline": 5.0, "worth": 5.0},
		},
	}
}

func deskLimits() map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
}

func deskClasses() []class {
	return []class{
		{"set-caption", 0.54, 4 * time.Second, true},
		{"sell-licence", 0.46, 5 * time.Second, true},
	}
}

// desk is the deployment that the scenarios on stalls play.
type desk struct {
	*environment
	names  []string // of the relays
	world  *world
	relays []*relayProcess
	groups []*clients

	mu      sync.Mutex
	queries []query
}

func (d *desk) newUnit(name string, build int) (*unit, error) {
	return newUnit(d.rec, name, build, d.names, func() time.Duration { return between(110*time.Millisecond, 190*time.Millisecond) },
		func(q query) {
			d.rec.lineAt(q.lastByte, "run unit=%s build=%d relay=%s id=%s class=%s", q.unit, build, q.relay, q.id, q.class)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.queries = append(d.queries, q)
		})
}

// start lists units that have run for long and starts the relays.
func (d *desk) start(units int, first stage) (all []*unit, err error) {
	d.world = newWorld(d.rec, first)
	for i := range units {
		u, err := d.newUnit(fmt.Sprintf("s-%02d", i), first.Revision)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
		d.world.list(u, "up", time.Time{})
	}
	for _, name := range d.names {
		settings := deskSettings()
		settings["balancers"] = len(d.names)
		r, err := startRelay(d.root, d.folder, name, d.world, deskLimits(), settings)
		if err != nil {
			return nil, err
		}
		d.relays = append(d.relays, r)
	}
	return all, nil
}

// load has clients send requests to all relays, and returns a function that ends that.
func (d *desk) load(rate float64) (stop func()) {
	ended := make(chan struct{})
	var ids atomic.Int64
	var running sync.WaitGroup
	for _, r := range d.relays {
		c := &clients{rec: d.rec, relay: r.name, address: r.address, classes: deskClasses(), keys: 20000, ids: &ids}
		d.groups = append(d.groups, c)
		running.Go(func() { c.run(rate, ended) })
		d.rec.line("load relay=%s rate=%g", r.name, rate)
	}
	return func() {
		close(ended)
		running.Wait()
		for _, c := range d.groups {
			fmt.Printf("%s: sent %d, served %d, refused %d, failed %d, no answer %d\n", c.relay, c.sent.Load(), c.served.Load(),
				c.refused.Load(), c.failed.Load(), c.lost.Load())
		}
	}
}

func (d *desk) close() {
	for _, r := range d.relays {
		r.kill()
	}
}

// stallOnce has a relay stand still for a time.
func (d *desk) stallOnce(r *relayProcess, length time.Duration) {
	if !d.trouble {
		time.Sleep(length)
		return
	}
	d.rec.line("stall relay=%s begins length_ms=%d", r.name, length.Milliseconds())
	r.signal(syscall.SIGSTOP)
	time.Sleep(length)
	r.signal(syscall.SIGCONT)
	d.rec.line("stall relay=%s ends", r.name)
}

// keepStalling has a relay stand still again and again, each time for 1.2 to 2 s, every 2.3 to 3.6 s.
func (d *desk) keepStalling(r *relayProcess, until time.Time) {
	time.Sleep(between(0, minStallGap))
	for time.Now().Before(until) {
		d.stallOnce(r, between(minStall, maxStall))
		time.Sleep(between(minStallGap, maxStallGap))
	}
}

// checkAlive returns an error if a relay has ended by itself.
func (d *desk) checkAlive() error {
	for _, r := range d.relays {
		if r.hasEnded() {
			return fmt.Errorf("%s has ended", r.name)
		}
	}
	return nil
}

// drainStall replaces the servers one by one, as a rollout does, while four of five relays stand still again and again.
func drainStall(e *environment) (broken []string, err error) {
	d := &desk{environment: e, names: []string{"n1", "n2", "n3", "n4", "n5"}}
	defer d.close()
	old, err := d.start(12, stage{Revision: 41, State: "live", MaxShare: 1, since: time.Now().Add(-time.Hour)})
	if err != nil {
		return nil, err
	}
	stopLoad := d.load(40)
	var playing sync.WaitGroup
	until := time.Now().Add(stallsLast)
	time.Sleep(stallsBegin)
	for _, r := range d.relays[1:] {
		playing.Go(func() { d.keepStalling(r, until) })
	}
	playing.Go(func() { d.replaceAll(old) })
	playing.Wait()
	stopLoad()
	if err := d.checkAlive(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	for _, q := range d.queries {
		at, drains := d.world.drainTold[q.relay][q.unit]
		if late := q.firstByte.Sub(at); drains && late > drainGrace+socketSlack {
			broken = append(broken, fmt.Sprintf("drain: relay %s sent %s (%s) to %s %d ms after the list with its drain was written to it",
				q.relay, q.id, q.class, q.unit, late.Milliseconds()))
		}
	}
	return broken, nil
}

// replaceAll starts a successor of each server, and drains and removes the server.
func (d *desk) replaceAll(old []*unit) {
	for i, u := range old {
		next, err := d.newUnit(fmt.Sprintf("t-%02d", i), u.build)
		if err != nil {
			d.rec.line("no unit: %v", err)
			return
		}
		d.world.list(next, "up", time.Now())
		time.Sleep(between(500*time.Millisecond, 1500*time.Millisecond))
		d.world.list(u, "draining", time.Time{})
		time.AfterFunc(4*time.Second, func() {
			d.world.list(u, "removed", time.Time{})
			u.stop()
		})
		time.Sleep(between(1200*time.Millisecond, 1800*time.Millisecond))
	}
}
