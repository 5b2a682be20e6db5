package controller

import (
	"context"
	"io"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
)

// streamLayer carries raft's calls over the fleet's connections. It implements raft.StreamLayer. Addresses are names: each
// process finds another one by its own file.
type streamLayer struct{ controller *Controller }

// nodeAddr is a process's name as a net.Addr.
type nodeAddr string

// Network is the kind of the address.
func (n nodeAddr) Network() string { return "fleet" }

func (n nodeAddr) String() string { return string(n) }

// Addr is this controller's name.
func (s streamLayer) Addr() net.Addr { return nodeAddr(s.controller.name) }

// Close ends Accept.
func (s streamLayer) Close() error {
	return s.controller.Network.Listener(peertransport.KindLog).Close()
}

// Accept waits for a connection of another controller; those of other processes are closed.
func (s streamLayer) Accept() (net.Conn, error) {
	for {
		conn, err := s.controller.Network.Listener(peertransport.KindLog).Accept()
		if err != nil {
			return nil, err
		}
		if from, ok := conn.(*peertransport.Conn); ok && slices.Contains(s.controller.peers, from.From) {
			return conn, nil
		}
		s.controller.Log.Warn().Str("event", "refused").
			Str("why", "a connection for the agreed log from a process that is no keeper").Msg("log connection refused")
		_ = conn.Close() // it was never used
	}
}

// Dial connects to another controller.
func (s streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.controller.Network.Dial(ctx, string(to), peertransport.KindLog)
}

// positionTransport is raft's transport. It notes what other controllers have confirmed to have on their disks before raft
// counts it as agreed, so that an outdated disk is known as such when its controller starts again.
type positionTransport struct {
	*raft.NetworkTransport
	controller *Controller
}

// notePosition notes the last entry that a controller has confirmed.
func (p positionTransport) notePosition(id raft.ServerID, last controllerclient.LogPosition) {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	if last.Later(p.controller.logPositions[string(id)]) {
		p.controller.logPositions[string(id)] = last
	}
}

// AppendEntries sends entries, and notes the last one once it is confirmed.
func (p positionTransport) AppendEntries(id raft.ServerID, to raft.ServerAddress, request *raft.AppendEntriesRequest,
	response *raft.AppendEntriesResponse) error {

	err := p.NetworkTransport.AppendEntries(id, to, request, response)
	if n := len(request.Entries); err == nil && response.Success && n > 0 {
		last := request.Entries[n-1]
		p.notePosition(id, controllerclient.LogPosition{Term: last.Term, Index: last.Index})
	}
	return err
}

// AppendEntriesPipeline is not supported: each answer is to be noted before the next entries are sent.
func (p positionTransport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// InstallSnapshot sends a snapshot, and notes its last entry once it is confirmed.
func (p positionTransport) InstallSnapshot(id raft.ServerID, to raft.ServerAddress, request *raft.InstallSnapshotRequest,
	response *raft.InstallSnapshotResponse, data io.Reader) error {

	err := p.NetworkTransport.InstallSnapshot(id, to, request, response, data)
	if err == nil && response.Success {
		p.notePosition(id, controllerclient.LogPosition{Term: request.LastLogTerm, Index: request.LastLogIndex})
	}
	return err
}
