// Package dispatch is the blocking facade of the balancer. It serialises all calls of one balancer, implements the
// balancer's Host, and is the only package that maps the balancer's requests, attempts and backends to client requests,
// connections and entries of the endpoint list.
//
// A listener uses a Dispatcher as follows. Accept makes a Call from a request. Next blocks until the call has a step:
// an attempt, or a final answer of the relay itself. Begin announces an attempt before its first byte is written, and
// Report ends the attempt. Abandon records that the client has left. Besides requests, the dispatcher takes updates:
// UpdateEndpoints for the endpoint list, UpdatePlacements for where instances run, and UpdateStage and the Record
// methods for the release API.
//
// Every exported method of Dispatcher may be called from any goroutine. Only Next and RunTimers block. The package
// starts no goroutine; RunTimers runs on the goroutine of its caller.
package dispatch

import (
	"log/slog"
	"sync"
	"time"

	"silvercove/balancer"
	"silvercove/internal/settings"
	"silvercove/internal/wakeup"
)

// Dispatcher serialises the calls of one balancer.
type Dispatcher struct {
	// New sets the fields from here to timerWaker, which do not change afterwards.
	callbacks      Callbacks
	clock          clock
	classes        nameIndex
	priorityWeight []float64 // priority weight of each class
	zones          nameIndex
	machineKinds   nameIndex
	tenants        nameIndex
	loadColumns    []string
	maxRetryAfter  time.Duration // upper bound of RetryAfter for shed calls; 0 if rejected clients are told no time
	pollsEndpoints bool          // whether the balancer requests the endpoint list itself (balancer.DiscoverySubscribe); if not, changes of the list arrive unrequested
	retention      balancer.Tick // how long the dispatcher keeps a removed backend

	timerWaker *wakeup.Waker // woken when the earliest timer may have changed

	// mu guards all fields below. It is held during every call of the balancer, and therefore also when the balancer
	// calls its host.
	mu            sync.Mutex
	balancer      *balancer.Balancer
	timers        []timer
	timerStats    timerStats
	lastRequestID uint64
	calls         map[*balancer.Request]*Call // calls without a final answer
	attempts      map[*balancer.Attempt]*Attempt
	backends      map[string]*backend  // known backends by name
	backendsByID  []*backend           // known backends by ID; nil if the ID is free because its backend was dropped
	removed       []*backend           // backends that are no longer listed, in the order of their removal
	instances     map[string]*instance // instances by name; nil for a relay that belongs to no fleet
	stage         int                  // index of the stage of the newest version
	counters      Counters
}

// New makes a dispatcher and its balancer from the settings of a site. The callbacks may be called as soon as New
// begins, even before it returns.
func New(seed uint64, site settings.Site, callbacks Callbacks) *Dispatcher {
	d := &Dispatcher{
		callbacks:      callbacks,
		clock:          newClock(time.Now()),
		zones:          newNameIndex(site.Zones),
		machineKinds:   newNameIndex(site.MachineKinds),
		tenants:        newNameIndex(site.Tenants),
		loadColumns:    site.LoadColumns,
		pollsEndpoints: site.Balancer.Discovery == balancer.DiscoverySubscribe,
		retention:      retention(site.Balancer),
		timerWaker:     wakeup.New(),
		calls:          map[*balancer.Request]*Call{},
		attempts:       map[*balancer.Attempt]*Attempt{},
		backends:       map[string]*backend{},
	}
	if site.Balancer.Limits.RetryAfter {
		d.maxRetryAfter = site.Balancer.Limits.MaxRetryAfter.Duration()
	}
	if d.callbacks.Log == nil {
		d.callbacks.Log = func(string, ...slog.Attr) {}
	}
	d.setClasses(site.Balancer.Classes)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer = balancer.New(host{d}, d.clock.now(), seed, site.Balancer)
	return d
}

func (d *Dispatcher) setClasses(classes []balancer.RequestClass) {
	names := make([]string, 0, len(classes))
	for _, class := range classes {
		names = append(names, class.Name)
		d.priorityWeight = append(d.priorityWeight, class.PriorityWeight)
		d.counters.Classes = append(d.counters.Classes, ClassCounters{Name: class.Name})
	}
	d.classes = newNameIndex(names)
}

// retention returns how long the dispatcher keeps a removed backend: the sum of both slow-start windows and the
// exposure window. Within that time the backend's slow start and its share of the exposure still count. The backend may
// also be listed again unchanged, or a late report may name it.
func retention(s balancer.Settings) balancer.Tick {
	return s.SlowStart.Window.Ticks() + s.SlowStart.OverloadWindow.Ticks() + s.Rollout.ExposureWindow.Ticks()
}

// WithLock runs a function while no call of the balancer is under way, for example to copy what the evidence recorder
// keeps. The function must neither block nor call the dispatcher.
func (d *Dispatcher) WithLock(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
}

// Load returns the sum of the attempts in flight and the queued requests, divided by the balancer's own concurrency
// limit.
func (d *Dispatcher) Load() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Load()
}

// LoadColumns returns the names of the values of a load report, in the order of the values.
func (d *Dispatcher) LoadColumns() []string { return d.loadColumns }
