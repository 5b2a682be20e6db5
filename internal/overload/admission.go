package overload

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	rateWindow           = 1.0             // seconds over which the rate of offered requests is taken
	admittedWindow       = 4.0             // seconds over which the admitted work is held against what is due
	maxRetryAfterExtra   = 4 * tick.Second // added to a Retry-After where nearly all is shed
	minRetryAfter        = tick.Second     // a Retry-After where little is shed; half of it at the least
	maxClasses           = 64              // request classes that are told apart
	serviceTimeSmoothing = 64              // the weight of a new service time is one in so many
	minServiceTime       = 1e-3            // seconds, of a request
	defaultServiceTime   = 0.01            // seconds, of a request of a class that was never answered
)

// admission is what of the offered work is admitted, and by which thresholds.
type admission struct {
	localFraction     float64 // admitted by this process's own strength
	sharedFraction    float64 // admitted by the backends' strength
	pressureUpdatedAt tick.Tick

	targetWork   float64 // seconds of work that the thresholds were to admit, decayed over admittedWindow
	admittedWork float64 // and that they did

	classes    []classState
	byPriority []int // classes, the ones to shed first last
}

// classState is what is known of one request class. Its counts decay over rateWindow.
type classState struct {
	priorityWeight float64
	offered        float64 // requests
	completed      float64 // requests that a backend answered
	serviceTime    float64 // seconds of work for one request; 0 is unknown
	threshold      float64 // tenants whose hash, from 0 up to 1, is below it are admitted
}

func newAdmission(now tick.Tick) admission {
	return admission{localFraction: 1, sharedFraction: 1, pressureUpdatedAt: now}
}

// decay decays the counts by so many seconds.
func (a *admission) decay(elapsed float64) {
	for i := range a.classes {
		a.classes[i].offered *= math.Exp(-elapsed / rateWindow)
		a.classes[i].completed *= math.Exp(-elapsed / rateWindow)
	}
	a.targetWork *= math.Exp(-elapsed / admittedWindow)
	a.admittedWork *= math.Exp(-elapsed / admittedWindow)
}

// class is the state of a request class, nil for one that is not told apart.
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

// admittedShare is the part of the work that the thresholds were to admit which they did. Tenants that are shed ask
// again, those that are admitted do not, so after a while most of what is offered is of those that are shed. Guards
// against a fraction that is cut below what backends can do, again and again, as long as they come back.
func (a *admission) admittedShare() float64 {
	if a.targetWork <= 0 {
		return 1
	}
	return min(1, max(minAdmittedShare, a.admittedWork/a.targetWork))
}

// offeredWork is the work offered of a class at this relay, in seconds of work a second.
func (c *classState) offeredWork() float64 {
	serviceTime := c.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	return c.offered / rateWindow * serviceTime
}

// costRank ranks classes by the work of one request, in powers of two: a small difference must not swap two classes.
func (c *classState) costRank() int {
	_, exponent := math.Frexp(c.serviceTime)
	return exponent
}

// RecordServiceTime records an answer of a backend and the time that the backend worked on it.
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

// Admit reports whether a request is admitted, and else after which time its client is to come back. Classes of the
// least priority weight are shed first, of equals the one with more work for each request; of the class at the edge, the
// tenants whose hash is above a threshold, which is the same at all relays, so that a tenant's many requests are
// admitted or shed together. The floor's share of the tenants is always admitted, so that no class starves.
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
	minDelay := minRetryAfter/2 + tick.Tick(shedFraction*float64(minRetryAfter))
	maxDelay := minRetryAfter + tick.Tick(shedFraction*float64(maxRetryAfterExtra))
	return false, m.RetryAfter(now, minDelay, maxDelay)
}

// recomputeThresholds works out which share of the tenants of each class is admitted, from the work offered to the whole
// fleet.
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
	remaining := total * (fraction - floor) // to be shared out beside the floors
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
