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
	maxPings     = 16                     // maximum number of pings under way at once
	leaveTimeout = 500 * time.Millisecond // maximum time to deliver the leave message
)

// gossip is the interface of the gossip library that an Agent uses. The calls of the interface may block; none is made
// with the agent's lock held.
type gossip interface {
	Ping(name string) (time.Duration, error)                       // probes a member; blocks for the probe timeout at most
	Broadcast(name string, record []byte)                          // sends a record to all members; replaces a queued record of the same member
	Reconnect(name string)                                         // closes the open connection to a member, which may be broken, so that the next packet uses a new one
	Leave(timeout time.Duration)                                   // tells the other members that this process leaves
	Close()                                                        // shuts the library down and waits for its goroutines
	Sync(ctx context.Context, names []string, every time.Duration) // exchanges all records with members that the library does not consider alive
}

// gossipEvents receives the callbacks of the library.
type gossipEvents interface {
	onRecord(raw []byte)
	records() [][]byte
	onUp(name string)
	onDown(name string, left bool)
}

// Agent tracks the fleet's members for one process. Its methods are safe for concurrent use, and only Run waits for
// other processes.
type Agent struct {
	net        *peertransport.Network
	onChange   func(Member)
	startedAt  time.Time
	library    gossip
	changed    chan struct{}
	superseded chan struct{}

	mu           sync.Mutex // guards the fields below
	table        *Table
	broadcastSeq uint64          // sequence number of the last broadcast record of this process
	pinging      map[string]bool // members with a ping under way
}

// Open makes an agent for the processes that the configuration file names; the caller must then call Run. settings may
// have fleet.silence, the silence timeout in seconds. onChange, if not nil, is called for each change of a member's
// state, on the goroutine of Run.
func Open(net *peertransport.Network, incarnation uint64, startedEmpty bool, settings map[string]any, onChange func(Member)) (*Agent, error) {
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
		table:      NewTable(0, own, others, settings),
		pinging:    map[string]bool{},
	}
	library, err := newGossip(net, a.table.SilenceTimeout().Duration(), len(others)+1, a)
	if err != nil {
		return nil, err
	}
	a.library = library
	return a, nil
}

// Now returns the current time of the clock that the times of a Member refer to.
func (a *Agent) Now() tick.Tick { return tick.FromDuration(time.Since(a.startedAt)) }

// Publish sets this process's payload of a kind, which is sent to all members from now on. It returns an error if the
// payload has more than MaxPayloadSize bytes, or if the kind is new and payloads of MaxKinds kinds are already
// published. After an error the published payloads stay as they are.
func (a *Agent) Publish(kind string, data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Run sends the payload in a later round. If several payloads of a kind are published before that round, only the
	// newest is sent.
	return a.table.Publish(kind, data)
}

// Members returns all members, this process included, sorted by name.
func (a *Agent) Members() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Members(a.Now())
}

// Changed returns a channel that receives a value after the state or the payloads of any member have changed. The
// channel serves one reader.
func (a *Agent) Changed() <-chan struct{} { return a.changed }

// Superseded returns a channel that is closed once this process learns that a process with the same name was started
// later. This process is then an old copy and must end.
func (a *Agent) Superseded() <-chan struct{} { return a.superseded }

// Run probes members and sends records until the context ends. Then it announces that this process leaves, and waits
// for its goroutines.
func (a *Agent) Run(ctx context.Context) error {
	var group errgroup.Group
	syncCtx, stopSync := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		stopSync()
		a.library.Close()
		_ = group.Wait() // always nil: no function in the group returns an error
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
		result := a.runRound()
		a.notify(result.changes)
		if result.superseded && !superseded {
			superseded = true
			close(a.superseded)
		}
		a.broadcastOwn()
		for _, name := range result.targets {
			group.Go(func() error {
				a.ping(name)
				return nil
			})
		}
	}
}

// roundResult holds the results of one call of runRound. Run acts on these results.
type roundResult struct {
	targets    []string // names of the members to ping in this round
	changes    []Member
	superseded bool
}

// runRound advances the table to the current time, and chooses the members to ping, which it adds to the field pinging.
func (a *Agent) runRound() roundResult {
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
	return roundResult{targets: targets, changes: a.table.Changes(), superseded: a.table.Superseded()}
}

// leave announces to the other members that this process leaves.
func (a *Agent) leave() {
	a.mu.Lock()
	a.table.Leave()
	a.mu.Unlock()
	a.broadcastOwn()
	a.library.Leave(leaveTimeout)
}

// notify reports changed members to Changed and onChange.
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

// ping probes one member. If the member does not answer, ping closes the open connection to the member.
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

// broadcastOwn broadcasts this process's record if the record is newer than the one that was broadcast last.
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

// onRecord merges a received record, and broadcasts the record if it is new.
func (a *Agent) onRecord(raw []byte) {
	a.mu.Lock()
	err := a.table.Merge(a.Now(), raw)
	a.mu.Unlock()
	if err != nil {
		return
	}
	a.signalChange()
	if name := recordName(raw); name != "" {
		a.library.Broadcast(name, raw)
	}
}

// records returns all known records in encoded form.
func (a *Agent) records() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Records()
}

// onUp is called when the library considers a member alive.
func (a *Agent) onUp(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.MarkUp(a.Now(), name)
}

// onDown is called when the library considers a member dead, or when the member has left.
func (a *Agent) onDown(name string, left bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.MarkDown(a.Now(), name, left)
}
