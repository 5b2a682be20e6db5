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
	StartedAtMs                      int64 // Unix time, 0 for long ago
	Version                          uint16
}

// ticksPerMs is the number of the balancer's ticks in a millisecond.
const ticksPerMs = balancer.Second / 1000

// endpointStates are the states by their names in the endpoint list.
var endpointStates = map[string]balancer.EndpointState{
	"up":       balancer.Ready,
	"draining": balancer.Draining,
	"removed":  balancer.Removed,
}

// Valid tells whether an entry makes sense.
func (e Endpoint) Valid() bool {
	_, known := endpointStates[e.State]
	return known && e.Name != "" && e.Address != "" && e.StartedAtMs >= 0
}

// Backend is where an attempt goes. A connection to another address or process is not this backend's.
type Backend struct {
	Name, Address string
	StartedAt     int64 // ticks; 0 for long ago
}

// backend is what the dispatcher knows of a backend of the endpoint list.
type backend struct {
	balancer.Backend
	name      string
	address   string
	inFlight  int           // attempts
	removedAt balancer.Tick // when it was last listed as removed
}

func (b *backend) identity() Backend {
	return Backend{Name: b.name, Address: b.address, StartedAt: int64(b.StartedAt)}
}

// UpdateEndpoints takes the complete endpoint list, or those of its entries that have changed. All of them have to be valid.
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

// endpointOf gives an entry in the balancer's terms.
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

// backendOf gives the backend of a name, and makes one that is listed first. Its ID is one that is free, if there is any.
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

// removeUnlisted takes that a complete list leaves backends out: they are gone.
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

// updateBackend takes what the endpoint list says of a backend now.
func (d *Dispatcher) updateBackend(now balancer.Tick, b *backend, endpoint balancer.Endpoint) {
	if endpoint.State != balancer.Ready || endpoint.StartedAt != b.StartedAt || endpoint.Version != b.Version {
		d.callbacks.CloseIdle(b.name) // its connections are of no more use
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

// forgetRemoved drops backends that have gone, the longest first: as long as there are more of them than listed ones, and
// nothing about them counts any more. Until then one may come back as it was, or a late report may name it.
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

// EndpointFetchFailed tells that a call for the endpoint list that the balancer asked for came to nothing.
func (d *Dispatcher) EndpointFetchFailed() {
	if !d.pollsEndpoints {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.OnListSynced(d.clock.now(), false)
}

// ReadyBackends are those that may get attempts, in the order in which they were first listed.
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

// IsCurrent tells whether a backend still is where it was chosen, and may get attempts.
func (d *Dispatcher) IsCurrent(b Backend) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.backends[b.Name]
	return known != nil && known.State == balancer.Ready && known.identity() == b
}

// ProbeEnded takes how a probe of a backend ended, as Report does for an attempt.
func (d *Dispatcher) ProbeEnded(name, state string, status transport.CloseStatus, took time.Duration, load []float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.backends[name]; b != nil {
		d.balancer.OnProbe(d.clock.now(), &b.Backend, AttemptOutcome(state, status), ticksOf(took), load)
	}
}
