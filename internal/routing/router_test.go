package routing

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"silvercove/balancer"
	"silvercove/internal/controllerclient"
	"silvercove/internal/dispatch"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedControllers reports the assignments and nodes that the test sends.
type scriptedControllers struct {
	assignments chan []placement.Assignment
	nodes       chan []controllerclient.Node
}

func (s *scriptedControllers) Watch(ctx context.Context, notify func(controllerclient.AssignmentChanges)) error {
	for version, complete := uint64(1), true; ; version, complete = version+1, false {
		select {
		case assignments := <-s.assignments:
			notify(controllerclient.AssignmentChanges{Version: version, Complete: complete, Assignments: assignments})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *scriptedControllers) WatchNodes(ctx context.Context, notify func(controllerclient.NodeList)) error {
	for {
		select {
		case nodes := <-s.nodes:
			notify(controllerclient.NodeList{Version: 1, Nodes: nodes})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TestRouter_FollowsControllers: a request goes to the edge node that the controllers name, at the address in this
// process's own configuration file. A node whose lease has ended gets no requests, and requests for a lost instance are
// rejected.
func TestRouter_FollowsControllers(t *testing.T) {
	noop := func(string) {}
	network, err := peertransport.Open("vans", peertransport.Peer{Name: "relay-1", Role: "relay", Address: "127.0.0.1:0"},
		[]peertransport.Peer{{Name: "edge-a", Role: "edge", RequestAddress: "127.0.0.1:1001"}, {Name: "edge-b", Role: "edge"}}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	dispatcher := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Relays:  1,
		Classes: []balancer.RequestClass{{Name: "crop", Idempotency: balancer.Idempotent, LatencyObjective: 0.5, Deadline: 2, PriorityWeight: 1}},
		Limits:  balancer.Limits{MaxAttempts: 4},
	}},
		dispatch.Callbacks{CloseIdle: noop, WatchEndpoints: func(bool) {}, Vote: func(dispatch.Vote) {}})
	dispatcher.FollowPlacements()
	dispatcher.UpdateStage(dispatch.RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var log bytes.Buffer
	controllers := &scriptedControllers{make(chan []placement.Assignment), make(chan []controllerclient.Node)}
	done := make(chan error, 3)
	go func() { done <- network.Run(ctx) }()
	go func() { done <- dispatcher.RunTimers(ctx) }()
	go func() { done <- New(controllers, network, zerolog.New(zerolog.SyncWriter(&log))).Run(ctx, dispatcher) }()

	updateNodes := func(nodes ...controllerclient.Node) { // controllers.nodes is unbuffered: the second send returns once the first list was handled
		controllers.nodes <- nodes
		controllers.nodes <- nodes
	}
	updateAssignments := func(assignments ...placement.Assignment) {
		controllers.assignments <- assignments
		controllers.assignments <- nil
	}
	updateNodes(controllerclient.Node{Name: "edge-a", HasLease: true, State: "hands-on", RequestAddress: "127.0.0.1:9"},
		controllerclient.Node{Name: "edge-b", HasLease: true, RequestAddress: "127.0.0.1:1002"})
	updateAssignments(placement.Assignment{Instance: "camera-7", State: placement.Running, Primary: "edge-a", Epoch: 4, Revision: 9},
		placement.Assignment{Instance: "camera-8", State: placement.Lost, Primary: "edge-a", Epoch: 4, Revision: 9})
	submitRequest := func(key string) dispatch.Step {
		c, ok := dispatcher.Accept(dispatch.Request{Class: "crop", Key: key, ReceivedAt: time.Now(), Timeout: 2 * time.Second})
		if !ok {
			t.Fatal("request not accepted")
		}
		return dispatcher.Next(c)
	}
	if s := submitRequest("camera-7"); s.Attempt == nil || s.Attempt.Address != "127.0.0.1:1001" {
		t.Errorf("draining primary, not sent to the address of the configuration file: %+v", s)
	}
	if s := submitRequest("camera-8"); s.Answer != dispatch.Rejected {
		t.Errorf("lost instance: %+v", s)
	}
	updateAssignments(placement.Assignment{Instance: "camera-7", State: placement.Running, Primary: "edge-b", Epoch: 5, Revision: 12})
	if s := submitRequest("camera-7"); s.Attempt == nil || s.Attempt.Address != "127.0.0.1:1002" {
		t.Errorf("after a migration: %+v", s)
	}
	updateNodes(controllerclient.Node{Name: "edge-a", HasLease: true, RequestAddress: "127.0.0.1:9"}, controllerclient.Node{Name: "edge-b", RequestAddress: "127.0.0.1:1002"})
	if s := submitRequest("camera-7"); s.Answer != dispatch.Rejected {
		t.Errorf("primary without a lease: %+v", s)
	}
	cancel()
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	for _, want := range []string{`"event":"routes","instance":"camera-7","epoch":5,"to":"edge-b"`, "dead, according to the controllers"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no log line contains %s:\n%s", want, log.String())
		}
	}
}
