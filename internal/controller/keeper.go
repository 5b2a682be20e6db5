// Package controller is a keeper of a fleet: one of three or five processes, or a single one, that agree where each
// instance runs (placement.Table, stepped by a log that raft agrees on), lease the units their right to act
// (leases.Book), and have handover's planner decide at the one that leads.
//
// What is agreed outlives a keeper on its disk; leases do not, and are counted as renewed by a new leader.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
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
	Net     *peertransport.Network // its Run is the caller's
	Data    string                 // folder
	Set     map[string]any
	Log     zerolog.Logger
	Planner func(host Host, now tick.Tick) Planner           // nil: handover's
	Wrap    func(Store) Store                                // of faults, for tests; nil: none
	Now     func() tick.Tick                                 // nil: keepers.Now
	Free    func(dir string) (free, total uint64, err error) // bytes of a folder's disk; nil: as statfs says

	room  *room  // nil: newRoom's
	crowd *crowd // nil: of mostConns and mostOfOne
}

// Bounds, against a crowd of callers.
const (
	mostSteps   = 256     // in one entry of the log
	mostQueue   = 1 << 17 // steps of the planner that wait
	mostWaiters = 4096    // calls that wait for news
	mostJoins   = 64      // entries of the log that a disk let in anew may lack when it gets its vote
)

// Of the log: a snapshot after so many entries, and at most so many are left for those that lag.
const (
	snapEntries, snapEvery = 8192, 30 * time.Second
	trailing               = 2048
)

// Controller is one keeper.
type Controller struct {
	Options
	self    string
	peers   []string // other keepers of the file, sorted
	spans   leases.Timings
	disk    *disk
	machine *machine
	bell    *wakeup.Waker
	waiters chan struct{}
	ended   chan error // the first reason why it can't go on
	raft    atomic.Pointer[raft.Raft]
	store   *guarded // since raft is set
	confirm *confirmer
	client  *controllerclient.Client
	queued  chan struct{} // rings the proposer
	joining sync.Mutex
	least   uint64 // term in which an emptied disk was let in; set before raft runs

	mu    sync.Mutex // of what follows; nothing is waited for under it
	lead  *lead
	why   string // it waits
	ill   string // its disk
	space controllerclient.DiskSpace
	marks map[string]controllerclient.LogPosition
}

// lead is a span of leading.
type lead struct {
	term    uint64
	book    *leases.Lessor
	planner Planner
	claims  *devicehealth.Verifier
	marks   *leases.RecordCounts
	back    map[uint16]bool                           // builds by whether the platform takes them back, as relays told since this lead began
	says    map[string]stand                          // by relay, the last that it said of a build
	units   map[string]*controllerclient.LeaseRequest // the last of each
	version uint64                                    // of units
	changed chan struct{}                             // closed at the next change of units
	queue   []queued
	pending map[string]int // entries under way that rest on a unit's lease being over
	settled chan struct{}  // closed when fewer are
	over    chan struct{}  // closed when the lead is
	reasons []string
	few     bool // there were too few voters to grant a lease, when it was looked at last
}

type queued struct {
	entry placement.Operation
	why   error // it is refused before it is proposed
}

// Open reads the keeper's disk. What stands in the way of a start is said here, or by Run.
func Open(o Options) (*Controller, error) {
	if o.Now == nil {
		o.Now = controllerclient.Now
	}
	if o.Planner == nil {
		o.Planner = func(h Host, now tick.Tick) Planner {
			return migration.NewPlanner(h, now, uint64(now), migration.ConfigFrom(o.Set))
		}
	}
	if o.Free == nil {
		o.Free = freeOf
	}
	if o.room == nil {
		o.room = newRoom()
	}
	if o.crowd == nil {
		o.crowd = &crowd{most: mostConns, mostOf: mostOfOne}
	}
	k := &Controller{Options: o, self: o.Net.Self().Name, spans: leases.TimingsFor(leases.ConfigFrom(o.Set)), bell: wakeup.New(),
		waiters: make(chan struct{}, mostWaiters), ended: make(chan error, 1), queued: make(chan struct{}, 1),
		marks: map[string]controllerclient.LogPosition{}}
	for _, p := range o.Net.Peers("keeper") {
		k.peers = append(k.peers, p.Name)
	}
	slices.Sort(k.peers)
	k.crowd.of, k.crowd.keeper = map[string]int{}, func(name string) bool { return slices.Contains(k.peers, name) }
	k.machine = newMachine(k.told, k.fatal)
	k.confirm = newConfirmer(k)
	k.client = controllerclient.New(o.Net, o.Set, uint64(o.Now()))
	var err error
	k.disk, err = openDisk(o.Data, o.Net.Fleet(), k.self)
	return k, err
}

