package dispatch

import (
	"log/slog"
	"slices"
	"time"

	"silvercove/balancer"
	"silvercove/internal/transport"
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name, Address, Zone, MachineKind string
	Cell                             int
	State                            string // up, draining or removed
	Weight                           float64
	StartedAtMs                      int64 // start time of the backend in Unix milliseconds; 0 means that it started long ago
	Version                          uint16
}

// ticksPerMs is the number of balancer ticks in a millisecond.
const ticksPerMs = balancer.Second / 1000

// endpointStates maps the names of the states in the endpoint list to the balancer's states.
var endpointStates = map[string]balancer.EndpointState{
	"up":       balancer.Ready,
	"draining": balancer.Draining,
	"removed":  balancer.Removed,
}

// Valid reports whether an entry has a known state, a name, an address and a start time that is not negative.
func (e Endpoint) Valid() bool {
	_, known := endpointStates[e.State]
	return known && e.Name != "" && e.Address != "" && e.StartedAtMs >= 0
}

// Backend identifies the process that an attempt goes to. A process at another address, or with another start time, is
// a different one.
type Backend struct {
	Name, Address string
	StartedAt     int64 // start time of the process, in ticks; 0 means that it started long ago
}

// backend holds what the dispatcher knows about a backend of the endpoint list.
type backend struct {
	balancer.Backend
	name      string
	address   string
	inFlight  int           // number of attempts that have not ended
	removedAt balancer.Tick // when the backend was last removed from the list
}

func (b *backend) identity() Backend {
	return Backend{Name: b.name, Address: b.address, StartedAt: int64(b.StartedAt)}
}

// UpdateEndpoints applies the complete endpoint list, or the entries that have changed. All entries must be valid.
func (d *Dispatcher) UpdateEndpoints(complete bool, endpoints []Endpoint) {
	if d.callbacks.OnEndpoints != nil {
		d.callbacks.OnEndpoints(complete, endpoints)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	d.counters.EndpointUpdates++
	listed := map[string]bool{}
	for _, e := range endpoints {
		listed[e.Name] = true
		b := d.backendOf(e.Name)
		b.address = e.Address
		d.updateBackend(now, b, d.endpointOf(e))
	}
	if complete {
		d.removeUnlisted(now, listed)
	}
	d.forgetRemoved(now)
	d.repinCalls()
	d.balancer.OnListSynced(now, true)
}

// endpointOf converts an entry to the balancer's type.
func (d *Dispatcher) endpointOf(e Endpoint) balancer.Endpoint {
	return balancer.Endpoint{
		Zone:          d.zoneNumber(e),
		Cell:          e.Cell,
		MachineKind:   d.machineKinds.number(e.MachineKind),
		State:         endpointStates[e.State],
		NominalWeight: e.Weight,
		StartedAt:     balancer.Tick(e.StartedAtMs) * ticksPerMs,
		Version:       e.Version,
	}
}

// backendOf returns the backend with a name, and creates it when the name is listed for the first time. A new backend
// gets the smallest ID that forgetRemoved has freed, or a new ID if no ID is free.
func (d *Dispatcher) backendOf(name string) *backend {
	if b := d.backends[name]; b != nil {
		return b
	}
	id := slices.Index(d.backendsByID, nil)
	if id < 0 {
		id = len(d.backendsByID)
		d.backendsByID = append(d.backendsByID, nil)
	}
	b := &backend{name: name}
	b.ID = uint32(id)
	d.backends[name] = b
	d.backendsByID[id] = b
	d.callbacks.Log("backend listed", slog.Uint64("backend_id", uint64(b.ID)), slog.String("backend", name))
	return b
}

// removeUnlisted removes the backends that a complete list does not name.
func (d *Dispatcher) removeUnlisted(now balancer.Tick, listed map[string]bool) {
	for _, b := range d.backendsByID {
		if b == nil || listed[b.name] || b.State == balancer.Removed {
			continue
		}
		endpoint := b.Endpoint
		endpoint.State = balancer.Removed
		d.updateBackend(now, b, endpoint)
	}
}

// updateBackend applies a backend's entry in the endpoint list: it closes idle connections that are no longer usable,
// updates the removed backends, and passes the entry to the balancer.
func (d *Dispatcher) updateBackend(now balancer.Tick, b *backend, endpoint balancer.Endpoint) {
	if endpoint.State != balancer.Ready || endpoint.StartedAt != b.StartedAt || endpoint.Version != b.Version {
		// The idle connections are no longer usable: the backend takes no attempts, or its process was replaced.
		d.callbacks.CloseIdle(b.name)
	}
	index := slices.Index(d.removed, b)
	switch gone := endpoint.State == balancer.Removed; {
	case gone && index < 0:
		b.removedAt = now
		d.removed = append(d.removed, b)
	case !gone && index >= 0:
		d.removed = slices.Delete(d.removed, index, index+1)
	}
	d.balancer.OnEndpoint(now, &b.Backend, endpoint)
}

// forgetRemoved drops backends that are no longer in the endpoint list, in the order of their removal, while they
// outnumber the listed backends. It stops at the first backend that has an attempt in flight or was removed less than
// d.retention ago. The state of such a backend is still needed if the backend is listed again unchanged, or if a
// late report names it.
func (d *Dispatcher) forgetRemoved(now balancer.Tick) {
	for len(d.removed) > len(d.backends)-len(d.removed) {
		b := d.removed[0]
		if b.inFlight > 0 || now-b.removedAt < d.retention {
			return
		}
		d.removed = d.removed[1:]
		d.backendsByID[b.ID] = nil
		delete(d.backends, b.name)
	}
}

// EndpointFetchFailed tells the balancer that a call for the endpoint list failed. It does nothing if the balancer does
// not request the list itself (see Dispatcher.pollsEndpoints).
func (d *Dispatcher) EndpointFetchFailed() {
	if !d.pollsEndpoints {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.OnListSynced(d.clock.now(), false)
}

// ReadyBackends returns the backends that may get attempts, in the order of their IDs. That is the order in which the
// backends were first listed, except that the ID of a dropped backend is used again.
func (d *Dispatcher) ReadyBackends() (ready []Backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backendsByID {
		if b != nil && b.State == balancer.Ready {
			ready = append(ready, b.identity())
		}
	}
	return ready
}

// IsCurrent reports whether a backend may get attempts and still has the address and start time in b.
func (d *Dispatcher) IsCurrent(b Backend) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.backends[b.Name]
	return current != nil && current.State == balancer.Ready && current.identity() == b
}

// ProbeEnded records the result of a probe of the named backend. sqlState, status and load have the same meaning as in
// Report; took is how long the probe took.
func (d *Dispatcher) ProbeEnded(name, sqlState string, status transport.CloseStatus, took time.Duration, load []float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.backends[name]; b != nil {
		d.balancer.OnProbe(d.clock.now(), &b.Backend, AttemptOutcome(sqlState, status), ticksOf(took), load)
	}
}
