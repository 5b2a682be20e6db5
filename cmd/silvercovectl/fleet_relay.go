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

// fleetRelayCmd is the sub-command that runs a relay.
type fleetRelayCmd struct {
	File string `arg:"" type:"existingfile" help:"The operator's file of this relay."`
}

// Run runs one relay of a fleet.
func (c *fleetRelayCmd) Run() error {
	p, err := openProcess(c.File, "relay")
	if err != nil {
		return err
	}
	f, log := p.file, p.log
	config, err := relay.ReadFleetConfig(relayEnv(f))
	if err != nil {
		return err
	}
	cores, memory := config.Limits()
	agent := routing.NewOverloadAgent(p.members, f.Self.Name, config.Seed(), f.Settings, cores, memory, log)
	config.FleetPolicy, config.OnStage = agent, agent.OnStage
	config.WaitTurn = func(ctx context.Context) { agent.Wait(ctx, overload.StepAccept) }
	return relay.Run(config, relayEnv(f), func(ctx context.Context, g *dispatch.Dispatcher) error {
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return p.run(ctx) })
		group.Go(func() error { return agent.Run(ctx, g) })
		client := controllerclient.New(p.net, f.Settings, config.Seed())
		defer client.Close()
		group.Go(func() error { return agent.Report(ctx, client) })
		group.Go(func() error {
			agent.Wait(ctx, overload.StepListEndpoints)
			return routing.New(client, p.net, log).Run(ctx, g)
		})
		return group.Wait()
	})
}

// relayEnv returns a function that looks up the environment variables of a relay. In a fleet their values come from the
// configuration file, except for NODE_OPERATOR, which comes from the environment of the process.
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
