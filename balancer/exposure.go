package balancer

// The rule: in any window, the attempts at a canary are at most a free number and the cap's share of the requests that have
// arrived. First attempts keep to a little less, so that retries have some left, and to the part of all warm
// backends that the canary's are.
//
// Inputs: the times of arrivals and of attempts at canaries within the site's window, the cap of the stage, the warm
// capacity of the canary's backends and of all.
//
// Guards against a bad version that reaches many requests, and against few backends of a canary that get more than
// they can take: seen as a good version that looks slow, as a cap is announced before the canary's machines have come and
// warmed; holds because what first attempts get follows those machines.

const (
	// firstAttemptCapShare is the part of the cap that first attempts use.
	firstAttemptCapShare = 0.9
	// exposureTolerance keeps a sum of shares that is a whole number in theory from counting as one more.
	exposureTolerance = 1e-5
	// canarySlowdownMargin is how much more of a canary's attempts are slow than of the others' when it gets no more than
	// the part of all backends that its own are.
	canarySlowdownMargin = 0.1
	// minStageShare bounds the share of the first stage from below where the settings name none.
	minStageShare = 0.01
)

// exposureCounter is one count of the exposure rule.
type exposureCounter struct {
	arrivals []Tick  // requests, within the window
	attempts []Tick  // at a canary, within it
	credit   float64 // first attempts due to the canary
}

// exposureState is what the exposure rule counts.
type exposureState struct {
	exposure        []exposureCounter // of all requests, or one a class
	exposureResetAt Tick              // when a lower cap binds and the counts start anew; 0: never
	canaryFraction  float64           // the part of the requests that the canary's backends can take
}

func newExposureState(settings Settings) exposureState {
	counters := 1
	if settings.Rollout.ExposurePerClass {
		counters = len(settings.Classes)
	}
	return exposureState{exposure: make([]exposureCounter, counters)}
}

// exposureOf is the counter of a class.
func (b *Balancer) exposureOf(class int) *exposureCounter {
	return &b.exposure[min(class, len(b.exposure)-1)]
}

// isCanary tells whether the exposure rule counts a version.
func (b *Balancer) isCanary(version uint16) bool {
	return b.releaseKnown &&
		(version > b.release.Version || version == b.release.Version && b.release.Phase != Released)
}

// exposureCapOf is the cap and the stage of a canary; one that is not announced yet counts as in its first stage.
func (b *Balancer) exposureCapOf(version uint16) (share float64, stage int) {
	if version == b.release.Version {
		return b.release.ExposureCap, b.release.Stage
	}
	return firstOrZero(b.settings.Rollout.StageCaps), 0
}

// exposureAllows tells whether one more attempt of a request may go to a canary.
func (b *Balancer) exposureAllows(r *Request, e *exposureCounter, version uint16) bool {
	share, stage := b.exposureCapOf(version)
	guarded := stage < b.settings.Rollout.GuardedStages
	if share <= 0 || guarded && b.class(r).Idempotency != Idempotent {
		return false
	}
	window := b.settings.Rollout.ExposureWindow.Ticks() + 1
	b.trimExposure(e, window)
	// What a relay that was killed has sent still counts in the first window, and this one does not know of it.
	free := b.settings.Rollout.ExposureFree * indicator(b.now > b.startedAt+window)
	return float64(len(e.attempts)+1) <= free+share*float64(len(e.arrivals))-exposureTolerance
}

// trimExposure drops what is outside the window. Where a tick more or less may count, it is the one that allows less.
func (b *Balancer) trimExposure(e *exposureCounter, window Tick) {
	e.attempts = dropBefore(e.attempts, b.now-window-1)
	e.arrivals = dropBefore(e.arrivals, b.now-window+2)
	if b.exposureResetAt != 0 && b.now > b.exposureResetAt {
		e.attempts = dropBefore(e.attempts, b.exposureResetAt-1)
		e.arrivals = dropBefore(e.arrivals, b.exposureResetAt+1)
	}
}

// updateCanaryFraction works out what first attempts give the canary: its part of the backends, with the slack of the first
// stage's cap over its share. While its backends answer more slowly than the others that slack is given back, so that the
// version is judged at the load that the others carry.
func (b *Balancer) updateCanaryFraction() {
	rollout := &b.settings.Rollout
	slack := max(1, firstOrZero(rollout.StageCaps)/max(firstOrZero(rollout.StageShares), minStageShare))
	b.canaryFraction = b.canaryCapacity / max(b.warmCapacity, 1) * slack
	if b.evaluation == nil {
		return
	}
	share, _ := b.exposureCapOf(b.evaluation.version)
	slower := max(0, mean(b.evaluation.samples.slow)-b.baseline.slowShare())
	b.canaryFraction = firstAttemptCapShare * min(b.canaryFraction, share) * (1 - (1-1/slack)*min(1, slower/canarySlowdownMargin))
}

func firstOrZero(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[0]
}
