package faultproxy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Verbs are the verbs of a script that Network.Do accepts.
var Verbs = []string{"cut", "reset", "stall", "delay", "rate", "drop", "heal", "split"}

// Do executes one line of a script. A and B are each a process name, a list of names such as a,b, or * for any process. A fault
// applies to the bytes from A to B and, without oneway, also to the bytes from B to A. It does not matter which of the two
// processes opened the connection.
//
//	cut A B [oneway]            bytes are discarded
//	reset A B                   connections are reset, and new ones refused
//	stall A B [oneway]          bytes wait until the fault ends
//	delay A B 20ms [oneway]     bytes are delayed
//	rate A B 65536 [oneway]     at most this number of bytes a second pass
//	drop A B 5% [oneway]        each chunk breaks its connection with this probability
//	heal A B [oneway]           ends all faults between A and B
//	split A,B C,D               cuts the links between each process of the first list and each of the second
func (n *Network) Do(line string) error {
	c, ok := parseLine(line)
	if !ok {
		return fmt.Errorf("links: %q: want one of %s, with two names", line, strings.Join(Verbs, ", "))
	}
	n.mu.Lock()
	all := slices.Clone(n.links)
	n.mu.Unlock()
	found := false
	for _, l := range all {
		forward, backward := c.directions(l)
		if forward || backward {
			found = true
			c.apply(l, forward, backward)
		}
	}
	if !found {
		return fmt.Errorf("links: %q: no link between these processes", line)
	}
	return nil
}

// scriptLine is a parsed line of a script.
type scriptLine struct {
	verb   string
	from   string // list of names, or *
	to     string
	oneWay bool
	change func(Fault) Fault
}

// parseLine parses a line. ok is false if the line is invalid.
func parseLine(line string) (c scriptLine, ok bool) {
	w := strings.Fields(line)
	if len(w) < 3 || !slices.Contains(Verbs, w[0]) {
		return c, false
	}
	oneWay := w[len(w)-1] == "oneway"
	if oneWay {
		w = w[:len(w)-1]
	}
	wordCount := 3
	value := ""
	switch w[0] {
	case "delay", "rate", "drop":
		wordCount = 4
	case "reset", "split":
		if oneWay {
			return c, false
		}
	}
	if len(w) != wordCount {
		return c, false
	}
	if wordCount == 4 {
		value = w[3]
	}
	change, ok := faultChange(w[0], value)
	return scriptLine{verb: w[0], from: w[1], to: w[2], oneWay: oneWay, change: change}, ok
}

// faultChange returns the change that a verb makes to a direction's fault. value is the verb's value, or "" if the verb takes
// none. ok is false if the value is invalid.
func faultChange(verb, value string) (change func(Fault) Fault, ok bool) {
	switch verb {
	case "cut", "split":
		return func(f Fault) Fault {
			f.Silent = true
			return f
		}, true
	case "stall":
		return func(f Fault) Fault {
			f.Stall = true
			return f
		}, true
	case "delay":
		delay, err := time.ParseDuration(value)
		return func(f Fault) Fault {
			f.Delay = delay
			return f
		}, err == nil && delay >= 0
	case "rate":
		rate, err := strconv.ParseFloat(value, 64)
		return func(f Fault) Fault {
			f.Rate = rate
			return f
		}, err == nil && !(rate < 0)
	case "drop":
		text, percent := strings.CutSuffix(value, "%")
		share, err := strconv.ParseFloat(text, 64)
		return func(f Fault) Fault {
			f.BreakChance = share / 100
			return f
		}, err == nil && percent && !(share < 0) && !(share > 100)
	}
	return func(Fault) Fault { return Fault{} }, true // the verb heal removes all faults; the verb reset does not use this function
}

// directions reports which directions of a link the line applies to.
func (c scriptLine) directions(l *Link) (forward, backward bool) {
	forward = listHas(c.from, l.From) && listHas(c.to, l.To)
	backward = listHas(c.from, l.To) && listHas(c.to, l.From)
	if !c.oneWay {
		forward = forward || backward
		backward = forward
	}
	return forward, backward
}

// apply executes the line on one link.
func (c scriptLine) apply(l *Link, forward, backward bool) {
	if c.verb == "reset" {
		l.Refuse(true)
		return
	}
	if forward {
		l.Set(Forward, c.change(l.Fault(Forward)))
	}
	if backward {
		l.Set(Backward, c.change(l.Fault(Backward)))
	}
	if c.verb == "heal" && forward {
		l.Refuse(false)
	}
}

// listHas reports whether a list contains a name. The list has the form a,b, or is * and then contains all names.
func listHas(list, name string) bool {
	return list == "*" || slices.Contains(strings.Split(list, ","), name)
}