// fatal ends the keeper for a reason.
func (k *Controller) fatal(err error) {
	select {
	case k.ended <- err:
	default:
	}
}

// Run serves until the context ends, hands the lead over then, and waits for its goroutines.
func (k *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		select {
		case err := <-k.ended:
			return err
		case <-ctx.Done():
			return nil
		}
	})
	calls, stop := context.WithCancel(context.WithoutCancel(ctx)) // calls are answered until the lead is handed over
	defer stop()
	served := make(chan error, 1)
	go func() { served <- k.serve(calls) }()
	group.Go(func() error { return k.agree(ctx) })
	err := group.Wait()
	stop()
	return errors.Join(err, <-served)
}

// agree takes part in the agreed log: it waits until this disk may, runs raft, and leads while raft says so.
func (k *Controller) agree(ctx context.Context) error {
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: lines{k.Log}, DisableTime: true})
	if k.Log.GetLevel() <= zerolog.DebugLevel {
		logger.SetLevel(hclog.Debug)
	}
	for {
		store, err := k.disk.openLog()
		if err == nil && k.Wrap != nil {
			store = k.Wrap(store)
		}
		var snaps raft.SnapshotStore
		var last controllerclient.LogPosition
		if err == nil {
			snaps, last, err = k.disk.snapshots(store, logger)
		}
		if err == nil && k.disk.now().Begun && last.Index == 0 {
			err = fmt.Errorf("%w: %s is empty", ErrCorrupt, k.disk.path(fileLog))
		}
		old := false
		if err == nil {
			old, err = k.born(ctx, last)
		}
		if err == nil && !old {
			return k.run(ctx, store, snaps, last, logger)
		}
		if store != nil {
			err = errors.Join(err, store.Close())
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case old:
			k.Log.Warn().Str("event", "aside").Msg("an old disk: other keepers have seen a later one, or more on it")
		case errors.Is(err, ErrCorrupt) && len(k.peers) > 0:
			// What it has confirmed is lost, so it counts as emptied: the others have to let it in again.
			k.Log.Error().Err(err).Str("event", "aside").Msg("the folder's log is set aside")
		default:
			return err
		}
		if err := k.disk.aside(); err != nil {
			return err
		}
	}
}

// run runs raft on a disk that may take part, until the context ends.
func (k *Controller) run(ctx context.Context, store Store, snaps raft.SnapshotStore, last controllerclient.LogPosition, logger hclog.Logger) error {
	k.store = &guarded{Store: store, applied: k.machine.applied, fatal: k.fatal, pause: k.spans.ConfirmTimeout.Duration(), last: last,
		closed: make(chan struct{}), full: k.full}
	trans := marking{raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: stream{k}, MaxPool: 3,
		MaxRPCsInFlight: 1, Timeout: k.spans.ProposalTimeout.Duration(), Logger: logger}), k}
	set := raft.DefaultConfig()
	set.LocalID, set.Logger = raft.ServerID(k.self), logger
	set.HeartbeatTimeout, set.ElectionTimeout = k.spans.HeartbeatTimeout.Duration(), k.spans.HeartbeatTimeout.Duration()
	set.LeaderLeaseTimeout, set.CommitTimeout = k.spans.HeartbeatTimeout.Duration(), k.spans.CommitInterval.Duration()
	set.MaxAppendEntries = mostSteps // BatchApplyCh stays off: what is in that queue at the end is never answered
	set.SnapshotThreshold, set.SnapshotInterval, set.TrailingLogs = k.room.every, snapEvery, k.room.Leaves()
	set.NoLegacyTelemetry = true
	r, err := k.start(set, trans, snaps, last)
	if err != nil {
		return errors.Join(err, trans.Close(), store.Close())
	}
	k.raft.Store(r)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return k.bell.Run(work, k.due) })
	group.Go(func() error { k.propose(work); return nil })
	group.Go(func() error { k.confirm.run(work); return nil })
	group.Go(func() error { k.join(work, r); return nil })
	group.Go(func() error { k.looks(work, r); return nil })
	group.Go(func() error {
		for {
			select {
			case <-work.Done():
				return nil
			case leads := <-r.LeaderCh(): // a lead that ended and began again shows as another begin
				if k.follows(); leads {
					k.leads(r)
				}
			}
		}
	})
	<-ctx.Done()
	if r.State() == raft.Leader && len(k.peers) > 0 {
		if err := r.LeadershipTransfer().Error(); err != nil {
			k.Log.Warn().Err(err).Msg("the lead could not be handed over")
		}
	}
	k.follows()
	down := r.Shutdown()
	err = trans.Close()
	close(k.store.closed)
	err = errors.Join(err, down.Error())
	stop()
	return errors.Join(err, group.Wait(), store.Close())
}

