package edgenode

import (
	"fmt"
	"net"
	"strings"

	"silvercove/internal/pgwire"
)

// workload is a client that, like a relay, sends its writes to the current primary of an instance, and records the writes that
// succeeded.
type workload struct {
	fleet       *testFleet
	connections map[string]*sqlClient
	succeeded   map[string]string
	writes      int
}

// newWorkload returns a workload that has not written yet.
func newWorkload(c *testFleet) *workload {
	return &workload{fleet: c, connections: map[string]*sqlClient{}, succeeded: map[string]string{}}
}

// write sends a new write until it succeeds, checks that the answer has the next log index, and returns the answer's value.
func (w *workload) write() string {
	w.fleet.t.Helper()
	w.writes++
	id := fmt.Sprint("u", w.writes)
	value := w.repeat(id)
	if want := fmt.Sprintf("%d ", w.writes); !strings.HasPrefix(value, want) {
		w.fleet.t.Errorf("write %s has the wrong index: %s", id, value)
	}
	w.succeeded[id] = value
	return value
}

// repeat sends the write with the given ID to the instance camera-7 until the write succeeds, and returns the answer's value.
func (w *workload) repeat(id string) (value string) { return w.repeatAt("camera-7", id) }

// repeatAt sends the write with the given ID to an instance until the write succeeds, and returns the answer's value.
func (w *workload) repeatAt(instance, id string) (value string) {
	w.fleet.t.Helper()
	w.fleet.waitFor("success of write "+id, func() bool {
		primary := w.fleet.assignment(instance).Primary
		if primary == "" {
			return false
		}
		if w.connections[primary] == nil {
			conn, err := net.Dial("tcp", w.fleet.processes[primary].peer.RequestAddress)
			if err != nil {
				return false
			}
			w.fleet.t.Cleanup(func() { _ = conn.Close() })
			w.connections[primary] = &sqlClient{conn: conn}
			if _, _, err := w.connections[primary].exchange(pgwire.StartupMessage()); err != nil {
				delete(w.connections, primary)
				return false
			}
		}
		answer, state := w.connections[primary].write(id, instance, []byte("x"))
		if state == "" {
			delete(w.connections, primary)
		}
		value = answer
		return state == pgwire.StateSuccess
	})
	return value
}

// check repeats all writes that succeeded. Each must get the same answer as the first time.
func (w *workload) check() {
	w.fleet.t.Helper()
	for id, v := range w.succeeded {
		if got := w.repeat(id); got != v {
			w.fleet.t.Errorf("repeated write %s: value %s, was %s", id, got, v)
		}
	}
}
