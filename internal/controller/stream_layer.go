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

// streamLayer carries raft's calls over the connections between the fleet's processes. It implements raft.StreamLayer. The
// addresses that raft passes to it are process names. Each process looks them up in its own configuration file.
type streamLayer struct{ controller *Controller }

// nodeAddr is the net.Addr of a process: the process's name.
type nodeAddr string

// Network returns the name of the address's network.
func (n nodeAddr) Network() string { return "fleet" }

func (n nodeAddr) String() string { return string(n) }

// Addr returns this controller's name.
func (s streamLayer) Addr() net.Addr { return nodeAddr(s.controller.name) }

// Close closes the listener, which ends Accept.
func (s streamLayer) Close() error {
	return s.controller.Network.Listener(peertransport.KindLog).Close()
}

// Accept waits for a connection of another controller. It closes connections of other processes.
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
			Str("why", "the process at the other end is not another controller").Msg("log connection refused")
		_ = conn.Close() // an error does not matter: the connection was never used
	}
}

// Dial connects to another controller.
func (s streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.controller.Network.Dial(ctx, string(to), peertransport.KindLog)
}

// positionTransport is raft's transport. For each other controller, positionTransport records the last entry that the
// controller acknowledged as stored, before raft counts the acknowledgment. When a controller starts again, decideStarted
// compares the last entry on the controller's disk with these records, and so detects an outdated disk.
type positionTransport struct {
	*raft.NetworkTransport
	controller *Controller
}

// notePosition records the position of the last entry that a controller has acknowledged, if it is later than the recorded
// position.
func (p positionTransport) notePosition(id raft.ServerID, last controllerclient.LogPosition) {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	if last.Later(p.controller.logPositions[string(id)]) {
		p.controller.logPositions[string(id)] = last
	}
}

// AppendEntries sends entries, and records the position of the last entry after the entries are acknowledged.
func (p positionTransport) AppendEntries(id raft.ServerID, to raft.ServerAddress, request *raft.AppendEntriesRequest,
	response *raft.AppendEntriesResponse) error {

	err := p.NetworkTransport.AppendEntries(id, to, request, response)
	if n := len(request.Entries); err == nil && response.Success && n > 0 {
		last := request.Entries[n-1]
		p.notePosition(id, controllerclient.LogPosition{Term: last.Term, Index: last.Index})
	}
	return err
}

// AppendEntriesPipeline is not supported, so raft calls AppendEntries. AppendEntries records each acknowledgment before raft
// sends the next entries.
func (p positionTransport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// InstallSnapshot sends a snapshot, and records the position of the snapshot's last entry after the snapshot is acknowledged.
func (p positionTransport) InstallSnapshot(id raft.ServerID, to raft.ServerAddress, request *raft.InstallSnapshotRequest,
	response *raft.InstallSnapshotResponse, data io.Reader) error {

	err := p.NetworkTransport.InstallSnapshot(id, to, request, response, data)
	if err == nil && response.Success {
		p.notePosition(id, controllerclient.LogPosition{Term: request.LastLogTerm, Index: request.LastLogIndex})
	}
	return err
}
