package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"silvercove/internal/lab"
)

type labCmd struct {
	Run      labRunCmd      `cmd:"" help:"Run an experiment of simulated rollouts."`
	Sweep    labSweepCmd    `cmd:"" help:"Run an experiment for each of several values of a directive."`
	Compare  labCompareCmd  `cmd:"" help:"Set two results side by side, and say what is noise."`
	Loopback labLoopbackCmd `cmd:"" help:"Play rollouts with real relays on loopback, and the same in the model."`
	Report   labReportCmd   `cmd:"" help:"Write results as a page with plots, or as plain text."`
	Metadata labMetadataCmd `cmd:"" help:"Measure the metadata front, its version store and its verification."`
	Overload labOverloadCmd `cmd:"" help:"Play a fleet's overload in simulated time, with and without its parts."`
	Fleet    labFleetCmd    `cmd:"" help:"Play a whole fleet in simulated time: times to quiet, an event, or a search of faults."`
}

type labOverloadCmd struct {
	Seed uint64 `default:"1" help:"The same seed gives the same tables."`
	Full bool   `name:"whole" help:"Also the map of load against failing share, and the table of lost news."`
}

// Run plays it.
func (c *labOverloadCmd) Run() error {
	return lab.OverloadTables(os.Stdout, c.Seed, c.Full)
}

type labMetadataCmd struct {
	Servers  []int         `default:"10,1000,10000" help:"Sizes of the fleet."`
	Requests int           `name:"asks" default:"20000" help:"Requests of each kind for a size."`
	Width    int           `default:"256" help:"Connections at once."`
	Entries  int           `default:"1000000" help:"Entries of the version store."`
	Poll     time.Duration `default:"200ms" help:"Between two polls of a server."`
	Out      string        `type:"existingdir" help:"Folder for the plot."`
}

// Run measures.
func (c *labMetadataCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return lab.Metadata{Servers: c.Servers, Asks: c.Requests, Width: c.Width, Entries: c.Entries, Poll: c.Poll,
		Out: c.Out}.Run(ctx, os.Stdout)
}
