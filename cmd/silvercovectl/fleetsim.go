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
	Units   []int         `default:"100,300,1000" help:"Edge units, with relays, zones and instances in proportion: a table of times to quiet."`
	Seed    uint64        `default:"1" help:"The same seed gives the same tables."`
	Away    int           `default:"0" help:"Holders of each instance in another zone than its owner, 0 or 1."`
	Event   time.Duration `default:"0s" help:"Instead: play so much of an event in a fleet of the last of units."`
	Members []int         `help:"Instead: fleets of so many members: what their tables see, and what the news cost."`
	Crew    string        `type:"existingdir" help:"Instead: play the scripts that real processes played, and compare with what they wrote into a folder."`
	Search  int           `default:"0" help:"Instead: play so many schedules of faults in small fleets."`
	Play    string        `type:"existingfile" help:"Instead: play the schedule of a file and draw its timeline."`
	Out     string        `type:"existingdir" help:"Folder for what a search finds."`
}

// Run plays it.
func (c *labFleetCmd) Run() error {
	if c.Away < 0 || c.Away > 1 {
		return fmt.Errorf("--away %d: the fleets that are played have one holder an instance: 0 or 1", c.Away)
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
	case c.Crew != "":
		fleetsim.CompareTable(os.Stdout, c.Crew)
	case len(c.Members) > 0:
		fleetsim.MembershipTable(os.Stdout, c.Seed, c.Members)
	case c.Search > 0:
		s := fleetsim.Search(c.Search, c.Seed, runtime.GOMAXPROCS(0), nil)
		s.Report(os.Stdout)
		if c.Out != "" {
			return s.Save(c.Out)
		}
	case c.Event > 0:
		s := fleetsim.Large(c.Units[len(c.Units)-1])
		s.RemoteReplicas = c.Away
		fleetsim.PlayEvent(os.Stdout, c.Seed, s, tick.FromDuration(c.Event))
	default:
		fleetsim.SettleTable(os.Stdout, c.Seed, c.Units, c.Away)
	}
	return nil
}
