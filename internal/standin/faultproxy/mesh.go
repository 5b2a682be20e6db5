package faultproxy

import (
	"silvercove/internal/peertransport"
)

// Mesh has a link between any two processes of a fleet, one in each direction. Its methods are safe for concurrent use.
type Mesh struct {
	peers []peertransport.Peer
	links map[[2]string]*Link // by who connects, and to whom
}

// NewMesh makes the links of processes that listen at their peers' addresses. The network ends them.
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

// Link is the link by which a process connects to another one; nil where one of them is not of the mesh.
func (m *Mesh) Link(from, to string) *Link { return m.links[[2]string{from, to}] }

// LinksOf are all links from a process and to it.
func (m *Mesh) LinksOf(name string) (links []*Link) {
	for _, peer := range m.peers {
		if peer.Name != name {
			links = append(links, m.Link(name, peer.Name), m.Link(peer.Name, name))
		}
	}
	return links
}

// PeersOf are the other processes as one of them reaches them, each over its link.
func (m *Mesh) PeersOf(name string) (peers []peertransport.Peer) {
	for _, peer := range m.peers {
		if peer.Name != name {
			peer.Address = m.Link(name, peer.Name).Address()
			peers = append(peers, peer)
		}
	}
	return peers
}

// SetBoth sets a fault of both ways of a link. The zero Fault heals it.
func (l *Link) SetBoth(f Fault) {
	l.Set(Forward, f)
	l.Set(Backward, f)
}
