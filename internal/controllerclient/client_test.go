package controllerclient

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestClient returns a client of two fake controllers, which answer calls with handle. Their names begin with "keeper", the
// name of the controllers' role in the wire protocol and in the configuration file.
func newTestClient(t *testing.T, handle func(controller string, w http.ResponseWriter, r *http.Request)) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var finished []chan struct{}
	var networks []*peertransport.Network
	var peers []peertransport.Peer
	for _, name := range []string{"keeper-1", "keeper-2", "edge-a"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		role, _, _ := strings.Cut(name, "-")
		peers = append(peers, peertransport.Peer{Name: name, Role: role, Address: listener.Addr().String()})
		_ = listener.Close()
	}
	for i, self := range peers {
		var others []peertransport.Peer
		for j, p := range peers {
			if i != j {
				others = append(others, p)
			}
		}
		network, err := peertransport.Open("vans", self, others, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		networks = append(networks, network)
		done := make(chan struct{})
		finished = append(finished, done)
		go func() {
			defer close(done)
			if err := network.Run(ctx); err != nil {
				t.Error(err)
			}
		}()
		if self.Role == "keeper" {
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(self.Name, w, r) })}
			done := make(chan struct{})
			finished = append(finished, done)
			go func() {
				defer close(done)
				_ = server.Serve(network.Listener(peertransport.KindHTTP)) // returns when the test closes the server
			}()
			t.Cleanup(func() { _ = server.Close() })
		}
	}
	c := New(networks[2], map[string]any{"fleet.lease": 0.2}, 3)
	t.Cleanup(func() {
		c.Close()
		cancel()
		for _, done := range finished {
			<-done
		}
	})
	return c
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func TestCall_FollowsRedirectToLeader(t *testing.T) {
	c := newTestClient(t, func(controller string, w http.ResponseWriter, _ *http.Request) {
		if controller == "keeper-1" {
			writeJSON(w, http.StatusMisdirectedRequest, ErrorBody{Leader: "keeper-2"})
			return
		}
		writeJSON(w, http.StatusConflict, ErrorBody{Error: "x: " + placement.ErrStaleEpoch.Error(), Assignment: &placement.Assignment{Instance: "x", Epoch: 7}})
	})
	c.leader = "keeper-1"
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.Propose(ctx, placement.Operation{Kind: placement.OpReplicaReady, Instance: "x"})
	var refusal *RefusalError
	if !errors.Is(err, placement.ErrStaleEpoch) || errors.Is(err, placement.ErrWrongState) || !errors.As(err, &refusal) || refusal.Assignment.Epoch != 7 {
		t.Errorf("a refusal by the leader: %v", err)
	}
}

// TestCall_MutualRedirectsEndWithContext guards against a loop of calls without pauses if two controllers redirect to each
// other.
func TestCall_MutualRedirectsEndWithContext(t *testing.T) {
	var calls atomic.Int64
	c := newTestClient(t, func(controller string, w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		writeJSON(w, http.StatusMisdirectedRequest, ErrorBody{Leader: map[string]string{"keeper-1": "keeper-2", "keeper-2": "keeper-1"}[controller]})
	})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if _, err := c.MoveDevice(ctx, "x", "north"); !errors.Is(err, ErrNoController) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a call that is redirected until its context ends: %v", err)
	}
	if n := calls.Load(); n < 3 || n > 200 {
		t.Errorf("%d calls within 500 ms", n)
	}
}

func TestCheckLineage_RefusesOlderOrOtherLog(t *testing.T) {
	for _, tc := range []struct {
		old, new Lineage
		ok       bool
	}{
		{Lineage{}, Lineage{1, "a"}, true}, {Lineage{1, "a"}, Lineage{1, "a"}, true}, {Lineage{1, "a"}, Lineage{2, "b"}, true},
		{Lineage{1, "a"}, Lineage{1, "b"}, false}, {Lineage{2, "b"}, Lineage{1, "a"}, false},
	} {
		c := &Client{lineage: tc.old}
		if err := c.CheckLineage(tc.new); (err == nil) != tc.ok || err != nil && !errors.Is(err, ErrOtherLineage) {
			t.Errorf("%v after %v: %v", tc.new, tc.old, err)
		}
		if got := c.Lineage(); tc.ok != (got == tc.new) && tc.new != tc.old {
			t.Errorf("%v after %v: %v", tc.new, tc.old, got)
		}
	}
}

// TestInventory_RefusesLaterVersion guards against a client that reads an inventory of a later format version as an inventory
// of the current version: assignments would be rebuilt from misread copies.
func TestInventory_RefusesLaterVersion(t *testing.T) {
	version := placement.FormatVersion
	c := newTestClient(t, func(controller string, w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, Inventory{Version: version, Node: controller, Incarnation: 3, Copies: []replica.CopyStatus{{Instance: "camera-7", Index: 2}}})
	})
	if inventory, err := c.Inventory(t.Context(), "keeper-1"); err != nil || len(inventory.Copies) != 1 {
		t.Errorf("an inventory of the current version: %+v %v", inventory, err)
	}
	version++
	if _, err := c.Inventory(t.Context(), "keeper-1"); !errors.Is(err, placement.ErrUnsupportedVersion) {
		t.Errorf("an inventory of a later version: %v", err)
	}
}

// TestWatch_EndsPollAtStalledController guards against a watch that waits for a hung former leader, whose connections stay open,
// until the poll times out. As soon as another call succeeds at the current leader, the watch must poll there.
func TestWatch_EndsPollAtStalledController(t *testing.T) {
	polled, testDone := make(chan struct{}, 64), make(chan struct{})
	defer close(testDone)
	c := newTestClient(t, func(controller string, w http.ResponseWriter, r *http.Request) {
		switch {
		case controller == "keeper-1" && r.URL.Query().Get("since") == "0":
			writeJSON(w, http.StatusOK, AssignmentChanges{Version: 1, Lineage: Lineage{1, "a"}, Complete: true})
		case controller == "keeper-1":
			polled <- struct{}{}
			select {
			case <-r.Context().Done():
			case <-testDone:
			}
		default:
			writeJSON(w, http.StatusOK, AssignmentChanges{Version: 2, Lineage: Lineage{1, "a"}, Assignments: []placement.Assignment{{Instance: "camera-7", Epoch: 2}}})
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.leader = "keeper-2" // the client calls keeper-2 first, where MoveDevice succeeds
	if _, err := c.MoveDevice(ctx, "camera-7", "north"); err != nil {
		t.Fatal(err)
	}
	c.leader = "keeper-1"
	versions := make(chan uint64, 64)
	done := make(chan error, 1)
	go func() {
		done <- c.Watch(ctx, func(changes AssignmentChanges) {
			select {
			case versions <- changes.Version:
			default:
			}
		})
	}()
	<-polled
	if _, err := c.MoveDevice(ctx, "camera-7", "north"); err != nil {
		t.Error(err)
	}
	for version := uint64(0); version != 2; {
		select {
		case version = <-versions:
		case <-ctx.Done():
			t.Fatal("no changes received from the current leader")
		}
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("watch ended with %v", err)
	}
}
