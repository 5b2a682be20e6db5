// Package membership keeps who of a fleet lives, where, and how old what is known of it is: Table, which decides by what
// was heard and missed, and Agent, which hears it over internal/peertransport by a library's gossip and probes.
//
// A member is told apart that is dead; that this process cannot reach, while its records still come by others; that is
// slow; that was started again, with its storage or without (a larger Incarnation, StartedEmpty); and an old copy that
// came back (a smaller Incarnation), whose records are refused.
//
// How to drive a Table: Merge takes records; RecordReply and RecordTimeout take the results of probes of ProbeTargets;
// MarkDown and MarkUp take the library's view. Call Reassess, Heartbeat and ProbeTargets each ProbeInterval. Changes are
// the members whose state has changed.
//
// Files: table.go, record.go (what members say of themselves), liveness.go (how a member stands), probing.go (whom to ask
// and how often to speak), agent.go and incarnation.go (one process's member), gossip.go, transport.go and packets.go
// (the library and its connections).
//
// Kind: state (see docs/architecture.md)
package membership

import (
	"cmp"
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// Member is a process of the fleet as it is seen here. Times are by the clock that Table's methods are called with.
type Member struct {
	Name, Role, Zone string
	Incarnation      uint64 // 0: nothing was heard of it yet
	StartedEmpty     bool   // this incarnation began without what an earlier one kept
	State            State
	StateSince       tick.Tick
	LastHeard        tick.Tick         // when the last sign of it came, by an answer or by others
	RoundTrip        tick.Tick         // the median of its last answers; 0: none yet
	Payloads         map[string][]byte // by kind
}

// entry is what is known of one member.
type entry struct {
	Member
	sequence uint64
	raw      []byte    // its record as it came
	recordAt tick.Tick // when that came
	left     bool

	hasAnswered  bool
	answeredAt   tick.Tick // its last answer
	missedProbes int       // probes in a row without an answer
	missedSince  tick.Tick // the first of them
	roundTrips   []tick.Tick
	markedDown   bool // by the library, until a sign after that
	markedDownAt tick.Tick

	flapping flapping
}

// Table is what one process knows of the fleet. It has no clock, I/O or goroutine, and is not safe for concurrent use.
type Table struct {
	self    Record
	silence tick.Tick
	entries map[string]*entry
	byName  []*entry // in order

	nextTarget   int // the next one to probe in turn
	heartbeatDue tick.Tick
	lastSentAt   tick.Tick         // when the own record was last sent
	unsent       map[string][]byte // own payloads that are not in the record yet
	superseded   bool
	changes      []Member // since Changes was called
}

// defaultSilence is the setting fleet.silence where it is missing, in seconds.
const defaultSilence = 1

// NewTable knows of others only that they are configured. set has fleet.silence, in seconds.
func NewTable(now tick.Tick, self Record, others []Record, set map[string]any) *Table {
	silence, ok := set["fleet.silence"].(float64)
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
	t.nextTarget = int(self.Incarnation % uint64(len(t.byName))) // not all processes ask the same one first
	return t
}

// SilenceTimeout is that of the settings.
func (t *Table) SilenceTimeout() tick.Tick { return t.silence }

// Superseded reports whether a later start of this process's name is known: this one is an old copy then, and should end.
func (t *Table) Superseded() bool { return t.superseded }

// other is the entry of a member that is not this process, nil if there is none.
func (t *Table) otherEntry(name string) *entry {
	if name == t.self.Name {
		return nil
	}
	return t.entries[name]
}

// Member is a member as it is known. Its Payloads are not to be written into.
func (t *Table) Member(name string) (m Member, known bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Members are all members, this one included, by name. They are the caller's own.
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

// Changes are the members whose state has changed since it was called last, as they stood then.
func (t *Table) Changes() []Member {
	changes := t.changes
	t.changes = nil
	return changes
}

// ownPayloads are the own payloads as they will be sent.
func (t *Table) ownPayloads() map[string][]byte {
	all := maps.Clone(t.self.Payloads)
	maps.Copy(all, t.unsent)
	return all
}
