// Package dispatch is the blocking facade of the balancer. It serialises all calls of one balancer, is the balancer's host,
// and alone knows what the balancer's requests, attempts and backends stand for.
//
// A listener drives it so: Accept makes a Call of a request, Next blocks until the call has something to do, which is an
// attempt or a final answer of the relay's own. An attempt is announced with Begin before its first byte is written, and ends
// with Report. Abandon tells that the client has gone. Beside requests come the news: UpdateEndpoints of the endpoint list,
// UpdatePlacements of where instances run, UpdateStage and the Record methods of the release API.
//
// Every exported method of Dispatcher may be called from any goroutine. None but Next and RunTimers blocks. The package
// starts no goroutine; whoever runs RunTimers owns it.
package dispatch

import (
	"log/slog"
	"sync"
	"time"

	"silvercove/balancer"
	"silvercove/internal/settings"
	"silvercove/internal/wakeup"
)

// Dispatcher stands before one balancer.
type Dispatcher struct {
	// Fixed by New.
	callbacks      Callbacks
	clock          clock
	classes        nameIndex
	priorityWeight []float64 // of each class
	zones          nameIndex
	machineKinds   nameIndex
	tenants        nameIndex
	loadColumns    []string
	maxRetryAfter  time.Duration // 0 where clients are told none
	pollsEndpoints bool          // changes of the endpoint list come only when they are asked for
	retention      balancer.Tick // how long a removed backend still counts for something

	timerWaker *wakeup.Waker // the earliest timer may have changed

	mu            sync.Mutex // guards all that follows; held for every call of the balancer, also while it calls its host
	balancer      *balancer.Balancer
	timers        []timer
	timerStats    timerStats
	lastRequestID uint64
	calls         map[*balancer.Request]*Call // without a final answer
	attempts      map[*balancer.Attempt]*Attempt
	backends      map[string]*backend  // by name
	backendsByID  []*backend           // in the order in which they were first listed; nil where one was forgotten
	removed       []*backend           // those that are not listed any more, the longest first
	instances     map[string]*instance // by name; nil outside of a fleet
	stage         int                  // of the newest version
	counters      Counters
}

// New makes the balancer of a site. The callbacks may be called from then on, before New returns too.
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

// retention sums the spans within which a backend that has gone may still matter: it may come back as it was, its slow
// start and the exposure at it are counted on, or a late report may name it.
func retention(s balancer.Settings) balancer.Tick {
	return s.SlowStart.Window.Ticks() + s.SlowStart.OverloadWindow.Ticks() + s.Rollout.ExposureWindow.Ticks()
}

// WithLock runs do while no call of the balancer is under way, such as a copy of what the evidence recorder keeps. It may
// not block, nor call the dispatcher.
func (d *Dispatcher) WithLock(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
}

// Load is what is in flight at backends and what is queued, as a fraction of the balancer's own concurrency limit.
func (d *Dispatcher) Load() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.Load()
}

// LoadColumns are the names of the values of a load report, in their order.
func (d *Dispatcher) LoadColumns() []string { return d.loadColumns }
