package testcluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"silvercove/internal/standin/faultproxy"
)

// processVerbs are the verbs for processes. The verbs for links are faultproxy.Verbs.
var processVerbs = []string{"start", "kill", "stop", "wake", "end", "wipe", "save", "restore", "sick", "well"}

// Do executes one action of a script at once. P is the name of a process, or a list of names such as a,b:
//
//	start P     starts the process
//	kill P      SIGKILL
//	stop P      SIGSTOP
//	wake P      SIGCONT
//	end P       SIGTERM, and waits until the process has ended
//	wipe P      deletes the disk of a process that does not run
//	save P      copies the disk
//	restore P   replaces the disk of a process that does not run with the saved copy
//	sick P      resets connections for requests to the process and refuses new ones
//	well P      ends the effect of sick
//
// Do also executes the lines of faultproxy.Network.Do.
func (c *Cluster) Do(line string) error {
	w := strings.Fields(line)
	if len(w) > 0 && slices.Contains(faultproxy.Verbs, w[0]) {
		return c.Links.Do(line)
	}
	if len(w) != 2 || !slices.Contains(processVerbs, w[0]) {
		return fmt.Errorf("testcluster: %q: want one of %s with a process, or of %s with two", line, strings.Join(processVerbs, ", "),
			strings.Join(faultproxy.Verbs, ", "))
	}
	for name := range strings.SplitSeq(w[1], ",") {
		p, err := c.node(name)
		if err != nil {
			return err
		}
		if err := c.runVerb(p, w[0]); err != nil {
			return fmt.Errorf("testcluster: %s: %w", line, err)
		}
	}
	return nil
}

func (c *Cluster) runVerb(p *process, verb string) error {
	running := p.command != nil
	switch verb {
	case "start", "wipe", "restore":
		if running {
			return errors.New("the process is running")
		}
	case "kill", "stop", "wake", "end":
		if !running {
			return errors.New("the process is not running")
		}
	}
	event := Event{At: time.Now(), Node: p.Name, Name: verb, Script: true}
	switch verb {
	case "start":
		c.addEvent(event)
		return c.start(p)
	case "kill", "end":
		c.mu.Lock()
		p.mayEnd = true
		c.mu.Unlock()
		if verb == "kill" {
			c.addEvent(event)
			_ = p.command.Process.Kill()
			<-p.ended
			p.command = nil
			return nil
		}
		c.addEvent(event)
		_ = p.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.ended:
		case <-time.After(waitTimeout): // an edge node may take ten lease durations to hand over its instances (edgenode.maxTerminationLeases)
			return errors.New("the process does not end on SIGTERM")
		}
		p.command = nil
		return nil
	case "stop":
		c.addEvent(event)
		p.stopped = true
		if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		for end := time.Now().Add(endTimeout); !isStopped(p.command.Process.Pid); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				return errors.New("the process does not stop")
			}
		}
		return nil
	case "wake":
		c.addEvent(event)
		p.stopped = false
		return p.command.Process.Signal(syscall.SIGCONT)
	case "sick", "well":
		c.addEvent(event)
		for _, l := range p.requestLinks {
			l.Refuse(verb == "sick")
		}
		return nil
	case "wipe":
		c.addEvent(event)
		return os.RemoveAll(p.dataDir)
	case "save":
		c.addEvent(event)
		if err := os.RemoveAll(p.savedDir); err != nil {
			return err
		}
		return os.CopyFS(p.savedDir, os.DirFS(p.dataDir))
	case "restore":
		c.addEvent(event)
		if err := os.RemoveAll(p.dataDir); err != nil {
			return err
		}
		return os.CopyFS(p.dataDir, os.DirFS(p.savedDir))
	}
	return nil
}

// isStopped reports whether a process is in the stopped state. A process reaches this state some time after SIGSTOP was sent.
func isStopped(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, state, ok := strings.Cut(string(text), ") ")
	return err == nil && ok && state[0] == 'T'
}

// Play executes a script, one action a line. A # begins a comment:
//
//	at 200ms VERB ...    executes the action at this time after the start of the script
//	when WORDS           waits for an event since the last action that matches WORDS (see Event.Is)
//	ask NAME WORDS       calls the function NAME of the map ask, for example: ask cross cam-1 south
//	VERB ...             executes the action at once (see Do)
func (c *Cluster) Play(ctx context.Context, script string, ask map[string]func(words []string) error) error {
	start, nextEvent := time.Now(), 0
	do := func(what string) error {
		c.mu.Lock()
		nextEvent = len(c.events)
		c.mu.Unlock()
		return c.Do(what)
	}
	for line := range strings.Lines(script) {
		line, _, _ = strings.Cut(line, "#")
		line = strings.TrimSpace(line)
		first, rest, _ := strings.Cut(line, " ")
		var err error
		switch first {
		case "":
		case "when":
			_, err = c.waitFor(ctx, nextEvent, rest)
		case "ask":
			w := strings.Fields(rest)
			if len(w) == 0 || ask[w[0]] == nil {
				return fmt.Errorf("testcluster: %q: the test has no function of this name", line)
			}
			c.mu.Lock()
			nextEvent = len(c.events)
			c.mu.Unlock()
			err = ask[w[0]](w[1:])
		case "at":
			span, what, _ := strings.Cut(rest, " ")
			var d time.Duration
			if d, err = time.ParseDuration(span); err == nil {
				select {
				case <-time.After(time.Until(start.Add(d))):
					err = do(what)
				case <-ctx.Done():
					err = ctx.Err()
				}
			}
		default:
			err = do(line)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", line, err)
		}
	}
	return nil
}
