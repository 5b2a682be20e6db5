package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/internal/peertransport"
	"silvercove/internal/tick"
)

const (
	maxPings     = 16                     // under way at once
	leaveTimeout = 500 * time.Millisecond // for a goodbye to be heard
)

// gossip is the library as an Agent uses it. Its calls may block; none is made with the agent's lock held.
type gossip interface {
	Ping(name string) (time.Duration, error)                       // for the length of a probe's timeout at most
	Broadcast(name string, record []byte)                          // to all, in place of an earlier one of the name
	Reconnect(name string)                                         // the kept connection may be lost
	Leave(timeout time.Duration)                                   // says goodbye
	Close()                                                        // and waits for its goroutines
	Sync(ctx context.Context, names []string, every time.Duration) // whole states, with those that are not heard
}

// gossipEvents is what the library calls.
type gossipEvents interface {
	onRecord(raw []byte)
	records() [][]byte
	onUp(name string)
	onDown(name string, left bool)
}

// Agent is the fleet's members as one process sees them. Its methods are safe for concurrent use, and none but Run waits
// for other processes.
type Agent struct {
	net        *peertransport.Network
	onChange   func(Member)
	startedAt  time.Time
	library    gossip
	changed    chan struct{}
	superseded chan struct{}

	mu           sync.Mutex // guards all below
	table        *Table
	broadcastSeq uint64          // sequence of the own record that was broadcast last
	pinging      map[string]bool // members with a ping under way
}

// Open makes an agent for the processes that a file names; Run has to be called. set has fleet.silence. onChange, if any,
// is called for each change of a member's state, on the goroutine of Run.
func Open(net *peertransport.Network, incarnation uint64, startedEmpty bool, set map[string]any, onChange func(Member)) (*Agent, error) {
	self := net.Self()
	own := Record{Name: self.Name, Role: self.Role, Zone: self.Zone, Incarnation: incarnation, StartedEmpty: startedEmpty}
	var others []Record
	for _, p := range net.Peers("") {
		others = append(others, Record{Name: p.Name, Role: p.Role, Zone: p.Zone})
	}
	a := &Agent{
		net:        net,
		onChange:   onChange,
		startedAt:  time.Now(),
		changed:    make(chan struct{}, 1),
		superseded: make(chan struct{}),
		table:      NewTable(0, own, others, set),
		pinging:    map[string]bool{},
	}
	library, err := newGossip(net, a.table.SilenceTimeout().Duration(), len(others)+1, a)
	if err != nil {
		return nil, err
	}
	a.library = library
	return a, nil
}

// Now is the clock of Member's times.
func (a *Agent) Now() tick.Tick { return tick.FromDuration(time.Since(a.startedAt)) }

// Publish has an own payload of a kind sent to all from now on, in place of an earlier one of that kind. It is an
// error to publish more than MaxKinds kinds or MaxPayloadSize bytes; nothing has changed then.
func (a *Agent) Publish(kind string, data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Publish(kind, data) // sent at the next turn, so that many payloads cost no more than the newest
}

// Members are all members, this process included, by name.
func (a *Agent) Members() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Members(a.Now())
}

// Changed has something once a member's state or payloads have changed. One reader is served.
func (a *Agent) Changed() <-chan struct{} { return a.changed }

// Superseded is closed once a later start of this process's name is known: this one is an old copy, and is to end.
func (a *Agent) Superseded() <-chan struct{} { return a.superseded }

// Run hears and speaks until the context ends, then says goodbye and waits for its goroutines.
func (a *Agent) Run(ctx context.Context) error {
	var group errgroup.Group
	syncCtx, stopSync := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		stopSync()
		a.library.Close()
		_ = group.Wait() // none of the group's functions returns an error
	}()
	var names []string
	for _, p := range a.net.Peers("") {
		names = append(names, p.Name)
	}
	group.Go(func() error {
		a.library.Sync(syncCtx, names, a.table.SilenceTimeout().Duration())
		return nil
	})
	ticker := time.NewTicker(a.table.ProbeInterval().Duration())
	defer ticker.Stop()
	superseded := false
	for {
		select {
		case <-ctx.Done():
			a.leave()
			return nil
		case <-ticker.C:
		}
		t := a.turn()
		a.notify(t.changes)
		if t.superseded && !superseded {
			superseded = true
			close(a.superseded)
		}
		a.broadcastOwn()
		for _, name := range t.targets {
			group.Go(func() error {
				a.ping(name)
				return nil
			})
		}
	}
}

// turnResult is what one turn of Run has to do.
type turnResult struct {
	targets    []string // members to ping
	changes    []Member
	superseded bool
}

// turn advances the table to now, and marks the pings that are begun.
func (a *Agent) turn() turnResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	a.table.Reassess(now)
	a.table.Heartbeat(now)
	targets := slices.DeleteFunc(a.table.ProbeTargets(), func(name string) bool { return a.pinging[name] })
	targets = targets[:min(len(targets), maxPings-len(a.pinging))]
	for _, name := range targets {
		a.pinging[name] = true
	}
	return turnResult{targets: targets, changes: a.table.Changes(), superseded: a.table.Superseded()}
}

// leave says goodbye.
func (a *Agent) leave() {
	a.mu.Lock()
	a.table.Leave()
	a.mu.Unlock()
	a.broadcastOwn()
	a.library.Leave(leaveTimeout)
}

// notify tells of changed members.
func (a *Agent) notify(changes []Member) {
	if len(changes) == 0 {
		return
	}
	a.signalChange()
	if a.onChange == nil {
		return
	}
	for _, m := range changes {
		a.onChange(m)
	}
}

// ping probes one member, and connects to it anew where it does not answer.
func (a *Agent) ping(name string) {
	took, err := a.library.Ping(name)
	a.mu.Lock()
	delete(a.pinging, name)
	if err != nil {
		a.table.RecordTimeout(a.Now(), name)
	} else {
		a.table.RecordReply(a.Now(), name, tick.FromDuration(took))
	}
	a.mu.Unlock()
	if err != nil {
		a.library.Reconnect(name)
	}
}

// broadcastOwn passes the own record on if it is newer than what was broadcast.
func (a *Agent) broadcastOwn() {
	a.mu.Lock()
	name, sequence, raw := a.table.self.Name, a.table.self.Sequence, a.table.OwnRecord()
	changed := sequence != a.broadcastSeq
	a.broadcastSeq = sequence
	a.mu.Unlock()
	if changed {
		a.library.Broadcast(name, raw)
	}
}

func (a *Agent) signalChange() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// onRecord merges a record that was received, and broadcasts it if it is new.
func (a *Agent) onRecord(raw []byte) {
	a.mu.Lock()
	err := a.table.Merge(a.Now(), raw)
	a.mu.Unlock()
	if err != nil {
		return
	}
	a.signalChange()
	if name := nameOf(raw); name != "" {
		a.library.Broadcast(name, raw)
	}
}

// records are all records that are known.
func (a *Agent) records() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Records()
}

// onUp is called when the library holds a member to be alive.
func (a *Agent) onUp(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.MarkUp(a.Now(), name)
}

// onDown is called when the library holds a member to be dead, or to have left.
func (a *Agent) onDown(name string, left bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.MarkDown(a.Now(), name, left)
}
