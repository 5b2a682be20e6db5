package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"silvercove/internal/controller"
	"silvercove/internal/controllerclient"
	"silvercove/internal/fleet"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
)

// fleetControllerCmd is the sub-command that runs a controller.
type fleetControllerCmd struct {
	File string `arg:"" help:"The operator's file of this process."`
}

// Run runs a controller until SIGTERM or SIGINT. The controller then transfers its leadership and ends. A second signal
// ends the process at once. However the process ends, the operations that the controllers have agreed on are on the
// disk of this controller.
func (c *fleetControllerCmd) Run() error {
	p, err := openProcess(c.File, "keeper")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	defer context.AfterFunc(ctx, stop)() // after the first signal, signals are no longer caught, so that a second one ends the process
	return p.runWhile(func(alive context.Context) error {
		node, err := controller.Open(controller.Options{Network: p.net, DataDir: p.file.DataDir, Settings: p.file.Settings, Log: p.log})
		if err != nil {
			return withDiskFull(err)
		}
		p.log.Info().Str("event", "starts").Str("component", "controller").Str("why", "peers at "+p.net.Self().Address).Msg("process started")
		ctx, end := context.WithCancel(ctx)
		defer context.AfterFunc(alive, end)()
		if err := node.Run(ctx); err != nil {
			return withDiskFull(err)
		}
		p.log.Info().Str("event", "ends").Str("component", "controller").Msg("process ended")
		return nil
	})
}

// controllerCommand holds the arguments of the sub-commands that call the controllers.
type controllerCommand struct {
	File string        `arg:"" help:"The operator's file of any process of the fleet."`
	Wait time.Duration `default:"10s" help:"How long to wait for the controllers."`
}

// withClient calls call with a client of the controllers. The client uses the name and the peers of the fleet process
// whose configuration file is c.File. The fleet process may be running, so the client listens on a free port instead of
// the address in the file. Connections to the shared name still go to the fleet process (see
// peertransport.Network.OverrideSelf).
func (c *controllerCommand) withClient(call func(ctx context.Context, client *controllerclient.Client, file *fleet.File, net *peertransport.Network) error) error {
	file, err := fleet.Read(c.File)
	if err != nil {
		return err
	}
	ownAddress, self := file.Self.Address, file.Self
	self.Address = "127.0.0.1:0"
	network, err := peertransport.Open(file.FleetName, self, file.Peers, zerolog.Nop())
	if err != nil {
		return err
	}
	network.OverrideSelf(ownAddress)
	networkCtx, stopNetwork := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = network.Run(networkCtx) // Run returns nil once its context is cancelled
	}()
	defer func() {
		stopNetwork()
		<-done
	}()
	client := controllerclient.New(network, file.Settings, uint64(time.Now().UnixNano()))
	defer client.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	return call(ctx, client, file, network)
}

// fleetShowCmd is the sub-command that shows the state of the fleet.
type fleetShowCmd struct {
	controllerCommand
	Controllers bool `name:"keepers" help:"Show the status of each controller instead of nodes and instances."`
}

// Run prints the nodes and the assignments of instances, and the zones whose nodes are all draining. With --keepers it prints
// the status of each controller instead.
func (c *fleetShowCmd) Run() error {
	return c.withClient(func(ctx context.Context, client *controllerclient.Client, f *fleet.File, net *peertransport.Network) error {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		if c.Controllers {
			_, _ = fmt.Fprintln(w, "keeper\tstate\tleader\tterm\tapplied\tinstances\tmoves\tdisk\twhy")
			for _, name := range client.Controllers() {
				s, err := client.Status(ctx, name)
				if err != nil {
					_, _ = fmt.Fprintf(w, "%s\tsilent\t\t\t\t\t\t\t%v\n", name, err)
					continue
				}
				disk := ""
				if s.Disk != nil {
					disk = s.Disk.String()
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", name, s.Role, s.Leader, s.Term, s.Applied, s.Assignments,
					s.Migrations, disk, s.Reason)
			}
			return w.Flush()
		}
		u, err := client.Nodes(ctx)
		if err != nil {
			return err
		}
		p, err := client.Assignments(ctx, 0)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(w, "unit\tzone\tlease\tstate\tshare\troom\twhy")
		for _, u := range u.Nodes {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%d\t%s\n", u.Name, u.Zone, map[bool]string{true: "held", false: "-"}[u.HasLease],
				u.State, u.AcceptFraction, u.SpareCapacity, strings.Join(u.Reasons, "; "))
		}
		_, _ = fmt.Fprintln(w, "\t\t\t\t\t\t\ninstance\tzone\towner\tepoch\tstate\tholders\tto\twhy")
		for _, p := range p.Assignments {
			why := []string{p.Reason}
			if p.MissingEntries > 0 {
				why = append(why, fmt.Sprintf("at least %d entries are missing", p.MissingEntries))
			}
			if p.UnverifiedReason != "" {
				why = append(why, p.UnverifiedReason)
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", p.Instance, p.Zone, p.Primary, p.Epoch, p.State,
				strings.Join(p.Replicas, ","), p.CopyTarget, strings.Join(why, "; "))
		}
		lastResort, err := client.LastResort(ctx)
		if err != nil {
			return err
		}
		for _, z := range lastResort.Zones {
			_, _ = fmt.Fprintf(w, "\t\t\t\t\t\t\nall edge nodes of zone %s are draining; still served, highest priority weight first:\n", z.Zone)
			for _, i := range z.Instances {
				_, _ = fmt.Fprintf(w, "%s\t\t%s\n", i.Name, cmp.Or(i.Node, "no node"))
			}
		}
		return w.Flush()
	})
}

