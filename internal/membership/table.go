// Package members keeps who of a fleet lives, where, and how old the news is: Table, which is told what was heard and
// missed, and Board, which hears it over internal/peertransport by a library's gossip and probes.
//
// Told apart: one that is dead; one that is cut off from this process, while its news still comes by others; one that
// is slow; one that was started again, with its memory or without (a larger Run, Fresh); and an old copy that came
// back (a smaller Run), whose news is refused.
//
// Kind: state
package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"silvercove/internal/tick"
)

// State is how a member stands in the sight of this process.
type State string

// The states of a member.
const (
	StateAlive       State = "alive"
	StateSuspect     State = "suspect" // it does not answer this process, and no news of it has come since
	StateUnreachable State = "cut"     // it does not answer this process, but others pass on what it tells
	StateSlow        State = "slow"    // its answers take an eighth of the silence that is let pass, or more
	StateDead        State = "dead"
	StateLeft        State = "left" // it ended on purpose
)

// RecordVersion of records as this program writes them. What a later one adds is passed on as it is.
const RecordVersion = 1

// Limits of what is kept.
const (
	MaxKinds       = 8    // of news of one member
	MaxPayloadSize = 512  // bytes of one kind of news
	MaxRecordSize  = 8192 // bytes of a record as it is passed on
)

// Record is what a member tells of itself. The one of the largest Run, and of that the largest Number, is the newest.
type Record struct {
	Version      int               `json:"v"`
	Name         string            `json:"name"`
	Role         string            `json:"role"`
	Zone         string            `json:"zone"`
	Incarnation  uint64            `json:"run"`             // of its process; a later start has a larger one
	Sequence     uint64            `json:"number"`          // of this record within the run
	StartedEmpty bool              `json:"fresh,omitempty"` // the run began without what an earlier one kept
	Left         bool              `json:"left,omitempty"`
	Payloads     map[string][]byte `json:"news,omitempty"` // by kind
}

// Member is a process of the fleet as it is seen here. Times are by the clock that Table's methods are called with.
type Member struct {
	Name, Role, Zone string
	Incarnation      uint64 // 0: nothing was heard of it yet
	StartedEmpty     bool
	State            State
	StateSince       tick.Tick // of its state
	LastHeard        tick.Tick // when the last sign of it came, by an answer or by others
	RoundTrip        tick.Tick // of its answers, the median of the last ones; 0: none yet
	Payloads         map[string][]byte
}

// Why a record is refused.
var (
	ErrUnknownMember  = errors.New("no member of this name")
	ErrOldIncarnation = errors.New("an old copy: a later start of it is known")
	ErrStale          = errors.New("not newer than what is known")
	ErrMalformed      = errors.New("makes no sense")
)

const (
	trips      = 5  // answers whose times are kept
	suspects   = 2  // pings in a row without an answer, until which nothing is said
	round      = 8  // pings within a silence, at least
	large      = 32 // members; of more, news comes as many times less often as they are more
	flaps      = 3  // returns that are believed at once
	calm       = 20 // silences within which half of the returns are forgotten
	mostDwell  = 32 // silences that one who returns all the time has to be well
	mostAsked  = 4  // of the others, in one turn
	retried    = 8  // of those who do not answer, asked again in one turn
	paced      = 20 // times that changed news may be told within a period
	rejoined   = 8. // exchanges of whole states within a silence, by all that live together
	mostRejoin = 4. // by one
)

// entry is what is known of one member.
type entry struct {
	Member
	number    uint64
	raw       []byte // its record as it came
	left      bool
	answered  tick.Tick // the last one
	asked     bool      // ever
	missed    int       // pings in a row
	lost      tick.Tick // the first of them
	told      tick.Tick // its newest record
	down      bool      // by the library, until a sign after
	downAt    tick.Tick
	trips     []tick.Tick // the last ones
	returns   float64     // into alive, forgotten by time
	returned  tick.Tick   // the last of them
	goodSince tick.Tick
	good      bool
	known     bool // it was well before
}

