package replica

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Bounds of an instance at one unit.
const (
	LogCapacity = 1024      // effects that are kept with their command's ids: one asked for again is answered as at first
	mostPending = 256       // effects and reads that wait for holders
	mostID      = 256       // bytes of a command's id
	mostChunk   = 256 << 10 // bytes of effects in one message
	mostIdle    = 4         // answers that bring nothing on, before it is asked more slowly
	mostReplies = 4         // messages of an owner that wait for the disk
	mostTo      = 256       // bytes of a name in a message
	perEffect   = 64        // bytes that an effect counts beside its body and words
)

// LogEntry is what one command did to an instance. Sum is that of all effects up to it, so that two units that have the
// same Seq and Sum have the same effects.
type LogEntry struct {
	Index     uint64 `json:"seq"`
	Epoch     uint64 `json:"epoch"`
	Node      string `json:"unit"`
	RequestID string `json:"id"`
	Body      []byte `json:"body,omitempty"`
	Checksum  uint64 `json:"sum"`
}

// Size is the bytes that an effect counts in fleet.state.
func (e LogEntry) Size() int { return perEffect + len(e.Node) + len(e.RequestID) + len(e.Body) }

// ChainChecksum is the sum of all effects up to e, after the sum of those before it.
func (e LogEntry) ChainChecksum(before uint64) uint64 {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[:], before)
	binary.LittleEndian.PutUint64(b[8:], e.Index)
	binary.LittleEndian.PutUint64(b[16:], e.Epoch)
	binary.LittleEndian.PutUint32(b[24:], uint32(len(e.Node)))
	binary.LittleEndian.PutUint32(b[28:], uint32(len(e.RequestID)))
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(e.Node)
	_, _ = d.WriteString(e.RequestID)
	_, _ = d.Write(e.Body)
	return d.Sum64()
}

// Log is an instance as a unit has it: its last effects, at most Remembered, and what came before them as a sum.
type Log struct {
	Instance     string     `json:"name"`
	BaseIndex    uint64     `json:"base"` // effects before the first of Effects
	BaseChecksum uint64     `json:"base_sum"`
	Entries      []LogEntry `json:"effects,omitempty"`
}

// LastIndex is the number of all its effects.
func (r *Log) LastIndex() uint64 { return r.BaseIndex + uint64(len(r.Entries)) }

// Checksum is that of all its effects.
func (r *Log) Checksum() uint64 {
	if n := len(r.Entries); n > 0 {
		return r.Entries[n-1].Checksum
	}
	return r.BaseChecksum
}

// LastEpoch is the epoch of its last effect, 0 where that is not kept.
func (r *Log) LastEpoch() uint64 {
	if n := len(r.Entries); n > 0 {
		return r.Entries[n-1].Epoch
	}
	return 0
}

// ChecksumAt is the sum of the first seq effects, where it is still known.
func (r *Log) ChecksumAt(seq uint64) (uint64, bool) {
	switch {
	case seq == r.BaseIndex:
		return r.BaseChecksum, true
	case seq < r.BaseIndex || seq > r.LastIndex():
		return 0, false
	}
	return r.Entries[seq-r.BaseIndex-1].Checksum, true
}

// Continues tells whether an effect is the next one.
func (r *Log) Continues(e LogEntry) bool {
	return e.Index == r.LastIndex()+1 && e.Checksum == e.ChainChecksum(r.Checksum())
}

// Append takes the next effect in, and drops the first where there are more than are remembered.
func (r *Log) Append(e LogEntry) {
	if r.Entries = append(r.Entries, e); len(r.Entries) > LogCapacity {
		r.BaseIndex, r.BaseChecksum = r.BaseIndex+1, r.Entries[0].Checksum
		r.Entries = r.Entries[1:] // the rest is let go of when it grows anew
	}
}

// Truncate leaves the first seq effects, which have to be known.
func (r *Log) Truncate(seq uint64) { r.Entries = slices.Clip(r.Entries[:seq-r.BaseIndex]) }

// Size is the bytes that count in fleet.state.
func (r *Log) Size() (n int) {
	for _, e := range r.Entries {
		n += e.Size()
	}
	return n
}

// What a message between edge units is.
const (
	MessageCatchUp     = "copy"   // effects for a unit that is being brought up
	MessageAppend      = "effect" // effects for a holder; without any it asks what is there
	MessageFinalAppend = "stop"   // the same of an owner that has stopped for a handover
	MessageAck         = "held"   // an answer: what is there, safe from a crash as far as the unit's memory is
	MessageStaleEpoch  = "old"    // an answer: Epoch is known here, and what was sent is of an earlier one
	MessageRejected    = "unfit"  // an answer: Why it isn't taken
)

// Message is one message between edge units. It may be lost, repeated and overtaken.
type Message struct {
	Version             int    `json:"v"`
	Kind                string `json:"kind"`
	Instance            string `json:"name"`
	Epoch               uint64 `json:"epoch"`
	SenderIncarnation   uint64 `json:"own"`           // run of the process that sent it
	ReceiverIncarnation uint64 `json:"run,omitempty"` // run of the process that it is meant for, as last heard; another one only answers

	PrevIndex    uint64     `json:"prev,omitempty"`     // effects before these
	PrevChecksum uint64     `json:"prev_sum,omitempty"` // their sum
	Entries      []LogEntry `json:"effects,omitempty"`
	LastIndex    uint64     `json:"tip,omitempty"` // effects that the owner has
	// Unverified: what there is at the sender may be that of a disk that was put back, and nobody has shown it to be whole. It
	// vouches for nothing. Of an answer also where that is not known yet, or where its sender has no copy at all.
	Unverified bool `json:"doubt,omitempty"`
	// Truncate has what is there after Prev (with Begin: all) give way if it ends with effect Was of sum WasSum: what has
	// changed meanwhile is not touched, so that a late message can't take away what was confirmed after it.
	Truncate         bool   `json:"replace,omitempty"`
	Reset            bool   `json:"begin,omitempty"`
	ReplacedIndex    uint64 `json:"was,omitempty"`
	ReplacedChecksum uint64 `json:"was_sum,omitempty"`

	Index         uint64   `json:"seq,omitempty"` // of an answer: effects that are there
	Checksum      uint64   `json:"sum,omitempty"`
	ChecksumsFrom uint64   `json:"base,omitempty"` // and of Sums, the sums after Base effects and on, where they may differ
	Checksums     []uint64 `json:"sums,omitempty"`
	Reason        string   `json:"why,omitempty"`
	ReplyTo       uint64   `json:"-"` // the receiver's own mark of what is answered; an answer brings it back
}

