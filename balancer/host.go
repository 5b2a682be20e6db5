package balancer

// Tick is a point or a span of time in whole tenths of a millisecond.
type Tick int64

// Second is one second in ticks.
const Second Tick = 10000

// Host is what the module acts through. Every call takes effect at the time of
// the event that is being handled.
type Host interface {
	StartAttempt(d *Attempt, stopAt Tick)              // starts a delivery, the next number of its command
	Reject(cmd *Request, comeBack Tick)                // final answer: trying again is harmless
	Fail(cmd *Request)                                 // final answer: no promise about the effect
	CancelAttempt(d *Attempt)                          // stops waiting for one delivery
	SetTimer(at Tick, tag uint32)                      // Alarm(tag) at or after the time
	Probe(u *Backend)                                  // checks a unit, where the settings allow it
	CloseIdle(u *Backend)                              // closes idle connections to a unit
	SendGossip(peer uint32, data []byte)               // a message to one relay, AllPeers for every one
	Log(text string)                                   // a line for the people on call
	WatchEndpoints(on bool)                            // asks for changes of the list of units
	FetchEndpoints()                                   // asks for the whole list of units once
	CastVote(build uint16, stage int, verdict Verdict) // casts this relay's vote
}

// AllPeers names every relay of the tier in Tell.
const AllPeers = ^uint32(0)

// Verdict is what a vote says of a build.
type Verdict uint8

// The verdicts of a vote.
const (
	NoVote Verdict = iota
	Promote
	Pause
	RollBack
)

// Outcome tells how a delivery, a probe or a vote ended.
type Outcome uint8

// The endings.
const (
	Succeeded Outcome = 1 + iota
	Errored
	AtCapacity
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Discarded
)

// RolloutPhase is where a build stands.
type RolloutPhase uint8

// The phases of a build.
const (
	Canary RolloutPhase = iota
	RollingBack
	Released
	Withdrawn
)

// EndpointState is what the list says of a unit.
type EndpointState uint8

// The states of a unit.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Request is one command that the relay has taken. The exported fields are set by
// the front that took it; Door is that front's own name for it.
type Request struct {
	ID            uint64
	Class         int
	Tenant        int
	Key           uint64
	Deadline      Tick
	EstimatedWork Tick // 0: not known
	ClientRetry   bool
	Write         bool
	Pinned        bool     // only the unit that its instance runs at may get it
	PinnedTo      *Backend // that unit; nil while it is not known

	receivedAt        Tick
	attempts          []*Attempt
	answered          bool
	failedTwice       bool     // it failed at two units
	deferredFailure   *Attempt // its error waits for the next answer
	streaming         bool
	triedDespiteDelay bool // it is tried though it seems hopeless
	retryGranted      bool // the fleet has allowed a delivery that has not gone out yet
	queued            bool
	priority          float64 // among the held
	usefulUntil       Tick    // when it loses its use
}

// Attempt is one try of a command at a unit.
type Attempt struct {
	Request *Request
	Number  int
	Backend *Backend

	sentAt            Tick
	countedAt         Tick // when it last was, towards exposure and the cold budget
	countedAsExposure bool // by the first
	countedAsWarmUp   bool // and by the second
	slowAfter         Tick // when it counts as slow for the build
	lateAfter         Tick // and for its unit
	version           uint16
	backendStart      Tick // To's start as it was known when this was sent
	newConnection     bool
	ended             bool
	silenceCounted    bool // its unit's silence was counted before it ended
	countedAsSlow     bool // counted as slow before it ended
	cancelled         bool
	outcome           Outcome
}

// Endpoint is what the list of units says of one unit.
type Endpoint struct {
	Zone, Cell, MachineKind int
	State                   EndpointState
	NominalWeight           float64
	StartedAt               Tick // 0: long ago
	Version                 uint16
}

// Backend is a server. Door is the front's own name for it.
type Backend struct {
	ID uint32
	Endpoint

	listed            bool
	inFlight          int
	waitingSince      Tick      // when the relay began to wait for any answer of this unit
	lastAnswer        Tick      // the last answer
	successTimes      []Tick    // times of the last acked deliveries
	warmUpSends       []Tick    // sends within the cold window
	lastWarmUpSend    Tick      // the last of them, or when this process was first listed
	warmUpShareDue    float64   // part of a budget's delivery that must come due since
	lastFailure       Tick      // the last time
	recentFailures    []float64 // the last outcomes, 1 for a failure
	relativeLatencies []float64 // how long the last ones took, in parts of what was due
	failureWealth     float64
	ejected           bool
	probationInterval Tick // between the deliveries of the trickle
	nextProbation     Tick
	avoidedUntil      Tick // up to then, for other relays' sake
}

