package controllerclient

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// made is a client of two stand-in keepers.
func made(t *testing.T, answer func(keeper string, w http.ResponseWriter, r *http.Request)) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	var ends []chan struct{}
	var nets []*peertransport.Network
	var at []peertransport.Peer
	for _, name := range []string{"keeper-1", "keeper-2", "edge-a"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at = append(at, peertransport.Peer{Name: name, Role: map[bool]string{true: "edge", false: "keeper"}[name == "edge-a"],
			Address: l.Addr().String()})
		_ = l.Close()
	}
	for i, self := range at {
		var others []peertransport.Peer
		for j, p := range at {
			if i != j {
				others = append(others, p)
			}
		}
		n, err := peertransport.Open("vans", self, others, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		nets = append(nets, n)
		end := make(chan struct{})
		ends = append(ends, end)
		go func() { defer close(end); _ = n.Run(ctx) }()
		if self.Role == "keeper" {
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(self.Name, w, r) })}
			end := make(chan struct{})
			ends = append(ends, end)
			go func() { defer close(end); _ = server.Serve(n.Listener(peertransport.KindHTTP)) }()
			t.Cleanup(func() { _ = server.Close() })
		}
	}
	c := New(nets[2], map[string]any{"fleet.lease": 0.2}, 3)
	t.Cleanup(func() {
		c.Close()
		cancel()
		for _, end := range ends {
			<-end
		}
	})
	return c
}

func say(w http.ResponseWriter, code int, v any) {
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func TestACallFindsTheLeader(t *testing.T) {
	c := made(t, func(keeper string, w http.ResponseWriter, _ *http.Request) {
		if keeper == "keeper-1" {
			say(w, http.StatusMisdirectedRequest, ErrorBody{Leader: "keeper-2"})
			return
		}
		say(w, http.StatusConflict, ErrorBody{Error: "x: " + placement.ErrStaleEpoch.Error(), Assignment: &placement.Assignment{Instance: "x", Epoch: 7}})
	})
	c.leader = "keeper-1"
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.Propose(ctx, placement.Operation{Kind: placement.OpReplicaReady, Instance: "x"})
	var no *RefusalError
	if !errors.Is(err, placement.ErrStaleEpoch) || errors.Is(err, placement.ErrWrongState) || !errors.As(err, &no) || no.Assignment.Epoch != 7 {
		t.Errorf("%v", err)
	}
}

// TestACallEndsWithItsContext: two keepers that each name the other one are not asked in a circle without a pause.
func TestACallEndsWithItsContext(t *testing.T) {
	var asked atomic.Int64
	c := made(t, func(keeper string, w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		say(w, http.StatusMisdirectedRequest, ErrorBody{Leader: map[string]string{"keeper-1": "keeper-2", "keeper-2": "keeper-1"}[keeper]})
	})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if _, err := c.MoveDevice(ctx, "x", "north"); !errors.Is(err, ErrNoController) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v", err)
	}
	if n := asked.Load(); n < 3 || n > 200 {
		t.Errorf("%d calls within 500 ms", n)
	}
}

func TestALineIsBelievedOrNot(t *testing.T) {
	for _, s := range []struct {
		old, new Lineage
		ok       bool
	}{
		{Lineage{}, Lineage{1, "a"}, true}, {Lineage{1, "a"}, Lineage{1, "a"}, true}, {Lineage{1, "a"}, Lineage{2, "b"}, true},
		{Lineage{1, "a"}, Lineage{1, "b"}, false}, {Lineage{2, "b"}, Lineage{1, "a"}, false},
	} {
		c := &Client{line: s.old}
		if err := c.CheckLineage(s.new); (err == nil) != s.ok || err != nil && !errors.Is(err, ErrOtherLineage) {
			t.Errorf("%v after %v: %v", s.new, s.old, err)
		}
		if got := c.Lineage(); s.ok != (got == s.new) && s.new != s.old {
			t.Errorf("%v after %v: %v", s.new, s.old, got)
		}
	}
}

// What a unit of a later version has is not read as if it were of this one: placement would be rebuilt from it.
func TestHoldingsOfALaterVersionAreRefused(t *testing.T) {
	v := placement.FormatVersion
	c := made(t, func(keeper string, w http.ResponseWriter, _ *http.Request) {
		say(w, http.StatusOK, Inventory{Version: v, Node: keeper, Incarnation: 3, Copies: []replica.CopyStatus{{Instance: "camera-7", Index: 2}}})
	})
	if h, err := c.Inventory(t.Context(), "keeper-1"); err != nil || len(h.Copies) != 1 {
		t.Errorf("%+v %v", h, err)
	}
	v++
	if _, err := c.Inventory(t.Context(), "keeper-1"); !errors.Is(err, placement.ErrUnsupportedVersion) {
		t.Errorf("%v", err)
	}
}

// The keeper that led stands still with its connections open: news comes from the one that leads now once any other call
// was carried out there, not only when the poll is over.
func TestAPollAtAKeeperThatStandsStillIsEnded(t *testing.T) {
	polled, over := make(chan struct{}, 64), make(chan struct{})
	defer close(over)
	c := made(t, func(keeper string, w http.ResponseWriter, r *http.Request) {
		switch {
		case keeper == "keeper-1" && r.URL.Query().Get("since") == "0":
			say(w, http.StatusOK, AssignmentChanges{Version: 1, Lineage: Lineage{1, "a"}, Complete: true})
		case keeper == "keeper-1":
			polled <- struct{}{}
			select {
			case <-r.Context().Done():
			case <-over:
			}
		default:
			say(w, http.StatusOK, AssignmentChanges{Version: 2, Lineage: Lineage{1, "a"}, Assignments: []placement.Assignment{{Instance: "camera-7", Epoch: 2}}})
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.leader = "keeper-2" // it led before, too
	if _, err := c.MoveDevice(ctx, "camera-7", "north"); err != nil {
		t.Fatal(err)
	}
	c.leader = "keeper-1"
	news := make(chan uint64, 64)
	done := make(chan error, 1)
	go func() {
		done <- c.Watch(ctx, func(version uint64, _ []placement.Assignment, _ []string, _ bool) {
			select {
			case news <- version:
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
		case version = <-news:
		case <-ctx.Done():
			t.Fatal("the news of the keeper that leads now is not heard")
		}
	}
	cancel()
	<-done
}
