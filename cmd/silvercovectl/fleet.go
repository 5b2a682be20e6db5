package main

// fleetCmd holds the sub-commands of fleet.
type fleetCmd struct {
	Node       fleetNodeCmd       `cmd:"" aliases:"edge" help:"Run an edge node of a fleet."`
	Controller fleetControllerCmd `cmd:"" aliases:"keeper" help:"Run a controller of a fleet."`
	Relay      fleetRelayCmd      `cmd:"" help:"Run a relay of a fleet."`
	Show       fleetShowCmd       `cmd:"" help:"Show nodes and instances with their epochs, or the controllers."`
	Create     fleetCreateCmd     `cmd:"" help:"Create an instance."`
	Device     fleetDeviceCmd     `cmd:"" help:"Set the zone of an instance's device."`
	Release    fleetReleaseCmd    `cmd:"" help:"Release a quarantined instance, so that it runs again."`
	Forget     fleetForgetCmd     `cmd:"" help:"Delete an instance."`
	Backup     fleetBackupCmd     `cmd:"" help:"Write a backup of the controllers' agreed state to a file."`
	Rebuild    fleetRebuildCmd    `cmd:"" help:"Rebuild the controllers' log from the copies that the edge nodes hold, after a majority of the controllers' disks was lost."`
	Ask        fleetAskCmd        `cmd:"" help:"Send one request to a relay."`
	Example    fleetExampleCmd    `cmd:"" help:"Write the files of a small fleet on loopback."`
}
