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
	"silvercove/internal/placement"
	"silvercove/internal/tick"
	"silvercove/internal/wakeup"
)

// Planner is handover.Planner as the leading keeper drives it. Calls come one at a time.
type Planner interface {
	OnElected(now tick.Tick)
	OnNodeStatus(now tick.Tick, u migration.NodeStatus)
	OnLeaseExpired(now tick.Tick, name string)
	OnAssignment(now tick.Tick, p placement.Assignment)
	OnProposalRefused(now tick.Tick, e placement.Operation, err error)
	OnDeviceMoved(now tick.Tick, name, zone string)
	OnTick(now tick.Tick) (next tick.Tick) // no more than a lease away where there is nothing to wait for
}

// Host is what a planner acts through.
type Host interface {
	Propose(e placement.Operation)
	Log(text string)
}

// Options are what a keeper is made of.
type Options struct {
	Network   *peertransport.Network // its Run is the caller's
	DataDir   string                 // folder
	Settings  map[string]any
	Log       zerolog.Logger
	Planner   func(host Host, now tick.Tick) Planner           // nil: handover's
	WrapStore func(Store) Store                                // of faults, for tests; nil: none
	Now       func() tick.Tick                                 // nil: keepers.Now
	DiskFree  func(dir string) (free, total uint64, err error) // bytes of a folder's disk; nil: as statfs says

	spacePolicy *spacePolicy // nil: newRoom's
	connLimiter *connLimiter // nil: of mostConns and mostOfOne
}

// Bounds, against a crowd of callers.
const (
	maxEntryOperations  = 256     // in one entry of the log
	maxQueuedOperations = 1 << 17 // steps of the planner that wait
	maxLongPolls        = 4096    // calls that wait for news
	maxJoinLag          = 64      // entries of the log that a disk let in anew may lack when it gets its vote
)

// Controller is one keeper.
type Controller struct {
	Options
	name           string
	peers          []string // other keepers of the file, sorted
	timings        leases.Timings
	disk           *storeDir
	stateMachine   *stateMachine
	waker          *wakeup.Waker
	longPolls      chan struct{}
	fatalErrors    chan error // the first reason why it can't go on
	raft           atomic.Pointer[raft.Raft]
	store          *guardedStore // since raft is set
	confirmer      *leadershipConfirmer
	client         *controllerclient.Client
	proposalQueued chan struct{} // rings the proposer
	joinMutex      sync.Mutex
	minTerm        uint64 // term in which an emptied disk was let in; set before raft runs

	mu           sync.Mutex // of what follows; nothing is waited for under it
	leadership   *leadership
	waitReason   string // it waits
	diskFault    string // its disk
	diskSpace    controllerclient.DiskSpace
	logPositions map[string]controllerclient.LogPosition
}

// Open reads the keeper's disk. What stands in the way of a start is said here, or by Run.
func Open(o Options) (*Controller, error) {
	if o.Now == nil {
		o.Now = controllerclient.Now
	}
	if o.Planner == nil {
		o.Planner = func(h Host, now tick.Tick) Planner {
			return migration.NewPlanner(h, now, uint64(now), migration.ConfigFrom(o.Settings))
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
	c := &Controller{Options: o, name: o.Network.Self().Name, timings: leases.TimingsFor(leases.ConfigFrom(o.Settings)), waker: wakeup.New(),
		longPolls: make(chan struct{}, maxLongPolls), fatalErrors: make(chan error, 1), proposalQueued: make(chan struct{}, 1),
		logPositions: map[string]controllerclient.LogPosition{}}
	for _, p := range o.Network.Peers("keeper") {
		c.peers = append(c.peers, p.Name)
	}
	slices.Sort(c.peers)
	c.connLimiter.byProcess, c.connLimiter.isController = map[string]int{}, func(name string) bool { return slices.Contains(c.peers, name) }
	c.stateMachine = newStateMachine(c.onApplied, c.fatal)
	c.confirmer = newLeadershipConfirmer(c)
	c.client = controllerclient.New(o.Network, o.Settings, uint64(o.Now()))
	var err error
	c.disk, err = openStoreDir(o.DataDir, o.Network.Fleet(), c.name)
	return c, err
}

// fatal ends the keeper for a reason.
func (c *Controller) fatal(err error) {
	select {
	case c.fatalErrors <- err:
	default:
	}
}

// Run serves until the context ends, hands the lead over then, and waits for its goroutines.
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
	calls, stop := context.WithCancel(context.WithoutCancel(ctx)) // calls are answered until the lead is handed over
	defer stop()
	served := make(chan error, 1)
	go func() { served <- c.serve(calls) }()
	group.Go(func() error { return c.runConsensus(ctx) })
	err := group.Wait()
	stop()
	return errors.Join(err, <-served)
}
