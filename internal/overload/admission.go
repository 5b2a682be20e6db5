package overload

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	rateWindow           = 1.0             // seconds: time constant with which the counts of requests decay
	admittedWindow       = 4.0             // seconds: time constant with which the target work and the admitted work decay
	maxRetryAfterExtra   = 4 * tick.Second // if all requests are shed, the longest Retry-After is baseRetryAfter plus this
	baseRetryAfter       = tick.Second     // longest Retry-After if almost no requests are shed; the shortest is then half of this
	maxClasses           = 64              // number of request classes that are tracked; requests of any other class are always admitted
	serviceTimeSmoothing = 64              // a new service time enters the average with a weight of 1/serviceTimeSmoothing
	minServiceTime       = 1e-3            // seconds: lower bound of the work of one request in targetWork and admittedWork
	defaultServiceTime   = 0.01            // seconds: work of one request of a class for which no backend has answered a request yet
)

// admission holds the admitted fractions and the thresholds that implement them.
type admission struct {
	localFraction     float64 // fraction of the offered work (see offeredWork) to admit because of the load of this process
	sharedFraction    float64 // fraction of the offered work to admit because of the load of the backends
	pressureUpdatedAt tick.Tick

	targetWork   float64 // seconds of work that the thresholds should admit: for each request, its work times the threshold of its class; decayed over admittedWindow
	admittedWork float64 // seconds of work of the requests that the thresholds admitted, decayed over admittedWindow

	classes    []classState
	byPriority []int // indexes into classes; the classes to be shed first come last
}

// classState is the state of one request class. Its counts decay over rateWindow.
type classState struct {
	priorityWeight float64
	offered        float64 // number of requests of the class that reached this relay, admitted or shed; decayed
	completed      float64 // number of requests that a backend answered, decayed
	serviceTime    float64 // seconds of work per request; 0 if unknown
	threshold      float64 // a tenant is admitted if its hash, mapped to [0, 1), is below this
}

func newAdmission(now tick.Tick) admission {
	return admission{localFraction: 1, sharedFraction: 1, pressureUpdatedAt: now}
}

// decay decays the counts of the classes and the sums of work by the elapsed seconds.
func (a *admission) decay(elapsed float64) {
	for i := range a.classes {
		a.classes[i].offered *= math.Exp(-elapsed / rateWindow)
		a.classes[i].completed *= math.Exp(-elapsed / rateWindow)
	}
	a.targetWork *= math.Exp(-elapsed / admittedWindow)
	a.admittedWork *= math.Exp(-elapsed / admittedWindow)
}

// class returns the state of a request class, or nil if the class is not tracked.
func (a *admission) class(class int) *classState {
	if class < 0 || class >= maxClasses {
		return nil
	}
	for len(a.classes) <= class {
		a.byPriority = append(a.byPriority, len(a.classes))
		a.classes = append(a.classes, classState{threshold: 1})
	}
	return &a.classes[class]
}

// admittedShare returns the part of the target work that was admitted, from minAdmittedShare to 1. Tenants that are
// shed send their requests again and tenants that are admitted do not. After a while, most of the offered work
// therefore belongs to shed tenants, and less work is admitted than the thresholds were meant to admit. UpdatePressure
// multiplies the offered work by this share. Without that factor, the admitted fraction would fall below the backends'
// capacity again and again for as long as shed tenants come back.
func (a *admission) admittedShare() float64 {
	if a.targetWork <= 0 {
		return 1
	}
	return min(1, max(minAdmittedShare, a.admittedWork/a.targetWork))
}

// offeredWork returns the work of all requests of the class that reach this relay, admitted or shed. The unit is seconds
// of work per second.
func (c *classState) offeredWork() float64 {
	serviceTime := c.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	return c.offered / rateWindow * serviceTime
}

// costRank ranks classes by the work per request, in powers of two, so that a small difference does not swap two classes.
func (c *classState) costRank() int {
	_, exponent := math.Frexp(c.serviceTime)
	return exponent
}

// RecordServiceTime records that a backend answered a request of a class, and how long the backend worked on the request.
func (m *Manager) RecordServiceTime(now tick.Tick, class int, took tick.Tick) {
	m.advance(now)
	c := m.admission.class(class)
	if c == nil || took < 0 {
		return
	}
	serviceTime := took.Seconds()
	if c.serviceTime == 0 {
		c.serviceTime = serviceTime
	}
	c.serviceTime += (serviceTime - c.serviceTime) / serviceTimeSmoothing
	c.completed++
}

// Admit reports whether a request is admitted and, if not, after which time its client should come back.
//
// The classes with the lowest priority weight are shed first and, among classes of equal weight, the class with more
// work per request. Within a class, the tenants are shed whose hash is not below the threshold of the class. The hash
// is the same at all relays, so that a tenant's many requests are admitted or shed together. The threshold is at least
// the admission floor (fleet.floor): that share of each class's tenants is always admitted, so that no class starves.
func (m *Manager) Admit(now tick.Tick, class int, priorityWeight float64, tenant string) (admitted bool, retryAfter tick.Tick) {
	m.advance(now)
	a := &m.admission
	c := a.class(class)
	if c == nil {
		return true, 0
	}
	c.priorityWeight = priorityWeight
	c.offered++
	if m.isolated() {
		return true, 0
	}
	work := max(c.serviceTime, minServiceTime)
	a.targetWork += work * c.threshold
	if unitInterval(xxhash.Sum64String(tenant)) < c.threshold {
		a.admittedWork += work
		return true, 0
	}
	shedFraction := 1 - m.AdmittedFraction()
	minDelay := baseRetryAfter/2 + tick.Tick(shedFraction*float64(baseRetryAfter))
	maxDelay := baseRetryAfter + tick.Tick(shedFraction*float64(maxRetryAfterExtra))
	return false, m.RetryAfter(now, minDelay, maxDelay)
}

// recomputeThresholds computes the share of tenants to admit in each class. The shares follow from the work that is
// offered to the whole fleet.
func (m *Manager) recomputeThresholds() {
	a := &m.admission
	if len(a.classes) == 0 {
		return
	}
	fraction := m.AdmittedFraction()
	if fraction >= 1 || m.isolated() {
		for i := range a.classes {
			a.classes[i].threshold = 1
		}
		return
	}
	slices.SortFunc(a.byPriority, func(i, j int) int {
		x, y := &a.classes[i], &a.classes[j]
		return cmp.Or(cmp.Compare(y.priorityWeight, x.priorityWeight), cmp.Compare(x.costRank(), y.costRank()),
			cmp.Compare(i, j))
	})
	total := 0.0
	for i := range a.classes {
		total += a.classes[i].offeredWork() + m.fleet.offeredWork[i]
	}
	floor := m.settings.admissionFloor
	remaining := total * (fraction - floor) // work to admit in addition to what the admission floor admits in every class
	for _, i := range a.byPriority {
		aboveFloor := (a.classes[i].offeredWork() + m.fleet.offeredWork[i]) * (1 - floor)
		share := 1.0
		if aboveFloor > 0 {
			share = min(1, max(0, remaining/aboveFloor))
		}
		a.classes[i].threshold = floor + share*(1-floor)
		remaining = max(0, remaining-aboveFloor)
	}
}
