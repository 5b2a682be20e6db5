package edgenode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/devicepower"
	"silvercove/internal/fleet"
	"silvercove/internal/instancestore"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// Limits of one process.
const (
	maxQueuedProposals       = 1024 // maximum number of operations that wait for a proposer; at most one waits for each instance
	maxQueuedMessagesPerPeer = 256  // maximum number of messages that wait to be sent to one other node; further messages are dropped
	sendersPerPeer           = 4    // maximum number of concurrent messages to one other node
	proposers                = 16   // maximum number of concurrent proposals to the controllers

	powerReadInterval = time.Second
)

// Options are the arguments of Open. All fields are required.
type Options struct {
	File    *fleet.File
	Network *peertransport.Network // the caller must run the network until Node.Run returns
	Log     zerolog.Logger
	Seed    uint64 // seed of the controller client (see controllerclient.New)
}

// Node is one edge node. It is created by Open and works while Run runs.
type Node struct {
	options       Options
	name          string
	incarnation   uint64 // increases at each start: Unix time in microseconds, or the previous incarnation + 1 if that is greater
	leaseDuration tick.Tick
	client        *controllerclient.Client
	store         *instancestore.Store
	listener      net.Listener // listener for requests
	powerReader   *devicepower.Reader
	outgoing      map[string]chan replica.Message // messages waiting to be sent, by the receiving node
	proposals     chan placement.Operation
	renewNow      chan struct{} // holds an element if renewLease must request the lease at once
	changed       chan struct{} // holds an element if terminate must check remainingDuties again

	mu                sync.Mutex       // guards the fields below; is never held during a blocking operation
	replicas          *replica.Manager // nil until the first assignments are loaded
	logsAtStart       []replica.Log    // logs found on the disk; nil once replicas has been created from them
	health            *devicehealth.Monitor
	report            devicehealth.Report // the last report of the health monitor
	pendingRequests   map[*replica.Request]chan replica.Response
	pendingReplies    map[uint64]chan replica.Message // channels for the answers that handleMessage calls wait for, by Message.ReplyTo
	lastReplyID       uint64
	inFlight          int                      // number of requests in progress
	lineage           controllerclient.Lineage // lineage of the assignments that replicas has (see controllerclient.Lineage)
	storedLineage     controllerclient.Lineage // lineage in the node's note on the disk (see type note)
	unknownNoteFields placement.UnknownFields
	disk              diskCheck
	terminating       bool
}

// Open reads the node's disk and listens for requests. It fails if the disk cannot be read or if the address is in use. It also
// fails if the controller client refuses the lineage in the node's note on the disk (see type note).
func Open(o Options) (*Node, error) {
	o.Log = o.Log.With().Str("component", "edgenode").Logger()
	leaseSeconds, _ := o.File.Settings["fleet.lease"].(float64)
	n := &Node{
		options:         o,
		name:            o.File.Self.Name,
		leaseDuration:   tick.Tick(leaseSeconds * float64(tick.Second)),
		client:          controllerclient.New(o.Network, o.File.Settings, o.Seed),
		powerReader:     devicepower.Open(o.File.PowerDir),
		outgoing:        map[string]chan replica.Message{},
		proposals:       make(chan placement.Operation, maxQueuedProposals),
		renewNow:        make(chan struct{}, 1),
		changed:         make(chan struct{}, 1),
		pendingRequests: map[*replica.Request]chan replica.Response{},
		pendingReplies:  map[uint64]chan replica.Message{},
	}
	for _, peer := range o.Network.Peers(peertransport.RoleEdge) {
		n.outgoing[peer.Name] = make(chan replica.Message, maxQueuedMessagesPerPeer)
	}
	warn := func(text string) { o.Log.Warn().Str("why", text).Msg("instance store warning") }
	var text []byte
	var err error
	n.store, n.logsAtStart, text, err = instancestore.Open(o.File.DataDir, warn)
	if err != nil {
		return nil, err
	}
	if err := n.openStored(text); err != nil {
		n.closeStore()
		return nil, err
	}
	n.health = devicehealth.NewMonitor(controllerclient.Now(), o.File.Settings)
	return n, nil
}

