package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record writes one line for each event, with the time of day. Lines are written out every 200 ms and by flush, so that
// clients don't wait for the disk.
type record struct {
	mu    sync.Mutex
	lines []byte
	file  *os.File
}

func openRecord(path string) (*record, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	r := &record{file: file}
	go func() {
		for range time.Tick(200 * time.Millisecond) {
			r.flush()
		}
	}()
	return r, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = fmt.Appendf(r.lines, "%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(r.lines)
	r.lines = r.lines[:0]
}

// broken ends the process with the status of a broken rule.
func (r *record) broken() {
	r.flush()
	os.Exit(1)
}

// lastEffect returns the index of an instance's last effect by a read through the relay, and tries for 20 s.
func lastEffect(relay, instance string) (int, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		c, err := connect(relay)
		if err != nil {
			continue
		}
		a := c.readLast(newID(), instance, time.Second)
		c.close()
		if a.outcome == served {
			return index(a.value), nil
		}
	}
	return 0, fmt.Errorf("%s: no read was answered for 20 s", instance)
}

// index returns the first word of an answer 'SEQ EPOCH UNIT'.
func index(value string) int {
	word, _, _ := strings.Cut(value, " ")
	n, _ := strconv.Atoi(word)
	return n
}

// maxTries is how often a client asks for one command: once, and up to two retries.
const maxTries = 3

// runRetryingWriters runs clients that each write one command after another on one instance. A command that is refused is
// asked for again under a new ID, after the time that the refusal names, as the page on the protocol allows. One that failed
// or got no whole answer is not, as it may have run. At the end the number of effects is compared with the number of
// commands: each command may have one effect at most, however it ended.
//
// Arguments: RECORD, RELAYS (with commas between), INSTANCE, WRITERS, WAIT_MS, SECONDS. It exits with 1 if there are more
// effects than commands that can have had one.
func runRetryingWriters(args []string) error {
	rec, err := openRecord(args[0])
	if err != nil {
		return err
	}
	defer rec.flush()
	relays, instance := strings.Split(args[1], ","), args[2]
	writers, _ := strconv.Atoi(args[3])
	wait, err := parseMilliseconds(args[4])
	if err != nil {
		return err
	}
	seconds, _ := strconv.Atoi(args[5])
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var mu sync.Mutex
	counts := map[string]int{}
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			r := &retryingWriter{rec: rec, relay: relays[w%len(relays)], instance: instance, wait: wait, name: w}
			r.run(end)
			mu.Lock()
			defer mu.Unlock()
			for outcome, n := range r.counts {
				counts[outcome] += n
			}
		})
	}
	group.Wait()
	last, err := lastEffect(relays[0], instance)
	if err != nil {
		return err
	}
	most := counts["commands served"] + counts["commands unknown"] + counts["commands given up"]
	rec.line("commands served: %d; failed or without an answer: %d; given up after %d refusals: %d; tries refused: %d; effects on %s: %d",
		counts["commands served"], counts["commands unknown"], maxTries, counts["commands given up"], counts["tries refused"], instance, last)
	switch {
	case last > most:
		rec.line("BROKEN: %d effects more than there were commands: refused tries have run", last-most)
		rec.broken()
	case last < counts["commands served"]:
		rec.line("BROKEN: %d served commands have no effect", counts["commands served"]-last)
		rec.broken()
	}
	rec.line("HELD: no command has two effects")
	return nil
}

type retryingWriter struct {
	rec             *record
	relay, instance string
	wait            time.Duration
	name            int
	counts          map[string]int
	client          *client
}

// run writes one command after another until the time is over.
func (w *retryingWriter) run(end time.Time) {
	w.counts = map[string]int{}
	for n := 0; time.Now().Before(end); n++ {
		w.command(fmt.Sprintf("writer %d command %d", w.name, n))
	}
	if w.client != nil {
		w.client.close()
	}
}

func (w *retryingWriter) command(name string) {
	for try := 1; try <= maxTries; try++ {
		if w.client == nil {
			c, err := connect(w.relay)
			if err != nil { // nothing was sent
				time.Sleep(100 * time.Millisecond)
				return
			}
			w.client = c
		}
		id, sent := newID(), time.Now()
		a := w.client.write(id, w.instance, w.wait)
		w.rec.line("%s try %d id %s sent %s: %s %s %s", name, try, id, sent.Format("05.000"), a.outcome, a.code, a.value)
		switch a.outcome {
		case served:
			w.counts["commands served"]++
			return
		case refused:
			w.counts["tries refused"]++
			time.Sleep(max(a.after, 50*time.Millisecond))
			continue
		case lost:
			w.client.close()
			w.client = nil
		}
		w.counts["commands unknown"]++
		return
	}
	w.counts["commands given up"]++
}

// runFill writes on instances that are made meanwhile: it reads names from standard input, and begins at each as soon as it
// is named, with one command after another until it is told to end by the end of its input. It prints the name and the
// highest index that was served of each instance.
//
// Arguments: RECORD, RELAY, PERIOD_MS (from one command on an instance to the next).
func runFill(args []string) error {
	rec, err := openRecord(args[0])
	if err != nil {
		return err
	}
	defer rec.flush()
	relay := args[1]
	period, err := parseMilliseconds(args[2])
	if err != nil {
		return err
	}
	var mu sync.Mutex
	highest := map[string]int{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		instance := lines.Text()
		if instance == "stop" {
			break
		}
		group.Go(func() {
			fill(rec, relay, instance, period, stop, func(last int) {
				mu.Lock()
				defer mu.Unlock()
				highest[instance] = max(highest[instance], last)
			})
		})
	}
	close(stop)
	group.Wait()
	for instance, last := range highest {
		fmt.Println(instance, last)
	}
	return nil
}

// fill writes on one instance, one command a period. It writes the next one only after the answer to the last.
func fill(rec *record, relay, instance string, period time.Duration, stop <-chan struct{}, onServed func(int)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	c, err := connect(relay)
	if err != nil {
		return
	}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		id, sent := newID(), time.Now()
		a := c.write(id, instance, time.Second)
		rec.line("%s: command id %s sent %s: %s %s %s", instance, id, sent.Format("05.000"), a.outcome, a.code, a.value)
		if a.outcome == served {
			onServed(index(a.value))
		}
		if a.outcome == lost {
			return
		}
	}
}

// runCheck reads lines 'NAME INDEX' from standard input and compares each index with the instance's last effect.
//
// Arguments: RECORD, RELAY. It exits with 1 if an instance has fewer effects.
func runCheck(args []string) error {
	rec, err := openRecord(args[0])
	if err != nil {
		return err
	}
	defer rec.flush()
	bad, all := 0, 0
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		instance, text, _ := strings.Cut(lines.Text(), " ")
		want, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		last, err := lastEffect(args[1], instance)
		if err != nil {
			return err
		}
		all++
		rec.line("%s: highest effect served %d, effects there now %d", instance, want, last)
		if last < want {
			bad++
			rec.line("BROKEN: %s: effect %d was served, %d are there", instance, want, last)
		}
	}
	if all == 0 {
		return fmt.Errorf("no instance to check")
	}
	if bad > 0 {
		rec.line("BROKEN: %d of %d instances lost served effects", bad, all)
		rec.broken()
	}
	rec.line("HELD: each of %d instances has all served effects", all)
	return nil
}
