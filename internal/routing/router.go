package routing

import (
	"context"
	"errors"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
	"silvercove/internal/dispatch"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
)

var routesChanged = metrics.NewCounter("cove_relay_routes_changed_total")

// Controllers reports changes of assignments and lists of edge nodes until the context ends. A *controllerclient.Client
// implements it.
type Controllers interface {
	Watch(ctx context.Context, notify func(controllerclient.AssignmentChanges)) error
	WatchNodes(ctx context.Context, notify func(controllerclient.NodeList)) error
}

// Router passes the controllers' assignments and edge nodes to the dispatcher of one relay.
type Router struct {
	controllers Controllers
	network     *peertransport.Network
	log         zerolog.Logger

	mu       sync.Mutex
	hadLease map[string]bool // by edge node: whether it held a lease when the controllers last listed it; guarded by mu
}

// New makes a router. It sends the requests for an edge node to the address in this process's own configuration file
// or, if there is none, to the address that the node has reported.
func New(controllers Controllers, network *peertransport.Network, log zerolog.Logger) *Router {
	log = log.With().Str("component", "routing").Str("node", network.Self().Name).Logger()
	return &Router{controllers: controllers, network: network, log: log, hadLease: map[string]bool{}}
}

// Run follows the controllers until the context ends, and then returns nil.
func (r *Router) Run(ctx context.Context, dispatcher *dispatch.Dispatcher) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return r.controllers.WatchNodes(ctx, func(list controllerclient.NodeList) {
			dispatcher.UpdateEndpoints(true, r.endpoints(list.Nodes))
		})
	})
	group.Go(func() error {
		return r.controllers.Watch(ctx, func(changes controllerclient.AssignmentChanges) {
			r.updatePlacements(dispatcher, changes)
		})
	})
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// updatePlacements passes changes of assignments to the dispatcher, and logs the routes that have changed.
func (r *Router) updatePlacements(dispatcher *dispatch.Dispatcher, changes controllerclient.AssignmentChanges) {
	placements := make([]dispatch.Placement, 0, len(changes.Assignments))
	for _, a := range changes.Assignments {
		p := dispatch.Placement{Instance: a.Instance, Backend: a.Primary, Epoch: a.Epoch, Revision: a.Revision}
		if a.State != placement.Running {
			p.Backend = ""
		}
		placements = append(placements, p)
	}
	for _, p := range dispatcher.UpdatePlacements(changes.Complete, placements, changes.Deleted) {
		routesChanged.Inc()
		r.log.Info().Str("event", "routes").Str("instance", p.Instance).Uint64("epoch", p.Epoch).Str("to", p.Backend).
			Msg("route changed")
	}
}

// endpoints converts the edge nodes that hold a lease to entries of the endpoint list. A node that is draining or
// leaving is listed as up: it serves its instances until they have been migrated, and the controllers place no further
// instances there.
func (r *Router) endpoints(nodes []controllerclient.Node) (endpoints []dispatch.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, node := range nodes {
		r.logLeaseChange(node)
		address := node.RequestAddress
		if peer, ok := r.network.Peer(node.Name); ok && peer.RequestAddress != "" {
			address = peer.RequestAddress
		}
		endpoint := dispatch.Endpoint{
			Name:        node.Name,
			Address:     address,
			Zone:        node.Zone,
			State:       "up",
			Weight:      node.AcceptFraction,
			StartedAtMs: node.StartedAtMS,
			Version:     node.SoftwareVersion,
		}
		if node.HasLease && endpoint.Valid() {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// logLeaseChange logs whether a node has a lease. It logs only if the node is new, or if it has gained or lost its
// lease since the last call. It is called with mu held.
func (r *Router) logLeaseChange(node controllerclient.Node) {
	if previous, known := r.hadLease[node.Name]; known && previous == node.HasLease {
		return
	}
	r.hadLease[node.Name] = node.HasLease
	state := "dead"
	if node.HasLease {
		state = "alive"
	}
	r.log.Info().Str("event", "member").Str("from", node.Name).Str("why", state+", according to the controllers").Msg("node lease changed")
}
