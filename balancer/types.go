package balancer

// Tick is a point in time or a duration, in units of a tenth of a millisecond.
type Tick int64

// Second is one second in ticks.
const Second Tick = 10000

// Outcome is how an attempt, a probe or a vote ended. The values are part of the wire format.
type Outcome uint8

// The outcomes.
const (
	// Succeeded means that the backend answered the request without an error.
	Succeeded Outcome = 1 + iota
	// Errored means that the backend answered with an error.
	Errored
	// AtCapacity means that the backend refused the attempt without serving it. For a vote, AtCapacity means that the
	// release API accepts no more votes at the moment.
	AtCapacity
	// TimedOut means that no answer arrived in time.
	TimedOut
	// ConnectFailed means that no connection could be established, so nothing was sent.
	ConnectFailed
	// Reset means that the connection broke after something had been sent.
	Reset
	// Cancelled means that the relay stopped waiting for the answer.
	Cancelled
	// Discarded means that the attempt was never sent. For a vote, Discarded means that the vote does not count because
	// the stage that it was cast on has passed.
	Discarded
)

// Request is a request that the relay has accepted. The caller sets the exported fields before OnRequest and does not
// change them afterwards, except for PinnedTo.
type Request struct {
	// ID identifies the request to the caller.
	ID uint64
	// Class is the index of the request's class in Settings.Classes.
	Class int
	// Tenant is the index of the client's tenant in the settings. The balancer does not read it.
	Tenant int
	// Key identifies the data that the request concerns; 0 means no key.
	Key uint64
	// Deadline is when the client stops waiting.
	Deadline Tick
	// EstimatedWork is the time that a typical backend would spend on the request; 0 means unknown. The balancer does
	// not read it.
	EstimatedWork Tick
	// ClientRetry reports whether the client has sent the same request before.
	ClientRetry bool
	// Write reports whether the request modifies data. The balancer does not read it.
	Write bool
	// Pinned reports whether the request may go only to the backend that runs its instance.
	Pinned bool
	// PinnedTo is the backend that runs the instance of a pinned request; nil means that this backend is unknown. The
	// caller changes PinnedTo and then calls OnInstancesMoved.
	PinnedTo *Backend

	receivedAt Tick
	// usefulUntil is when an answer loses most of its use: the end of the latency objective, or shortly before the
	// deadline if that is sooner.
	usefulUntil Tick
	priority    float64
	attempts    []*Attempt

	state     requestState
	streaming bool // the answer is being passed on to the client
	// failedTwice reports whether the request has failed at two backends, or twice at its only backend if it is pinned.
	// The request itself is then considered faulty.
	failedTwice       bool
	triedDespiteDelay bool // allowLateAttempt has allowed an attempt although the request was expected to be late
	retryReserved     bool // the fleet has allowed a retry, which starts when the cancelled attempt has ended
	deferredFailure   *Attempt
	refusal           Refusal
}

// requestState is the state of a request in the balancer.
type requestState uint8

const (
	requestInFlight requestState = iota // the request has an attempt in flight, or is about to be queued
	requestQueued                       // the request waits for a backend
	requestAnswered                     // the request needs no further answer; serveQueue drops it if it is queued
)

// Refusal returns the reason why no backend can take the request at the moment.
func (r *Request) Refusal() Refusal { return r.refusal }

// Attempt is one try of a request at a backend.
type Attempt struct {
	Request *Request
	// Number is the index of the attempt among those of its request, from 0.
	Number  int
	Backend *Backend

	version      uint16 // version that the backend ran at chosenAt
	backendStart Tick   // Backend.StartedAt as of chosenAt; differs from the present value if the backend has restarted since
	chosenAt     Tick   // when the backend was chosen
	slowAfter    Tick   // an answer after this time counts as slow for the version
	lateAfter    Tick   // an answer after this time counts as late for the backend

	countedAt         Tick // when countAttempt last counted the attempt
	countedAsExposure bool
	countedAsWarmUp   bool

	newConnection  bool // the attempt needs a new connection, whose setup adds to its latency
	silenceCounted bool // the backend's silence was counted as a failure before the attempt ended
	countedAsSlow  bool // the attempt was counted as slow before it ended

	state   attemptState
	outcome Outcome // set when the attempt has ended
}

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptRunning   attemptState = iota
	attemptCancelled              // cancelled by cancelAndRetry; its outcome has not been reported yet
	attemptEnded
)

// EndpointState is the state of a backend in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	// Removed means that the backend is no longer in the list.
	Removed EndpointState = iota
	// Ready means that the backend accepts requests.
	Ready
	// Draining means that the backend finishes its requests and gets no new requests.
	Draining
)

// Endpoint is the entry of one backend in the endpoint list.
type Endpoint struct {
	// Zone, Cell and MachineKind are numbers that the caller assigns to names. The balancer does not read MachineKind.
	Zone, Cell, MachineKind int
	State                   EndpointState
	// NominalWeight is the relative capacity of the backend, without a unit. The balancer does not read it.
	NominalWeight float64
	// StartedAt is when the backend's process started; 0 means long ago.
	StartedAt Tick
	// Version is the version that the backend runs. Later versions have higher numbers.
	Version uint16
}

// Backend is a server that handles requests. The caller creates one for each endpoint and passes it to OnEndpoint.
type Backend struct {
	// ID identifies the backend to the caller.
	ID uint32
	Endpoint

	listed            bool
	inFlight          int
	waitingSince      Tick      // when an attempt was last started while the backend had none in flight
	lastAnswer        Tick      // when the backend last reacted to an attempt, for instance with an answer or a reset
	successTimes      []Tick    // when the last successful attempts ended
	relativeLatencies []float64 // latencies of the last attempts, as fractions of the time from chosenAt to lateAfter

	backendHealth
	warmUp
}