// start begins the log on a disk of the birth, and starts raft.
func (k *Controller) start(set *raft.Config, trans marking, snaps raft.SnapshotStore, last controllerclient.LogPosition) (*raft.Raft, error) {
	if m := k.disk.now(); m.Found && !m.Begun {
		if last.Index == 0 {
			var first raft.Configuration
			for _, name := range slices.Sorted(maps.Keys(m.Birth.Stores)) {
				first.Servers = append(first.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
			}
			if err := raft.BootstrapCluster(set, k.store, k.store, snaps, trans, first); err != nil {
				return nil, err
			}
		}
		m.Begun = true
		if err := k.disk.put(m); err != nil {
			return nil, err
		}
	}
	// An emptied disk is in no term: without this it would follow whichever keeper is the first to send entries, such as
	// one that led before a rebuild and has just been woken.
	if term, err := k.store.GetUint64(keyTerm); k.least > 0 && (err != nil || term < k.least) {
		if err := k.store.SetUint64(keyTerm, k.least); err != nil {
			return nil, err
		}
	}
	return raft.NewRaft(set, k.machine, k.store, k.store, snaps, trans)
}

// full notes what the disk says.
func (k *Controller) full(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	k.mu.Lock()
	was := k.ill
	k.ill = text
	k.mu.Unlock()
	switch {
	case text == was:
	case text != "":
		k.Log.Error().Str("event", "disk").Msg(text)
	default:
		k.Log.Info().Str("event", "disk").Msg("the disk takes entries again")
	}
}

// leads begins a span of leading, once all that earlier leaders had agreed is carried out here.
func (k *Controller) leads(r *raft.Raft) {
	term := r.CurrentTerm()
	if r.Barrier(0).Error() != nil || !is(r, term) {
		return
	}
	if k.machine.line().OriginID == "" {
		if _, err := k.apply(order{Term: term, Birth: k.disk.now().Birth}); err != nil {
			return
		}
	}
	now := k.Now()
	runs := k.machine.runs()
	l := &lead{term: term, book: leases.New(leases.ConfigFrom(k.Set)), units: map[string]*controllerclient.LeaseRequest{}, back: map[uint16]bool{}, says: map[string]stand{}, version: term << 32,
		changed: make(chan struct{}), pending: map[string]int{}, settled: make(chan struct{}), over: make(chan struct{})}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !is(r, term) {
		return
	}
	l.book.OnElected(now, runs)
	l.planner = k.Planner(host{k, l}, now)
	l.claims = devicehealth.NewVerifier()
	l.marks = leases.NewRecordCounts(now, leases.ConfigFrom(k.Set), k.machine.kept())
	k.lead = l
	l.planner.OnElected(now)
	for _, p := range k.machine.all() {
		l.expects(now, p)
		l.planner.OnAssignment(now, p)
	}
	metrics.GetOrCreateCounter("cove_keeper_leads_total").Inc()
	k.Log.Info().Str("event", "leads").Uint64("term", term).Send()
	k.bell.Wake()
}

// is says whether a keeper leads in a term. A lead that was lost and won again is another term.
func is(r *raft.Raft, term uint64) bool { return r.State() == raft.Leader && r.CurrentTerm() == term }

// follows ends a span of leading.
func (k *Controller) follows() {
	k.mu.Lock()
	l := k.lead
	k.lead = nil
	k.mu.Unlock()
	if l != nil {
		close(l.over)
		k.Log.Info().Str("event", "follows").Uint64("term", l.term).Send()
	}
}

// leading is the present lead, nil where another keeper leads. It is called with mu.
func (k *Controller) leading() *lead {
	if l, r := k.lead, k.raft.Load(); l != nil && is(r, l.term) {
		return l
	}
	return nil
}

// due tells the planner what time brought.
func (k *Controller) due() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leading()
	if l == nil {
		return time.Hour // leads rings
	}
	now := k.Now()
	// A rebuilt keeper grants no lease before it has a majority of the file's keepers (confirmer.leads), so none may be
	// counted as over meanwhile: units would be given up that only could not have one.
	if voters, err := k.voters(k.raft.Load()); err != nil || len(voters) < k.majority(voters) {
		l.few = true
		return k.spans.ConfirmTimeout.Duration()
	} else if l.few {
		l.few = false
		l.book.OnElected(now, k.machine.runs())
		l.planner.OnElected(now)
	}
	for _, name := range l.book.Expired(now) {
		metrics.GetOrCreateCounter("cove_keeper_leases_lapsed_total").Inc()
		k.Log.Info().Str("event", "lapsed").Str("unit", name).Msg("its lease is over")
		l.planner.OnLeaseExpired(now, name)
		l.claims.Remove(name)
		l.news()
	}
	next := l.planner.OnTick(now)
	if at, found := l.book.NextExpiry(); found && at < next {
		next = at
	}
	if at, found := l.marks.NextDue(); found && now >= at {
		k.wake()
	} else if found && at < next {
		next = at
	}
	return max(next-now, 1).Duration()
}

