// Package routing leads a relay of a fleet: it follows where the keepers say that instances run and which edge units there
// are, and hands both to the gate. While no keeper answers, what was told last stands.
package routing

import (
	"context"
	"errors"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
	"silvercove/internal/dispatch"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
)

// Controllers tell places and units; a *keepers.Client does.
type Controllers interface {
	Watch(ctx context.Context, notify func(controllerclient.AssignmentChanges)) error
	WatchNodes(ctx context.Context, notify func(controllerclient.NodeList)) error
}

// Router follows keepers for one relay.
type Router struct {
	keepers Controllers
	net     *peertransport.Network
	log     zerolog.Logger

	mu    sync.Mutex
	state map[string]bool // units by name, and whether the keepers hold them to live
}

// New makes one. Where commands reach a unit is what this process's own file says, and else what the unit told.
func New(k Controllers, net *peertransport.Network, log zerolog.Logger) *Router {
	return &Router{keepers: k, net: net, log: log.With().Str("node", net.Self().Name).Logger(), state: map[string]bool{}}
}

// Run follows until the context ends.
func (g *Router) Run(ctx context.Context, at *dispatch.Dispatcher) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return g.keepers.WatchNodes(ctx, func(list controllerclient.NodeList) { at.UpdateEndpoints(true, g.hosts(list.Nodes)) })
	})
	group.Go(func() error {
		return g.keepers.Watch(ctx, func(changes controllerclient.AssignmentChanges) {
			all := make([]dispatch.Placement, 0, len(changes.Assignments))
			for _, p := range changes.Assignments {
				one := dispatch.Placement{Instance: p.Instance, Backend: p.Primary, Epoch: p.Epoch, Revision: p.Revision}
				if p.State != placement.Running {
					one.Backend = ""
				}
				all = append(all, one)
			}
			for _, p := range at.UpdatePlacements(changes.Complete, all, changes.Deleted) {
				routes.Inc()
				g.log.Info().Str("event", "routes").Str("instance", p.Instance).Uint64("epoch", p.Epoch).Str("to", p.Backend).Msg("routes")
			}
		})
	})
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// hosts makes entries of the list of units: those whose lease is not over. One that is tired or leaves is listed as up:
// its instances are served there until they have been handed on, and the keepers put no new ones there.
func (g *Router) hosts(units []controllerclient.Node) (all []dispatch.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range units {
		dial := u.Commands
		if p, ok := g.net.Peer(u.Name); ok && p.Commands != "" {
			dial = p.Commands
		}
		if was, known := g.state[u.Name]; !known || was != u.HasLease {
			g.state[u.Name] = u.HasLease
			state := map[bool]string{true: "alive", false: "dead"}[u.HasLease]
			g.log.Info().Str("event", "member").Str("from", u.Name).Str("why", state+", say the keepers").Msg("member")
		}
		h := dispatch.Endpoint{Name: u.Name, Address: dial, Zone: u.Zone, State: "up", Weight: u.AcceptFraction, StartedAtMs: u.StartedAtMS, Version: u.SoftwareVersion}
		if !u.HasLease || !h.Valid() {
			continue
		}
		all = append(all, h)
	}
	return all
}
