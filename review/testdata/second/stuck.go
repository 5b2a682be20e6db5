package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Figures of pauseOnce.
const (
	pauseFor      = 640 * time.Millisecond // less than two thirds of the lease, so that the node keeps it
	afterPause    = 25 * time.Second
	longestRefuse = 4 * time.Second // "may reject all that it gets (15 or more) for 4 s on end"
	fewestRefused = 15
)

// pauseOnce has one edge node of four stand still once for 0.64 s. It checks that no relay rejects all that it gets for 4 s on end, with no
// attempt in between.
func pauseOnce(e *environment) (broken []string, err error) {
	f, err := newFleet(e)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.settings(func(s map[string]any) {
		s["grades"] = []map[string]any{{"name": "crop", "semantics": "non_idempotent", "on_time": 0.6, "deadline": 2.5, "worth": 4.0}}
	}); err != nil {
		return nil, err
	}
	relays := []string{"relay-1", "relay-2"}
	attempts := map[string]*attemptLog{}
	for _, relay := range relays {
		attempts[relay] = &attemptLog{}
		var replacements []string
		for node, address := range f.commands {
			p, err := newProxy(e.rec, address)
			if err != nil {
				return nil, err
			}
			p.attempts = attempts[relay]
			replacements = append(replacements, "commands "+node+" "+address, "commands "+node+" "+p.address())
		}
		if err := edit(f.file(relay), replacements...); err != nil {
			return nil, err
		}
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	const instance = "camera-7"
	if err := f.create(instance, "edge-a", "north"); err != nil {
		return nil, err
	}
	l := newFleetLoad(f, "crop", 2500*time.Millisecond, instance)
	for _, relay := range relays {
		l.run(relay, 30, 60)
	}
	time.Sleep(5 * time.Second)
	before := f.place(instance)
	if e.trouble {
		e.rec.line("%s stands still", before.owner)
		f.processes[before.owner].signal(syscall.SIGSTOP)
		time.Sleep(pauseFor)
		f.processes[before.owner].signal(syscall.SIGCONT)
		e.rec.line("%s goes on", before.owner)
	}
	time.Sleep(afterPause)
	l.stop()
	after := f.place(instance)
	e.rec.line("before: %+v, after: %+v", before, after)
	sent, by := l.count(instance)
	fmt.Printf("writes sent %d, by answer %v, before: %+v, after: %+v\n", sent, by, before, after)
	for _, relay := range relays {
		if text := l.stuck(relay, attempts[relay]); text != "" {
			broken = append(broken, text)
		}
	}
	return broken, nil
}

// stuck returns, as text, the longest time in which a relay rejected all that it got and made no attempt, if that is longer than the rule
// allows.
func (l *fleetLoad) stuck(relay string, attempts *attemptLog) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []ask
	for _, a := range l.asks {
		if a.relay == relay {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b ask) int { return a.began.Compare(b.began) })
	longest, most := time.Duration(0), 0
	for i := 0; i < len(all); {
		end := i
		for end < len(all) && all[end].answer.how == "refused" && !attempts.between(all[i].began, all[end].ended) {
			end++
		}
		if end > i {
			if span := all[end-1].ended.Sub(all[i].began); span > longest {
				longest, most = span, end-i
			}
		}
		i = max(end, i+1)
	}
	l.f.rec.line("%s: rejected %d requests on end within %d ms, with no attempt", relay, most, longest.Milliseconds())
	if longest <= longestRefuse || most < fewestRefused {
		return ""
	}
	return fmt.Sprintf("%s rejected all that it got for %.1f s on end, %d requests, with no attempt in between (%s)", relay, longest.Seconds(),
		most, strings.Join(l.instances, " "))
}
