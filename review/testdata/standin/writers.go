package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// writer is one client. It keeps its connection, has one write open at a time, and follows PROTOCOL.md: a refusal (53300 or
// 57P03) says that trying again is harmless, so the client sends the write again after the time in D, with a new id. After any
// other error, or without an answer, the write may have run, and the client gives it up.
type writer struct {
	relay    string
	instance string
	class    string
	wait     time.Duration
	until    time.Time // no write is begun after this time
	giveUp   time.Time // no refused write is sent again after this time
	log      func(format string, arguments ...any)
	count    *counts
	session  *session
}

// counts counts writes by their end. Each write has exactly one end.
type counts struct {
	begun, acked, failed, refused, refusals atomic.Int64
}

func (w *writer) run(name string) {
	for n := 1; time.Now().Before(w.until); n++ {
		w.write(fmt.Sprintf("%s/%d", name, n))
	}
	if w.session != nil {
		w.session.conn.Close()
	}
}

// write sends one write until it has run, may have run, or is refused for the last time.
func (w *writer) write(value string) {
	w.count.begun.Add(1)
	for sends := 1; ; sends++ {
		if w.session == nil {
			s, err := dial(w.relay, w.wait)
			if err != nil { // nothing was sent
				if time.Now().After(w.giveUp) {
					w.count.refused.Add(1)
					return
				}
				time.Sleep(100 * time.Millisecond)
				continue
			}
			w.session = s
		}
		id := newID()
		a, err := w.session.query(insert(w.instance, value, id, w.class, w.wait), w.wait)
		if err != nil {
			w.session.conn.Close()
			w.session = nil
		}
		switch {
		case err != nil:
			w.log("%s id=%s send %d: no answer (%v): may have run, given up", value, id, sends, err)
			w.count.failed.Add(1)
			return
		case a.state == "":
			if sends > 1 {
				w.log("%s id=%s send %d: served: %s", value, id, sends, a.value)
			}
			w.count.acked.Add(1)
			return
		case a.state != "53300" && a.state != "57P03":
			w.log("%s id=%s send %d: failed with %s: may have run, given up", value, id, sends, a.state)
			w.count.failed.Add(1)
			return
		}
		w.count.refusals.Add(1)
		w.log("%s id=%s send %d: refused with %s, come back after %v", value, id, sends, a.state, a.retryAfter)
		if time.Now().After(w.giveUp) {
			w.count.refused.Add(1)
			return
		}
		time.Sleep(max(a.retryAfter, 50*time.Millisecond) + rand.N(50*time.Millisecond))
	}
}

// writers runs clients that write to the instances, and prints how the writes ended.
func writers(arguments []string) error {
	flags := flag.NewFlagSet("writers", flag.ContinueOnError)
	relays := flags.String("relays", "", "addresses of relays, separated by commas")
	instances := flags.String("instances", "", "names of instances, separated by commas")
	class := flags.String("class", "crop", "request class")
	clients := flags.Int("clients", 1, "number of clients")
	wait := flags.Duration("wait", 2*time.Second, "how long a client waits for an answer")
	last := flags.Duration("for", 10*time.Second, "how long writes are begun")
	patience := flags.Duration("patience", 20*time.Second, "for how long after that refused writes are sent again")
	record := flags.String("record", "record.txt", "file that lines are appended to")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	file, err := os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	var mu sync.Mutex
	log := func(format string, arguments ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(file, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, arguments...))
	}
	addresses, names := strings.Split(*relays, ","), strings.Split(*instances, ",")
	all := make(map[string]*counts, len(names))
	for _, name := range names {
		all[name] = &counts{}
	}
	until := time.Now().Add(*last)
	var group sync.WaitGroup
	for i := range *clients {
		name := names[i%len(names)]
		w := &writer{relay: addresses[i%len(addresses)], instance: name, class: *class, wait: *wait, until: until,
			giveUp: until.Add(*patience), log: log, count: all[name]}
		group.Go(func() { w.run(fmt.Sprintf("%s-client-%d", name, i)) })
	}
	group.Wait()
	for _, name := range names {
		c := all[name]
		fmt.Printf("%s begun %d acked %d failed %d refused %d refusals %d\n", name, c.begun.Load(), c.acked.Load(), c.failed.Load(),
			c.refused.Load(), c.refusals.Load())
	}
	return nil
}
