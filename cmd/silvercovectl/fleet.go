package main

type fleetCmd struct {
	Edge    fleetEdgeCmd    `cmd:"" help:"Be an edge unit of a fleet."`
	Keeper  fleetKeeperCmd  `cmd:"" help:"Be a keeper of a fleet."`
	Relay   fleetRelayCmd   `cmd:"" help:"Be a relay of a fleet."`
	Show    fleetShowCmd    `cmd:"" help:"Show units and instances with their epochs, or the keepers."`
	Create  fleetCreateCmd  `cmd:"" help:"Make an instance."`
	Device  fleetDeviceCmd  `cmd:"" help:"Say where an instance's device is now."`
	Release fleetReleaseCmd `cmd:"" help:"Run a quarantined instance again."`
	Forget  fleetForgetCmd  `cmd:"" help:"Forget an instance."`
	Backup  fleetBackupCmd  `cmd:"" help:"Write what the keepers agreed to a file."`
	Rebuild fleetRebuildCmd `cmd:"" help:"Begin the keepers' log anew from what the units have, after a majority of its disks was lost."`
	Ask     fleetAskCmd     `cmd:"" help:"Send one command to a relay."`
	Example fleetExampleCmd `cmd:"" help:"Write the files of a small fleet on loopback."`
}
