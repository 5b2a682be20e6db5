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

type fleetBackupCmd struct {
	controllerCommand
	Out string `arg:"" help:"The file to write."`
}

// Run writes what the keepers agreed to a file, whole or not at all.
func (c *fleetBackupCmd) Run() error {
	return c.withClient(func(ctx context.Context, client *controllerclient.Client, _ *fleet.File, _ *peertransport.Network) error {
		var contents bytes.Buffer
		if err := client.Backup(ctx, &contents); err != nil {
			return err
		}
		n, err := controller.CheckBackup(bytes.NewReader(contents.Bytes()))
		if err != nil {
			return fmt.Errorf("it came cut short, and nothing was written: %w", err)
		}
		if err := renameio.WriteFile(c.Out, contents.Bytes(), 0o600); err != nil {
			return withDiskFull(err)
		}
		fmt.Printf("%s: %d instances\n", c.Out, n)
		return nil
	})
}

type fleetRebuildCmd struct {
	controllerCommand
	Backup  string   `type:"existingfile" help:"What silvercovectl fleet backup wrote: priority weights, zones and what no node has come from it."`
	Without []string `help:"Edge nodes to go on without, where they are silent."`
}

// Run writes a keeper's disk anew from what the edge units have, after a majority of the keepers' disks was lost. The
// file is that keeper's.
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
			return fmt.Errorf("%s: %s is a process of role %s; give the file of the keeper that is to begin", c.File, f.Self.Name,
				f.Self.Role)
		}
		if s, err := client.Status(ctx, f.Self.Name); err == nil {
			return fmt.Errorf("%s runs (%s): stop it first", f.Self.Name, s.Role)
		}
		return withDiskFull(controller.Rebuild(ctx, controller.RebuildOptions{Network: net, DataDir: f.DataDir, Settings: f.Settings, Client: client, Backup: backup,
			AllowUnreachable: c.Without, Progress: func(text string) { fmt.Println(text) }}))
	})
}
