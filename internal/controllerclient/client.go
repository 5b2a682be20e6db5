package controllerclient

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"silvercove/internal/leases"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// inventoryTimeout is how long an edge node may take to answer with its inventory.
const inventoryTimeout = time.Minute

// randomStream is the second of the two words with which New seeds Client.random. The first word is New's parameter seed.
const randomStream = 29

// Client calls the leading controller. It is safe for concurrent use. Each call ends at the latest when its context ends.
type Client struct {
	http        *http.Client
	controllers []string // names of all controllers in the configuration file, sorted
	timings     leases.Timings

	mu      sync.Mutex // guards the fields below
	lineage Lineage
	leader  string                   // controller to call next; "" if the configuration file lists none
	polls   map[*activeCall]struct{} // calls with a timeout above ProposalTimeout, which endCall may cancel
	random  *rand.Rand
}

// New returns a client for the controllers in a process's configuration file. settings must contain fleet.lease. seed determines
// which controller is called first, and the lengths of the pauses.
func New(network *peertransport.Network, settings map[string]any, seed uint64) *Client {
	c := &Client{
		http:    network.Client(),
		timings: leases.TimingsFor(leases.ConfigFrom(settings)),
		polls:   map[*activeCall]struct{}{},
		random:  rand.New(rand.NewPCG(seed, randomStream)),
	}
	for _, peer := range network.Peers(peertransport.RoleController) {
		c.controllers = append(c.controllers, peer.Name)
	}
	if self := network.Self(); self.Role == peertransport.RoleController {
		c.controllers = append(c.controllers, self.Name)
	}
	slices.Sort(c.controllers)
	if len(c.controllers) > 0 {
		c.leader = c.controllers[c.random.IntN(len(c.controllers))]
	}
	return c
}

// Controllers returns the names of the controllers in the configuration file, sorted.
func (c *Client) Controllers() []string { return slices.Clone(c.controllers) }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// RequestLease requests or renews a lease. The lease's duration counts from sentAt, which is the time by Now at which the
// granted request was sent. RequestLease fails with a *RefusalError, ErrNoController or, if CheckLineage refuses the
// controller's lineage, ErrOtherLineage.
func (c *Client) RequestLease(ctx context.Context, request LeaseRequest) (response LeaseResponse, sentAt tick.Tick, err error) {
	request.Version = Version
	sentAt, err = c.call(ctx, http.MethodPost, "/v1/lease", request, &response, c.timings.ConfirmTimeout)
	if err == nil {
		err = c.CheckLineage(response.Lineage)
	}
	return response, sentAt, err
}

// Propose submits an operation to the agreed log and returns the resulting assignment. A *RefusalError contains the instance's
// current assignment, if there is one. After any other error the operation may or may not have been agreed. The caller may
// propose the operation again. If it was already applied, the second proposal changes nothing, or is refused with the
// assignment that resulted from the first.
func (c *Client) Propose(ctx context.Context, op placement.Operation) (assignment placement.Assignment, err error) {
	op.Version = placement.FormatVersion
	_, err = c.call(ctx, http.MethodPost, "/v1/step", op, &assignment, c.timings.ProposalTimeout)
	return assignment, err
}

// MoveDevice reports the zone in which an instance's device now is.
func (c *Client) MoveDevice(ctx context.Context, instance, zone string) (assignment placement.Assignment, err error) {
	request := DeviceRequest{Version: Version, Name: instance, Zone: zone}
	_, err = c.call(ctx, http.MethodPost, "/v1/device", request, &assignment, c.timings.ProposalTimeout)
	return assignment, err
}

// ReportOutcomes reports the outcomes of requests at edge nodes, and the rollout state of the newest software version.
func (c *Client) ReportOutcomes(ctx context.Context, report OutcomeReport) error {
	report.Version = Version
	_, err := c.call(ctx, http.MethodPost, "/v1/outcomes", report, &struct{}{}, c.timings.ProposalTimeout)
	return err
}

