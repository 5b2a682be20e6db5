package main

import (
	"context"
	"os"

	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
	"silvercove/internal/dispatch"
	"silvercove/internal/fleet"
	"silvercove/internal/overload"
	"silvercove/internal/relay"
	"silvercove/internal/routing"
)

type fleetRelayCmd struct {
	File string `arg:"" type:"existingfile" help:"The operator's file of this relay."`
}

// Run is one relay of a fleet.
func (c *fleetRelayCmd) Run() error {
	p, err := process(c.File, "relay")
	if err != nil {
		return err
	}
	f, log := p.file, p.log
	told, err := relay.ReadFleetConfig(relayEnv(f))
	if err != nil {
		return err
	}
	cores, memory := told.Limits()
	strain := routing.NewOverloadAgent(p.board, f.Self.Name, told.Seed(), f.Settings, cores, memory, log)
	told.FleetPolicy, told.OnStage = strain, strain.OnStage
	told.WaitTurn = func(ctx context.Context) { strain.Wait(ctx, overload.StepAccept) }
	return relay.Run(told, relayEnv(f), func(ctx context.Context, g *dispatch.Dispatcher) error {
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return p.run(ctx) })
		group.Go(func() error { return strain.Run(ctx, g) })
		client := controllerclient.New(p.net, f.Settings, told.Seed())
		defer client.Close()
		group.Go(func() error { return strain.Report(ctx, client) })
		group.Go(func() error {
			strain.Wait(ctx, overload.StepList)
			return routing.New(client, p.net, log).Run(ctx, g)
		})
		return group.Wait()
	})
}

// relayEnv is what a relay reads of its environment elsewhere.
func relayEnv(f *fleet.File) func(string) string {
	return func(name string) string {
		switch name {
		case "NODE_NAME":
			return f.Self.Name
		case "NODE_LISTEN":
			return f.ClientAddress
		case "NODE_CONFIG":
			return f.SettingsPath
		case "NODE_OPERATOR":
			return os.Getenv(name)
		}
		return ""
	}
}
