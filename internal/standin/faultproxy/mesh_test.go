package faultproxy

import (
	"testing"

	"silvercove/internal/peertransport"
)

func TestMesh_LinksAnyTwo(t *testing.T) {
	network := New(1, nil)
	defer network.Close()
	mesh, err := NewMesh(network, []peertransport.Peer{
		{Name: "a", Role: peertransport.RoleEdge, Address: "127.0.0.1:1"},
		{Name: "b", Role: peertransport.RoleEdge, Address: "127.0.0.1:2"},
		{Name: "c", Role: peertransport.RoleRelay, Address: "127.0.0.1:3"},
	})
	if err != nil {
		t.Fatal(err)
	}
	peers := mesh.PeersOf("b")
	if len(peers) != 2 || peers[0].Name != "a" || peers[1].Role != peertransport.RoleRelay ||
		peers[1].Address != mesh.Link("b", "c").Address() {
		t.Errorf("PeersOf(b) = %+v", peers)
	}
	if links := mesh.LinksOf("b"); len(links) != 4 || links[1] != mesh.Link("a", "b") {
		t.Errorf("LinksOf(b) = %+v", links)
	}
	if mesh.Link("a", "a") != nil || mesh.Link("a", "d") != nil {
		t.Error("the mesh has a link from a process to itself, or to an unknown process")
	}
	link := mesh.Link("a", "c")
	link.SetBoth(Fault{Silent: true})
	if !link.Fault(Forward).Silent || !link.Fault(Backward).Silent || mesh.Link("c", "a").Fault(Forward).Silent {
		t.Error("SetBoth did not set the fault on both directions of this link alone")
	}
}