// LastResort returns which instances continue to be served in the zones whose nodes are all evacuating.
func (c *Client) LastResort(ctx context.Context) (plan LastResortPlan, err error) {
	_, err = c.call(ctx, http.MethodGet, "/v1/floor", nil, &plan, c.timings.ProposalTimeout)
	return plan, err
}

// Assignments returns, without waiting, the assignments that changed after version since. With since 0 it returns all assignments.
func (c *Client) Assignments(ctx context.Context, since uint64) (changes AssignmentChanges, err error) {
	_, err = c.call(ctx, http.MethodGet, c.watchPath("/v1/places", since, 0), nil, &changes, c.timings.ProposalTimeout)
	if err == nil {
		err = c.CheckLineage(changes.Lineage)
	}
	return changes, err
}

// Nodes returns all edge nodes, without waiting for a change.
func (c *Client) Nodes(ctx context.Context) (list NodeList, err error) {
	_, err = c.call(ctx, http.MethodGet, c.watchPath("/v1/units", 0, 0), nil, &list, c.timings.ProposalTimeout)
	return list, err
}

// Join asks the leading controller to admit a controller whose disk was emptied, or reports that the controller to be admitted
// has caught up.
func (c *Client) Join(ctx context.Context, request JoinRequest) (response JoinResponse, err error) {
	request.Version = Version
	// The leader commits at most three entries for a join request. The timeout has one ProposalTimeout for each of them,
	// and one more as a margin.
	_, err = c.call(ctx, http.MethodPost, "/v1/join", request, &response, 4*c.timings.ProposalTimeout)
	return response, err
}

// Status returns the status of one controller.
func (c *Client) Status(ctx context.Context, controller string) (status Status, err error) {
	_, err = c.callOnce(ctx, controller, http.MethodGet, "/v1/status", nil, &status, c.timings.ProposalTimeout)
	return status, err
}

// Confirm sends the caller's term to one controller and returns the term of that controller.
func (c *Client) Confirm(ctx context.Context, controller string, term uint64) (uint64, error) {
	var response ConfirmRequest
	request := ConfirmRequest{Version: Version, Term: term}
	_, err := c.callOnce(ctx, controller, http.MethodPost, "/v1/confirm", request, &response, c.timings.ConfirmTimeout)
	return response.Term, err
}

// Inventory asks one edge node for its copies. It fails with placement.ErrUnsupportedVersion if the node answers in a later
// format version, in which fields may have another meaning.
func (c *Client) Inventory(ctx context.Context, node string) (inventory Inventory, err error) {
	_, err = c.callOnce(ctx, node, http.MethodGet, "/v1/holds", nil, &inventory, tick.FromDuration(inventoryTimeout))
	switch {
	case err != nil:
	case inventory.Node != node:
		err = fmt.Errorf("%s identifies itself as %q", node, inventory.Node)
	case inventory.Version > placement.FormatVersion:
		err = fmt.Errorf("%w: %s sent its inventory in version %d, this program supports up to version %d", placement.ErrUnsupportedVersion, node,
			inventory.Version, placement.FormatVersion)
	}
	return inventory, err
}

// Backup writes a snapshot of the controllers' agreed state to w. It fails with ErrNoController if no controller answers as the
// leader, and with the last connection error if a controller could not be reached. After any other error, part of the snapshot
// may have been written.
func (c *Client) Backup(ctx context.Context, w io.Writer) error {
	lastErr := ErrNoController
	for _, name := range c.controllers {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+name+"/v1/backup", nil)
		if err != nil {
			return err
		}
		response, err := c.http.Do(request)
		if err != nil {
			lastErr = err
			continue
		}
		if response.StatusCode != http.StatusOK {
			_ = response.Body.Close() // an error does not matter: this controller does not lead
			continue
		}
		_, err = io.Copy(w, response.Body)
		_ = response.Body.Close() // an error does not matter: the copy has succeeded or failed already
		return err
	}
	return fmt.Errorf("no leading controller answered: %w", lastErr)
}