// Validate tells what is wrong with a message, whatever instances there are.
func (m *Message) Validate() error {
	switch {
	case m.Version > placement.FormatVersion:
		return fmt.Errorf("%w: message %d, this program reads %d", placement.ErrUnsupportedVersion, m.Version, placement.FormatVersion)
	case m.Version < 1 || m.Instance == "" || len(m.Instance) > mostTo || len(m.Reason) > 4*mostTo:
		return fmt.Errorf("%w: a message without version or name, or with words too long", placement.ErrInvalid)
	case !slices.Contains([]string{MessageCatchUp, MessageAppend, MessageFinalAppend, MessageAck, MessageStaleEpoch, MessageRejected}, m.Kind):
		return fmt.Errorf("%w: message %.40q", placement.ErrInvalid, m.Kind)
	case len(m.Checksums) > LogCapacity+1 || len(m.Entries) > LogCapacity:
		return fmt.Errorf("%w: a message of too many effects", placement.ErrInvalid)
	}
	for i, e := range m.Entries {
		if e.Index != m.PrevIndex+1+uint64(i) || e.Epoch > m.Epoch || len(e.RequestID) > mostID || len(e.Node) > mostTo {
			return fmt.Errorf("%w: effect %d of a message that goes on from %d at epoch %d", placement.ErrInvalid, e.Index, m.PrevIndex, m.Epoch)
		}
	}
	return nil
}

// Request is a command at an edge unit.
type Request struct {
	ID       string
	Instance string // of the instance
	Write    bool
	Body     []byte
	Deadline tick.Tick // not begun later, and answered by then
}

// Outcome is how a command ended.
type Outcome uint8

// The ends of a command.
const (
	Rejected      Outcome = iota // it did nothing and never will
	Succeeded                    // its effect is held; of a read: what was read is
	Indeterminate                // its effect may be kept or dropped
	TooLarge                     // it never ran, and would not fit again either
)

// Response is the one answer to a command. Seq, Epoch and Unit are of its effect, or of the last one that was read.
type Response struct {
	Outcome   Outcome
	Index     uint64
	Epoch     uint64
	Node      string
	Detail    string // why, where it is not acked
	LeaseLost bool   // it was not for the unit to go on: its lease was over, or others own the instance now
}

// Event is something for the log and the timelines; the words are those of docs/fleet-failure-design.md.
type Event struct {
	Kind, Instance   string
	Epoch            uint64
	From, To, Reason string
	SinceLeaseEnd    tick.Tick // since its lease was over: the process was not run meanwhile
}

// Host is what an Owner acts through. It must not call back while it is called.
type Host interface {
	Send(to string, m Message)           // to another edge unit; may be lost, repeated, overtaken
	Propose(e placement.Operation)       // to the keepers; its result comes back by Placed, or by Refused, or is lost
	Respond(c *Request, a Response)      // once for each Ask
	AppendEntry(name string, e LogEntry) // to the disk, as are the next three; each ends in Kept or Unkept, in order for an instance
	TruncateLog(name string, seq uint64)
	ResetLog(name string, base, sum uint64) // an instance without effects but for a sum; what was there goes
	DeleteLog(name string)
	Notify(e Event)
}

// Manager is what one edge unit may do at each moment with the instances that it owns, holds or receives.
//
// A unit acts for an instance while its lease runs, the keepers' newest news say that it owns it, and it has what the
// keepers count on. An effect is acked once it is on its own disk and every holder has confirmed it, and the lease,
// looked at after that, still runs.
type Manager struct {
	host     Host
	self     string
	run      uint64
	most     int       // bytes of an instance's state
	lease    tick.Tick // as the file says it
	until    tick.Tick // the lease that runs
	over     tick.Tick // end of the one before
	need     uint64    // version of places that has to be seen before anything is acted for
	seen     uint64
	all      map[string]*instance
	order    []*instance // by name, those that concern this unit
	busy     []*instance // by name, those of them that time may change something about
	suffered tick.Tick   // until then the disk is taken to be full
	disk     disk
}

// disk is what is known of the unit's disk.
type disk uint8

const (
	unsure disk = iota // whether it was put back before this run
	newest             // no later state of it is known
	back               // it was
)

// instance is one instance at this unit.
type instance struct {
	name   string
	place  placement.Assignment
	known  bool // place has been told
	in     bool // in order
	stirs  bool // in busy
	calm   bool // nothing was left to do when it was looked at last
	orphan bool // rec is there, and the keepers knew no such instance at the start
	has    bool // rec is there, though it may be without effects
	rec    Log
	size   int
	ids    map[string]uint64
	ops    []op // asked of the disk, first one first
	bad    bool // the disk failed: what is left in ops fails too
	kept   uint64

	mine   bool      // it was owned at this run's start; until Disk is told nobody knows whether it is whole
	doubt  bool      // the copy is of before this run's start, and no other unit has shown since that it is whole
	shown  bool      // a holder has shown it to an owner
	lacks  bool      // the keepers count on effects that this run does not have
	fenced uint64    // an epoch that another unit told of
	synced uint64    // change at which the copy was said to be whole
	copied tick.Tick // when the copy last got on, or began
	acts   bool      // it may
	serves bool      // and takes commands; not between stop and switch
	tells  string    // a doubt that the keepers are to be told of
	proves []string  // holders that have not yet shown, after a restart, that they have nothing more
	links  map[string]*holder
	waits  []wait
	told   uint64 // effects that may have been acked; no copy is whole without them
	held   uint64 // effects that every holder has confirmed
	step   placement.Operation
	stepAt tick.Tick // 0: none is under way
	reply  []Message // answers to owners that wait for the disk; To in Why
	touch  tick.Tick
}

type op struct {
	seq  uint64 // effects once it is done
	undo Log
	has  bool
	gone bool // forgets
}

// wait is a command that is answered once seq effects are held.
type wait struct {
	ask *Request
	seq uint64
}

// holder is another unit as the owner knows it.
type holder struct {
	run   uint64
	known bool   // it has answered in this run
	next  uint64 // effects that it has, as the owner takes it
	match uint64 // effects that it confirmed
	out   bool   // a message is under way
	sent  tick.Tick
	since tick.Tick // when it last got on, or had nothing to do
	vouch uint8     // this run of it is to be told so often what there is, so that it knows whether its copy is whole
	cut   bool      // what it has after next has to give way, with whole: all
	whole bool
	was   uint64
	wasS  uint64
	idle  int // answers in a row that brought nothing on
	why   string
}