// openStored restores the node's state from its note (see type note), chooses the new incarnation, and listens for requests.
func (n *Node) openStored(noteText []byte) error {
	stored, err := readNote(noteText)
	if err != nil {
		return fmt.Errorf("%s: node note: %w", n.options.File.DataDir, err)
	}
	if err := n.client.CheckLineage(stored.Lineage); err != nil {
		return err
	}
	n.disk.recordCountAtStart = n.store.RecordCount()
	n.storedLineage = stored.Lineage
	n.unknownNoteFields = stored.unknown
	n.incarnation = max(stored.Incarnation+1, uint64(time.Now().UnixMicro()))
	n.listener, err = net.Listen("tcp", n.options.File.Self.RequestAddress)
	return err
}

// closeStore closes the store if Open fails after opening it. The store closes its file at the end of Store.Run, so closeStore
// calls Run with a channel that is closed already.
func (n *Node) closeStore() {
	stop := make(chan struct{})
	close(stop)
	n.store.Run(stop)
}

// Addr returns the address at which the node listens for requests.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Run runs the node until one of the contexts terminate and kill ends, and then returns nil. When terminate ends, the node hands
// its instances over to other nodes, and Run returns within maxTerminationLeases leases. When kill ends, Run returns at once.
func (n *Node) Run(terminate, kill context.Context) error {
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	stopStore, storeStopped := make(chan struct{}), make(chan struct{})
	go func() {
		n.store.Run(stopStore)
		close(storeStopped)
	}()
	defer func() {
		close(stopStore)
		<-storeStopped
	}()
	defer n.client.Close()
	if err := n.writeNote(ctx, n.storedLineage); err != nil {
		_ = n.listener.Close() // the error does not matter: no connection was accepted
		if errors.Is(err, syscall.ENOSPC) {
			return fmt.Errorf("the disk is full, and nothing was changed: %w", err)
		}
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.serveRequests(ctx) })
	group.Go(func() error { return n.servePeers(ctx) })
	group.Go(func() error { n.powerReader.Run(ctx, powerReadInterval); return nil })
	peerClient := n.options.Network.Client()
	defer peerClient.CloseIdleConnections()
	for to, queue := range n.outgoing {
		for range sendersPerPeer {
			group.Go(func() error { n.sendMessages(ctx, peerClient, to, queue); return nil })
		}
	}
	for range proposers {
		group.Go(func() error { n.runProposer(ctx); return nil })
	}
	group.Go(func() error { return n.followControllers(ctx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-terminate.Done():
			n.terminate(ctx)
			cancel()
		}
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// followControllers loads the assignments. It then renews the lease, watches the assignments and runs the timers until the context
// ends.
func (n *Node) followControllers(ctx context.Context) error {
	if err := n.loadAssignments(ctx); err != nil {
		return nil // the context ended before the assignments were loaded
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := n.client.Watch(ctx, n.onAssignmentChanges)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	group.Go(func() error { n.renewLease(ctx); return nil })
	group.Go(func() error { n.runTimers(ctx); return nil })
	return group.Wait()
}

// runTimers calls replica.Manager.OnTick whenever a timer is due, until the context ends.
func (n *Node) runTimers(ctx context.Context) {
	for {
		n.mu.Lock()
		now := controllerclient.Now()
		next := n.replicas.OnTick(now)
		n.mu.Unlock()
		n.signalChange()
		if !sleep(ctx, max(time.Millisecond, (next-now).Duration())) {
			return
		}
	}
}

// signalChange makes terminate check the node's remaining duties again.
func (n *Node) signalChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// sleep waits for the time span. It returns false if the context ended first.
func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
