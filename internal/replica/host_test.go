package replica_test

import (
	"testing"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// recordingHost is a Host that records what is sent, proposed, answered and notified. Its disk operations complete when
// flushDisk is called.
type recordingHost struct {
	manager   *replica.Manager
	sent      []replica.Message
	proposals []placement.Operation
	responses []replica.Response
	events    []replica.Event
	diskQueue []func()
}

func (n *recordingHost) Send(_ string, m replica.Message) { n.sent = append(n.sent, m) }

func (n *recordingHost) Propose(e placement.Operation) { n.proposals = append(n.proposals, e) }

func (n *recordingHost) Respond(_ *replica.Request, a replica.Response) {
	n.responses = append(n.responses, a)
}

func (n *recordingHost) Notify(e replica.Event) { n.events = append(n.events, e) }

func (n *recordingHost) AppendEntry(name string, e replica.LogEntry) { n.durable(name, e.Index) }

func (n *recordingHost) TruncateLog(name string, index uint64) { n.durable(name, index) }

func (n *recordingHost) ResetLog(name string, base, _ uint64) { n.durable(name, base) }

func (n *recordingHost) DeleteLog(name string) { n.durable(name, 0) }

func (n *recordingHost) durable(name string, index uint64) {
	n.diskQueue = append(n.diskQueue, func() { n.manager.OnDurable(5, name, index) })
}

func (n *recordingHost) flushDisk() {
	for len(n.diskQueue) > 0 {
		do := n.diskQueue[0]
		n.diskQueue = n.diskQueue[1:]
		do()
	}
}

func (n *recordingHost) lastSent(tb testing.TB) replica.Message {
	tb.Helper()
	n.flushDisk()
	if len(n.sent) == 0 {
		tb.Fatal("nothing was sent")
	}
	return n.sent[len(n.sent)-1]
}

// entriesAfter returns one log entry for each request ID. The entries continue a log whose last entry has the given
// index and checksum.
func entriesAfter(index, checksum, epoch uint64, node string, ids ...string) (all []replica.LogEntry) {
	for i, id := range ids {
		e := replica.LogEntry{Index: index + 1 + uint64(i), Epoch: epoch, Node: node, RequestID: id}
		e.Checksum = e.ChainChecksum(checksum)
		checksum = e.Checksum
		all = append(all, e)
	}
	return all
}

// primaryWithoutReplicas returns a node that is the primary of instance x and holds a lease until tick 9000.
func primaryWithoutReplicas(maxStateBytes float64) *recordingHost {
	n := &recordingHost{}
	n.manager = newManager(n, 1, "a", 1, map[string]any{"fleet.state": maxStateBytes}, nil, nil, 0)
	n.manager.OnLease(1, 9000, 1)
	n.manager.OnAssignment(1, placement.Assignment{Instance: "x", State: placement.Running, Primary: "a", EverServed: true, Epoch: 1, Revision: 1})
	n.manager.OnPlacementVersion(1, 1)
	n.flushDisk()
	return n
}

func (n *recordingHost) write(id string, size int) replica.Response {
	n.manager.OnRequest(5, &replica.Request{Instance: "x", ID: id, Write: true, Body: make([]byte, size), Deadline: 100})
	n.flushDisk()
	return n.responses[len(n.responses)-1]
}

// afterTakeover returns a node that has become the primary of instance x, and has three entries of the previous
// primary, c. Their request IDs are p, q and z. It also returns these entries.
func afterTakeover(p placement.Assignment) (*recordingHost, []replica.LogEntry) {
	n := &recordingHost{}
	old := entriesAfter(0, 0, 1, "c", "p", "q", "z")
	n.manager = newManager(n, 1, "a", 1, nil, nil, nil, 0)
	n.manager.OnMessage(1, "c", replica.Message{Version: 1, Kind: replica.MessageAppend, Instance: "x", Epoch: 1, SenderIncarnation: 1, ReceiverIncarnation: 1, Entries: old, LastIndex: 3})
	n.manager.OnLease(1, 90000, 0)
	n.flushDisk()
	p.Instance, p.State, p.Primary, p.Epoch, p.EverServed = "x", placement.Running, "a", 2, true
	n.manager.OnAssignment(1, p)
	n.flushDisk()
	return n, old
}

// confirm delivers another node's answer that it has all entries up to e.
func (n *recordingHost) confirm(from string, incarnation uint64, e replica.LogEntry) {
	n.manager.OnMessage(6, from, replica.Message{Version: 1, Kind: replica.MessageAck, Instance: "x", Epoch: 2, SenderIncarnation: incarnation, Index: e.Index, Checksum: e.Checksum})
	n.flushDisk()
}

func (n *recordingHost) proposed(kind placement.OperationKind) *placement.Operation {
	for i := range n.proposals {
		if n.proposals[i].Kind == kind {
			return &n.proposals[i]
		}
	}
	return nil
}

// discardingHost is a Host that does nothing.
type discardingHost struct{}

func (discardingHost) Send(string, replica.Message) {}

func (discardingHost) Propose(placement.Operation) {}

func (discardingHost) Respond(*replica.Request, replica.Response) {}

func (discardingHost) AppendEntry(string, replica.LogEntry) {}

func (discardingHost) TruncateLog(string, uint64) {}

func (discardingHost) ResetLog(string, uint64, uint64) {}

func (discardingHost) DeleteLog(string) {}

func (discardingHost) Notify(replica.Event) {}

// sendingHost is a Host that records what is sent, proposed and notified, and ignores all other calls.
type sendingHost struct {
	discardingHost
	sent      []replica.Message
	proposals []placement.Operation
	kinds     []string
}

func (h *sendingHost) Send(_ string, m replica.Message) { h.sent = append(h.sent, m) }

func (h *sendingHost) Propose(e placement.Operation) { h.proposals = append(h.proposals, e) }

func (h *sendingHost) Notify(e replica.Event) { h.kinds = append(h.kinds, e.Kind) }

func (h *sendingHost) last() replica.Message {
	if len(h.sent) == 0 {
		return replica.Message{}
	}
	return h.sent[len(h.sent)-1]
}

// newManager returns the manager of a node that starts at now.
func newManager(host replica.Host, now tick.Tick, node string, incarnation uint64, settings map[string]any, logs []replica.Log,
	assignments []placement.Assignment, version uint64) *replica.Manager {
	return replica.NewManager(host, now, replica.ConfigFrom(node, incarnation, settings),
		replica.InitialState{Logs: logs, Assignments: assignments, Version: version})
}