// Table is what one process knows of the fleet. It has no clock, I/O or goroutine.
type Table struct {
	self    Record
	silence tick.Tick
	all     map[string]*entry
	order   []*entry // by name
	next    int      // whom to ask
	beat    tick.Tick
	spoke   tick.Tick         // the own record was told last
	fresh   map[string][]byte // own news that are not in it yet
	outrun  bool
	changed []Member // since Changes was called
}

// NewTable knows of others only that they are in the file. set has fleet.silence, in seconds.
func NewTable(now tick.Tick, self Record, others []Record, set map[string]any) *Table {
	seconds, ok := set["fleet.silence"].(float64)
	if !ok || seconds <= 0 {
		seconds = 1
	}
	self.Version, self.Sequence, self.Payloads = RecordVersion, 1, map[string][]byte{}
	t := &Table{self: self, silence: max(1, tick.Tick(seconds*float64(tick.Second))), all: map[string]*entry{},
		beat: now, spoke: now, fresh: map[string][]byte{}}
	for _, r := range append([]Record{self}, others...) {
		if t.all[r.Name] != nil {
			continue
		}
		e := &entry{Member: Member{Name: r.Name, Role: r.Role, Zone: r.Zone, State: StateSuspect, StateSince: now, LastHeard: now}}
		t.all[r.Name] = e
		t.order = append(t.order, e)
	}
	slices.SortFunc(t.order, func(a, b *entry) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	me := t.all[self.Name]
	me.Incarnation, me.StartedEmpty, me.State = self.Incarnation, self.StartedEmpty, StateAlive
	t.next = int(self.Incarnation % uint64(len(t.order))) // not all processes ask the same one first
	return t
}

// SilenceTimeout is that of the settings.
func (t *Table) SilenceTimeout() tick.Tick { return t.silence }

// period is how often a member's news is told at least: the more members, the less often.
func (t *Table) period() tick.Tick { return t.silence * tick.Tick(1+len(t.order)/large) }

// Publish keeps own news of a kind, to be told from the next Beat on that may tell it. What is too large is refused and
// changes nothing.
func (t *Table) Publish(kind string, data []byte) error {
	old, ok := t.self.Payloads[kind]
	if later, there := t.fresh[kind]; there {
		old, ok = later, true
	}
	if ok && bytes.Equal(old, data) {
		return nil
	} else if !ok && len(t.news()) >= MaxKinds || len(data) > MaxPayloadSize || kind == "" || len(kind) > 64 {
		return fmt.Errorf("news of kind %q, %d bytes: at most %d kinds of %d bytes", kind, len(data), MaxKinds, MaxPayloadSize)
	}
	t.fresh[kind] = bytes.Clone(data)
	return nil
}

// news are the own ones as they will be told.
func (t *Table) news() map[string][]byte {
	all := maps.Clone(t.self.Payloads)
	maps.Copy(all, t.fresh)
	return all
}

// merge has the own record say what was told, under a new number.
func (t *Table) merge(now tick.Tick) {
	maps.Copy(t.self.Payloads, t.fresh)
	clear(t.fresh)
	t.self.Sequence++
	t.spoke, t.beat = now, now+t.period()
}

// Leave tells that this process ends on purpose.
func (t *Table) Leave() {
	t.self.Left = true
	t.merge(t.spoke)
}

// OwnRecord is this process's record, as it is to be passed on.
func (t *Table) OwnRecord() []byte {
	text, _ := json.Marshal(t.self)
	return text
}

// Heartbeat tells whether the own record is to be told again: a period after it was told last, so that others know that this
// process lives, or with changed news a paced part of that. Guards against news that change at each look of a relay, which
// every member passes on: with 300 relays that is all that the links between members carry. With few members it is never
// waited for; with 1,000 news come up to 1.6 silences late.
func (t *Table) Heartbeat(now tick.Tick) bool {
	if now < t.beat && (len(t.fresh) == 0 || now < t.spoke+t.period()/paced) {
		return false
	}
	t.merge(now)
	return true
}

// Superseded tells whether a later start of this process's name is known: this one is an old copy then, and should end.
func (t *Table) Superseded() bool { return t.outrun }

// Merge takes in a record that came by any way, and tells whether it is worth passing on; else why not.
//
// An older Run is refused: a process's disk or machine that was put back, or a slow message of before a restart. Where a
// clock that Run was drawn from was set back, a true restart looks like that too, and stays refused until its Run is
// drawn above; Run counts on where the process has a disk.
func (t *Table) Merge(now tick.Tick, raw []byte) error {
	r, err := DecodeRecord(raw)
	if err != nil {
		return err
	}
	return t.MergeDecoded(now, r, bytes.Clone(raw))
}

// DecodeRecord reads a record that came.
func DecodeRecord(raw []byte) (r Record, err error) {
	if len(raw) > MaxRecordSize || json.Unmarshal(raw, &r) != nil {
		return Record{}, ErrMalformed
	}
	return r, nil
}

// MergeDecoded is Told of a record that was read from raw; both are kept, and are not to be written into.
func (t *Table) MergeDecoded(now tick.Tick, r Record, raw []byte) error {
	e := t.all[r.Name]
	switch {
	case e == nil:
		return ErrUnknownMember
	case r.Incarnation == 0 || r.Version < 1 || len(r.Payloads) > MaxKinds:
		return ErrMalformed
	case r.Name == t.self.Name:
		switch {
		case r.Incarnation > t.self.Incarnation:
			t.outrun = true
		case r.Incarnation == t.self.Incarnation && r.Sequence > t.self.Sequence:
			t.self.Sequence = r.Sequence + 1 // two processes of one run, or a message of its own that it has forgotten
		}
		return ErrStale
	case r.Incarnation < e.Incarnation:
		return ErrOldIncarnation
	case r.Incarnation == e.Incarnation && (r.Sequence < e.number || r.Sequence == e.number && bytes.Compare(raw, e.raw) <= 0):
		return ErrStale
	}
	if r.Incarnation > e.Incarnation { // it was started again: what was measured of the one before says nothing
		e.missed, e.trips, e.down = 0, nil, false
	}
	e.Role, e.Zone, e.Incarnation, e.StartedEmpty, e.Payloads, e.left = r.Role, r.Zone, r.Incarnation, r.StartedEmpty, r.Payloads, r.Left
	e.number, e.raw = r.Sequence, raw
	e.told, e.LastHeard = now, max(e.LastHeard, now)
	t.judge(now, e)
	return nil
}

// Records are all records that are known, the own one first.
func (t *Table) Records() [][]byte {
	all := [][]byte{t.OwnRecord()}
	for _, e := range t.order {
		if e.raw != nil {
			all = append(all, e.raw)
		}
	}
	return all
}

// RecordAck takes in that a member answered this process after so long.
func (t *Table) RecordAck(now tick.Tick, name string, took tick.Tick) {
	e := t.all[name]
	if e == nil || name == t.self.Name {
		return
	}
	e.answered, e.asked, e.missed, e.LastHeard = now, true, 0, max(e.LastHeard, now)
	if e.trips = append(e.trips, took); len(e.trips) > trips {
		e.trips = e.trips[1:]
	}
	sorted := slices.Sorted(slices.Values(e.trips))
	e.RoundTrip = sorted[len(sorted)/2]
	t.judge(now, e)
}

// RecordTimeout takes in that a member did not answer this process.
func (t *Table) RecordTimeout(now tick.Tick, name string) {
	e := t.all[name]
	if e == nil || name == t.self.Name {
		return
	}
	if e.missed++; e.missed == 1 {
		e.lost = now
	}
	t.judge(now, e)
}

// MarkDown takes in that the fleet holds a member to be dead, or left; a later sign of it is believed.
func (t *Table) MarkDown(now tick.Tick, name string, left bool) {
	if e := t.all[name]; e != nil && name != t.self.Name {
		e.down, e.downAt = true, now
		e.left = e.left || left
		t.judge(now, e)
	}
}

// MarkUp takes in that the fleet holds it to be alive.
func (t *Table) MarkUp(now tick.Tick, name string) {
	if e := t.all[name]; e != nil && name != t.self.Name {
		e.down = false
		t.judge(now, e)
	}
}

// Reassess judges all members anew, as time has passed.
func (t *Table) Reassess(now tick.Tick) {
	for _, e := range t.order {
		if e.Name != t.self.Name {
			t.judge(now, e)
		}
	}
}

// ProbeTargets tells whom to ask now, and is called each Silence/round: those who have not answered, and some others in turn, each
// within four silences, or of more than 96 within as many more as they are more, so that it costs no more.
func (t *Table) ProbeTargets() (names []string) {
	for _, e := range t.order {
		if e.missed > 0 && e.State != StateDead && !e.left && len(names) < retried {
			names = append(names, e.Name)
		}
	}
	for range min(1+len(t.order)/(4*round), mostAsked, len(t.order)) {
		e := t.order[t.next%len(t.order)]
		if t.next++; e.Name != t.self.Name && !slices.Contains(names, e.Name) {
			names = append(names, e.Name)
		}
	}
	return names
}

// ProbeInterval is how often Ask, Pass and Beat are due.
func (t *Table) ProbeInterval() tick.Tick { return max(1, t.silence/round) }

// judge says how a member stands.
func (t *Table) judge(now tick.Tick, e *entry) {
	silent := e.missed >= suspects && now-max(e.answered, e.lost-t.silence) >= t.silence // unanswered for so long
	state := StateAlive
	switch {
	case e.left:
		state = StateLeft
	case e.down && e.LastHeard <= e.downAt, now-e.LastHeard > 3*t.period() && (e.missed >= suspects || e.Incarnation == 0):
		state = StateDead
	case e.Incarnation == 0 && !e.asked:
		state = StateSuspect
	case silent && e.told > e.lost:
		state = StateUnreachable
	case silent:
		state = StateSuspect
	case e.RoundTrip >= t.silence/8 && e.RoundTrip > 0 && len(e.trips) > trips/2:
		state = StateSlow
	}
	// A member that comes back again and again is held back, each time longer, so that what others decide by it does not
	// swing with it. Another cause of the same sight is a link at the edge of its time; it costs a well one its part.
	well := state == StateAlive || state == StateSlow
	if well && !e.good {
		e.goodSince = now
		if e.known {
			for now-e.returned > calm*t.silence && e.returns > 0.5 {
				e.returns, e.returned = e.returns/2, e.returned+calm*t.silence
			}
			e.returns, e.returned = min(e.returns+1, 16), now
		}
		e.known = true
	}
	e.good = well
	if over := e.returns - flaps; well && over > 0 {
		dwell := t.silence * tick.Tick(min(mostDwell, 1<<min(int(over), 10)))
		if now-e.goodSince < dwell {
			state = StateSuspect
		}
	}
	if state != e.State {
		e.State, e.StateSince = state, now
		t.changed = append(t.changed, e.Member)
		if len(t.changed) > 4*len(t.order) {
			t.changed = t.changed[1:] // nobody takes them
		}
	}
}

// Member is a member as it is known. Its News are not to be written into.
func (t *Table) Member(name string) (m Member, known bool) {
	e := t.all[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// SyncCount tells with how many of those that are held to be gone a process exchanges whole states within a silence; it
// lives itself, and so many do as it sees it. drawn is from 0 to 1. All that live together do it rejoined times: a split
// that heals is over by one that gets through, and whole states of large fleets are large. Guards against every member of
// one side asking every one of the other when a zone is back; hurts where links lose most of what is sent, as few try.
func SyncCount(alive, gone int, drawn float64) int {
	each := min(mostRejoin, rejoined/float64(max(1, alive)))
	return min(gone, int(each+drawn))
}

// Changes are the members whose state has changed since it was called last, as they stood then.
func (t *Table) Changes() []Member {
	c := t.changed
	t.changed = nil
	return c
}

// Members are all members, this one included, by name.
func (t *Table) Members(now tick.Tick) []Member {
	all := make([]Member, len(t.order))
	for i, e := range t.order {
		all[i] = e.Member
		if e.Name == t.self.Name {
			all[i].LastHeard, all[i].Payloads = now, t.news()
		}
		all[i].Payloads = maps.Clone(all[i].Payloads)
	}
	return all
}
