package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
	"silvercove/internal/leases"
	"silvercove/internal/migration"
	"silvercove/internal/peertransport"
	"silvercove/internal/tick"
	"silvercove/internal/wakeup"
)

// Options configures a Controller. Network, DataDir and Settings are required.
type Options struct {
	Network  *peertransport.Network // network of this controller; the caller runs it
	DataDir  string                 // directory of the log, its snapshots and the disk's marker; created if missing
	Settings map[string]any         // settings by their names, as in fleet.File.Settings
	Log      zerolog.Logger         // the zero value logs nothing

	// Planner creates the planner for one term of leadership; nil selects migration.NewPlanner.
	Planner func(host Host, now tick.Tick) Planner

	// WrapStore lets tests inject disk faults: raft uses the store that it returns instead of the log's store. nil means no
	// wrapper.
	WrapStore func(Store) Store

	// Now is the clock that measures the durations of leases; nil selects controllerclient.Now.
	Now func() tick.Tick

	// DiskFree returns the free and total bytes of the file system that contains a directory; nil asks the operating system.
	DiskFree func(dir string) (free, total uint64, err error)

	spacePolicy *spacePolicy // nil selects newSpacePolicy
	connLimiter *connLimiter // nil selects the limits maxConns and maxConnsPerProcess
}

// Bounds on the controller's memory and on the size of a log entry.
const (
	maxEntryOperations  = 256     // maximum number of operations in one log entry
	maxQueuedOperations = 1 << 17 // maximum number of the planner's operations that wait to be proposed
	maxLongPolls        = 4096    // maximum number of concurrent long polls (see longPoll)
)

// Controller is one controller of a fleet. Open creates it, and it serves while Run runs.
type Controller struct {
	Options
	name           string
	peers          []string // the other controllers in the configuration file, sorted
	timings        leases.Timings
	disk           *storeDir
	stateMachine   *stateMachine
	waker          *wakeup.Waker
	longPolls      chan struct{} // holds one element for each long poll in progress
	fatalErrors    chan error    // holds the first unrecoverable error until Run returns it
	confirmer      *leadershipConfirmer
	client         *controllerclient.Client
	proposalQueued chan struct{} // wakes runProposer
	joinMutex      sync.Mutex    // serializes the admission of disks

	// raft is nil until runRaft has started raft on this disk. store and minTerm are set before raft.
	raft    atomic.Pointer[raft.Raft]
	store   *guardedStore
	minTerm uint64 // term of the leader that admitted this disk as an empty one; 0 if no leader has admitted the disk in this run

	// mu guards the fields below, and the fields of the leadership that change. No goroutine blocks while it holds mu.
	mu           sync.Mutex
	leadership   *leadership // nil while this controller does not lead
	waitReason   string      // what the controller waits for before raft may run on its disk, see setWaitReason; "" if it does not wait
	diskFault    string      // error of the last write to the log; "" if the write succeeded
	diskSpace    controllerclient.DiskSpace
	logPositions map[string]controllerclient.LogPosition // by controller: last entry that the controller acknowledged as stored
}

// Open reads the controller's data directory and creates it if it is missing. It fails with ErrNewerVersion or ErrCorrupt if
// the directory's marker (storeMarker) can't be read, and with another error if the directory belongs to another controller.
// Run, not Open, reports faults of the log.
func Open(o Options) (*Controller, error) {
	o = o.withDefaults()
	c := &Controller{
		Options:        o,
		name:           o.Network.Self().Name,
		timings:        leases.TimingsFor(leases.ConfigFrom(o.Settings)),
		waker:          wakeup.New(),
		longPolls:      make(chan struct{}, maxLongPolls),
		fatalErrors:    make(chan error, 1),
		proposalQueued: make(chan struct{}, 1),
		logPositions:   map[string]controllerclient.LogPosition{},
	}
	for _, peer := range o.Network.Peers(peertransport.RoleController) {
		c.peers = append(c.peers, peer.Name)
	}
	slices.Sort(c.peers)
	c.connLimiter.byProcess = map[string]int{}
	c.connLimiter.isController = func(name string) bool { return slices.Contains(c.peers, name) }
	c.stateMachine = newStateMachine(c.onApplied, c.fatal)
	c.confirmer = newLeadershipConfirmer(c)
	c.client = controllerclient.New(o.Network, o.Settings, uint64(o.Now()))
	var err error
	c.disk, err = openStoreDir(o.DataDir, o.Network.Fleet(), c.name)
	return c, err
}

// withDefaults replaces unset options by their defaults.
func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = controllerclient.Now
	}
	if o.Planner == nil {
		o.Planner = func(host Host, now tick.Tick) Planner {
			return migration.NewPlanner(host, now, uint64(now), migration.ConfigFrom(o.Settings))
		}
	}
	if o.DiskFree == nil {
		o.DiskFree = diskFree
	}
	if o.spacePolicy == nil {
		o.spacePolicy = newSpacePolicy()
	}
	if o.connLimiter == nil {
		o.connLimiter = &connLimiter{limit: maxConns, limitPerProcess: maxConnsPerProcess}
	}
	o.Log = o.Log.With().Str("component", "controller").Logger()
	return o
}

// fatal makes Run stop and return an error. If fatal is called more than once, Run returns the first error.
func (c *Controller) fatal(err error) {
	select {
	case c.fatalErrors <- err:
	default:
	}
}

// Run runs raft and answers calls until the context ends. Then Run transfers the leadership if this controller
// leads, and waits for all goroutines. It returns nil after the context has ended. If the controller can't continue, Run
// returns ErrNewerVersion, ErrCorrupt, ErrLogWentBack or an error of the disk or the network.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		select {
		case err := <-c.fatalErrors:
			return err
		case <-ctx.Done():
			return nil
		}
	})
	// Calls are answered until the leadership has been transferred.
	callContext, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalls()
	served := make(chan error, 1)
	go func() { served <- c.serve(callContext) }()
	group.Go(func() error { return c.runConsensus(ctx) })
	err := group.Wait()
	stopCalls()
	return errors.Join(err, <-served)
}
