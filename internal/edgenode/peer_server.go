package edgenode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// Limits of the HTTP server for other processes.
const (
	maxPeerCalls       = 1024 // maximum number of concurrent calls
	peerHeaderTimeout  = 2 * time.Second
	peerIdleTimeout    = 30 * time.Second
	maxPeerHeaderBytes = 8 << 10
)

// callerKey is the context key of the calling process's name in an HTTP request.
type callerKey struct{}

// servePeers answers calls of other processes until the context ends, and then returns nil.
func (n *Node) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	for _, kind := range []string{replica.MessageCatchUp, replica.MessageAppend, replica.MessageFinalAppend} {
		mux.HandleFunc("POST /v1/"+kind, func(w http.ResponseWriter, r *http.Request) { n.handleMessage(w, r, kind) })
	}
	mux.HandleFunc("GET /v1/holds", n.handleInventory)
	server := &http.Server{
		Handler:           limitCalls(mux, maxPeerCalls),
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    maxPeerHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if peer, ok := conn.(*peertransport.Conn); ok {
				ctx = context.WithValue(ctx, callerKey{}, peer.From)
			}
			return ctx
		},
	}
	// Close does not wait for the handlers. Their contexts end with ctx, because BaseContext makes ctx the parent of each of them.
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(n.options.Network.Listener(peertransport.KindHTTP))
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// limitCalls limits the number of concurrent calls; it answers further calls with status 503.
func limitCalls(next http.Handler, limit int) http.Handler {
	calls := make(chan struct{}, limit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case calls <- struct{}{}:
			defer func() { <-calls }()
			next.ServeHTTP(w, r)
		default:
			http.Error(w, "too many concurrent calls", http.StatusServiceUnavailable)
		}
	})
}

// writeJSON writes a JSON response. It ignores write errors, which mean that the caller has disconnected.
func writeJSON(w http.ResponseWriter, statusCode int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCode)
	_, _ = w.Write(text)
}

// handleInventory answers with the list of the node's copies.
func (n *Node) handleInventory(w http.ResponseWriter, _ *http.Request) {
	inventory := controllerclient.Inventory{
		Version:     placement.FormatVersion,
		Node:        n.name,
		Incarnation: n.incarnation,
		Lineage:     n.client.Lineage(),
		Copies:      []replica.CopyStatus{},
	}
	n.mu.Lock()
	if n.replicas != nil {
		inventory.Copies = append(inventory.Copies, n.replicas.Copies(controllerclient.Now())...)
	}
	// Until the assignments are loaded, the copies are in logsAtStart. It is then unknown whether the controllers rely on them, so
	// IsPrimary and IsReplica stay false.
	for _, log := range n.logsAtStart {
		inventory.Copies = append(inventory.Copies, replica.CopyStatus{
			Instance:  log.Instance,
			Epoch:     log.LastEpoch(),
			Index:     log.LastIndex(),
			LastEpoch: log.LastEpoch(),
			Checksum:  log.Checksum(),
			Size:      log.Size(),
		})
	}
	n.mu.Unlock()
	writeJSON(w, http.StatusOK, inventory)
}

// handleMessage answers a message of another node as soon as everything in the message is on the disk.
func (n *Node) handleMessage(w http.ResponseWriter, r *http.Request, kind string) {
	caller, _ := r.Context().Value(callerKey{}).(string)
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err != nil {
		n.refuseMessage(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var m replica.Message
	if err := json.Unmarshal(text, &m); err != nil {
		n.refuseMessage(w, http.StatusBadRequest, err.Error())
		return
	}
	if m.Kind != kind {
		n.refuseMessage(w, http.StatusBadRequest, fmt.Sprintf("message of kind %q sent to the path of kind %s", m.Kind, kind))
		return
	}
	id, reply := n.receiveMessage(caller, m)
	if reply == nil {
		n.refuseMessage(w, http.StatusServiceUnavailable, "the assignments are not loaded yet")
		return
	}
	timer := time.NewTimer(n.leaseDuration.Duration())
	defer timer.Stop()
	select {
	case answer := <-reply:
		writeJSON(w, messageStatusCode(answer), answer)
		return
	case <-timer.C:
	case <-r.Context().Done():
	}
	n.mu.Lock()
	delete(n.pendingReplies, id)
	n.mu.Unlock()
	n.refuseMessage(w, http.StatusServiceUnavailable, "timed out waiting for the disk")
}

// receiveMessage passes a message to the replica.Manager. The answer will be sent to reply, which is nil if the first assignments
// are not loaded yet. id is the key of reply in pendingReplies.
func (n *Node) receiveMessage(caller string, m replica.Message) (id uint64, reply <-chan replica.Message) {
	answers := make(chan replica.Message, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replicas == nil {
		return 0, nil
	}
	n.lastReplyID++
	m.ReplyTo = n.lastReplyID
	n.pendingReplies[m.ReplyTo] = answers
	n.replicas.OnMessage(controllerclient.Now(), caller, m)
	return m.ReplyTo, answers
}

// messageStatusCode returns the HTTP status code for an answer.
func messageStatusCode(answer replica.Message) int {
	switch answer.Kind {
	case replica.MessageStaleEpoch:
		return http.StatusConflict
	case replica.MessageRejected:
		return http.StatusUnprocessableEntity
	}
	return http.StatusOK
}

// refuseMessage answers a message that was not passed to the replica.Manager, or whose answer took too long.
func (n *Node) refuseMessage(w http.ResponseWriter, statusCode int, reason string) {
	writeJSON(w, statusCode, replica.Message{
		Version:           placement.FormatVersion,
		Kind:              replica.MessageRejected,
		Instance:          "?",
		SenderIncarnation: n.incarnation,
		Reason:            reason,
	})
}
