package testcluster

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// comparedEvents are the names of the events by which a run of processes is compared with a run of the simulation model.
var comparedEvents = []string{"acts", "stops", "placed", "routes", "leads", "lease", "crosses", "kill", "stop", "wake", "end", "start", "strength"}

// RunSummary summarizes a run up to the event that ends it.
type RunSummary struct {
	Moves      int           // number of times that the controllers assigned an instance to another primary
	Idle       time.Duration // longest time for which no node served an instance that had been served before
	Incomplete bool          // the event that ends the run did not occur
}

// Summarize summarizes a run's events up to the first event e for which e.Is(until) holds.
func Summarize(events []Event, until string) (c RunSummary) {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	serving, since, primary := map[string]string{}, map[string]time.Time{}, map[string]string{}
	c.Incomplete = true
	for _, e := range events {
		switch {
		case e.Name == "acts":
			if from, idle := since[e.Instance]; idle {
				c.Idle = max(c.Idle, e.At.Sub(from))
				delete(since, e.Instance)
			}
			serving[e.Instance] = e.Node
		case e.Name == "stops" && serving[e.Instance] == e.Node, e.Script && (e.Name == "kill" || e.Name == "stop"):
			for name, node := range serving {
				if node == e.Node && (e.Script || name == e.Instance) {
					delete(serving, name)
					since[name] = e.At
				}
			}
		case e.Name == "placed" && e.To != "":
			if was := primary[e.Instance]; was != "" && was != e.To {
				c.Moves++
			}
			primary[e.Instance] = e.To
		}
		if e.Is(until) {
			c.Incomplete = false
			break
		}
	}
	return c
}

// WriteEvents writes the events whose names are in comparedEvents, one a line, in the format that ReadEvents reads. The first
// line is a comment with the text in the parameter head.
func WriteEvents(w io.Writer, head string, began time.Time, events []Event) error {
	b := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(b, "# %s\n", head)
	last := map[string]bool{}
	for _, e := range events {
		if !slices.Contains(comparedEvents, e.Name) {
			continue
		}
		fields := strings.Join([]string{e.Node, e.Name, e.Instance, strconv.FormatUint(e.Epoch, 10), e.From, e.To, e.State, e.Why,
			strconv.FormatBool(e.Script)}, "\t")
		if e.Name == "lease" && (last[fields] || strings.HasPrefix(e.Why, "not renewed")) {
			continue
		}
		last[fields] = true
		_, _ = fmt.Fprintf(b, "%d\t%s\n", e.At.Sub(began).Milliseconds(), fields)
	}
	return b.Flush()
}

// ReadEvents parses the text that WriteEvents wrote.
func ReadEvents(text string) (all []Event, err error) {
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		w := strings.Split(line, "\t")
		if strings.HasPrefix(line, "#") {
			continue
		}
		ms, fault := strconv.ParseInt(w[0], 10, 64)
		if fault != nil || len(w) != 10 {
			return nil, fmt.Errorf("testcluster: event line %.60q does not have ten valid fields", line)
		}
		epoch, _ := strconv.ParseUint(w[4], 10, 64)
		all = append(all, Event{At: time.UnixMilli(ms), Node: w[1], Name: w[2], Instance: w[3], Epoch: epoch, From: w[5], To: w[6], State: w[7],
			Why: w[8], Script: w[9] == "true"})
	}
	return all, nil
}
