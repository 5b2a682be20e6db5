package replica_test

import (
	"cmp"
	"errors"
	"slices"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// goldenNode simulates a node: its process, if one runs, and its disk.
type goldenNode struct {
	w             *goldenWorld
	id            int
	name          string
	manager       *replica.Manager // nil if no process runs
	incarnation   uint64
	leaseEnd      tick.Tick // end of the last lease that the node was granted
	version       uint64    // version of the placement table up to which the node has seen changes
	frozen        bool
	deferred      []func()
	diskFull      bool // all writes to the disk fail
	diskChecked   bool // this incarnation knows whether its disk was restored
	restored      bool // the disk was restored from a backup, and no manager has been told of the restore
	maxWriteDelay tick.Tick
	disk          map[string]*replica.Log
	backup        map[string]*replica.Log // backup of the disk; nil if there is none
	diskOps       []func() func()
	pending       int // number of requests that have not been answered
}

// run calls the function do at once if the incarnation runs. It defers the call while the process is frozen, and drops
// the call if the incarnation has ended.
func (n *goldenNode) run(incarnation uint64, do func()) {
	switch {
	case n.manager == nil || n.incarnation != incarnation:
	case n.frozen:
		n.deferred = append(n.deferred, do)
	default:
		do()
	}
}

// start starts a process with the logs on the disk and the assignments in the placement table that name the node as
// primary or replica. If a process runs, start does nothing.
func (n *goldenNode) start() {
	if n.manager != nil {
		return
	}
	w := n.w
	n.incarnation++
	n.leaseEnd, n.frozen, n.deferred, n.diskOps, n.pending, n.diskChecked = 0, false, nil, nil, 0, false
	var logs []replica.Log
	for _, r := range n.disk {
		copied := *r
		copied.Entries = slices.Clone(r.Entries)
		logs = append(logs, copied)
	}
	slices.SortFunc(logs, func(a, b replica.Log) int { return cmp.Compare(a.Instance, b.Instance) })
	assignments := append(w.table.ByPrimary(n.name), w.table.ByReplica(n.name)...)
	n.version = w.table.Version()
	n.manager = newManager(n, w.now, n.name, n.incarnation, map[string]any{"fleet.lease": 1.0, "fleet.state": w.maxStateBytes}, logs, assignments, n.version)
	incarnation := n.incarnation
	w.after(w.between(1, 30*milli), func() { n.renewLease(incarnation) })
	w.after(w.between(1, 30*milli), func() { n.pollAssignments(incarnation) })
	n.callOnTick(incarnation)
}

func (n *goldenNode) callOnTick(incarnation uint64) {
	w := n.w
	next := n.manager.OnTick(w.now)
	w.call(n, callTick)
	w.numbers(uint64(next))
	w.after(next-w.now, func() { n.run(incarnation, func() { n.callOnTick(incarnation) }) })
}

// renewLease asks for a new lease. It calls itself again after a third of the lease duration, until the incarnation
// ends.
func (n *goldenNode) renewLease(incarnation uint64) {
	w := n.w
	if n.manager == nil || n.incarnation != incarnation {
		return
	}
	w.after(goldenLease/3, func() { n.renewLease(incarnation) })
	if n.frozen || w.cutLinks[[2]int{n.id, n.id}] || w.chance(w.lossRate) {
		return
	}
	sent, version := w.now, w.table.Version()
	generation := w.generation
	unverified := n.manager.UnverifiedCopies(3)
	n.leaseEnd = max(n.leaseEnd, sent+goldenLease)
	w.after(w.between(milli, 40*milli), func() {
		n.run(incarnation, func() {
			if w.generation != generation {
				return
			}
			if !n.diskChecked {
				n.diskChecked = true
				n.manager.OnDiskChecked(w.now, n.restored)
				n.restored = false
			}
			for _, d := range unverified {
				w.table.SetUnverified(d.Instance, d.Epoch, d.Reason)
			}
			n.manager.OnUnverifiedReported(w.now, unverified)
			n.manager.OnLease(w.now, sent+goldenLease, version)
		})
	})
}

// pollAssignments passes the changes of the placement table since n.version to the manager. It calls itself again after
// a random delay, until the incarnation ends.
func (n *goldenNode) pollAssignments(incarnation uint64) {
	w := n.w
	if n.manager == nil || n.incarnation != incarnation {
		return
	}
	w.after(w.between(20*milli, 120*milli), func() { n.pollAssignments(incarnation) })
	if n.frozen || w.cutLinks[[2]int{n.id, n.id}] || w.chance(w.lossRate) {
		return
	}
	changes, generation := w.table.Since(n.version), w.generation
	w.after(w.between(milli, 20*milli), func() {
		n.run(incarnation, func() {
			if w.generation != generation {
				return
			}
			for _, p := range changes.Assignments {
				n.manager.OnAssignment(w.now, p)
			}
			for _, name := range changes.Deleted {
				n.manager.OnInstanceDeleted(w.now, name)
			}
			n.version = max(n.version, changes.Version)
			n.manager.OnPlacementVersion(w.now, changes.Version)
		})
	})
}

func (n *goldenNode) Send(to string, m replica.Message) {
	w := n.w
	w.call(n, callSend)
	w.words(to, m.Kind, m.Instance, m.Reason)
	w.numbers(uint64(m.Version), m.Epoch, m.SenderIncarnation, m.ReceiverIncarnation, m.PrevIndex, m.PrevChecksum, m.LastIndex, m.ReplacedIndex, m.ReplacedChecksum, m.Index, m.Checksum, m.ChecksumsFrom, m.ReplyTo,
		uint64(len(m.Entries)), uint64(len(m.Checksums)))
	w.flags(m.Unverified, m.Truncate, m.Reset)
	for _, e := range m.Entries {
		w.entry(e)
	}
	w.numbers(m.Checksums...)
	at := slices.IndexFunc(w.nodes, func(v *goldenNode) bool { return v.name == to })
	if at < 0 {
		return
	}
	got := m
	got.Entries = slices.Clone(m.Entries)
	if m.ReplyTo == 0 {
		got.ReplyTo = n.incarnation<<8 + uint64(n.id)
	} else {
		got.ReplyTo = 0
	}
	copies := 1
	if w.chance(0.02) {
		copies = 2
	}
	v := w.nodes[at]
	for range copies {
		late := w.chance(0.03)
		if w.cutLinks[[2]int{n.id, v.id}] || w.chance(w.lossRate) {
			continue
		}
		delay := w.between(milli, 6*milli)
		if late {
			delay += w.between(0, 2*goldenLease)
		}
		w.after(delay, func() { v.run(v.incarnation, func() { v.manager.OnMessage(w.now, n.name, got) }) })
	}
}

func (n *goldenNode) Propose(e placement.Operation) {
	w := n.w
	w.call(n, callPropose)
	w.wire(e)
	incarnation, generation := n.incarnation, w.generation
	if w.cutLinks[[2]int{n.id, n.id}] || w.chance(w.lossRate) {
		return
	}
	w.after(w.between(2*milli, 30*milli), func() {
		if w.generation != generation {
			return
		}
		p, err := w.table.Apply(e)
		if w.chance(w.lossRate) {
			return
		}
		w.after(w.between(milli, 10*milli), func() {
			n.run(incarnation, func() {
				if w.generation != generation {
					return
				}
				if err != nil {
					n.manager.OnProposalRefused(w.now, e, err)
				}
				if p.Instance != "" {
					n.manager.OnAssignment(w.now, p)
				}
			})
		})
	})
}

func (n *goldenNode) Respond(c *replica.Request, a replica.Response) {
	n.w.call(n, callRespond)
	n.w.words(c.ID, c.Instance, a.Node, a.Detail)
	n.w.numbers(uint64(a.Outcome), a.Index, a.Epoch, uint64(c.Deadline))
	n.w.flags(c.Write, a.LeaseLost)
	n.pending--
}

func (n *goldenNode) Notify(e replica.Event) {
	n.w.call(n, callNotify)
	kind := e.Kind
	if recorded, renamed := recordedAs[kind]; renamed {
		kind = recorded
	}
	n.w.words(kind, e.Instance, e.From, e.To)
	n.w.numbers(e.Epoch, uint64(e.SinceLeaseEnd))
}

// enqueueDiskOp queues an operation on the log of an instance on the disk. The operations are executed in order, after
// a delay. The parameter do executes the operation, and returns false if the operation fails.
func (n *goldenNode) enqueueDiskOp(name string, index uint64, do func(rec *replica.Log) bool) {
	n.diskOps = append(n.diskOps, func() func() {
		ok := !n.diskFull && do(n.disk[name])
		return func() {
			if ok {
				n.manager.OnDurable(n.w.now, name, index)
				return
			}
			n.manager.OnDiskError(n.w.now, name, errors.New("no space left"))
		}
	})
	if len(n.diskOps) == 1 {
		n.runDiskOps(n.incarnation)
	}
}

// runDiskOps executes up to 16 queued disk operations after a delay, and reports their results to the manager.
func (n *goldenNode) runDiskOps(incarnation uint64) {
	w := n.w
	w.after(w.between(milli/4, n.maxWriteDelay), func() {
		if n.manager == nil || n.incarnation != incarnation {
			return
		}
		count := min(len(n.diskOps), 16)
		var reports []func()
		for _, do := range n.diskOps[:count] {
			reports = append(reports, do())
		}
		if n.diskOps = n.diskOps[count:]; len(n.diskOps) > 0 {
			n.runDiskOps(incarnation)
		}
		n.run(incarnation, func() {
			for _, do := range reports {
				do()
			}
		})
	})
}

func (n *goldenNode) AppendEntry(name string, e replica.LogEntry) {
	n.w.call(n, callAppendEntry)
	n.w.words(name)
	n.w.entry(e)
	n.enqueueDiskOp(name, e.Index, func(rec *replica.Log) bool {
		if rec == nil || !rec.IsNext(e) {
			return false
		}
		rec.Append(e)
		return true
	})
}

func (n *goldenNode) TruncateLog(name string, index uint64) {
	n.w.call(n, callTruncateLog)
	n.w.words(name)
	n.w.numbers(index)
	n.enqueueDiskOp(name, index, func(rec *replica.Log) bool {
		if rec == nil {
			return false
		}
		rec.Truncate(index)
		return true
	})
}

func (n *goldenNode) ResetLog(name string, base, checksum uint64) {
	n.w.call(n, callResetLog)
	n.w.words(name)
	n.w.numbers(base, checksum)
	n.enqueueDiskOp(name, base, func(*replica.Log) bool {
		n.disk[name] = &replica.Log{Instance: name, BaseIndex: base, BaseChecksum: checksum}
		return true
	})
}

func (n *goldenNode) DeleteLog(name string) {
	n.w.call(n, callDeleteLog)
	n.w.words(name)
	n.enqueueDiskOp(name, 0, func(*replica.Log) bool { delete(n.disk, name); return true })
}

func cloneDisk(disk map[string]*replica.Log) map[string]*replica.Log {
	cloned := map[string]*replica.Log{}
	for name, r := range disk {
		copied := *r
		copied.Entries = slices.Clone(r.Entries)
		cloned[name] = &copied
	}
	return cloned
}

// crash ends the process and starts another one after the given time.
func (n *goldenNode) crash(span tick.Tick) {
	n.manager = nil
	n.w.after(span, n.start)
}

// freeze suspends the process for the given time.
func (n *goldenNode) freeze(span tick.Tick) {
	if n.manager == nil || n.frozen {
		return
	}
	n.frozen = true
	incarnation := n.incarnation
	n.w.after(span, func() {
		if n.manager == nil || n.incarnation != incarnation {
			return
		}
		n.frozen = false
		deferred := n.deferred
		n.deferred = nil
		for _, do := range deferred {
			n.run(incarnation, do)
		}
	})
}

// sendMalformed sends the node a message that no process of this version sends.
func (n *goldenNode) sendMalformed() {
	w := n.w
	m := replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: w.anyInstance(), Epoch: uint64(w.rng.IntN(9)), SenderIncarnation: uint64(w.rng.IntN(4)),
		ReceiverIncarnation: n.incarnation, PrevIndex: uint64(w.rng.IntN(3)), ReplyTo: 1}
	switch w.rng.IntN(6) {
	case 0:
		m.Version = 2
	case 1:
		m.Kind = "odd"
	case 2:
		m.Kind, m.Reason = replica.MessageRejected, "no reason"
	case 3:
		m.Kind = replica.MessageStaleEpoch
	case 4:
		m.Kind, m.Index, m.Checksum, m.Checksums = replica.MessageAck, 3, 9, []uint64{0, 1, 2, 9}
	}
	n.run(n.incarnation, func() { n.manager.OnMessage(w.now, w.randomNode().name, m) })
}
