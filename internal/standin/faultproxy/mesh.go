package faultproxy

import (
	"silvercove/internal/peertransport"
)

// Mesh has a link in each direction between every two processes of a fleet. Its methods are safe for concurrent use.
type Mesh struct {
	peers []peertransport.Peer
	links map[[2]string]*Link // by the names of the connecting and the listening process
}

// NewMesh adds links between all peers to a network. Each peer must listen at its address. Closing the network ends the links.
func NewMesh(network *Network, peers []peertransport.Peer) (*Mesh, error) {
	m := &Mesh{peers: peers, links: map[[2]string]*Link{}}
	for _, from := range peers {
		for _, to := range peers {
			if from.Name == to.Name {
				continue
			}
			link, err := network.AddLink(from.Name, to.Name, to.Address)
			if err != nil {
				return nil, err
			}
			m.links[[2]string{from.Name, to.Name}] = link
		}
	}
	return m, nil
}

// Link returns the link over which one process connects to another, or nil if one of them is not part of the mesh.
func (m *Mesh) Link(from, to string) *Link { return m.links[[2]string{from, to}] }

// LinksOf returns all links from and to a process.
func (m *Mesh) LinksOf(name string) (links []*Link) {
	for _, peer := range m.peers {
		if peer.Name != name {
			links = append(links, m.Link(name, peer.Name), m.Link(peer.Name, name))
		}
	}
	return links
}

// PeersOf returns the other processes with the link addresses at which the named process reaches them.
func (m *Mesh) PeersOf(name string) (peers []peertransport.Peer) {
	for _, peer := range m.peers {
		if peer.Name != name {
			peer.Address = m.Link(name, peer.Name).Address()
			peers = append(peers, peer)
		}
	}
	return peers
}

// SetBoth sets the same fault on both directions of a link. The zero Fault removes the faults of both directions.
func (l *Link) SetBoth(f Fault) {
	l.Set(Forward, f)
	l.Set(Backward, f)
}
