package replica

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// entriesAfter returns log entries with the given request IDs that follow an index and a checksum.
func entriesAfter(index, checksum, epoch uint64, ids ...string) (entries []LogEntry) {
	for i, id := range ids {
		e := LogEntry{Index: index + 1 + uint64(i), Epoch: epoch, Node: "a", RequestID: id}
		e.Checksum = e.ChainChecksum(checksum)
		checksum = e.Checksum
		entries = append(entries, e)
	}
	return entries
}

func TestRecovery_StateIsTheMostSevere(t *testing.T) {
	for _, c := range []struct {
		name     string
		recovery recovery
		want     recoveryState
	}{
		{"nothing is known against the copy", recovery{}, current},
		{"primary at the start, and the disk not checked", recovery{primaryAtStart: true}, current},
		{"from before the start", recovery{unverified: true}, unverified},
		{"replicas have yet to confirm", recovery{unverified: true, awaitedReplicas: []string{"b"}}, verifying},
		{"a later epoch", recovery{awaitedReplicas: []string{"b"}, fencedEpoch: 4}, fenced},
		{"an epoch that is not later", recovery{fencedEpoch: 3}, current},
		{"entries are missing", recovery{incomplete: true, fencedEpoch: 4, awaitedReplicas: []string{"b"}}, incomplete},
	} {
		const epoch = 3
		if got := c.recovery.state(epoch); got != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
		if got := c.recovery.trusted(epoch); got != (c.want == current || c.want == unverified) {
			t.Errorf("%s: trusted is %v in state %v", c.name, got, c.want)
		}
	}
}

func TestRecovery_Transitions(t *testing.T) {
	for _, c := range []struct {
		name string
		from recovery
		do   func(r *recovery)
		want recoveryState
	}{
		{"a primary shows all", recovery{incomplete: true, unverified: true}, func(r *recovery) { r.markComplete(false) }, current},
		{"an unverified primary shows all", recovery{incomplete: true, unverified: true}, func(r *recovery) { r.markComplete(true) }, unverified},
		{"a restarted primary begins to verify", recovery{}, func(r *recovery) { r.startVerification([]string{"b", "c"}) }, verifying},
		{"one of two replicas confirms", recovery{awaitedReplicas: []string{"b", "c"}}, func(r *recovery) { r.confirmedBy("b") }, verifying},
		{"the last replica confirms", recovery{awaitedReplicas: []string{"c"}}, func(r *recovery) { r.confirmedBy("c") }, current},
		{"another node confirms", recovery{awaitedReplicas: []string{"c"}}, func(r *recovery) { r.confirmedBy("d") }, verifying},
		{"the awaited replica is dropped", recovery{awaitedReplicas: []string{"c"}}, func(r *recovery) { r.retainAwaited([]string{"b"}) },
			current},
		{"without replicas there is nothing to verify", recovery{}, func(r *recovery) { r.startVerification(nil) }, current},
	} {
		r := c.from
		r.awaitedReplicas = slices.Clone(r.awaitedReplicas)
		c.do(&r)
		if got := r.state(1); got != c.want {
			t.Errorf("%s: %v, not %v", c.name, got, c.want)
		}
	}
	r := recovery{primaryAtStart: true}
	r.markComplete(true)
	if !r.primaryAtStart {
		t.Error("an unverified primary shows that this copy is complete")
	}
	r.markComplete(false)
	if r.primaryAtStart {
		t.Error("a verified primary does not show that this copy is complete")
	}
}

