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

// streamLayer carries raft's calls over the fleet's connections. Addresses are names: each process finds another one by its
// own file.
type streamLayer struct{ controller *Controller }

type nodeAddr string

func (n nodeAddr) Network() string { return "fleet" }

func (n nodeAddr) String() string { return string(n) }

// Addr is this keeper's name.
func (s streamLayer) Addr() net.Addr { return nodeAddr(s.controller.name) }

// Close ends Accept.
func (s streamLayer) Close() error {
	return s.controller.Network.Listener(peertransport.KindLog).Close()
}

// Accept waits for a keeper's connection; those of others are closed.
func (s streamLayer) Accept() (net.Conn, error) {
	for {
		conn, err := s.controller.Network.Listener(peertransport.KindLog).Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := conn.(*peertransport.Conn); !ok || !slices.Contains(s.controller.peers, c.From) {
			s.controller.Log.Warn().Str("event", "refused").Msg("a connection for the agreed log from a process that is no keeper")
			_ = conn.Close()
			continue
		}
		return conn, nil
	}
}

// Dial connects to a keeper.
func (s streamLayer) Dial(to raft.ServerAddress, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.controller.Network.Dial(ctx, string(to), peertransport.KindLog)
}

// positionTransport notes what other keepers confirmed to have on their disks, before it counts as agreed.
type positionTransport struct {
	*raft.NetworkTransport
	controller *Controller
}

func (m positionTransport) notePosition(id raft.ServerID, last controllerclient.LogPosition) {
	m.controller.mu.Lock()
	defer m.controller.mu.Unlock()
	if last.Later(m.controller.logPositions[string(id)]) {
		m.controller.logPositions[string(id)] = last
	}
}

// AppendEntries sends entries.
func (m positionTransport) AppendEntries(id raft.ServerID, to raft.ServerAddress, ask *raft.AppendEntriesRequest,
	answer *raft.AppendEntriesResponse) error {

	err := m.NetworkTransport.AppendEntries(id, to, ask, answer)
	if n := len(ask.Entries); err == nil && answer.Success && n > 0 {
		m.notePosition(id, controllerclient.LogPosition{Term: ask.Entries[n-1].Term, Index: ask.Entries[n-1].Index})
	}
	return err
}

// AppendEntriesPipeline is not spoken: each answer is noted first.
func (m positionTransport) AppendEntriesPipeline(raft.ServerID, raft.ServerAddress) (raft.AppendPipeline, error) {
	return nil, raft.ErrPipelineReplicationNotSupported
}

// InstallSnapshot sends a snapshot.
func (m positionTransport) InstallSnapshot(id raft.ServerID, to raft.ServerAddress, ask *raft.InstallSnapshotRequest,
	answer *raft.InstallSnapshotResponse, data io.Reader) error {

	err := m.NetworkTransport.InstallSnapshot(id, to, ask, answer, data)
	if err == nil && answer.Success {
		m.notePosition(id, controllerclient.LogPosition{Term: ask.LastLogTerm, Index: ask.LastLogIndex})
	}
	return err
}
