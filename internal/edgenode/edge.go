// Package edgenode is the process of an edge unit in a fleet: it takes commands as any unit does, keeps its lease, follows
// where instances run, and exchanges copies and effects with other edge units. What it may do is decided by
// handover.Owner, how strong it is by strength.Unit; it decides nothing itself.
package edgenode

import (
	"context"
	"encoding/json"
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

// Bounds of one process.
const (
	mostConns = 1024 // connections for commands
	mostSteps = 1024 // entries on their way to the keepers; of each instance there is one at most
	mostSends = 256  // messages that wait for one other unit; what is beyond is as if lost
	senders   = 4    // messages under way to one other unit at a time
	steppers  = 16
	mostWait  = time.Minute // of one command, whatever it says
	leaving   = 10          // leases; a unit that is told to end has its instances handed on within this, then ends
)

// Options are what an edge unit is made of.
type Options struct {
	File *fleet.File
	Net  *peertransport.Network
	Log  zerolog.Logger
	Seed uint64
}

// Node is one edge unit.
type Node struct {
	o        Options
	self     string
	run      uint64
	lease    tick.Tick
	client   *controllerclient.Client
	store    *instancestore.Store
	commands net.Listener
	reader   *devicepower.Reader
	sends    map[string]chan replica.Message
	steps    chan placement.Operation
	kick     chan struct{} // the lease is to be asked for at once
	moved    chan struct{} // something may have changed that the end waits for

	mu       sync.Mutex
	owner    *replica.Manager // nil before the first places are known
	strength *devicehealth.Monitor
	report   devicehealth.Report
	asks     map[*replica.Request]chan replica.Response
	waits    map[uint64]chan replica.Message // of other units' calls
	mark     uint64
	line     controllerclient.Lineage // that the owner's places are of
	noted    controllerclient.Lineage // on disk
	began    uint64                   // records that the disk had taken at the start, 0 without a disk
	judged   bool                     // whether it was put back is known
	wasBack  bool
	settled  bool                    // what is written counts
	most     uint64                  // the greatest count that the keepers told
	more     placement.UnknownFields // beside it
	records  []replica.Log
	ends     bool
	lost     string // why the lease is not renewed, as last logged
	busy     int    // commands under way
}

// note is what the store keeps beside instances.
type note struct {
	Run  uint64                   `json:"run"`
	Line controllerclient.Lineage `json:"line"`
	more placement.UnknownFields  // what a later version added
}

// Open reads the unit's disk and listens for commands.
func Open(o Options) (*Node, error) {
	lease, _ := o.File.Set["fleet.lease"].(float64)
	e := &Node{o: o, self: o.File.Self.Name, lease: tick.Tick(lease * float64(tick.Second)),
		client: controllerclient.New(o.Net, o.File.Set, o.Seed), sends: map[string]chan replica.Message{},
		steps: make(chan placement.Operation, mostSteps), kick: make(chan struct{}, 1), moved: make(chan struct{}, 1),
		reader: devicepower.Open(o.File.Power), asks: map[*replica.Request]chan replica.Response{},
		waits: map[uint64]chan replica.Message{}}
	for _, p := range o.Net.Peers("edge") {
		e.sends[p.Name] = make(chan replica.Message, mostSends)
	}
	var text []byte
	var err error
	if e.store, e.records, text, err = instancestore.Open(o.File.Data, func(s string) { o.Log.Warn().Msg(s) }); err != nil {
		return nil, err
	}
	var n note
	if len(text) > 0 {
		if n.more, err = placement.UnmarshalKeepingUnknown(text, &n); err != nil {
			e.closeStore()
			return nil, fmt.Errorf("%s: its note: %w", o.File.Data, err)
		}
	}
	if err := e.client.CheckLineage(n.Line); err != nil {
		e.closeStore()
		return nil, err
	}
	e.began = e.store.RecordCount()
	e.noted, e.more, e.run = n.Line, n.more, max(n.Run+1, uint64(time.Now().UnixMicro()))
	if e.commands, err = net.Listen("tcp", o.File.Self.Commands); err != nil {
		e.closeStore()
		return nil, err
	}
	e.strength = devicehealth.NewMonitor(controllerclient.Now(), o.File.Set)
	return e, nil
}

func (e *Node) closeStore() {
	stop := make(chan struct{})
	close(stop)
	e.store.Run(stop)
}

// Commands is where the unit listens for commands.
func (e *Node) Commands() net.Addr { return e.commands.Addr() }

// Run works until leave ends, then has its instances handed on and ends within ten leases; or until now ends, then at
// once. The peers' connections are the caller's, and have to outlast it.
func (e *Node) Run(leave, now context.Context) error {
	ctx, cancel := context.WithCancel(now)
	defer cancel()
	stop, stored := make(chan struct{}), make(chan struct{})
	go func() { e.store.Run(stop); close(stored) }()
	defer func() { close(stop); <-stored }()
	defer e.client.Close()
	if err := e.writeNote(ctx, note{Run: e.run, Line: e.noted}); err != nil {
		_ = e.commands.Close()
		if errors.Is(err, syscall.ENOSPC) {
			return fmt.Errorf("the disk is full, and nothing was changed: %w", err)
		}
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.serve(ctx) })
	group.Go(func() error { return e.answerPeers(ctx) })
	group.Go(func() error { e.reader.Run(ctx, time.Second); return nil })
	client := e.o.Net.Client()
	defer client.CloseIdleConnections()
	for to, queue := range e.sends {
		for range senders {
			group.Go(func() error { e.send(ctx, client, to, queue); return nil })
		}
	}
	for range steppers {
		group.Go(func() error { e.step(ctx); return nil })
	}
	group.Go(func() error {
		if err := e.begin(ctx); err != nil {
			return nil // ended before a keeper answered
		}
		inner, ctx := errgroup.WithContext(ctx)
		inner.Go(func() error { return quiet(ctx, e.client.Watch(ctx, e.told)) })
		inner.Go(func() error { e.renew(ctx); return nil })
		inner.Go(func() error { e.alarm(ctx); return nil })
		return inner.Wait()
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-leave.Done():
			e.leave(ctx)
			cancel()
		}
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

func quiet(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (e *Node) writeNote(ctx context.Context, n note) error {
	text, err := placement.MarshalWithUnknown(n, e.more)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	e.store.SetNote(text, func(err error) { done <- err })
	select {
	case err = <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin learns what the keepers count on this unit for, before they know of this run.
func (e *Node) begin(ctx context.Context) error {
	for {
		p, err := e.client.Assignments(ctx, 0)
		if err == nil {
			e.mu.Lock()
			e.line = p.Lineage
			e.owner = replica.NewManager(host{e}, controllerclient.Now(), replica.ConfigFrom(e.self, e.run, e.o.File.Set),
				replica.Start{Logs: e.records, Assignments: p.Assignments, Version: p.Version})
			e.records = nil
			e.mu.Unlock()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		e.o.Log.Warn().Str("why", err.Error()).Msg("no places")
		if !pause(ctx, e.lease.Duration()) {
			return ctx.Err()
		}
	}
}

func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// told takes in news of places.
func (e *Node) told(changes controllerclient.AssignmentChanges) {
	version, places, gone, whole := changes.Version, changes.Assignments, changes.Deleted, changes.Complete
	e.mu.Lock()
	defer e.mu.Unlock()
	now := controllerclient.Now()
	if line := e.client.Lineage(); whole && line.Generation > e.line.Generation {
		e.line = line
		e.owner.OnPlacementRebuilt(now, places, version)
		return
	}
	for _, p := range places {
		e.owner.OnAssignment(now, p)
	}
	if whole {
		there := map[string]bool{}
		for _, p := range places {
			there[p.Instance] = true
		}
		for _, name := range e.owner.KnownInstances() {
			if !there[name] {
				gone = append(gone, name)
			}
		}
	}
	for _, name := range gone {
		e.owner.OnInstanceDeleted(now, name)
	}
	e.owner.OnPlacementVersion(now, version)
	e.stir()
}

func (e *Node) stir() {
	select {
	case e.moved <- struct{}{}:
	default:
	}
}

// renew keeps the lease: each third of it, and at once when the report changes.
func (e *Node) renew(ctx context.Context) {
	every := time.NewTicker(e.lease.Duration() / 3)
	defer every.Stop()
	var used time.Duration
	back := false // its build, as the keepers told last
	since := time.Now()
	for {
		report, born := e.strong(&used, &since), time.Now()
		text, err := json.Marshal(report)
		if err == nil {
			var answer controllerclient.LeaseResponse
			var sent tick.Tick
			e.mu.Lock()
			doubts := e.owner.UnverifiedCopies(controllerclient.MaxUnverified)
			e.mu.Unlock()
			limit, cancel := context.WithTimeout(ctx, e.lease.Duration())
			answer, sent, err = e.client.RequestLease(limit, controllerclient.LeaseRequest{Node: e.self, Incarnation: e.run, Report: text,
				Commands: e.commands.Addr().String(), Zone: e.o.File.Self.Zone, SoftwareVersion: e.o.File.Build, RollingBack: back,
				StartedAtMS: int64(e.run / 1000), RecordCount: e.store.RecordCount(), Unverified: doubts})
			cancel()
			if err == nil && answer.Granted {
				back = answer.RollingBack
				e.mu.Lock()
				e.disk(answer, doubts)
				if answer.Lineage == e.line { // else places were rebuilt, and are told first
					e.owner.OnLease(controllerclient.Now(), sent+e.lease, answer.AssignmentsVersion)
				}
				e.lost = ""
				line := e.client.Lineage()
				changed := line != e.noted
				e.noted = line
				e.mu.Unlock()
				if changed {
					_ = e.writeNote(ctx, note{Run: e.run, Line: line}) // a full disk: the line is learned anew after a restart
				}
			}
		}
		if err != nil && ctx.Err() == nil && err.Error() != e.lost {
			e.lost = err.Error()
			e.o.Log.Warn().Str("event", "lease").Str("why", "not renewed: "+e.lost).Int64("ms", time.Since(born).Milliseconds()).Send()
		}
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		case <-e.kick:
		}
	}
}

// disk takes in what a lease says of the unit's disk. It is called with the lock held.
func (e *Node) disk(a controllerclient.LeaseResponse, told []replica.UnverifiedCopy) {
	if !e.judged {
		e.judged = true
		e.wasBack = e.began < a.RecordCount && e.began > 0
		e.owner.OnDiskChecked(controllerclient.Now(), e.wasBack)
	}
	e.owner.OnUnverifiedReported(controllerclient.Now(), told[:min(a.AcceptedUnverified, len(told))])
	if e.most = max(e.most, a.RecordCount); !e.settled && e.owner.Verified() {
		e.settled = true
		e.store.ConfirmCurrent(e.most, func(err error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.settled = err == nil; e.settled { // else it is tried again with the next lease
				if e.wasBack {
					e.o.Log.Info().Str("event", "disk").Str("why", "what it lacked is settled").Send()
				}
				e.renews()
			}
		})
	}
}

// renews has the lease asked for at once.
func (e *Node) renews() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// strong feeds the strength's decision with what there is and tells its report.
func (e *Node) strong(used *time.Duration, since *time.Time) devicehealth.Report {
	readings := e.reader.Latest()
	var u syscall.Rusage
	load := 0.0
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		all := time.Duration(u.Utime.Nano() + u.Stime.Nano())
		if span := time.Since(*since); *used > 0 && span > 0 {
			load = float64(all-*used) / float64(span)
		}
		*used, *since = all, time.Now()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := controllerclient.Now()
	for _, r := range readings {
		e.strength.AddReading(now, r)
	}
	n, size := 0, 0
	for _, h := range e.owner.Copies(now) {
		if h.IsPrimary {
			n, size = n+1, size+h.Size
		}
	}
	e.strength.SetInstances(now, n, size)
	e.strength.SetLoad(now, min(1, load), min(1, load))
	r := e.strength.Assess(now)
	if r.State != e.report.State {
		why := ""
		if len(r.Reasons) > 0 {
			why = r.Reasons[0]
		}
		e.o.Log.Info().Str("event", "strength").Str("from", string(e.report.State)).Str("state", string(r.State)).Str("why", why).Send()
	}
	e.report = r
	return r
}

func (e *Node) alarm(ctx context.Context) {
	for {
		e.mu.Lock()
		now := controllerclient.Now()
		next := e.owner.OnTick(now)
		e.mu.Unlock()
		e.stir()
		if !pause(ctx, max(time.Millisecond, (next-now).Duration())) {
			return
		}
	}
}

// leave tells that the unit ends, and waits until the keepers count on it for nothing, ten leases at the most.
func (e *Node) leave(ctx context.Context) {
	e.mu.Lock()
	e.ends = true
	e.strength.SetTerminating(controllerclient.Now())
	e.mu.Unlock()
	e.renews()
	e.o.Log.Info().Str("event", "leaves").Str("why", "told to end").Send()
	ctx, cancel := context.WithTimeout(ctx, leaving*e.lease.Duration())
	defer cancel()
	var holds context.Context // once nothing is owned, copies are waited for two leases more: whoever owns goes on without
	for {
		owns, counted := false, false
		e.mu.Lock()
		if e.owner != nil {
			for _, h := range e.owner.Copies(controllerclient.Now()) {
				owns = owns || h.IsPrimary
				counted = counted || h.IsReplica
			}
		}
		busy := e.busy > 0
		e.mu.Unlock()
		if !owns && !counted && !busy {
			return
		}
		if !owns && holds == nil {
			var stop context.CancelFunc
			holds, stop = context.WithTimeout(ctx, 2*e.lease.Duration())
			defer stop()
		}
		over := ctx.Done()
		if holds != nil && !owns {
			over = holds.Done()
		}
		select {
		case <-over:
			if owns {
				e.o.Log.Warn().Str("event", "leaves").Str("why", "ends with instances that nobody took").Send()
			}
			return
		case <-e.moved:
		}
	}
}

// host is what the owner's decision acts through; it is called with the lock held and blocks nowhere.
type host struct{ *Node }

// Send queues a message to another unit, or brings an answer to the call that waits for it.
func (h host) Send(to string, m replica.Message) {
	if m.ReplyTo != 0 {
		if w := h.waits[m.ReplyTo]; w != nil {
			delete(h.waits, m.ReplyTo)
			w <- m
		}
		return
	}
	select {
	case h.sends[to] <- m:
	default: // nobody of this name, or too much waits: as if lost
	}
}

// Propose queues an entry for the keepers; what is beyond the queue is as if lost.
func (h host) Propose(e placement.Operation) {
	select {
	case h.steps <- e:
	default:
	}
}

// Respond ends a command.
func (h host) Respond(c *replica.Request, a replica.Response) {
	if w := h.asks[c]; w != nil {
		delete(h.asks, c)
		w <- a
	}
}

func (h host) AppendEntry(name string, x replica.LogEntry) {
	h.store.Append(name, x, h.kept(name, x.Index))
}

func (h host) TruncateLog(name string, seq uint64) { h.store.Truncate(name, seq, h.kept(name, seq)) }

func (h host) ResetLog(name string, base, sum uint64) {
	h.store.Reset(name, base, sum, h.kept(name, base))
}

func (h host) DeleteLog(name string) { h.store.Delete(name, h.kept(name, 0)) }

func (h host) kept(name string, seq uint64) func(error) {
	return func(err error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if err != nil {
			h.owner.OnDiskError(controllerclient.Now(), name, err)
			return
		}
		h.owner.OnDurable(controllerclient.Now(), name, seq)
	}
}

// Notify logs an event.
func (h host) Notify(x replica.Event) {
	if x.Kind == "doubts" {
		h.renews() // so that the keepers know
	}
	l := h.o.Log.Info()
	if x.Kind == "refused" {
		l = h.o.Log.Debug()
	}
	l = l.Str("event", x.Kind)
	for name, v := range map[string]string{"instance": x.Instance, "from": x.From, "to": x.To, "why": x.Reason} {
		if v != "" {
			l = l.Str(name, v)
		}
	}
	if x.Epoch > 0 {
		l = l.Uint64("epoch", x.Epoch)
	}
	if x.Kind == "stops" {
		l = l.Int64("late_ms", x.SinceLeaseEnd.Duration().Milliseconds())
	}
	l.Send()
}

// step brings entries to the keepers.
func (e *Node) step(ctx context.Context) {
	for {
		var x placement.Operation
		select {
		case <-ctx.Done():
			return
		case x = <-e.steps:
		}
		limit, cancel := context.WithTimeout(ctx, e.lease.Duration())
		p, err := e.client.Propose(limit, x)
		cancel()
		var no *controllerclient.RefusalError
		if errors.As(err, &no) && no.Assignment != nil {
			p = *no.Assignment
		}
		e.mu.Lock()
		if p.Instance != "" {
			e.owner.OnAssignment(controllerclient.Now(), p)
		}
		if err != nil {
			e.owner.OnProposalRefused(controllerclient.Now(), x, err)
		}
		e.mu.Unlock()
		e.stir()
	}
}
