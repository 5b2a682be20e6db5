package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"silvercove/internal/lab"
)

// labCmd holds the sub-commands of lab.
type labCmd struct {
	Run      labRunCmd      `cmd:"" help:"Run an experiment of simulated rollouts."`
	Sweep    labSweepCmd    `cmd:"" help:"Run an experiment for each of several values of a directive."`
	Compare  labCompareCmd  `cmd:"" help:"Compare two results, and tell differences from noise."`
	Loopback labLoopbackCmd `cmd:"" help:"Run rollouts with real relays on loopback, and compare them with the model."`
	Report   labReportCmd   `cmd:"" help:"Write results as a page with plots, or as plain text."`
	Metadata labMetadataCmd `cmd:"" help:"Measure the metadata front, its version store and its verification."`
	Overload labOverloadCmd `cmd:"" help:"Simulate the overload of a fleet, with and without each overload feature."`
	Fleet    labFleetCmd    `cmd:"" help:"Simulate a whole fleet: recovery times, an event, or a search for faults."`
}

// labOverloadCmd is the sub-command that simulates the overload of a fleet.
type labOverloadCmd struct {
	Seed uint64 `default:"1" help:"The same seed gives the same tables."`
	Full bool   `name:"whole" help:"Also print the tables of load against failing attempts, of lost load reports and of the ejection of a backend."`
}

// Run simulates the overloads and prints their tables.
func (c *labOverloadCmd) Run() error {
	return lab.OverloadTables(os.Stdout, c.Seed, c.Full)
}

// labMetadataCmd is the sub-command that measures the metadata proxy, its version store and its verification of
// metadata.
type labMetadataCmd struct {
	Servers  []int         `default:"10,1000,10000" help:"Numbers of servers."`
	Requests int           `name:"asks" default:"20000" help:"Requests of each kind for each number of servers."`
	Width    int           `default:"256" help:"Concurrent connections."`
	Entries  int           `default:"1000000" help:"Entries of the version store."`
	Poll     time.Duration `default:"200ms" help:"Pause between two polls of a server."`
	Out      string        `type:"existingdir" help:"Folder for the plot."`
}

// Run makes the measurements and prints their figures.
func (c *labMetadataCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return lab.Metadata{Servers: c.Servers, Asks: c.Requests, Width: c.Width, Entries: c.Entries, Poll: c.Poll,
		Out: c.Out}.Run(ctx, os.Stdout)
}
