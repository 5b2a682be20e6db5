package edgenode

import (
	"fmt"
	"net"
	"strings"

	"silvercove/internal/pgwire"
)

// workload is a client that writes to an instance wherever it runs, as a relay does, and notes what succeeded.
type workload struct {
	fleet       *testFleet
	connections map[string]*sqlClient
	succeeded   map[string]string
	writes      int
}

// newWorkload is one that has written nothing.
func newWorkload(c *testFleet) *workload {
	return &workload{fleet: c, connections: map[string]*sqlClient{}, succeeded: map[string]string{}}
}

// write repeats one write until it succeeds, and returns the answer's value.
func (u *workload) write() string {
	u.fleet.t.Helper()
	u.writes++
	id := fmt.Sprint("u", u.writes)
	value := u.repeat(id)
	if want := fmt.Sprintf("%d ", u.writes); !strings.HasPrefix(value, want) {
		u.fleet.t.Errorf("%s: %s", id, value)
	}
	u.succeeded[id] = value
	return value
}

// repeat repeats a write by its ID until it succeeds, and returns the answer's value.
func (u *workload) repeat(id string) (value string) { return u.repeatAt("camera-7", id) }

// repeatAt is repeat at another instance.
func (u *workload) repeatAt(name, id string) (value string) {
	u.fleet.t.Helper()
	u.fleet.waitFor("an ack of "+id, func() bool {
		owner := u.fleet.assignment(name).Primary
		if owner == "" {
			return false
		}
		if u.connections[owner] == nil {
			conn, err := net.Dial("tcp", u.fleet.processes[owner].peer.RequestAddress)
			if err != nil {
				return false
			}
			u.fleet.t.Cleanup(func() { _ = conn.Close() })
			u.connections[owner] = &sqlClient{conn: conn}
			if _, _, err := u.connections[owner].exchange(pgwire.StartupMessage()); err != nil {
				delete(u.connections, owner)
				return false
			}
		}
		v, state := u.connections[owner].write(id, name, []byte("x"))
		if state == "" {
			delete(u.connections, owner)
		}
		value = v
		return state == pgwire.StateSuccess
	})
	return value
}

// check repeats all writes that succeeded: the first answers have to come.
func (u *workload) check() {
	u.fleet.t.Helper()
	for id, v := range u.succeeded {
		if got := u.repeat(id); got != v {
			u.fleet.t.Errorf("%s: %s, was %s", id, got, v)
		}
	}
}
