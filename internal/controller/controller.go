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

// Options are what a Controller is made of. Network, DataDir and Settings are required.
type Options struct {
	Network  *peertransport.Network // the caller runs it
	DataDir  string                 // the folder of the log, its snapshots and the marker; made if missing
	Settings map[string]any         // by their names in the operator's file
	Log      zerolog.Logger         // the zero value logs nothing

	// Planner makes the planner of a span of leadership; nil makes a migration.Planner.
	Planner func(host Host, now tick.Tick) Planner

	// WrapStore wraps the log's store, for tests of disk faults; nil leaves it as it is.
	WrapStore func(Store) Store

	// Now is the time by which leases are counted; nil is controllerclient.Now.
	Now func() tick.Tick

	// DiskFree is the free and total bytes of the disk that has a folder; nil asks the system.
	DiskFree func(dir string) (free, total uint64, err error)

	spacePolicy *spacePolicy // nil: that of newSpacePolicy
	connLimiter *connLimiter // nil: one of maxConns and maxConnsPerProcess
}

// Bounds on what is held in memory, and on what one log entry carries.
const (
	maxEntryOperations  = 256     // operations in one entry of the log
	maxQueuedOperations = 1 << 17 // the planner's operations that wait to be proposed
	maxLongPolls        = 4096    // calls that wait for a change
)

// Controller is one controller of a fleet. It is made by Open and serves while Run runs.
type Controller struct {
	Options
	name           string
	peers          []string // the other controllers in the operator's file, sorted
	timings        leases.Timings
	disk           *storeDir
	stateMachine   *stateMachine
	waker          *wakeup.Waker
	longPolls      chan struct{} // one element for each call that waits
	fatalErrors    chan error    // holds the first error that the controller can't go on with
	confirmer      *leadershipConfirmer
	client         *controllerclient.Client
	proposalQueued chan struct{} // wakes the proposer
	joinMutex      sync.Mutex    // one disk is admitted at a time

	// raft is nil until this disk may take part in the log. store and minTerm are set before it.
	raft    atomic.Pointer[raft.Raft]
	store   *guardedStore
	minTerm uint64 // the term in which a disk that was emptied was admitted, 0: it was not

	// mu guards the fields below and all fields of the leadership. Nothing is waited for under it.
	mu           sync.Mutex
	leadership   *leadership // nil while another controller leads
	waitReason   string      // why the controller does not take part in the log yet, "": it does
	diskFault    string      // the error of the last write to the log, "": it succeeded
	diskSpace    controllerclient.DiskSpace
	logPositions map[string]controllerclient.LogPosition // by controller: what it has confirmed to have on its disk
}

// Open reads the controller's data directory and makes it where there is none. It fails with ErrNewerVersion or ErrCorrupt
// where the marker can't be read, and where the folder belongs to another controller; faults of the log itself come from
// Run.
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

// withDefaults sets what was left out.
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

// fatal ends Run with an error. The first one counts.
func (c *Controller) fatal(err error) {
	select {
	case c.fatalErrors <- err:
	default:
	}
}

// Run takes part in the log and answers calls until the context ends; then it hands the leadership over and waits for all
// goroutines. It returns nil after the context ended, and the reason where the controller can't go on: ErrNewerVersion,
// ErrCorrupt, ErrLogWentBack or an error of the disk or the network.
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
	callContext, stopCalls := context.WithCancel(context.WithoutCancel(ctx)) // calls are answered until the leadership is handed over
	defer stopCalls()
	served := make(chan error, 1)
	go func() { served <- c.serve(callContext) }()
	group.Go(func() error { return c.runConsensus(ctx) })
	err := group.Wait()
	stopCalls()
	return errors.Join(err, <-served)
}
