package controller

import (
	"errors"
	"strings"
	"testing"
	"time"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
)

func TestConnLimiter_RefusedCallersRetry(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 2)
	limiter := &connLimiter{limit: 6, limitPerProcess: 4}
	c.adjustOptions = func(_ string, o *Options) { o.connLimiter = limiter }
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	c.processes["edge-a"].client.Close()
	var conns []interface{ Close() error }
	dial := func(from string) error {
		conn, err := c.processes[from].network.Dial(testContext(t), "keeper-1", peertransport.KindHTTP)
		if err == nil {
			conns = append(conns, conn)
		}
		return err
	}
	allReleased := func() bool {
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		return limiter.total == 0
	}
	c.waitFor("the first connection is closed", allReleased)
	for range 4 {
		if err := dial("edge-b"); err != nil {
			t.Fatal(err)
		}
	}
	if err := dial("edge-b"); !errors.Is(err, peertransport.ErrRefused) || !strings.Contains(err.Error(), "try again") {
		t.Errorf("a fifth connection of one process: %v", err)
	}
	c.create("edge-a", "camera-1", "edge-a") // a call of another process succeeds
	c.processes["edge-a"].client.Close()
	c.waitFor("two connections are left", func() bool { limiter.mu.Lock(); defer limiter.mu.Unlock(); return limiter.total == 4 })
	for range 2 {
		if err := dial("relay-1"); err != nil {
			t.Fatal(err)
		}
	}
	if err := dial("edge-a"); !errors.Is(err, peertransport.ErrRefused) {
		t.Errorf("a seventh connection of all processes: %v", err)
	}
	shortContext, cancel := contextWithTimeout(200 * time.Millisecond)
	defer cancel()
	op := placement.Operation{Kind: placement.OpCreate, Instance: "camera-2", Target: "edge-a"}
	if _, err := c.processes["edge-a"].client.Propose(shortContext, op); !errors.Is(err, controllerclient.ErrNoController) ||
		!strings.Contains(err.Error(), "busy") {
		t.Errorf("the caller is not told to try again: %v", err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := c.processes["edge-a"].client.Propose(testContext(t), placement.Operation{Kind: placement.OpCreate, Instance: "camera-3",
			Target: "edge-a", Zone: "north", Weight: 3})
		result <- err
	}()
	for _, conn := range conns {
		_ = conn.Close()
	}
	if err := <-result; err != nil {
		t.Errorf("a call that is retried: %v", err)
	}
	c.processes["edge-a"].client.Close()
	c.waitFor("all connections are released", allReleased)
}

// Controllers can connect to one another, however many other processes are connected.
func TestConnLimiter_AdmitsControllersBeyondTheLimit(t *testing.T) {
	c := connLimiter{limit: 1, limitPerProcess: 2, byProcess: map[string]int{}, isController: func(name string) bool { return name == "keeper-2" }}
	admit := func(from string) bool {
		_, refusal := c.admit(from)
		return refusal == ""
	}
	if !admit("edge-a") || admit("edge-b") || !admit("keeper-2") || !admit("keeper-2") || admit("keeper-2") {
		t.Errorf("connections by process: %+v", c.byProcess)
	}
}