// stand is how a relay says that a build stands.
type stand struct {
	build uint16
	back  bool
}

// news says that the units have changed.
func (l *lead) news() {
	l.version++
	close(l.changed)
	l.changed = make(chan struct{})
}

// expects counts on the units of a place.
func (l *lead) expects(now tick.Tick, p placement.Assignment) {
	if p.State != placement.Running {
		return
	}
	for _, name := range append([]string{p.Primary}, p.Replicas...) {
		l.book.ExpectRenewal(now, name)
	}
}

// host is what the planner acts through. It is called with mu.
type host struct {
	k *Controller
	l *lead
}

// errActs refuses an entry that rests on the end of a lease.
var errActs = errors.New("its owner's lease is not over: it may still act")

// lapse: the entry rests on the lease of its By being over.
func lapse(e placement.Operation) bool {
	switch e.Kind {
	case placement.OpFailOver, placement.OpQuarantine, placement.OpDelete:
		return e.Node != ""
	}
	return false
}

// Propose proposes an entry.
func (h host) Propose(e placement.Operation) {
	q := queued{entry: e}
	q.entry.Version = placement.FormatVersion
	if len(h.l.queue) >= mostQueue {
		return // the planner's alarm comes again
	}
	if lapse(e) {
		if q.why = h.l.rest(h.k.Now(), e.Node); q.why != nil {
			h.k.Log.Error().Str("event", "refused").Str("instance", e.Instance).Err(q.why).Send()
		}
	}
	h.l.queue = append(h.l.queue, q)
	h.k.wake()
}

// rest has a unit's lease stay over until settle: it is not granted again before what rests on that is agreed. It
// guards against an owner that comes back while its instance is given to another one. A run that began without the
// copies of the one before, whose lease is over, does not act for what that one owned, and may hold a lease of its own.
func (l *lead) rest(now tick.Tick, unit string) error {
	if _, held := l.book.LeaseEnd(now, unit); held && (l.units[unit] == nil || !l.units[unit].LostCopies) {
		return errActs
	}
	l.pending[unit]++
	return nil
}

func (l *lead) settle(unit string) {
	if l.pending[unit]--; l.pending[unit] <= 0 {
		delete(l.pending, unit)
		close(l.settled)
		l.settled = make(chan struct{})
	}
}

// Log is a word of the planner's.
func (h host) Log(text string) {
	h.l.reasons = append(h.l.reasons, text)
	h.l.reasons = h.l.reasons[max(0, len(h.l.reasons)-16):]
	h.k.Log.Info().Str("event", "plans").Msg(text)
}