// ReleaseStatus is what the platform says of the newest build.
type ReleaseStatus struct {
	Version     uint16
	Stage       int
	Phase       RolloutPhase
	VoteReply   bool // the answer to a vote of this relay
	Outcome     Outcome
	ExposureCap float64
	Age         Tick
}

// Balancer decides for one instance.
type Balancer struct {
	host        Host
	set         map[string]any
	classes     []map[string]any
	now         Tick
	startedAt   Tick
	mostSuspect bool   // nearly every unit is in doubt
	x, carry    uint32 // chance

	listSynced        bool       // the first list has ended
	backends          []*Backend // those listed as ready, in this relay's own order, the nearest first
	concurrencyLimit  float64    // open deliveries that it allows itself
	cancelBudget      float64    // that may be made now
	requestFaults     []float64  // of the last commands answered or failed at two units, 1 for a failure
	choiceSize        int        // how many of them it chooses from
	queue             []*Request // those without a unit, in the order of their end
	recentFailures    []float64  // the last outcomes at any unit, 1 for a failure
	attemptsInFlight  []*Attempt // not ended, oldest first
	successTimes      []Tick     // of the last seconds
	arrivals          []Tick     // commands taken in them, repeats aside
	warmCapacity      float64    // units in use, by warmth
	ratePerBackend    float64    // acked a second at a warm unit, this relay's part
	canaryFraction    float64    // part of the commands that the units of the build on trial can take
	latencies         [][]Tick   // the last acked deliveries of each op type, at any build
	latencyKnownAt    []Tick     // when the last of them came
	p90Latency        []Tick     // what one in ten of them exceeds
	medianLatency     []Tick     // and half of them
	shortestObjective Tick       // the least service target

	gossipCounts []byte // counts for the other relays: of each op type and of answers, all and bad
	nextGossip   Tick

	exposure        []exposureCounter // what the exposure rule counts: all, or one an op type
	release         ReleaseStatus
	releaseKnown    bool
	stageStart      Tick               // when the newest stage started
	exposureResetAt Tick               // when a lower cap binds and the count starts anew
	answeredKeys    map[uint16]*keySet // the keys that a build has answered, of few builds

	baseline          *sample // of the earlier build
	baselineTimedAt   Tick    // when it last gave an outcome
	baselineMetricsAt Tick    // when the platform last counted some of it
	evaluation        *evaluation
	vote              vote

	polling      bool
	nextPoll     Tick
	pollInterval Tick
}

// exposureCounter is one count of the exposure rule.
type exposureCounter struct {
	arrivals, attempts []Tick
	credit             float64 // first deliveries due to the trial build
}

// evaluation is the judging of one build.
type evaluation struct {
	version          uint16
	sample           *sample
	streams          []stream  // all outcomes, one an op type, wrong answers
	effectWealth     []float64 // wealth against the effect, by op type, then for flags
	awaitingReports  []Tick    // whose flags may be on their way
	outcomesInStage  int       // outcomes in the stage
	countedStage     int       // that they were counted in
	stagePassed      int       // votes back found the stages before it passed
	baselineBackends float64   // units of earlier builds when this one came
	warmCapacity     float64   // units in use then, by warmth
	successRate      float64   // in the last seconds when this one came
	slowShareBefore  float64   // the earlier build's failure share when this one came
	medianLatency    []Tick    // and the middle time of each op type's deliveries
	alarm            string
}

// stream is the design's detector: a test started at each outcome.
type stream struct {
	level float64 // its part of the false-alarm budget
	n     int
	tests []test
}

// test is one one-sided betting test.
type test struct {
	start  int
	seen   float64
	bad    float64
	wealth float64
}

// vote is this relay's vote.
type vote struct {
	version uint16
	stage   int
	verdict Verdict
	state   int
	at      Tick // when it goes out, stops being waited for, or no longer stands
}

const (
	voteNone = iota
	voteDrawn
	voteCast
	voteStands
)
