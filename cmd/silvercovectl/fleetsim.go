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

type labFleetCmd struct {
	Nodes          []int         `name:"units" default:"100,300,1000" help:"Edge nodes, with relays, zones and instances in proportion: a table of times to quiet."`
	Seed           uint64        `default:"1" help:"The same seed gives the same tables."`
	RemoteReplicas int           `name:"away" default:"0" help:"Replicas of each instance in another zone than its primary, 0 or 1."`
	Event          time.Duration `default:"0s" help:"Instead: play so much of an event, in a fleet of the last size of --units."`
	Members        []int         `help:"Instead: fleets of so many members: what their tables see, and what their gossip costs."`
	ProcessRuns    string        `name:"crew" type:"existingdir" help:"Instead: play the scripts that real processes played, and compare with what they wrote into a folder."`
	Search         int           `default:"0" help:"Instead: play so many schedules of faults in small fleets."`
	Play           string        `type:"existingfile" help:"Instead: play the schedule of a file and draw its timeline."`
	Out            string        `type:"existingdir" help:"Folder for what a search finds."`
}

// Run plays it.
func (c *labFleetCmd) Run() error {
	if c.RemoteReplicas < 0 || c.RemoteReplicas > 1 {
		return fmt.Errorf("--away %d: the fleets that are played have one holder an instance: 0 or 1", c.RemoteReplicas)
	}
	debug.SetGCPercent(400) // much is kept and little of it changes
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
