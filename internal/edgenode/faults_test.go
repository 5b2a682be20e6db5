package edgenode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/placement"
	"silvercove/internal/standin/faultproxy"
)

// succeededWrite holds the ID of a write that succeeded and the value of its answer, which begins with the index of its log entry.
type succeededWrite struct{ id, value string }

// TestFaults_RandomLoseNoSucceededWrite writes to three instances while nodes and links fail and recover at random. Only one
// fault is active at a time, so that at most one copy of an instance is lost at a time.
func TestFaults_RandomLoseNoSucceededWrite(t *testing.T) {
	span := 6 * time.Second
	if s, err := time.ParseDuration(os.Getenv("EDGE_SOAK")); err == nil {
		span = s
	}
	seed := uint64(3) // the seed is the same in each run unless EDGE_SEED is set
	if s, err := strconv.ParseUint(os.Getenv("EDGE_SEED"), 10, 64); err == nil {
		seed = s
	}
	t.Logf("EDGE_SEED=%d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	c := newTestFleet(t, 4, true, func(c *testFleet) {
		c.realPlanner = true
		for name, v := range map[string]float64{"copies": 1, "dwell": 0.2, "restart_after": 5, "silence": 1, "moves.unit": 8,
			"moves.link": 4, "moves.all": 64, "falls": 100, "edges": 4, "keepers": 1} {
			c.settings["fleet."+name] = v
		}
	})
	names := []string{"camera-1", "camera-2", "camera-3"}
	succeeded := make([][]succeededWrite, len(names))
	ctx, stop := context.WithCancel(t.Context())
	var writers sync.WaitGroup
	for i, name := range names {
		c.propose(placement.Operation{Kind: placement.OpCreate, Instance: name, Target: "edge-a", Zone: "north", Weight: 3})
		writers.Go(func() { succeeded[i] = c.writeUntil(ctx, name) })
	}
	replicated := func() bool {
		for _, name := range names {
			a := c.assignment(name)
			if a.State != placement.Running || !a.EverServed || len(a.Replicas) == 0 || a.CopyTarget != "" {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		c.waitFor("each instance runs and has a replica", replicated)
		c.injectFault(ctx, random, names)
	}
	c.waitFor("each instance runs and has a replica", replicated)
	stop()
	writers.Wait()
	moves := 0
	for i, name := range names {
		moves += c.checkSucceeded(name, succeeded[i])
	}
	// The number of moves is only logged and not checked, because the number of faults within span depends on the machine.
	t.Logf("%d moves", moves-len(names))
}

// writeUntil writes to an instance until the context ends. It repeats each write at the current primary until the write succeeds.
func (c *testFleet) writeUntil(ctx context.Context, instance string) (succeeded []succeededWrite) {
	connections := map[string]*sqlClient{}
	defer func() {
		for _, client := range connections {
			_ = client.conn.Close()
		}
	}()
	primary := "edge-a"
	for ctx.Err() == nil {
		if connections[primary] == nil {
			conn, err := net.DialTimeout("tcp", c.processes[primary].peer.RequestAddress, time.Second)
			client := &sqlClient{conn: conn}
			if err == nil {
				_, _, err = client.exchange(pgwire.StartupMessage())
			}
			if err != nil {
				time.Sleep(5 * time.Millisecond)
				primary = c.primaryOf(ctx, instance, primary)
				continue
			}
			connections[primary] = client
		}
		id := fmt.Sprint(instance, "-", len(succeeded))
		value, state := connections[primary].write(id, instance, []byte("some state"))
		switch state {
		case pgwire.StateSuccess:
			succeeded = append(succeeded, succeededWrite{id, value})
			continue
		case "":
			_ = connections[primary].conn.Close()
			delete(connections, primary)
		}
		time.Sleep(2 * time.Millisecond)
		primary = c.primaryOf(ctx, instance, primary)
	}
	return succeeded
}

// injectFault injects one random fault: a node is killed and started again, a link discards the bytes of one direction for a
// while, or a device is moved to a random zone.
func (c *testFleet) injectFault(ctx context.Context, random *rand.Rand, instances []string) {
	c.t.Helper()
	from, to := fmt.Sprintf("edge-%c", 'a'+random.IntN(4)), fmt.Sprintf("edge-%c", 'a'+random.IntN(4))
	if random.IntN(3) == 0 || from == to {
		to = "keeper-1"
	}
	duration := time.Duration(50+random.IntN(1500)) * time.Millisecond
	switch random.IntN(4) {
	case 0:
		c.kill(from)
		time.Sleep(duration)
		c.start(from)
	case 1:
		link := c.mesh.Link(from, to)
		link.Set(faultproxy.Forward, faultproxy.Fault{Silent: true})
		time.Sleep(duration)
		link.Set(faultproxy.Forward, faultproxy.Fault{})
	case 2:
		link := c.mesh.Link(from, to)
		link.Set(faultproxy.Backward, faultproxy.Fault{Silent: true})
		time.Sleep(duration)
		link.Set(faultproxy.Backward, faultproxy.Fault{})
	case 3:
		zone := []string{"north", "south"}[random.IntN(2)]
		if _, err := c.client.MoveDevice(ctx, instances[random.IntN(3)], zone); err != nil {
			c.t.Error(err)
		}
	}
}

// checkSucceeded checks that each write that succeeded has a log entry of its own. It repeats the last 200 of these writes and
// checks that each gets its first answer again. It returns the instance's epoch.
func (c *testFleet) checkSucceeded(instance string, succeeded []succeededWrite) (epoch int) {
	c.t.Helper()
	assignment := c.assignment(instance)
	if assignment.MissingEntries > 0 {
		c.t.Errorf("%+v", assignment)
	}
	repeats := newWorkload(c)
	byIndex := map[string]string{}
	for i, write := range succeeded {
		index, _, _ := strings.Cut(write.value, " ")
		if firstID := byIndex[index]; firstID != "" {
			c.t.Errorf("%s: %s and %s are both entry %s", instance, firstID, write.id, index)
		}
		byIndex[index] = write.id
		// The instance remembers the answers to at least its last 200 writes.
		if i >= len(succeeded)-200 {
			if value := repeats.repeatAt(instance, write.id); value != write.value {
				c.t.Errorf("repeated write %s: value %s, was %s", write.id, value, write.value)
			}
		}
	}
	c.t.Logf("%s: %d succeeded, epoch %d", instance, len(succeeded), assignment.Epoch)
	return int(assignment.Epoch)
}