// fleetDeviceCmd is the sub-command that sets the zone of a device.
type fleetDeviceCmd struct {
	controllerCommand
	Name string `arg:"" help:"The instance, such as camera-7."`
	Zone string `arg:"" help:"The zone where its device is now."`
}

// Run reports the zone of an instance's device to the controllers.
func (c *fleetDeviceCmd) Run() error {
	return c.withClient(func(ctx context.Context, client *controllerclient.Client, _ *fleet.File, _ *peertransport.Network) error {
		p, err := client.MoveDevice(ctx, c.Name, c.Zone)
		return printAssignment(p, err)
	})
}

// printAssignment prints an assignment if err is nil, and returns err otherwise. If err is a refusal that carries the
// current assignment, the text of the returned error also describes that assignment.
func printAssignment(p placement.Assignment, err error) error {
	var refusal *controllerclient.RefusalError
	if errors.As(err, &refusal) && refusal.Assignment != nil {
		return fmt.Errorf("%w; the current assignment is: %s of epoch %d at %q", err, refusal.Assignment.State, refusal.Assignment.Epoch, refusal.Assignment.Primary)
	}
	if err == nil {
		fmt.Printf("%s: %s at %q, epoch %d, zone %s\n", p.Instance, p.State, p.Primary, p.Epoch, p.Zone)
	}
	return err
}

// fleetCreateCmd is the sub-command that creates an instance.
type fleetCreateCmd struct {
	controllerCommand
	Name   string  `arg:"" help:"The instance."`
	Node   string  `name:"unit" arg:"" help:"The edge node that is its first primary."`
	Zone   string  `arg:"" help:"The zone of its device."`
	Weight float64 `arg:"" help:"Priority weight, 1 to 100."`
}

// Run creates an instance.
func (c *fleetCreateCmd) Run() error {
	return c.propose(placement.Operation{Kind: placement.OpCreate, Instance: c.Name, Target: c.Node, Zone: c.Zone, Weight: c.Weight,
		Reason: "an operator made it"})
}

// propose proposes an operation to the controllers and prints the resulting assignment. It sets the operation's epoch
// to that of the current assignment, except for OpCreate, which uses no epoch.
func (c *controllerCommand) propose(operation placement.Operation) error {
	return c.withClient(func(ctx context.Context, client *controllerclient.Client, _ *fleet.File, _ *peertransport.Network) error {
		if operation.Kind != placement.OpCreate { // the controllers refuse an operation of an older epoch
			all, err := client.Assignments(ctx, 0)
			if err != nil {
				return err
			}
			at := slices.IndexFunc(all.Assignments, func(p placement.Assignment) bool { return p.Instance == operation.Instance })
			if at < 0 {
				return fmt.Errorf("%s: %w", operation.Instance, placement.ErrNotFound)
			}
			operation.Epoch = all.Assignments[at].Epoch
		}
		p, err := client.Propose(ctx, operation)
		return printAssignment(p, err)
	})
}

// fleetReleaseCmd is the sub-command that releases a quarantined instance.
type fleetReleaseCmd struct {
	controllerCommand
	Name string `arg:"" help:"A quarantined instance."`
	Node string `name:"unit" arg:"" help:"The edge node that becomes its primary."`
}

// Run releases a quarantined instance.
func (c *fleetReleaseCmd) Run() error {
	return c.propose(placement.Operation{Kind: placement.OpRelease, Instance: c.Name, Target: c.Node, Reason: "an operator released it"})
}

// fleetForgetCmd is the sub-command that deletes an instance.
type fleetForgetCmd struct {
	controllerCommand
	Name string `arg:"" help:"The instance. If its primary may still serve it, the primary has to be stopped first."`
}

// Run deletes an instance.
func (c *fleetForgetCmd) Run() error {
	return c.propose(placement.Operation{Kind: placement.OpDelete, Instance: c.Name, Reason: "an operator had it forgotten"})
}
