package edgenode

import (
	"github.com/rs/zerolog"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// replicaHost implements replica.Host, the interface through which the replica.Manager sends messages, writes to the disk and
// answers requests. Its methods are called under Node.mu and do not block.
type replicaHost struct{ node *Node }

// Send queues a message to another node, or passes an answer to the handleMessage call that waits for it. A message is dropped if
// no node has the given name or the node's queue is full. An answer is dropped if no call waits for it.
func (h replicaHost) Send(to string, m replica.Message) {
	if m.ReplyTo != 0 {
		if reply := h.node.pendingReplies[m.ReplyTo]; reply != nil {
			delete(h.node.pendingReplies, m.ReplyTo)
			reply <- m
		}
		return
	}
	select {
	case h.node.outgoing[to] <- m:
	default:
	}
}

// Propose queues an operation for the controllers. The operation is dropped if the queue is full.
func (h replicaHost) Propose(op placement.Operation) {
	select {
	case h.node.proposals <- op:
	default:
	}
}

// Respond passes the response of a request to execute, unless execute has stopped waiting for it.
func (h replicaHost) Respond(r *replica.Request, response replica.Response) {
	if done := h.node.pendingRequests[r]; done != nil {
		delete(h.node.pendingRequests, r)
		done <- response
	}
}

// AppendEntry makes the store append an entry to an instance's log.
func (h replicaHost) AppendEntry(instance string, e replica.LogEntry) {
	h.node.store.Append(instance, e, h.onStored(instance, e.Index))
}

// TruncateLog makes the store delete the entries of an instance's log after an index.
func (h replicaHost) TruncateLog(instance string, index uint64) {
	h.node.store.Truncate(instance, index, h.onStored(instance, index))
}

// ResetLog makes the store replace an instance's log by an empty log that starts after the entry with index base. checksum is the
// checksum of the entries up to that entry.
func (h replicaHost) ResetLog(instance string, base, checksum uint64) {
	h.node.store.Reset(instance, base, checksum, h.onStored(instance, base))
}

// DeleteLog makes the store delete an instance's log.
func (h replicaHost) DeleteLog(instance string) {
	h.node.store.Delete(instance, h.onStored(instance, 0))
}

// onStored returns the callback of a store operation, which tells the replica.Manager that the operation is durable or has failed.
func (h replicaHost) onStored(instance string, index uint64) func(error) {
	return func(err error) {
		h.node.mu.Lock()
		defer h.node.mu.Unlock()
		if err != nil {
			h.node.replicas.OnDiskError(controllerclient.Now(), instance, err)
			return
		}
		h.node.replicas.OnDurable(controllerclient.Now(), instance, index)
	}
}

// eventMessages are the log messages of the replica.Manager's events, by kind.
var eventMessages = map[string]string{
	replica.EventLease:      "lease gained or lost",
	replica.EventDisk:       "disk write failed or disk restored",
	replica.EventIncomplete: "copy is incomplete",
	replica.EventUnverified: "copy is unverified",
	replica.EventServing:    "instance serving begun",
	replica.EventStopped:    "instance serving ended",
	replica.EventCaughtUp:   "copy has caught up",
	replica.EventDropped:    "replica dropped",
	replica.EventRefused:    "proposal refused",
}

// Notify logs an event. For an unverified copy, Notify also requests the lease at once, because the lease request reports the copy
// to the controllers.
func (h replicaHost) Notify(e replica.Event) {
	if e.Kind == replica.EventUnverified {
		h.node.renewSoon()
	}
	level := zerolog.InfoLevel
	if e.Kind == replica.EventRefused {
		level = zerolog.DebugLevel
	}
	line := h.node.options.Log.WithLevel(level).Str("event", e.Kind)
	if e.Instance != "" {
		line = line.Str("instance", e.Instance)
	}
	if e.Epoch > 0 {
		line = line.Uint64("epoch", e.Epoch)
	}
	if e.From != "" {
		line = line.Str("from", e.From)
	}
	if e.To != "" {
		line = line.Str("to", e.To)
	}
	if e.Reason != "" {
		line = line.Str("why", e.Reason)
	}
	if e.Kind == replica.EventStopped {
		line = line.Int64("late_ms", e.SinceLeaseEnd.Duration().Milliseconds())
	}
	line.Msg(eventMessages[e.Kind])
}
