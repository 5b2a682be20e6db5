package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"silvercove/internal/lab/fleetsim"
	"silvercove/internal/tick"
)

// labFleetCmd is the sub-command that simulates a whole fleet. By default it prints the table of recovery times. Each
// flag whose help begins with "Instead" selects another output.
type labFleetCmd struct {
	Nodes          []int         `name:"units" default:"100,300,1000" help:"Numbers of edge nodes, with relays, zones and instances in proportion: a table of times until the fleet has recovered."`
	Seed           uint64        `default:"1" help:"The same seed gives the same tables."`
	RemoteReplicas int           `name:"away" default:"0" help:"Replicas of each instance in another zone than its primary, 0 or 1."`
	Event          time.Duration `default:"0s" help:"Instead: simulate an event for this long, in a fleet of the last size of --units."`
	Members        []int         `help:"Instead: simulate the membership of fleets of these sizes: what their member tables detect, and what their gossip costs."`
	ProcessRuns    string        `name:"crew" type:"existingdir" help:"Instead: simulate the scripts that real processes ran, and compare with what those wrote into this folder."`
	Search         int           `default:"0" help:"Instead: simulate this many schedules of faults in small fleets."`
	Play           string        `type:"existingfile" help:"Instead: simulate the schedule of a file and draw its timeline."`
	Out            string        `type:"existingdir" help:"Folder for the schedules that a search finds."`
}

// Run runs the selected simulation and prints its tables.
func (c *labFleetCmd) Run() error {
	if c.RemoteReplicas < 0 || c.RemoteReplicas > 1 {
		return fmt.Errorf("--away %d: simulated fleets have one replica of each instance, so 0 or 1 is allowed", c.RemoteReplicas)
	}
	debug.SetGCPercent(400) // collect garbage less often, because the heap is large and most of it is long-lived
	switch {
	case c.Play != "":
		text, err := os.ReadFile(c.Play)
		if err != nil {
			return err
		}
		s, err := fleetsim.ParseSchedule(string(text))
		if err != nil {
			return fmt.Errorf("%s: %w", c.Play, err)
		}
		fmt.Println(s.Play().Text())
	case c.ProcessRuns != "":
		fleetsim.CompareTable(os.Stdout, c.ProcessRuns)
	case len(c.Members) > 0:
		fleetsim.MembershipTable(os.Stdout, c.Seed, c.Members)
	case c.Search > 0:
		s := fleetsim.Search(c.Search, c.Seed, runtime.GOMAXPROCS(0), nil)
		s.Report(os.Stdout)
		if c.Out != "" {
			return s.Save(c.Out)
		}
	case c.Event > 0:
		s := fleetsim.Large(c.Nodes[len(c.Nodes)-1])
		s.RemoteReplicas = c.RemoteReplicas
		fleetsim.PlayEvent(os.Stdout, c.Seed, s, tick.FromDuration(c.Event))
	default:
		fleetsim.RecoveryTable(os.Stdout, c.Seed, c.Nodes, c.RemoteReplicas)
	}
	return nil
}