// NewManager is a unit after its start: run numbers its processes and grows. records are what its disk kept. places are
// the keepers' as they stood at a version before the first lease was asked for in this run: what they count on this unit
// for was given to an earlier run, and has to be among the records.
func NewManager(host Host, now tick.Tick, self string, run uint64, set map[string]any, records []Log,
	places []placement.Assignment, version uint64) *Manager {
	o := &Manager{host: host, self: self, run: run, all: map[string]*instance{}, seen: version, most: 1 << 20,
		lease: tick.Second}
	if v, ok := set["fleet.state"].(float64); ok {
		o.most = int(v)
	}
	if v, ok := set["fleet.lease"].(float64); ok {
		o.lease = tick.Tick(v * float64(tick.Second))
	}
	for _, rec := range records {
		r := o.get(rec.Instance)
		r.take(rec)
		r.has, r.kept, r.told, r.orphan = true, rec.LastIndex(), rec.LastIndex(), true
	}
	slices.SortFunc(places, func(a, b placement.Assignment) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, p := range places {
		if o.all[p.Instance] == nil && !o.concerns(p) {
			continue
		}
		r := o.get(p.Instance)
		r.place, r.known, r.touch, r.copied, r.orphan = p, true, now, now, false
		mine := p.Primary == o.self
		if (mine || slices.Contains(p.Replicas, o.self)) && p.EverServed && (!r.has || p.Index > r.rec.LastIndex()) {
			r.lacks = true
			host.Notify(Event{Kind: "lacks", Instance: p.Instance, Epoch: p.Epoch, Reason: "no whole copy outlived the restart"})
		}
		if mine {
			r.proves = slices.Clone(p.Replicas)
		}
		r.mine = mine
		r.doubt = !mine && p.EverServed && slices.Contains(p.Replicas, o.self)
	}
	for _, name := range slices.Sorted(maps.Keys(o.all)) {
		o.track(o.all[name])
	}
	return o
}

// concerns tells whether a place names this unit.
func (o *Manager) concerns(p placement.Assignment) bool {
	return p.Primary == o.self || p.CopyTarget == o.self || slices.Contains(p.Replicas, o.self)
}

func (o *Manager) get(name string) *instance {
	r := o.all[name]
	if r == nil {
		r = &instance{name: name, rec: Log{Instance: name}}
		o.all[name] = r
	}
	return r
}

// track has an instance among those that concern this unit, or no longer; of others their places alone are known. What
// nothing is left of is let go of.
func (o *Manager) track(r *instance) {
	if !r.known && !r.has && len(r.ops) == 0 && o.all[r.name] == r {
		delete(o.all, r.name)
	}
	if in := r.has || len(r.ops) > 0 || r.names(o.self); in != r.in {
		r.in = in
		i, _ := slices.BinarySearchFunc(o.order, r.name, func(r *instance, n string) int { return cmp.Compare(r.name, n) })
		if in {
			o.order = slices.Insert(o.order, i, r)
			return
		}
		o.order = slices.Delete(o.order, i, i+1)
		r.ids, r.links = nil, nil
	}
}

// names tells whether the keepers' place has a unit in some part.
func (r *instance) names(unit string) bool {
	return r.known && (r.place.Primary == unit || r.place.CopyTarget == unit || slices.Contains(r.place.Replicas, unit))
}

// take replaces what is there.
func (r *instance) take(rec Log) {
	r.rec, r.size = rec, rec.Size()
	r.ids = make(map[string]uint64, len(rec.Entries))
	for _, e := range rec.Entries {
		r.ids[e.RequestID] = e.Index
	}
}

func (r *instance) add(e LogEntry) {
	if len(r.rec.Entries) == LogCapacity {
		first := r.rec.Entries[0]
		r.size -= first.Size()
		if r.ids[first.RequestID] == first.Index {
			delete(r.ids, first.RequestID)
		}
	}
	r.rec.Append(e)
	r.size += e.Size()
	if r.ids == nil {
		r.ids = map[string]uint64{}
	}
	r.ids[e.RequestID] = e.Index
}

// disk notes that something is asked of the disk; it is called before r.rec changes.
func (r *instance) disk(after uint64, forgets bool) {
	undo := r.rec
	undo.Entries = slices.Clip(undo.Entries) // what is added to one is not seen in the other
	r.ops = append(r.ops, op{seq: after, undo: undo, has: r.has, gone: forgets})
}

func (o *Manager) begin(r *instance, base, sum uint64) {
	r.disk(base, false)
	r.take(Log{Instance: r.name, BaseIndex: base, BaseChecksum: sum})
	r.has = true
	o.host.ResetLog(r.name, base, sum)
}

func (o *Manager) cut(r *instance, seq uint64) {
	r.disk(seq, false)
	rec := r.rec
	rec.Truncate(seq)
	r.take(rec)
	o.host.TruncateLog(r.name, seq)
}

func (o *Manager) keep(r *instance, e LogEntry) {
	r.disk(e.Index, false)
	r.add(e)
	o.host.AppendEntry(r.name, e)
}

func (o *Manager) forget(r *instance) {
	if !r.has {
		return
	}
	r.disk(0, true)
	r.take(Log{Instance: r.name})
	r.has = false
	o.host.DeleteLog(r.name)
}

// OnLease tells that the unit's lease runs until a moment, by its own clock. places is the keepers' version when it was
// granted: after a gap nothing is acted for before news up to it have come, as others may own by then.
func (o *Manager) OnLease(now, until tick.Tick, places uint64) {
	if now >= o.until {
		o.ended(now)
		o.need = places
		if now < until {
			o.host.Notify(Event{Kind: "lease", Reason: "gained"})
		}
	}
	gained := o.until == 0
	if o.until = max(o.until, until); !gained { // of the others nothing changes by a lease that goes on
		o.settleBusy(now)
		return
	}
	for _, r := range o.order {
		o.settle(now, r)
	}
}

// ended stops everything where the lease is over.
func (o *Manager) ended(now tick.Tick) {
	if o.until == 0 || now < o.until {
		return
	}
	o.over, o.until = o.until, 0
	o.host.Notify(Event{Kind: "lease", Reason: "lost"})
	for _, r := range o.order {
		o.settle(now, r)
	}
}

// OnDiskChecked tells, before the first lease of this run, whether the unit's disk was put back: the keepers have heard of more on it
// than there was at the start. What there is of each instance is doubted then until a unit that does not doubt its own
// has shown it to be whole. It guards against effects that were acked and are gone without a word where owner and holder
// were put back, or an owner that was alone; it hurts where a count is known that is not of this disk (a file that an
// earlier program wrote anew between two runs of this one): doubts are told for nothing.
func (o *Manager) OnDiskChecked(now tick.Tick, wasBack bool) {
	if o.disk = newest; !wasBack {
		return
	}
	o.disk = back
	o.host.Notify(Event{Kind: "disk", Reason: "it was put back: the keepers have heard of more on it than there is"})
	for _, r := range o.order {
		r.doubt = r.doubt || r.mine && r.place.EverServed && r.names(o.self)
		r.mine = false
		if r.doubt && r.place.Primary == o.self && !r.acts {
			r.proves = slices.Clone(r.place.Replicas)
		}
	}
}

// Verified tells whether nothing is doubted any more that this disk has, nor to be told: what is written from now on counts.
func (o *Manager) Verified() bool {
	return o.disk == newest || o.disk == back && !slices.ContainsFunc(o.order, func(r *instance) bool {
		return r.tells != "" || r.doubt && r.names(o.self)
	})
}

// UnverifiedCopies are instances that the unit goes on with though they may lack effects, most at once, by name: the keepers are to
// be told. Doubted says that they were.
func (o *Manager) UnverifiedCopies(most int) (some []UnverifiedCopy) {
	for _, r := range o.order {
		if r.tells != "" && len(some) < most {
			some = append(some, UnverifiedCopy{Instance: r.name, Epoch: r.place.Epoch, Index: r.rec.LastIndex(), Reason: r.tells})
		}
	}
	return some
}

// OnUnverifiedReported see Doubts.
func (o *Manager) OnUnverifiedReported(now tick.Tick, some []UnverifiedCopy) {
	for _, d := range some {
		if r := o.all[d.Instance]; r != nil && r.tells == d.Reason {
			r.tells = ""
			o.vouches(now, r)
		}
	}
}

// vouches has each holder told what there is: it may be relied on now.
func (o *Manager) vouches(now tick.Tick, r *instance) {
	for _, h := range r.links {
		if h.vouch = 1; h.out {
			h.vouch = 2 // the first answer is to a message from before
		}
	}
	r.calm = false
	o.settle(now, r)
}

// OnPlacementVersion tells that all news of places up to a version have been told by Placed and Gone.
func (o *Manager) OnPlacementVersion(now tick.Tick, version uint64) {
	waits := o.seen < o.need
	if o.seen = max(o.seen, version); !waits || o.seen < o.need {
		return
	}
	for _, r := range o.order {
		o.settle(now, r)
	}
}

// OnAssignment tells where an instance runs: news, or the result of a Step. What is older than what is known changes nothing.
// What concerns other units alone is not kept: a unit's memory grows with what it has, not with the fleet.
func (o *Manager) OnAssignment(now tick.Tick, p placement.Assignment) {
	if o.all[p.Instance] == nil && !o.concerns(p) {
		return
	}
	r := o.get(p.Instance)
	old := r.place
	if r.known && (p.Epoch < old.Epoch || p.Epoch == old.Epoch && p.Revision <= old.Revision) {
		return
	}
	o.adopt(r)
	proves := len(r.proves) > 0 && !r.shown
	if r.known && (old.Epoch != p.Epoch || old.Primary != p.Primary) {
		o.quit(now, r, "another epoch")
		clear(r.links)
		r.held, r.proves = 0, nil
	}
	if old.Epoch != p.Epoch {
		r.told = r.rec.LastIndex()
	}
	r.place, r.known, r.touch = p, true, now
	r.stepAt = 0
	if old.CopyTarget != p.CopyTarget {
		r.copied = now
		if old.CopyTarget != "" && old.CopyTarget != p.Primary && !slices.Contains(p.Replicas, old.CopyTarget) {
			delete(r.links, old.CopyTarget)
		}
	}
	if p.Primary != o.self && !slices.Contains(p.Replicas, o.self) {
		r.lacks = false // they no longer count on it
	}
	r.proves = slices.DeleteFunc(r.proves, func(n string) bool { return !slices.Contains(p.Replicas, n) })
	r.doubt = (r.doubt || proves && len(r.proves) == 0) && p.EverServed && (p.Primary == o.self || slices.Contains(p.Replicas, o.self))
	if p.Primary == o.self && old.Epoch != p.Epoch {
		if r.shown = false; r.doubt && o.disk == back {
			r.proves = slices.Clone(p.Replicas) // one of them may have more, or know that this is all
		}
	}
	if p.Primary == o.self && old.Epoch != p.Epoch && p.Index > r.rec.LastIndex() {
		r.lacks = true // a disk that was put back, or a holder that never was one
	}
	if p.Primary != "" && p.Primary != o.self && p.EverServed && !r.has && len(r.ops) == 0 && slices.Contains(p.Replicas, o.self) {
		r.lacks = true // another process of this name took the copy
	}
	o.track(r)
	o.settle(now, r)
}

// adopt lets go of a copy from before the start of which the keepers knew nothing then: its instance was forgotten, and
// this is another one of its name. It is not let go of before, as keepers who lost their log would know nothing either.
func (o *Manager) adopt(r *instance) {
	if r.orphan {
		o.forget(r)
		r.orphan, r.told = false, 0
	}
}

// OnPlacementRebuilt tells all places of a new line: the keepers lost their disks, and placement was made anew from what the units
// hold. Epochs and changes of before mean nothing any more.
func (o *Manager) OnPlacementRebuilt(now tick.Tick, places []placement.Assignment, version uint64) {
	for _, name := range o.KnownInstances() {
		r := o.all[name]
		o.quit(now, r, "placement was rebuilt")
		r.place, r.known, r.lacks, r.fenced, r.proves, r.stepAt = placement.Assignment{}, false, false, 0, nil, 0
		clear(r.links)
	}
	o.until, o.need, o.seen = 0, version, version
	for _, p := range places {
		o.OnAssignment(now, p)
	}
	for _, name := range slices.Sorted(maps.Keys(o.all)) {
		o.track(o.all[name])
	}
}

// OnInstanceDeleted tells that an instance is not there any more.
func (o *Manager) OnInstanceDeleted(now tick.Tick, name string) {
	r := o.all[name]
	if r == nil {
		return
	}
	o.quit(now, r, "the instance is forgotten")
	o.forget(r)
	o.answerAll(r, Message{Kind: MessageRejected, Epoch: r.place.Epoch, Reason: "the instance is forgotten"})
	r.place, r.known, r.lacks, r.proves, r.stepAt = placement.Assignment{}, false, false, nil, 0
	clear(r.links)
	o.track(r)
}

// OnProposalRefused tells that a Step has changed nothing, or may not have: the next one is tried at the earliest a tenth of a
// lease later.
func (o *Manager) OnProposalRefused(now tick.Tick, e placement.Operation, err error) {
	if r := o.all[e.Instance]; r != nil && r.stepAt != 0 && r.step == e {
		r.stepAt = now - o.lease/2 + o.lease/10
		o.host.Notify(Event{Kind: "refused", Instance: e.Instance, Epoch: e.Epoch, To: e.Target, Reason: string(e.Kind) + ": " + err.Error()})
	}
}

// leased tells whether the unit may act at all.
func (o *Manager) leased(now tick.Tick) bool { return now < o.until && o.seen >= o.need }

// owns tells whether the unit may act for an instance now.
func (o *Manager) owns(now tick.Tick, r *instance) bool {
	return o.leased(now) && r.known && r.place.State == placement.Running && r.place.Primary == o.self && r.place.EverServed && !r.lacks &&
		len(r.proves) == 0 && r.fenced <= r.place.Epoch
}

// stopped tells whether the instance is between stop and switch: only a change of its place ends that, so that the
// switch, which names this change, can't be agreed to after the owner has gone on.
func (o *Manager) stopped(r *instance) bool {
	return r.place.CutOver && slices.Contains(r.place.Replicas, r.place.CopyTarget)
}

// OnRequest begins a command.
func (o *Manager) OnRequest(now tick.Tick, c *Request) {
	o.ended(now)
	no := func(text string) { o.host.Respond(c, Response{Outcome: Rejected, Detail: text}) }
	r := o.all[c.Instance]
	switch {
	case r == nil || !r.known:
		no("no instance of this name")
		return
	case !o.owns(now, r):
		o.settle(now, r)
		no("not its owner now: never ran")
		return
	case o.stopped(r):
		no("handed over: never ran")
		return
	case now >= c.Deadline:
		no("over already: never ran")
		return
	case len(r.waits) >= mostPending:
		no("too many commands: never ran")
		return
	}
	o.settle(now, r)
	if !c.Write {
		r.waits = append(r.waits, wait{c, r.rec.LastIndex()})
		o.answer(now, r)
		return
	}
	if seq, again := r.ids[c.ID]; again {
		r.waits = append(r.waits, wait{c, seq})
		o.answer(now, r)
		return
	}
	e := LogEntry{Index: r.rec.LastIndex() + 1, Epoch: r.place.Epoch, Node: o.self, RequestID: c.ID, Body: c.Body}
	first := 0
	if len(r.rec.Entries) == LogCapacity {
		first = r.rec.Entries[0].Size()
	}
	switch {
	case len(c.ID) > mostID:
		o.host.Respond(c, Response{Outcome: TooLarge, Detail: "an id too long"})
		return
	case r.size-first+e.Size() > o.most:
		o.host.Respond(c, Response{Outcome: TooLarge, Detail: fmt.Sprintf("the state would pass %d bytes", o.most)})
		return
	case r.bad || now < o.suffered:
		no("the disk is full: never ran")
		return
	}
	e.Checksum = e.ChainChecksum(r.rec.Checksum())
	r.waits = append(r.waits, wait{c, e.Index})
	o.keep(r, e)
	o.settle(now, r)
}

// OnDurable tells that the first thing that was asked of the disk for an instance is safe; seq effects are there then.
func (o *Manager) OnDurable(now tick.Tick, name string, seq uint64) {
	o.ended(now)
	r := o.all[name]
	if r == nil || len(r.ops) == 0 {
		return
	}
	first := r.ops[0]
	if r.ops = r.ops[1:]; len(r.ops) == 0 {
		r.ops = nil
	}
	if r.kept = first.seq; first.gone {
		r.kept = 0
	}
	o.settle(now, r)
	o.track(r)
}

// OnDiskError tells that the disk did not take the first thing that was asked of it, and will take nothing that rests on it.
// What was not kept was sent to nobody, so it never ran.
func (o *Manager) OnDiskError(now tick.Tick, name string, err error) {
	o.ended(now)
	r := o.all[name]
	if r == nil || len(r.ops) == 0 {
		return
	}
	first := r.ops[0]
	r.ops = r.ops[1:]
	if !r.bad {
		r.bad = true
		o.suffered = now + tick.Second
		o.host.Notify(Event{Kind: "disk", Instance: name, Epoch: r.place.Epoch, Reason: err.Error()})
		r.take(first.undo)
		r.has = first.has
		var left []wait
		for _, w := range r.waits {
			if w.seq <= r.rec.LastIndex() {
				left = append(left, w)
				continue
			}
			o.host.Respond(w.ask, Response{Outcome: Rejected, Detail: "the disk is full: never ran"})
		}
		r.waits = left
		if !r.has && (r.place.Primary == o.self || slices.Contains(r.place.Replicas, o.self)) {
			r.lacks = true
		}
	}
	if len(r.ops) == 0 {
		r.bad, r.ops = false, nil
		o.answerAll(r, Message{Kind: MessageRejected, Epoch: r.place.Epoch, Reason: "the disk is full"})
	}
	o.settle(now, r)
	o.track(r)
}

// answerAll answers each owner that waits for the disk.
func (o *Manager) answerAll(r *instance, m Message) {
	for _, to := range r.reply {
		out := m
		out.Version, out.Instance, out.SenderIncarnation, out.ReplyTo = placement.FormatVersion, r.name, o.run, to.ReplyTo
		o.host.Send(to.Reason, out)
	}
	r.reply = nil
}

// OnMessage takes a message of another edge unit in.
func (o *Manager) OnMessage(now tick.Tick, from string, m Message) {
	o.ended(now)
	if err := m.Validate(); err != nil {
		if m.Kind != MessageAck && m.Kind != MessageStaleEpoch && m.Kind != MessageRejected {
			o.host.Send(from, Message{Version: placement.FormatVersion, Kind: MessageRejected, Instance: m.Instance, SenderIncarnation: o.run, ReplyTo: m.ReplyTo, Reason: err.Error()})
		}
		return
	}
	switch m.Kind {
	case MessageAck, MessageStaleEpoch, MessageRejected:
		if r := o.all[m.Instance]; r != nil && r.known {
			o.told(now, r, from, m)
		}
	default:
		o.brought(now, from, m)
	}
}

// brought takes in what an owner sent to a holder, or to a unit that is to become one.
func (o *Manager) brought(now tick.Tick, from string, m Message) {
	r := o.get(m.Instance)
	if epoch := max(r.place.Epoch, r.fenced); r.known && (m.Epoch < epoch || m.Epoch == r.place.Epoch && from != r.place.Primary) {
		o.host.Send(from, Message{Version: placement.FormatVersion, Kind: MessageStaleEpoch, Instance: m.Instance, Epoch: epoch, SenderIncarnation: o.run, ReplyTo: m.ReplyTo})
		return
	}
	if m.Epoch < r.fenced {
		o.host.Send(from, Message{Version: placement.FormatVersion, Kind: MessageStaleEpoch, Instance: m.Instance, Epoch: r.fenced, SenderIncarnation: o.run, ReplyTo: m.ReplyTo})
		return
	}
	if r.fenced = m.Epoch; r.known && m.Epoch > r.place.Epoch && r.acts {
		o.settle(now, r) // another one owns it: the news are on their way
	}
	o.adopt(r)
	r.touch = now
	refuse := func(why string) {
		o.host.Send(from, Message{Version: placement.FormatVersion, Kind: MessageRejected, Instance: m.Instance, Epoch: m.Epoch, SenderIncarnation: o.run, ReplyTo: m.ReplyTo, Reason: why})
	}
	if r.bad || now < o.suffered && len(m.Entries) > 0 {
		refuse("the disk is full")
		o.track(r)
		return
	}
	if m.ReceiverIncarnation == o.run { // else it goes on from what an earlier run had
		if why := o.fill(r, m); why != "" {
			refuse(why)
			return
		}
		if (r.lacks || r.doubt) && r.has && r.rec.LastIndex() >= m.LastIndex {
			if sum, ok := r.rec.ChecksumAt(m.PrevIndex + uint64(len(m.Entries))); ok && sum == m.end() {
				r.lacks, r.doubt, r.mine = false, r.doubt && m.Unverified, r.mine && m.Unverified
			}
		}
	}
	if r.reply = append(r.reply, Message{Reason: from, ReplyTo: m.ReplyTo, Epoch: m.Epoch, LastIndex: m.PrevIndex + uint64(len(m.Entries)), Checksum: m.end()}); len(r.reply) > mostReplies {
		r.reply = r.reply[1:]
	}
	o.confirm(r)
	o.track(r)
}

// end is the sum after a message's last effect.
func (m *Message) end() uint64 {
	if n := len(m.Entries); n > 0 {
		return m.Entries[n-1].Checksum
	}
	return m.PrevChecksum
}

// fill takes a message's effects in as far as they fit.
func (o *Manager) fill(r *instance, m Message) (why string) {
	if !r.has && m.PrevIndex == 0 && m.PrevChecksum == 0 {
		o.begin(r, 0, 0)
	}
	if m.Truncate && r.has && m.ReplacedIndex == r.rec.LastIndex() && m.ReplacedChecksum == r.rec.Checksum() {
		switch sum, ok := r.rec.ChecksumAt(m.PrevIndex); {
		case m.Reset && (!ok || sum != m.PrevChecksum):
			o.begin(r, m.PrevIndex, m.PrevChecksum)
		case ok && sum == m.PrevChecksum && r.rec.LastIndex() > m.PrevIndex && !r.agrees(m.Entries):
			o.cut(r, m.PrevIndex)
		}
	} else if m.Truncate && m.Reset && !r.has {
		o.begin(r, m.PrevIndex, m.PrevChecksum)
	}
	if sum, ok := r.rec.ChecksumAt(m.PrevIndex); !r.has || !ok || sum != m.PrevChecksum {
		return ""
	}
	for _, e := range m.Entries {
		if sum, ok := r.rec.ChecksumAt(e.Index); ok && sum == e.Checksum {
			continue
		}
		if !r.rec.Continues(e) {
			return ""
		}
		if r.size+e.Size() > o.most+mostChunk {
			return fmt.Sprintf("the state would pass %d bytes", o.most)
		}
		o.keep(r, e)
	}
	return ""
}

// agrees tells whether all of some effects are there.
func (r *instance) agrees(some []LogEntry) bool {
	for _, e := range some {
		if sum, ok := r.rec.ChecksumAt(e.Index); !ok || sum != e.Checksum {
			return false
		}
	}
	return len(some) > 0
}

// confirm answers owners once all is safe.
func (o *Manager) confirm(r *instance) {
	if len(r.ops) > 0 {
		return
	}
	for _, to := range r.reply {
		out := Message{Version: placement.FormatVersion, Kind: MessageAck, Instance: r.name, Epoch: to.Epoch, SenderIncarnation: o.run, ReplyTo: to.ReplyTo,
			Index: r.rec.LastIndex(), Checksum: r.rec.Checksum(), ChecksumsFrom: r.rec.BaseIndex, Unverified: r.lacks || (r.doubt || r.mine) && o.disk != newest}
		if out.Index != to.LastIndex || out.Checksum != to.Checksum {
			out.Checksums = append(out.Checksums, r.rec.BaseChecksum)
			for _, e := range r.rec.Entries {
				out.Checksums = append(out.Checksums, e.Checksum)
			}
		}
		o.host.Send(to.Reason, out)
	}
	r.reply = nil
}

// told takes in what another unit has, as this one's messages asked.
func (o *Manager) told(now tick.Tick, r *instance, from string, m Message) {
	if m.Kind == MessageStaleEpoch {
		if m.Epoch > r.place.Epoch { // the keepers' news will follow
			r.fenced = max(r.fenced, m.Epoch)
			o.settle(now, r)
		}
		return
	}
	h := r.links[from]
	if h == nil || m.Epoch != r.place.Epoch || r.place.Primary != o.self || m.SenderIncarnation < h.run {
		return
	}
	if m.SenderIncarnation > h.run {
		*h = holder{run: m.SenderIncarnation, since: h.since, vouch: 1}
	} else if h.vouch > 0 {
		h.vouch--
	}
	h.out = false
	if h.idle++; m.Index > h.match || !h.known {
		h.idle = 0
	}
	// Guards against asking as fast as the other unit answers, where it takes nothing: a fault, or what it has changes
	// under way. The same sight: answers that were overtaken; it costs them a tenth of a lease.
	if h.idle > mostIdle {
		h.out, h.sent = true, now
	}
	if m.Kind == MessageRejected {
		h.out, h.sent, h.why = true, now, m.Reason // again after a while
		o.settle(now, r)
		return
	}
	if sum, ok := r.rec.ChecksumAt(m.Index); ok && sum == m.Checksum {
		h.known, h.cut, h.whole, h.next = true, false, false, m.Index
		if m.Index > h.match {
			h.match, h.since, r.copied = m.Index, now, now
		}
		r.proves = slices.DeleteFunc(r.proves, func(n string) bool { return n == from })
		if holds := slices.Contains(r.place.Replicas, from); holds { // one that is copied to shows nothing
			r.shown = true
			if r.doubt && !m.Unverified {
				r.doubt = false
				o.vouches(now, r)
			}
		}
	} else if slices.Contains(r.proves, from) {
		o.give(now, r, from, "a holder has effects that this unit's disk does not")
		return
	} else if len(m.Checksums) > 0 || m.Index < r.rec.BaseIndex {
		h.known, h.cut, h.whole, h.was, h.wasS = true, true, true, m.Index, m.Checksum
		h.next = r.rec.BaseIndex
		for i := len(m.Checksums) - 1; i >= 0; i-- {
			at := m.ChecksumsFrom + uint64(i)
			if sum, ok := r.rec.ChecksumAt(at); ok && sum == m.Checksums[i] && at <= r.kept {
				h.next, h.whole = at, false
				break
			}
		}
	}
	o.settle(now, r)
}

// give has the keepers make a holder the owner in place of this unit.
func (o *Manager) give(now tick.Tick, r *instance, to, why string) {
	o.want(now, r, placement.Operation{Kind: placement.OpReportIncomplete, Target: to, Reason: why})
}

// want steps the keepers, unless something is under way.
func (o *Manager) want(now tick.Tick, r *instance, e placement.Operation) {
	if r.stepAt != 0 && now-r.stepAt < o.lease/2 {
		return
	}
	e.Version, e.Instance, e.Epoch, e.Node, e.Revision, e.Size = placement.FormatVersion, r.name, r.place.Epoch, o.self, r.place.Revision, r.size
	r.step, r.stepAt = e, now
	o.host.Propose(e)
}

// OnTick looks at everything that time changes. It is to be called again at next at the latest.
func (o *Manager) OnTick(now tick.Tick) (next tick.Tick) {
	o.ended(now)
	o.settleBusy(now)
	if next = now + o.lease/20; o.until > now {
		next = min(next, o.until)
	}
	return max(next, now+1)
}

// settleBusy looks at the instances that time may change something about. One that is at rest costs nothing, however many
// a unit has: at 200 of them and 20 looks a lease that is nearly all that a unit without commands does.
func (o *Manager) settleBusy(now tick.Tick) {
	some := o.busy
	o.busy = nil
	for _, r := range some {
		r.stirs = false
	}
	for _, r := range some {
		if r.in {
			o.settle(now, r)
		}
	}
}

// settle does for one instance what can be done now, and notes whether time alone may bring more.
func (o *Manager) settle(now tick.Tick, r *instance) {
	if r.calm { // its holders had nothing to do until now
		for _, h := range r.links {
			h.since = now
		}
	}
	o.step(now, r)
	r.calm = o.rests(now, r)
	if stirs := r.in && !r.calm; stirs && !r.stirs {
		r.stirs = true
		i, _ := slices.BinarySearchFunc(o.busy, r.name, func(r *instance, n string) int { return cmp.Compare(r.name, n) })
		o.busy = slices.Insert(o.busy, i, r)
	}
}

// rests tells whether nothing is left to be done for an instance but by a call that names it, or by the lease's end.
func (o *Manager) rests(now tick.Tick, r *instance) bool {
	p := &r.place
	if len(r.ops) > 0 || r.bad || r.lacks || len(r.waits) > 0 || len(r.reply) > 0 || len(r.proves) > 0 || r.stepAt != 0 ||
		r.fenced > p.Epoch {
		return false
	}
	if !r.names(o.self) { // else it is forgotten after a while
		return !r.has || !r.known || p.State != placement.Running || len(p.Replicas) == 0 ||
			slices.ContainsFunc(p.StaleCopies, func(k placement.StaleCopy) bool { return k.Node == o.self })
	}
	if p.Primary != o.self {
		return true
	}
	if p.State != placement.Running || !p.EverServed || p.CopyTarget != "" || r.acts != r.serves || r.acts != o.owns(now, r) {
		return false
	}
	for _, name := range p.Replicas {
		if h := r.links[name]; h == nil || !h.known || h.cut || h.out || h.vouch > 0 || h.match < r.kept || h.next < r.kept {
			return false
		}
	}
	return true
}

// step does what settle says.
func (o *Manager) step(now tick.Tick, r *instance) {
	p := &r.place
	named := r.names(o.self)
	kept := slices.ContainsFunc(p.StaleCopies, func(k placement.StaleCopy) bool { return k.Node == o.self })
	if r.known && p.State == placement.Running && !named && !kept && len(p.Replicas) > 0 && r.has && !r.bad && now-r.touch >= 2*o.lease {
		o.forget(r)
	}
	if r.known && r.lacks && o.leased(now) && named {
		if r.acts { // the disk failed since: others may own it before the keepers' answer comes
			o.quit(now, r, "it is not on the disk")
		}
		e := placement.Operation{Kind: placement.OpReportIncomplete, Reason: "no copy outlived the restart"}
		if p.Primary == o.self && len(p.Replicas) > 0 {
			e.Target = p.Replicas[0]
		}
		o.want(now, r, e)
		return
	}
	if r.known && p.State == placement.Running && p.Primary == o.self && !p.EverServed && o.leased(now) {
		o.want(now, r, placement.Operation{Kind: placement.OpMarkServed}) // so that one without its memory is told from one that never acted
		return
	}
	may := o.owns(now, r)
	if r.acts && !may {
		o.quit(now, r, "the lease is over, or another one owns it")
	}
	if may && !r.acts {
		if r.doubt {
			// A disk that was put back within a run is told from one that is whole by a unit that has all, and by nothing else.
			// Where none can be reached it goes on, as after a mere restart; that it may lack effects is told.
			why := "its copy is of before its restart, and nobody has shown since that it is whole"
			if o.disk == back {
				why = "its disk was put back, and nobody has shown that its copy is whole"
			}
			o.host.Notify(Event{Kind: "doubts", Instance: r.name, Epoch: p.Epoch, Reason: why})
			if r.doubt = false; o.disk != unsure {
				r.tells = fmt.Sprintf("%s went on from effect %d at epoch %d: %s", o.self, r.rec.LastIndex(), p.Epoch, why)
			}
		}
		if r.acts = true; !r.has && !r.bad {
			o.begin(r, 0, 0)
		}
		for _, h := range r.links { // while it did not act it asked them for nothing: their time begins anew
			h.since = now
		}
	}
	switch serves := may && !o.stopped(r); {
	case serves && !r.serves:
		o.host.Notify(Event{Kind: "acts", Instance: r.name, Epoch: p.Epoch, Reason: p.Reason})
		r.serves = true
	case !serves && r.serves:
		o.stops(now, r, "handed over")
	}
	if p.Primary != o.self {
		o.confirm(r)
		return
	}
	if !may && (len(r.proves) == 0 || !o.leased(now)) {
		return
	}
	o.feed(now, r)
	o.answer(now, r)
	o.agree(now, r)
}

// quit ends acting for an instance: what is not held by all may be kept or dropped.
func (o *Manager) quit(now tick.Tick, r *instance, why string) {
	r.acts = false
	o.stops(now, r, why)
	for _, w := range r.waits {
		if w.ask.Write {
			o.host.Respond(w.ask, Response{Outcome: Indeterminate, LeaseLost: true, Detail: "its effect may be kept or dropped"})
			continue
		}
		o.host.Respond(w.ask, Response{Outcome: Rejected, Detail: "not its owner now: never ran"})
	}
	r.waits = nil
}

func (o *Manager) stops(now tick.Tick, r *instance, why string) {
	if r.serves {
		r.serves = false
		end := o.until
		if end == 0 {
			end = o.over
		}
		o.host.Notify(Event{Kind: "stops", Instance: r.name, Epoch: r.place.Epoch, Reason: why, SinceLeaseEnd: max(0, now-end)})
	}
}

// feed brings holders and the unit that is copied to up to what is kept here.
func (o *Manager) feed(now tick.Tick, r *instance) {
	send := func(name string) {
		h := r.links[name]
		if h == nil {
			if h = (&holder{since: now}); r.links == nil {
				r.links = map[string]*holder{}
			}
			r.links[name] = h
		}
		if h.match >= r.kept && h.known && !h.cut {
			h.since = now
		}
		if h.out && now-h.sent < o.lease/10 || h.known && !h.cut && h.vouch == 0 && h.match >= r.kept && h.next >= r.kept {
			return
		}
		m := Message{Version: placement.FormatVersion, Kind: MessageAppend, Instance: r.name, Epoch: r.place.Epoch, SenderIncarnation: o.run, ReceiverIncarnation: h.run, LastIndex: r.kept,
			Unverified: r.doubt || r.tells != ""}
		if o.stopped(r) {
			m.Kind = MessageFinalAppend
		} else if !slices.Contains(r.place.Replicas, name) {
			m.Kind = MessageCatchUp
		}
		m.PrevIndex = r.kept
		if h.known {
			if h.next < r.rec.BaseIndex {
				h.next, h.cut, h.whole = r.rec.BaseIndex, true, true
			}
			m.PrevIndex, m.Truncate, m.Reset, m.ReplacedIndex, m.ReplacedChecksum = h.next, h.cut, h.whole, h.was, h.wasS
			for size := 0; size < mostChunk && m.PrevIndex+uint64(len(m.Entries)) < r.kept; {
				e := r.rec.Entries[m.PrevIndex+uint64(len(m.Entries))-r.rec.BaseIndex]
				m.Entries = append(m.Entries, e)
				size += e.Size()
			}
		}
		m.PrevChecksum, _ = r.rec.ChecksumAt(m.PrevIndex)
		h.out, h.sent = true, now
		o.host.Send(name, m)
	}
	for _, name := range r.place.Replicas {
		send(name)
	}
	if to := r.place.CopyTarget; to != "" && !slices.Contains(r.place.Replicas, to) {
		send(to)
	}
}

// required are the units that must have an effect before it is acked: the agreed holders, and one that was said to
// have all, as the keepers may have agreed to that by now.
func (r *instance) required(name string) bool {
	return slices.Contains(r.place.Replicas, name) || name == r.place.CopyTarget && r.synced != 0 && r.synced == r.place.Revision
}

// answer answers commands whose effects are held by all.
func (o *Manager) answer(now tick.Tick, r *instance) {
	if !r.acts {
		return
	}
	held := r.kept
	for name, h := range r.links {
		if r.required(name) {
			held = min(held, h.match)
		}
	}
	for _, name := range r.place.Replicas {
		if r.links[name] == nil {
			held = 0
		}
	}
	r.held = held
	left := r.waits[:0]
	for _, w := range r.waits {
		switch {
		case w.seq <= held:
			a := Response{Outcome: Succeeded, Index: w.seq, Epoch: r.place.Epoch, Node: o.self}
			if w.seq > r.rec.BaseIndex {
				e := r.rec.Entries[w.seq-r.rec.BaseIndex-1]
				a.Epoch, a.Node = e.Epoch, e.Node
			} else if w.seq > 0 {
				a = Response{Outcome: Indeterminate, Detail: "its first answer is no longer remembered"}
			}
			r.told = max(r.told, w.seq)
			o.host.Respond(w.ask, a)
		case now >= w.ask.Deadline && w.ask.Write:
			o.host.Respond(w.ask, Response{Outcome: Indeterminate, Detail: "not held by all holders in time"})
		case now >= w.ask.Deadline:
			o.host.Respond(w.ask, Response{Outcome: Rejected, Detail: "over already: never ran"})
		default:
			left = append(left, w)
		}
	}
	clear(r.waits[len(left):])
	r.waits = left
}

// agree asks the keepers for what has to be agreed next.
func (o *Manager) agree(now tick.Tick, r *instance) {
	p := &r.place
	tip := r.rec.LastIndex()
	for _, name := range p.Replicas {
		h := r.links[name]
		if h == nil || h.match >= r.kept && h.known || now-h.since < o.lease/3 {
			continue
		}
		// A holder that does not confirm costs each effect a wait. It may be dead, cut off, slow or full; where it is merely
		// slow, dropping it costs a copy anew.
		why := "does not confirm"
		if h.why != "" {
			why += ": " + h.why
		}
		if r.stepAt == 0 {
			o.host.Notify(Event{Kind: "drops", Instance: r.name, Epoch: p.Epoch, To: name, Reason: why})
		}
		o.want(now, r, placement.Operation{Kind: placement.OpDropReplica, Target: name, Index: r.held, Reason: why})
		return
	}
	if p.CopyTarget == "" || !r.acts {
		return
	}
	h := r.links[p.CopyTarget]
	holds := slices.Contains(p.Replicas, p.CopyTarget)
	switch {
	case !holds && h != nil && h.known && !h.cut && h.match >= r.told && tip-h.match <= 32:
		if r.synced != p.Revision {
			o.host.Notify(Event{Kind: "synced", Instance: r.name, Epoch: p.Epoch, To: p.CopyTarget})
		}
		r.synced = p.Revision
		o.want(now, r, placement.Operation{Kind: placement.OpReplicaReady, Target: p.CopyTarget, Index: r.held})
	case holds && p.CutOver && len(r.waits) == 0 && tip == r.kept && tip == r.held: // all of it is held now
		o.want(now, r, placement.Operation{Kind: placement.OpCutOver, Target: p.CopyTarget, Index: tip})
	case !holds && now-r.copied > 2*o.lease:
		o.want(now, r, placement.Operation{Kind: placement.OpCancelCopy, Target: p.CopyTarget, Reason: "the copy does not get on"})
	}
}

// UnverifiedCopy is an instance that its owner goes on with though it may lack effects that were acked.
type UnverifiedCopy struct {
	Instance string `json:"name"`
	Epoch    uint64 `json:"epoch"`
	Index    uint64 `json:"seq"` // effects that there are
	Reason   string `json:"why"`
}

// CopyStatus is an instance as a unit has it.
type CopyStatus struct {
	Instance   string `json:"name"`
	Epoch      uint64 `json:"epoch"`
	Index      uint64 `json:"seq"`
	LastEpoch  uint64 `json:"last,omitempty"` // epoch of its last effect, 0: not known
	Checksum   uint64 `json:"sum"`
	Size       int    `json:"size"`
	IsPrimary  bool   `json:"owns,omitempty"`  // by the keepers' word
	Serving    bool   `json:"acts,omitempty"`  // now
	IsReplica  bool   `json:"holds,omitempty"` // by the keepers' word
	Incomplete bool   `json:"lacks,omitempty"` // what the keepers count on
}

// Copies are all instances of which this unit has something or should have, by name.
func (o *Manager) Copies(now tick.Tick) (all []CopyStatus) {
	for _, r := range o.order {
		h := CopyStatus{Instance: r.name, Epoch: r.place.Epoch, Index: r.rec.LastIndex(), LastEpoch: r.rec.LastEpoch(), Checksum: r.rec.Checksum(),
			Size:      r.size,
			IsPrimary: r.place.Primary == o.self, Serving: r.serves && o.owns(now, r), IsReplica: slices.Contains(r.place.Replicas, o.self), Incomplete: r.lacks}
		if h.Epoch = max(h.Epoch, r.rec.LastEpoch()); r.has || h.IsPrimary || h.IsReplica {
			all = append(all, h)
		}
	}
	return all
}

// Serves tells whether the unit acts for an instance now.
func (o *Manager) Serves(now tick.Tick, name string) bool {
	r := o.all[name]
	return r != nil && r.serves && o.owns(now, r)
}

// KnownInstances are the names of all instances that this unit has heard of from the keepers.
func (o *Manager) KnownInstances() (names []string) {
	for name, r := range o.all {
		if r.known {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HoldsLease tells whether the unit may act at all: its lease runs, and the news that it needs have come.
func (o *Manager) HoldsLease(now tick.Tick) bool { return o.leased(now) }

// LostAllCopies tells whether this run began without the copies that the keepers count on: with none of them. One that lacks some, as
// a disk that was put back does, acts for what it has, and steps lacks for the others.
func (o *Manager) LostAllCopies() bool {
	some := false
	for _, r := range o.order {
		if counted := r.known && r.place.EverServed && (r.place.Primary == o.self || slices.Contains(r.place.Replicas, o.self)); counted {
			if some = true; !r.lacks {
				return false
			}
		}
	}
	return some
}
