package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// parseEvent parses a line of a process's log. ok is false if the line has no event. If the line has neither a time in
// microseconds nor a time with a fraction of a second, the event gets the time in the parameter now.
func parseEvent(line []byte, now time.Time) (e Event, ok bool) {
	var l struct {
		Event, Node, Instance, Name, From, To, Why string
		Epoch                                      uint64
		State, Member, Message, Unit               string
		Time                                       any
		Late                                       *int64 `json:"late_ms"`
	}
	if json.Unmarshal(line, &l) != nil || l.Event == "" {
		return e, false
	}
	if l.Event == "raft" { // a log line of the raft library is not an event of the run
		return e, false
	}
	e = Event{At: now, Node: l.Node, Name: l.Event, Instance: l.Instance, Epoch: l.Epoch, From: l.From, To: l.To, Why: l.Why,
		State: l.State, Late: l.Late, Line: string(line)}
	if e.Why == "" {
		e.Why = l.Message
	}
	if e.To == "" {
		e.To = l.Member + l.Unit
	}
	switch t := l.Time.(type) {
	case string: // a time without a fraction of a second is too coarse to use
		if at, err := time.Parse(time.RFC3339Nano, t); err == nil && strings.Contains(t, ".") {
			e.At = at
		}
	case float64: // microseconds since the Unix epoch
		if t > 1e15 {
			e.At = time.UnixMicro(int64(t))
		}
	}
	return e, true
}

func (c *Cluster) addEvent(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Events returns the events so far, in the order of their arrival.
func (c *Cluster) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// Wait waits for an event that matches words (see Event.Is), beginning with the event at index from. It returns the index after
// the matching event. The test fails after waitTimeout.
func (c *Cluster) Wait(from int, words string) int {
	c.test.Helper()
	n, err := c.waitFor(context.Background(), from, words)
	if err != nil {
		c.test.Fatalf("%v", err)
	}
	return n
}

func (c *Cluster) waitFor(ctx context.Context, from int, words string) (int, error) {
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	for at := from; ; {
		c.mu.Lock()
		for ; at < len(c.events); at++ {
			if c.events[at].Is(words) {
				c.mu.Unlock()
				return at + 1, nil
			}
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-timer.C:
			return 0, fmt.Errorf("testcluster: no event after %v: %s", waitTimeout, words)
		}
	}
}