func (k *Controller) wake() {
	select {
	case k.queued <- struct{}{}:
	default:
	}
}

// propose has the planner's steps agreed, many at once.
func (k *Controller) propose(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.queued:
		}
		for {
			k.mu.Lock()
			l := k.leading()
			if l == nil {
				k.mu.Unlock()
				break
			}
			marks := l.marks.Due(k.Now())
			if len(l.queue) == 0 && marks == nil {
				k.mu.Unlock()
				break
			}
			some := l.queue[:min(mostSteps, len(l.queue))]
			if l.queue = l.queue[len(some):]; len(l.queue) == 0 {
				l.queue = nil
			}
			k.mu.Unlock()
			o := order{Term: l.term, Kept: marks}
			for _, q := range some {
				if q.why == nil {
					o.Steps = append(o.Steps, q.entry)
				}
			}
			var all []result
			if len(o.Steps) > 0 || marks != nil {
				answer, err := k.apply(o)
				if all, _ = answer.([]result); err != nil && !never(err) {
					continue // what became of it is not known, and this lead is over
				} else if err != nil {
					k.mu.Lock()
					l.marks.Requeue(marks)
					k.mu.Unlock()
				}
				for range len(o.Steps) - len(all) {
					all = append(all, result{err: err})
				}
			}
			k.mu.Lock()
			if k.lead == l {
				now := k.Now()
				for _, q := range some {
					err := q.why
					if err == nil {
						err, all = all[0].err, all[1:]
						if lapse(q.entry) {
							l.settle(q.entry.Node)
						}
					}
					if err != nil {
						l.planner.OnProposalRefused(now, q.entry, err)
					}
				}
			}
			k.mu.Unlock()
			k.bell.Wake()
		}
	}
}

// never says of an error of apply that the order is not agreed, and that the lead may go on: it waited too long, or
// another keeper was about to be handed the lead, which may fail.
func never(err error) bool {
	return errors.Is(err, raft.ErrEnqueueTimeout) || errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// apply has an order agreed. An error says that it may or may not be, but for those of never: it is not.
func (k *Controller) apply(o order) (any, error) {
	o.V = orderVersion
	text, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	r := k.raft.Load()
	if r == nil {
		return nil, raft.ErrNotLeader
	}
	f := r.Apply(text, k.spans.ProposalTimeout.Duration())
	if err := f.Error(); err != nil {
		return nil, err
	}
	if err, is := f.Response().(error); is {
		return nil, err
	}
	return f.Response(), nil
}

// told has what was agreed told to the planner of the leading keeper, and logged.
func (k *Controller) told(steps []placement.Operation, all []result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.leading()
	if l == nil {
		return
	}
	now := k.Now()
	for i, e := range steps {
		if all[i].err != nil {
			continue
		}
		p := all[i].place
		metrics.GetOrCreateCounter(fmt.Sprintf("cove_keeper_steps_total{kind=%q}", e.Kind)).Inc()
		l.expects(now, p)
		l.planner.OnAssignment(now, p)
		switch e.Kind {
		case placement.OpCreate, placement.OpCutOver, placement.OpFailOver, placement.OpReportIncomplete, placement.OpRestart, placement.OpRelease, placement.OpQuarantine,
			placement.OpDelete:
			to := p.Primary
			if to == "" {
				to = string(p.State)
			}
			if e.Kind == placement.OpDelete {
				to = "forgotten"
			}
			k.Log.Info().Str("event", "placed").Str("instance", p.Instance).Uint64("epoch", p.Epoch).Str("from", e.Node).
				Str("to", to).Str("why", e.Reason).Send()
		}
	}
	k.bell.Wake()
}

// lines hands raft's own log lines on.
type lines struct{ log zerolog.Logger }

// Write is one line.
func (l lines) Write(text []byte) (int, error) {
	level, line := zerolog.DebugLevel, strings.TrimSpace(string(text))
	for prefix, is := range map[string]zerolog.Level{"[WARN] ": zerolog.WarnLevel, "[ERROR]": zerolog.WarnLevel} {
		if strings.HasPrefix(line, prefix) { // what raft calls an error is mostly a silent keeper
			level = is
		}
	}
	l.log.WithLevel(level).Str("event", "raft").Msg(line)
	return len(text), nil
}
