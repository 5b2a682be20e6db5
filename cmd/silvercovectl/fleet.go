package main

type fleetCmd struct {
	Node       fleetNodeCmd       `cmd:"" aliases:"edge" help:"Be an edge node of a fleet."`
	Controller fleetControllerCmd `cmd:"" aliases:"keeper" help:"Be a controller of a fleet."`
	Relay      fleetRelayCmd      `cmd:"" help:"Be a relay of a fleet."`
	Show       fleetShowCmd       `cmd:"" help:"Show nodes and instances with their epochs, or the controllers."`
	Create     fleetCreateCmd     `cmd:"" help:"Make an instance."`
	Device     fleetDeviceCmd     `cmd:"" help:"Say where an instance's device is now."`
	Release    fleetReleaseCmd    `cmd:"" help:"Run a quarantined instance again."`
	Forget     fleetForgetCmd     `cmd:"" help:"Forget an instance."`
	Backup     fleetBackupCmd     `cmd:"" help:"Write what the controllers agreed to a file."`
	Rebuild    fleetRebuildCmd    `cmd:"" help:"Begin the controllers' log anew from what the nodes have, after a majority of its disks was lost."`
	Ask        fleetAskCmd        `cmd:"" help:"Send one request to a relay."`
	Example    fleetExampleCmd    `cmd:"" help:"Write the files of a small fleet on loopback."`
}
