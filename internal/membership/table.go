// Package membership tracks which members of a fleet are alive, how they can be reached, and how old that knowledge is.
// Table decides this from received records and from the results of probes. Agent gets the records and the results over
// internal/peertransport, by the gossip and the pings of the memberlist library.
//
// Besides members that are alive, the package distinguishes: a dead member; a member that this process cannot reach
// while other members still pass on its records; a slow member; a member that has restarted, which has a larger
// Incarnation, and StartedEmpty if its stored data was gone; and an old copy of a member, which has a smaller
// Incarnation, and whose records are refused.
//
// How to use a Table: Merge takes records; RecordReply and RecordTimeout take the results of probing the members that
// ProbeTargets returned; MarkDown and MarkUp take the library's view of a member. Call Reassess, Heartbeat and
// ProbeTargets every ProbeInterval. Changes returns the members whose state has changed. Most times derive from the
// silence timeout, the setting fleet.silence: a member that has not answered for that time is suspected.
//
// Files: table.go, record.go (a member's description of itself), liveness.go (the state of a member), probing.go (which
// members to probe, and how often to send records), agent.go (runs the Table of a process), incarnation.go (the
// incarnation of a process), gossip.go, transport.go and packets.go (the library and its connections).
//
// Kind: state (see docs/architecture.md)
package membership

import (
	"cmp"
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// Member is a process of the fleet as this process sees it. Its times are those that the caller passed to Table's
// methods.
type Member struct {
	Name, Role, Zone string
	Incarnation      uint64 // 0 if no record of the member has arrived yet
	StartedEmpty     bool   // whether this incarnation began without the data of an earlier one
	State            State
	StateSince       tick.Tick
	LastHeard        tick.Tick         // when the last answer or record of the member arrived
	RoundTrip        tick.Tick         // median round trip of the last answers; 0 if no answer has arrived yet
	Payloads         map[string][]byte // keyed by kind
}

// entry holds what the table knows about one member.
type entry struct {
	Member
	sequence uint64
	raw      []byte    // the encoded record as it was received
	recordAt tick.Tick // when the record was received
	left     bool

	hasAnswered  bool
	answeredAt   tick.Tick // when the last probe was answered
	missedProbes int       // number of consecutive probes without an answer
	missedSince  tick.Tick // when the first of the missedProbes probes failed
	roundTrips   []tick.Tick
	markedDown   bool // the library considers the member dead; a later answer or record overrides this
	markedDownAt tick.Tick

	flapping flapping
}

// Table holds what one process knows about the fleet. It has no clock, I/O or goroutine, and is not safe for concurrent
// use.
type Table struct {
	self    Record
	silence tick.Tick
	entries map[string]*entry
	byName  []*entry // sorted by name

	nextTarget   int // index of the next member to probe in turn
	heartbeatDue tick.Tick
	lastSentAt   tick.Tick         // when this process's record was last sent
	unsent       map[string][]byte // published payloads that are not yet in this process's record
	superseded   bool
	changes      []Member // changes of state since the last call of Changes
}

// defaultSilence is the silence timeout, in seconds, if the setting fleet.silence is missing.
const defaultSilence = 1

// NewTable makes a table in which all other members are suspect, because nothing but their configuration is known.
// settings may have fleet.silence, the silence timeout in seconds.
func NewTable(now tick.Tick, self Record, others []Record, settings map[string]any) *Table {
	silence, ok := settings["fleet.silence"].(float64)
	if !ok || silence <= 0 {
		silence = defaultSilence
	}
	self.Version, self.Sequence, self.Payloads = RecordVersion, 1, map[string][]byte{}
	t := &Table{
		self:         self,
		silence:      max(1, tick.FromSeconds(silence)),
		entries:      map[string]*entry{},
		heartbeatDue: now,
		lastSentAt:   now,
		unsent:       map[string][]byte{},
	}
	for _, r := range append([]Record{self}, others...) {
		if t.entries[r.Name] != nil {
			continue
		}
		e := &entry{Member: Member{Name: r.Name, Role: r.Role, Zone: r.Zone, State: StateSuspect, StateSince: now,
			LastHeard: now}}
		t.entries[r.Name] = e
		t.byName = append(t.byName, e)
	}
	slices.SortFunc(t.byName, func(a, b *entry) int { return cmp.Compare(a.Name, b.Name) })
	own := t.entries[self.Name]
	own.Incarnation, own.StartedEmpty, own.State = self.Incarnation, self.StartedEmpty, StateAlive
	t.nextTarget = int(self.Incarnation % uint64(len(t.byName))) // the start differs between processes, so that they do not all probe the same member first
	return t
}

// SilenceTimeout returns how long a member may leave probes unanswered before it is suspected (fleet.silence).
func (t *Table) SilenceTimeout() tick.Tick { return t.silence }

// Superseded reports whether a record has shown that a process with the same name was started later. If so, this
// process is an old copy and should end.
func (t *Table) Superseded() bool { return t.superseded }

// otherEntry returns the entry of a member other than this process, or nil if there is no such member.
func (t *Table) otherEntry(name string) *entry {
	if name == t.self.Name {
		return nil
	}
	return t.entries[name]
}

// Member returns the member with a name. The caller must not modify its Payloads.
func (t *Table) Member(name string) (m Member, known bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all members, this process included, sorted by name. The caller may modify the result.
func (t *Table) Members(now tick.Tick) []Member {
	all := make([]Member, len(t.byName))
	for i, e := range t.byName {
		all[i] = e.Member
		if e.Name == t.self.Name {
			all[i].LastHeard, all[i].Payloads = now, t.ownPayloads()
		}
		all[i].Payloads = maps.Clone(all[i].Payloads)
	}
	return all
}

// Changes returns the members whose state has changed since the last call, each as it was right after its change. A
// member whose state has changed repeatedly is returned repeatedly.
func (t *Table) Changes() []Member {
	changes := t.changes
	t.changes = nil
	return changes
}

// ownPayloads returns this process's payloads, including those that are not yet sent.
func (t *Table) ownPayloads() map[string][]byte {
	all := maps.Clone(t.self.Payloads)
	maps.Copy(all, t.unsent)
	return all
}
