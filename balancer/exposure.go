package balancer

// This file limits the exposure of canaries. In any window, the number of attempts at a canary is at most a fixed
// allowance plus the exposure cap's share of the requests that arrived. First attempts use slightly less than the cap,
// which leaves room for retries. They are also limited by the canary's share of the warm capacity.
//
// The inputs are the times of arrivals and of canary attempts within the site's window, the cap of the current stage,
// and the warm capacity of the canary's backends and of all backends.
//
// The cap keeps a bad version from reaching many requests. The limit by capacity keeps a canary with few backends from
// receiving more than they can serve. Without that limit a good version would look slow, because a cap is announced
// before the canary's backends have started and warmed up. First attempts therefore follow the warm capacity that the
// canary has at the moment.

const (
	// firstAttemptCapShare is the share of the exposure cap that first attempts may use.
	firstAttemptCapShare = 0.9
	// exposureTolerance is subtracted from the computed limit on canary attempts. It keeps a rounding error from
	// allowing one more attempt when the exact limit is close to an integer.
	exposureTolerance = 1e-5
	// canarySlowdownMargin is a margin on slow shares. If the canary's slow share exceeds the baseline's by at least
	// this margin, updateCanaryFraction reduces its factor slack to 1. The canary then gets no more than its backends'
	// share of the warm capacity.
	canarySlowdownMargin = 0.1
	// minStageShare is the lower limit of the first stage's share of backends in updateCanaryFraction, which divides by
	// that share. It also replaces a missing share.
	minStageShare = 0.01
)

// exposureCounter counts arrivals and canary attempts, either of all requests or of one class.
type exposureCounter struct {
	arrivals []Tick  // arrival times of requests within the window
	attempts []Tick  // times of canary attempts within the window
	credit   float64 // first attempts that the canary may get now; a request adds canaryFraction, a canary attempt takes 1
}

// exposureState is the state of the exposure limit.
type exposureState struct {
	exposure        []exposureCounter // one counter for all requests, or one per class
	exposureResetAt Tick              // end of DrainGrace after the cap was last lowered (see trimExposure); 0 if it was never lowered
	canaryFraction  float64           // share of the requests whose first attempt goes to the canary
}

func newExposureState(settings Settings) exposureState {
	counters := 1
	if settings.Rollout.ExposurePerClass {
		counters = len(settings.Classes)
	}
	return exposureState{exposure: make([]exposureCounter, counters)}
}

// exposureOf returns the counter of a class.
func (b *Balancer) exposureOf(class int) *exposureCounter {
	return &b.exposure[min(class, len(b.exposure)-1)]
}

// isCanary reports whether attempts at a version count as exposure.
func (b *Balancer) isCanary(version uint16) bool {
	return b.releaseKnown &&
		(version > b.release.Version || version == b.release.Version && b.release.Phase != Released)
}

// exposureCapOf returns the exposure cap and the stage of a canary. A version that is not announced yet is treated as
// being in its first stage.
func (b *Balancer) exposureCapOf(version uint16) (share float64, stage int) {
	if version == b.release.Version {
		return b.release.ExposureCap, b.release.Stage
	}
	return firstOrZero(b.settings.Rollout.StageCaps), 0
}

// exposureAllows reports whether one more attempt of a request may go to a canary.
func (b *Balancer) exposureAllows(r *Request, e *exposureCounter, version uint16) bool {
	share, stage := b.exposureCapOf(version)
	guarded := stage < b.settings.Rollout.GuardedStages
	if share <= 0 || guarded && b.class(r).Idempotency != Idempotent {
		return false
	}
	window := b.settings.Rollout.ExposureWindow.Ticks() + 1
	b.trimExposure(e, window)
	// The site still counts the attempts that a previous process of this relay sent before it was killed, but this
	// process does not know them. The allowance is therefore withheld in the first window after the start.
	allowance := b.settings.Rollout.ExposureFree * indicator(b.now > b.startedAt+window)
	return float64(len(e.attempts)+1) <= allowance+share*float64(len(e.arrivals))-exposureTolerance
}

// trimExposure drops arrivals and attempts outside the window. At the edge of the window, it keeps attempts one tick
// longer and drops arrivals two ticks sooner. Either way, exposureAllows permits fewer attempts and never more.
func (b *Balancer) trimExposure(e *exposureCounter, window Tick) {
	e.attempts = dropBefore(e.attempts, b.now-window-1)
	e.arrivals = dropBefore(e.arrivals, b.now-window+2)
	if b.exposureResetAt != 0 && b.now > b.exposureResetAt {
		e.attempts = dropBefore(e.attempts, b.exposureResetAt-1)
		e.arrivals = dropBefore(e.arrivals, b.exposureResetAt+1)
	}
}

// updateCanaryFraction computes the share of first attempts that goes to the canary. The share starts as the canary's
// part of the warm capacity, times a factor that is called the slack. The slack is the ratio of the first stage's
// exposure cap to the first stage's share of backends, and at least 1. The result is limited by the exposure cap and
// then scaled by firstAttemptCapShare. The slow share of a version is the share of its attempts that count as slow (see
// slowAfter). While the canary's slow share exceeds the baseline's, the slack is reduced towards 1 in proportion to the
// difference. With a slack of 1, the canary is judged under the same load per backend as the baseline.
func (b *Balancer) updateCanaryFraction() {
	rollout := &b.settings.Rollout
	slack := max(1, firstOrZero(rollout.StageCaps)/max(firstOrZero(rollout.StageShares), minStageShare))
	b.canaryFraction = b.canaryCapacity / max(b.warmCapacity, 1) * slack
	if b.evaluation == nil {
		return
	}
	share, _ := b.exposureCapOf(b.evaluation.version)
	slowdown := max(0, mean(b.evaluation.samples.slow)-b.baseline.slowShare())
	b.canaryFraction = firstAttemptCapShare * min(b.canaryFraction, share) * (1 - (1-1/slack)*min(1, slowdown/canarySlowdownMargin))
}

func firstOrZero(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[0]
}