func TestAssignment_IsSupersededByNewerOnly(t *testing.T) {
	known := assignment{state: assigned, agreed: placement.Assignment{Epoch: 3, Revision: 7}}
	for _, c := range []struct {
		name string
		from assignment
		next placement.Assignment
		want bool
	}{
		{"unassigned", assignment{}, placement.Assignment{}, true},
		{"orphaned", assignment{state: orphaned}, placement.Assignment{Epoch: 1}, true},
		{"a later epoch", known, placement.Assignment{Epoch: 4, Revision: 1}, true},
		{"a later revision", known, placement.Assignment{Epoch: 3, Revision: 8}, true},
		{"the same epoch and revision", known, placement.Assignment{Epoch: 3, Revision: 7}, false},
		{"an earlier epoch", known, placement.Assignment{Epoch: 2, Revision: 9}, false},
	} {
		if got := c.from.supersededBy(c.next); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestAssignment_Transitions(t *testing.T) {
	agreed := placement.Assignment{Instance: "x", Primary: "a", Replicas: []string{"b"}, CopyTarget: "c"}
	for _, c := range []struct {
		name string
		from assignment
		do   func(a *assignment)
		want assignmentState
	}{
		{"unassigned is assigned", assignment{}, func(a *assignment) { a.set(agreed) }, assigned},
		{"orphaned is assigned", assignment{state: orphaned}, func(a *assignment) { a.set(agreed) }, assigned},
		{"assigned is withdrawn", assignment{state: assigned, agreed: agreed}, (*assignment).withdraw, unassigned},
		{"orphaned stays so without an assignment", assignment{state: orphaned}, (*assignment).withdraw, orphaned},
	} {
		a := c.from
		c.do(&a)
		if a.state != c.want || a.known() != (c.want == assigned) || a.involves("b") != a.known() || a.involves("c") != a.known() ||
			a.requiresCopyOn("a") != a.known() || a.requiresCopyOn("c") {
			t.Errorf("%s: %+v", c.name, a)
		}
	}
	for _, c := range []struct {
		target  string
		cutOver bool
		want    bool
	}{{"b", true, true}, {"b", false, false}, {"c", true, false}, {"", true, false}} {
		a := assignment{state: assigned, agreed: agreed}
		a.agreed.CopyTarget, a.agreed.CutOver = c.target, c.cutOver
		if got := a.cuttingOver(); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestLocalLog_Transitions(t *testing.T) {
	entries := entriesAfter(0, 0, 1, "p", "q", "r")
	written := func() *localLog {
		l := &localLog{log: Log{Instance: "x"}}
		l.reset(0, 0)
		for _, e := range entries {
			l.append(e)
		}
		for range 4 {
			l.completeWrite()
		}
		return l
	}
	for _, c := range []struct {
		name     string
		do       func(l *localLog)
		last     uint64
		durable  uint64
		present  bool
		pending  int
		requests int
	}{
		{"written", func(*localLog) {}, 3, 3, true, 0, 3},
		{"an entry is being written", func(l *localLog) { l.append(entriesAfter(3, entries[2].Checksum, 1, "s")[0]) }, 4, 3, true, 1, 4},
		{"the entry is durable", func(l *localLog) { l.append(entriesAfter(3, entries[2].Checksum, 1, "s")[0]); l.completeWrite() }, 4, 4, true, 0, 4},
		{"a truncation is being written", func(l *localLog) { l.truncate(1) }, 1, 3, true, 1, 1},
		{"the truncation is durable", func(l *localLog) { l.truncate(1); l.completeWrite() }, 1, 1, true, 0, 1},
		{"reset to an index", func(l *localLog) { l.reset(7, 9); l.completeWrite() }, 7, 7, true, 0, 0},
		{"a deletion is being written", func(l *localLog) { l.delete() }, 0, 3, false, 1, 0},
		{"the deletion is durable", func(l *localLog) { l.delete(); l.completeWrite() }, 0, 0, false, 0, 0},
		{"a failed write is undone", func(l *localLog) { l.truncate(1); l.rollBack(l.popPending()) }, 3, 3, true, 0, 3},
		{"a failed deletion is undone", func(l *localLog) { l.delete(); l.rollBack(l.popPending()) }, 3, 3, true, 0, 3},
	} {
		l := written()
		c.do(l)
		if l.log.LastIndex() != c.last || l.durable != c.durable || l.present != c.present || len(l.pending) != c.pending ||
			len(l.requests) != c.requests || l.bytes != l.log.Size() || l.isAbsent() != (!c.present && c.pending == 0) {
			t.Errorf("%s: %+v", c.name, l)
		}
	}
}

func TestLocalLog_ForgetsTheRequestOfADroppedEntry(t *testing.T) {
	l := &localLog{log: Log{Instance: "x"}}
	l.reset(0, 0)
	checksum := uint64(0)
	for i := range LogCapacity + 1 {
		e := entriesAfter(uint64(i), checksum, 1, fmt.Sprint(i))[0]
		if i == LogCapacity && l.bytesWith(e) != l.bytes+e.Size()-l.log.Entries[0].Size() {
			t.Errorf("%d bytes with one more, %d without", l.bytesWith(e), l.bytes)
		}
		l.append(e)
		checksum = e.Checksum
	}
	if _, kept := l.requests["0"]; kept || len(l.requests) != LogCapacity || l.bytes != l.log.Size() || l.log.BaseIndex != 1 {
		t.Errorf("%d requests, %d bytes, want %d, base %d", len(l.requests), l.bytes, l.log.Size(), l.log.BaseIndex)
	}
}

func TestFollower_Transitions(t *testing.T) {
	log := Log{Instance: "x", Entries: entriesAfter(0, 0, 1, "p", "q", "r")}
	divergent := entriesAfter(1, log.Entries[0].Checksum, 2, "other")[0]
	shorter := Log{Instance: "x", BaseIndex: 2, BaseChecksum: log.Entries[1].Checksum, Entries: log.Entries[2:]}
	for _, c := range []struct {
		name string
		from followerProgress
		do   func(f *followerProgress)
		want followerProgress
	}{
		{"a new follower is probed", followerProgress{}, func(*followerProgress) {}, followerProgress{}},
		{"it confirms", followerProgress{}, func(f *followerProgress) { f.recordConfirmation(5, 3) },
			followerProgress{state: replicating, next: 3, match: 3, progressAt: 5}},
		{"it confirms less than before", followerProgress{state: replicating, next: 3, match: 3}, func(f *followerProgress) { f.recordConfirmation(5, 2) },
			followerProgress{state: replicating, next: 2, match: 3}},
		{"it differs after the first entry", followerProgress{},
			func(f *followerProgress) {
				f.resolveDivergence(&log, 3, &Message{Index: 2, Checksum: divergent.Checksum, Checksums: []uint64{0, log.Entries[0].Checksum, divergent.Checksum}})
			}, followerProgress{state: truncating, next: 1, replacedIndex: 2, replacedChecksum: divergent.Checksum}},
		{"it agrees on nothing that is durable", followerProgress{},
			func(f *followerProgress) {
				f.resolveDivergence(&shorter, 1, &Message{Index: 2, Checksum: divergent.Checksum, Checksums: []uint64{0, log.Entries[0].Checksum, divergent.Checksum}})
			}, followerProgress{state: resetting, next: 2, replacedIndex: 2, replacedChecksum: divergent.Checksum}},
		{"a truncated one confirms", followerProgress{state: truncating, next: 1}, func(f *followerProgress) { f.recordConfirmation(5, 1) },
			followerProgress{state: replicating, next: 1, match: 1, progressAt: 5}},
		{"an earlier incarnation is ignored", followerProgress{state: replicating, incarnation: 4, match: 3},
			func(f *followerProgress) { f.observeIncarnation(3) }, followerProgress{state: replicating, incarnation: 4, match: 3}},
		{"a later incarnation is probed anew", followerProgress{state: replicating, incarnation: 4, match: 3, progressAt: 9},
			func(f *followerProgress) { f.observeIncarnation(5) }, followerProgress{incarnation: 5, progressAt: 9, announcementsLeft: 1}},
		{"an announcement is answered", followerProgress{state: replicating, incarnation: 4, announcementsLeft: 2}, func(f *followerProgress) { f.observeIncarnation(4) },
			followerProgress{state: replicating, incarnation: 4, announcementsLeft: 1}},
		{"it refuses a message", followerProgress{state: replicating}, func(f *followerProgress) { f.recordRejection(6, "full") },
			followerProgress{state: replicating, inFlight: true, sentAt: 6, rejection: "full"}},
		{"answers without progress slow it down", followerProgress{state: replicating, match: 2, acksWithoutProgress: maxAcksWithoutProgress},
			func(f *followerProgress) { f.recordAnswer(6, 2) },
			followerProgress{state: replicating, match: 2, acksWithoutProgress: maxAcksWithoutProgress + 1, inFlight: true, sentAt: 6}},
		{"progress speeds it up", followerProgress{state: replicating, match: 2, acksWithoutProgress: maxAcksWithoutProgress, inFlight: true},
			func(f *followerProgress) { f.recordAnswer(6, 3) }, followerProgress{state: replicating, match: 2}},
		{"the next entries are no longer kept", followerProgress{state: replicating, next: 1},
			func(f *followerProgress) { f.fill(&Message{}, &shorter, 3) }, followerProgress{state: resetting, next: 2}},
	} {
		f := c.from
		c.do(&f)
		if f != c.want {
			t.Errorf("%s:\n%+v, not\n%+v", c.name, f, c.want)
		}
	}
}

func TestFollower_NeedsMessage(t *testing.T) {
	upToDate := followerProgress{state: replicating, next: 3, match: 3}
	for _, c := range []struct {
		name   string
		change func(f *followerProgress)
		want   bool
	}{
		{"up to date", func(*followerProgress) {}, false},
		{"probing", func(f *followerProgress) { f.state = probing }, true},
		{"truncating", func(f *followerProgress) { f.state = truncating }, true},
		{"it lacks an entry", func(f *followerProgress) { f.match, f.next = 2, 2 }, true},
		{"a message is in flight", func(f *followerProgress) { f.match, f.inFlight, f.sentAt = 2, true, 95 }, false},
		{"a message in flight is overdue", func(f *followerProgress) { f.match, f.inFlight, f.sentAt = 2, true, 90 }, true},
		{"the log is to be announced to it", func(f *followerProgress) { f.announcementsLeft = 1 }, true},
	} {
		f := upToDate
		c.change(&f)
		if got := f.needsMessage(100, 10, 3); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// silentHost is a Host that does nothing.
type silentHost struct{}

func (silentHost) Send(string, Message)            {}
func (silentHost) Propose(placement.Operation)     {}
func (silentHost) Respond(*Request, Response)      {}
func (silentHost) AppendEntry(string, LogEntry)    {}
func (silentHost) TruncateLog(string, uint64)      {}
func (silentHost) ResetLog(string, uint64, uint64) {}
func (silentHost) DeleteLog(string)                {}
func (silentHost) Notify(Event)                    {}

func TestServing_Transitions(t *testing.T) {
	agreed := placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", Epoch: 1, Revision: 1, EverServed: true}
	changed := func(change func(p *placement.Assignment)) placement.Assignment {
		p := agreed
		p.Revision = 2
		change(&p)
		return p
	}
	for _, c := range []struct {
		name string
		do   func(m *Manager)
		want servingState
	}{
		{"leased", func(*Manager) {}, leased},
		{"the lease is over", func(m *Manager) { m.OnTick(2 * tick.Second) }, stopped},
		{"the lease is over and back", func(m *Manager) { m.OnTick(2 * tick.Second); m.OnLease(3*tick.Second, 4*tick.Second, 1) }, leased},
		{"the lease is back, with assignments not yet seen", func(m *Manager) { m.OnTick(2 * tick.Second); m.OnLease(3*tick.Second, 4*tick.Second, 9) }, stopped},
		{"the lease is back, and the assignments are seen", func(m *Manager) {
			m.OnTick(2 * tick.Second)
			m.OnLease(3*tick.Second, 4*tick.Second, 9)
			m.OnPlacementVersion(3*tick.Second, 9)
		}, leased},
		{"a cut-over begins", func(m *Manager) {
			m.OnAssignment(2, changed(func(p *placement.Assignment) {
				p.Replicas, p.CopyTarget, p.CutOver = []string{"b"}, "b", true
			}))
		}, paused},
		{"a cut-over is cancelled", func(m *Manager) {
			m.OnAssignment(2, changed(func(p *placement.Assignment) {
				p.Replicas, p.CopyTarget, p.CutOver = []string{"b"}, "b", true
			}))
			m.OnAssignment(3, changed(func(p *placement.Assignment) { p.Revision, p.Replicas = 3, []string{"b"} }))
		}, leased},
		{"a cut-over is done", func(m *Manager) {
			m.OnAssignment(2, changed(func(p *placement.Assignment) { p.Epoch, p.Primary = 2, "b" }))
		}, stopped},
		{"the instance is quarantined", func(m *Manager) {
			m.OnAssignment(2, changed(func(p *placement.Assignment) { p.State = placement.Quarantined }))
		}, stopped},
		{"another node reports a later epoch", func(m *Manager) {
			m.OnMessage(2, "b", Message{Version: 1, Kind: MessageAppend, Instance: "x", Epoch: 2})
		}, stopped},
		{"the disk fails to store the copy", func(m *Manager) { m.OnDiskError(2, "x", errors.New("full")) }, stopped},
		{"placement is rebuilt", func(m *Manager) { m.OnPlacementRebuilt(2, []placement.Assignment{agreed}, 1) }, stopped},
		{"the instance is deleted", func(m *Manager) { m.OnInstanceDeleted(2, "x") }, stopped},
	} {
		m := NewManager(silentHost{}, 1, ConfigFrom("a", 1, nil), InitialState{Version: 1})
		m.OnLease(1, tick.Second, 1)
		m.OnAssignment(1, agreed)
		inst := m.instances["x"]
		c.do(m)
		if inst.serving.state != c.want {
			t.Errorf("%s: state %d, not %d", c.name, inst.serving.state, c.want)
		}
		if m.Serves(2, "x") && c.want != leased {
			t.Errorf("%s: it serves", c.name)
		}
	}
}
