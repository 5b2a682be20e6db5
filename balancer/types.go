package balancer

// Tick is a point or a span of time in whole tenths of a millisecond.
type Tick int64

// Second is one second in ticks.
const Second Tick = 10000

// Outcome tells how an attempt, a probe or a vote ended. The values are those of the wire.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: a good answer came.
	Succeeded Outcome = 1 + iota
	// Errored: an answer came that is an error.
	Errored
	// AtCapacity: the backend turned the attempt away unserved. Of a vote: the release API takes no more votes now.
	AtCapacity
	// TimedOut: no answer came in time.
	TimedOut
	// ConnectFailed: no connection came up, so nothing was sent.
	ConnectFailed
	// Reset: the connection broke after something was sent.
	Reset
	// Cancelled: the relay stopped waiting.
	Cancelled
	// Discarded: the attempt was never sent. Of a vote: it does not count, as what it was about has passed.
	Discarded
)

// Request is one request that the relay has accepted. The exported fields are set by the caller before OnRequest and do
// not change afterwards, but for PinnedTo.
type Request struct {
	// ID is the caller's own name for it.
	ID uint64
	// Class is the request's class, by its place in the settings.
	Class int
	// Tenant is the client's tenant, by its place in the settings. Not read by the balancer.
	Tenant int
	// Key is what the request is about; 0 is no key.
	Key uint64
	// Deadline is when the client stops waiting.
	Deadline Tick
	// EstimatedWork is the time that a usual backend would work on it; 0 if not known. Not read by the balancer.
	EstimatedWork Tick
	// ClientRetry tells that the client has asked the same before.
	ClientRetry bool
	// Write tells that the request changes something. Not read by the balancer.
	Write bool
	// Pinned requests go only to the backend that their instance runs at.
	Pinned bool
	// PinnedTo is that backend; nil while it is not known. The caller changes it and then calls OnInstancesMoved.
	PinnedTo *Backend

	receivedAt  Tick
	usefulUntil Tick // later an answer is of little use
	priority    float64
	attempts    []*Attempt

	state             requestState
	streaming         bool // its answer is being passed on
	failedTwice       bool // at two backends, a pinned request at the one it has: held to be its own doing
	triedDespiteDelay bool // see allowLateAttempt
	retryReserved     bool // the fleet has allowed an attempt that waits for the end of the last one
	deferredFailure   *Attempt
	refusal           Refusal
}

// requestState is where a request stands.
type requestState uint8

const (
	requestInFlight requestState = iota // it has an attempt in flight, or has just come or lost one
	requestQueued                       // it waits for a backend
	requestAnswered                     // nothing is owed any more; serveQueue drops it if it was queued
)

// Refusal is why no backend may take a request now; see Request.Refusal.
func (r *Request) Refusal() Refusal { return r.refusal }

// Attempt is one try of a request at a backend.
type Attempt struct {
	Request *Request
	// Number counts the attempts of the request, from 0.
	Number  int
	Backend *Backend

	version      uint16 // of the backend, as it was chosen
	backendStart Tick   // as it was known then
	chosenAt     Tick   // when it was chosen
	slowAfter    Tick   // a later answer counts as slow for the version
	lateAfter    Tick   // and for the backend

	countedAt         Tick // when it was last counted as sent
	countedAsExposure bool
	countedAsWarmUp   bool

	newConnection  bool // setting it up takes time of its own
	silenceCounted bool // the backend's silence was counted before the attempt ended
	countedAsSlow  bool // before it ended

	state   attemptState
	outcome Outcome // once it has ended
}

// attemptState is where an attempt stands.
type attemptState uint8

const (
	attemptRunning   attemptState = iota
	attemptCancelled              // called off by cancelAndRetry; its outcome is still to come
	attemptEnded
)

// EndpointState is what the endpoint list says of a backend.
type EndpointState uint8

// The states of an endpoint.
const (
	// Removed: the list does not have it any more.
	Removed EndpointState = iota
	// Ready: it takes requests.
	Ready
	// Draining: it finishes what it has, and is sent nothing new.
	Draining
)

// Endpoint is what the endpoint list says of one backend.
type Endpoint struct {
	// Zone, Cell and MachineKind are numbers that the caller gives to names. MachineKind is not read by the balancer.
	Zone, Cell, MachineKind int
	State                   EndpointState
	// NominalWeight compares backends with each other, without a unit. Not read by the balancer.
	NominalWeight float64
	// StartedAt is when its process started; 0 for long ago.
	StartedAt Tick
	// Version is the version that it runs; a later one has a higher number.
	Version uint16
}

// Backend is a server that requests are sent to. A caller makes one for each endpoint and tells of it by OnEndpoint.
type Backend struct {
	// ID is the caller's own name for it.
	ID uint32
	Endpoint

	listed            bool
	inFlight          int
	waitingSince      Tick      // since when the relay has waited for any answer
	lastAnswer        Tick      // of any kind
	successTimes      []Tick    // of the last attempts that succeeded
	relativeLatencies []float64 // of the last attempts, in parts of what was due

	backendHealth
	warmUp
}
