package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// parseEvent reads a line of a process's log. What has no event is none.
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
	if l.Event == "raft" { // the library's own words
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
	case string: // a fraction is as exact as it has digits
		if at, err := time.Parse(time.RFC3339Nano, t); err == nil && strings.Contains(t, ".") {
			e.At = at
		}
	case float64: // microseconds of the day's clock
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

// Events are those so far, as they came.
func (c *Cluster) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// Wait waits for an event that is as words say (Event.Is) from an assignment in the events on, and tells the assignment after it.
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
			return 0, fmt.Errorf("crew: not within %v: %s", waitTimeout, words)
		}
	}
}
