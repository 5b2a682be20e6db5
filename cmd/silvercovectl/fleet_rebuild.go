package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/renameio/v2"

	"silvercove/internal/controller"
	"silvercove/internal/controllerclient"
	"silvercove/internal/fleet"
	"silvercove/internal/peertransport"
)

// fleetBackupCmd is the sub-command that writes a backup.
type fleetBackupCmd struct {
	controllerCommand
	Out string `arg:"" help:"The file to write."`
}

// Run writes a backup of the controllers' agreed state to a file, either completely or not at all.
func (c *fleetBackupCmd) Run() error {
	return c.withClient(func(ctx context.Context, client *controllerclient.Client, _ *fleet.File, _ *peertransport.Network) error {
		var contents bytes.Buffer
		if err := client.Backup(ctx, &contents); err != nil {
			return err
		}
		n, err := controller.CheckBackup(bytes.NewReader(contents.Bytes()))
		if err != nil {
			return fmt.Errorf("the backup arrived incomplete, and nothing was written: %w", err)
		}
		if err := renameio.WriteFile(c.Out, contents.Bytes(), 0o600); err != nil {
			return withDiskFull(err)
		}
		fmt.Printf("%s: %d instances\n", c.Out, n)
		return nil
	})
}

// fleetRebuildCmd is the sub-command that rebuilds the agreed log.
type fleetRebuildCmd struct {
	controllerCommand
	Backup  string   `type:"existingfile" help:"A file that silvercovectl fleet backup wrote. Priority weights, zones and the instances that no edge node has are taken from it."`
	Without []string `help:"Edge nodes that need not answer."`
}

// Run rebuilds a controller's disk after a majority of the controllers' disks was lost. It derives the assignments from
// the copies of the instances on the edge nodes (see controller.Rebuild). The configuration file must be that of the
// controller whose disk is rebuilt.
func (c *fleetRebuildCmd) Run() error {
	c.Wait = max(c.Wait, 10*time.Minute)
	var backup io.Reader
	if c.Backup != "" {
		text, err := os.ReadFile(c.Backup)
		if err != nil {
			return err
		}
		backup = bytes.NewReader(text)
	}
	return c.withClient(func(ctx context.Context, client *controllerclient.Client, f *fleet.File, net *peertransport.Network) error {
		if f.Self.Role != "keeper" {
			return fmt.Errorf("%s: %s is a process of role %s; give the file of the controller whose disk is to be rebuilt", c.File, f.Self.Name,
				f.Self.Role)
		}
		if s, err := client.Status(ctx, f.Self.Name); err == nil {
			return fmt.Errorf("%s is running (%s): stop it first", f.Self.Name, s.Role)
		}
		return withDiskFull(controller.Rebuild(ctx, controller.RebuildOptions{Network: net, DataDir: f.DataDir, Settings: f.Settings, Client: client, Backup: backup,
			AllowUnreachable: c.Without, Progress: func(text string) { fmt.Println(text) }}))
	})
}
