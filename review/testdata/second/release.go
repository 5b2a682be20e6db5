package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// place is what "silvercovectl fleet show" prints of an instance.
type place struct {
	owner, state string
	holders      []string
}

// place returns where an instance runs and which nodes hold it.
func (f *fleet) place(instance string) place {
	out, _ := f.ctl("fleet", "show", f.file("relay-1"))
	var p place
	var columns map[string]int
	for _, line := range strings.Split(out, "\n") {
		if strings.HasPrefix(line, "instance ") {
			columns = map[string]int{}
			for _, name := range []string{"owner", "epoch", "state", "holders", "to", "why"} {
				columns[name] = strings.Index(line, name)
			}
		}
		if columns == nil || !strings.HasPrefix(line, instance+" ") || len(line) < columns["holders"] {
			continue
		}
		p.owner = strings.TrimSpace(line[columns["owner"]:columns["epoch"]])
		p.state = strings.TrimSpace(line[columns["state"]:columns["holders"]])
		if words := strings.Fields(line[columns["holders"]:min(len(line), columns["to"])]); len(words) > 0 {
			p.holders = strings.Split(words[0], ",")
		}
	}
	return p
}

// releaseElsewhere has three owners of an instance fall one after the other, each one after all has been as before, so that the
// instance is quarantined, and releases it on the node that has not fallen. It checks that acknowledged writes are still there.
func releaseElsewhere(e *environment) (broken []string, err error) {
	f, err := newFleet(e)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	const instance = "camera-7"
	if err := f.create(instance, "edge-a", "north"); err != nil {
		return nil, err
	}
	l := newFleetLoad(f, "crop", 2*time.Second, instance)
	l.run("relay-1", 15, 30)
	l.run("relay-2", 15, 30)
	time.Sleep(2 * time.Second)
	if err := f.fallThrice(instance); err != nil {
		return nil, err
	}
	before := f.place(instance)
	e.rec.line("before the release: %+v", before)
	fmt.Printf("before the release: %+v\n", before)
	_, byBefore := l.count(instance)
	node := ""
	for _, name := range []string{"edge-a", "edge-b", "edge-c", "edge-d"} {
		if name != before.owner && !slices.Contains(before.holders, name) {
			node = name
		}
	}
	out, _ := f.ctl("fleet", "release", f.file("relay-1"), instance, node)
	e.rec.line("silvercovectl fleet release %s %s: %s", instance, node, out)
	fmt.Printf("silvercovectl fleet release FILE %s %s: %s\n", instance, node, out)
	time.Sleep(8 * time.Second)
	l.stop()
	sent, by := l.count(instance)
	last := l.last("relay-1", instance)
	fmt.Printf("writes sent %d, by answer %v (%d acknowledged before the release), entries in the log %d, %+v\n", sent, by, byBefore["served"],
		last.index, f.place(instance))
	if last.how != "served" {
		return nil, fmt.Errorf("the log could not be read: %+v", last)
	}
	if last.index < uint64(by["served"]) {
		broken = append(broken, fmt.Sprintf("%d writes were acknowledged, and the log has %d entries", by["served"], last.index))
	}
	return append(broken, l.check()...), nil
}

// fallThrice kills the owner of an instance and starts it again, three times in a row. Each time it waits before that until the
// instance runs with a holder beside its owner.
func (f *fleet) fallThrice(instance string) error {
	if !f.trouble {
		time.Sleep(10 * time.Second)
		return nil
	}
	for range 3 {
		if err := f.await(20*time.Second, "the instance runs with a holder", func() bool {
			p := f.place(instance)
			return p.state == "runs" && p.owner != "" && len(p.holders) > 0
		}); err != nil {
			return err
		}
		time.Sleep(time.Second)
		owner := f.place(instance).owner
		f.rec.line("kill %s", owner)
		f.processes[owner].signal(syscall.SIGKILL)
		<-f.processes[owner].ended
		time.Sleep(3 * time.Second)
		if err := f.start(owner); err != nil {
			return err
		}
	}
	if err := f.await(20*time.Second, "the instance is quarantined", func() bool { return f.place(instance).state == "quarantined" }); err != nil {
		return err
	}
	return f.await(20*time.Second, "all nodes have a lease", func() bool {
		out, err := f.ctl("fleet", "show", f.file("relay-1"))
		return err == nil && strings.Count(out, " held") == 4
	})
}
