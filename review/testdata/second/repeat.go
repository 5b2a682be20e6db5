package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Figures of repeatLate.
const (
	lossBegins = 2 * time.Second         // after the load began
	lossLasts  = 6 * time.Second         // as long as the pages say that answers get lost
	lossShare  = 0.03                    // of the answers to one of two relays
	resetAfter = 3500 * time.Millisecond // the connection of a lost answer is reset so long after it
)

// repeatLate has some answers of the edge nodes to one of two relays get lost, and their connections reset some seconds later. It
// checks that no write is applied twice: each write is one entry of the instance's log, so that the log may not have more entries than
// writes were sent.
func repeatLate(e *environment) (broken []string, err error) {
	f, err := newFleet(e)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.settings(func(s map[string]any) {
		s["grades"] = []map[string]any{{"name": "crop", "semantics": "idempotency_key", "dedup_scope": "all", "window": 60.0, "on_time": 4.5,
			"deadline": 5.0, "worth": 4.0}}
	}); err != nil {
		return nil, err
	}
	var proxies []*proxy
	var replacements []string
	for node, address := range f.commands {
		p, err := newProxy(e.rec, address)
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
		replacements = append(replacements, "commands "+node+" "+address, "commands "+node+" "+p.address())
	}
	if err := edit(f.file("relay-1"), replacements...); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	const instance = "camera-7"
	if err := f.create(instance, "edge-a", "north"); err != nil {
		return nil, err
	}
	l := newFleetLoad(f, "crop", 5*time.Second, instance)
	l.run("relay-1", 150, 120)
	l.run("relay-2", 240, 120)
	time.Sleep(lossBegins)
	if e.trouble {
		for _, p := range proxies {
			p.loseAnswers(func() (time.Duration, bool) { return resetAfter, rand.Float64() < lossShare })
		}
	}
	time.Sleep(lossLasts)
	for _, p := range proxies {
		p.loseAnswers(nil)
	}
	time.Sleep(resetAfter + 2*time.Second)
	l.stop()
	sent, by := l.count(instance)
	last := l.last("relay-2", instance)
	fmt.Printf("writes sent %d, by answer %v, entries in the log %d\n", sent, by, last.index)
	switch {
	case last.how != "served":
		return nil, fmt.Errorf("the log could not be read: %+v", last)
	case by["served"] < sent*9/10:
		return nil, fmt.Errorf("only %d of %d writes were served", by["served"], sent)
	case last.index > uint64(sent):
		broken = append(broken, fmt.Sprintf("%d writes were sent, each with an id of its own, and %d were applied", sent, last.index))
	}
	return broken, nil
}
