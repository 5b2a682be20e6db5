package benchadapter

import "silvercove/balancer"

// eventCode is the code of an incoming record.
type eventCode uint8

// The events in the order of their codes, each with its name on the wire.
const (
	eventStart          eventCode = iota // BORN
	eventEndpointUpdate                  // ROSTER_CHANGE
	eventRequest                         // SUBMIT
	eventStreamStart                     // STREAMING
	eventOutcome                         // FINISHED
	eventClientGone                      // LEFT
	eventTimer                           // ALARM
	eventProbe                           // ECHO
	eventGossip                          // MEMO
	eventStop                            // DETACH
	eventRelease                         // PROMOTION
	eventMetrics                         // DIGEST
	eventWrongAnswer                     // DISPUTED
	eventEndpointList                    // CATALOG
	eventCodeCount                       // number of events
)

// actionCode is the code of an outgoing record.
type actionCode uint8

// The actions in the order of their codes, each with its name on the wire.
const (
	actionStartAttempt   actionCode = 64 + iota // SEND
	actionReject                                // BOUNCE
	actionFail                                  // SURRENDER
	actionCancelAttempt                         // ABORT_ATTEMPT
	actionSetTimer                              // WAKE_AT
	actionProbe                                 // TOUCH
	actionCloseIdle                             // CLOSE
	actionSendGossip                            // MEMO_TO
	actionLog                                   // SAY_LOG
	actionFault                                 // FAULT
	actionWatchEndpoints                        // TRACK
	actionFetchEndpoints                        // PULL
	actionCastVote                              // OPINION
)

// endpointUpdateKind is the type of the field "how" of ROSTER_CHANGE.
type endpointUpdateKind uint8

// The kinds of endpoint list updates in the order of their codes, each with its name on the wire.
const (
	updateComplete endpointUpdateKind = iota // full: the complete list
	updateFailed                             // failed: a fetch of the list failed, and the list is unchanged
	updateCached                             // cached: a complete list that may be stale
	updateDelta                              // delta: only the endpoints that changed
)

// Bits of the field "opts" of SUBMIT.
const (
	optionWorkKnown = 1 << iota
	optionClientRetry
	optionWrite
)

// voteReply is the value of the field "code" of PROMOTION if the record is the reply to a vote.
const voteReply = 1

// Each type below whose name ends in Event holds the fields of an incoming record. Its comment gives the name of the
// record on the wire. The fields have the balancer's types where the balancer defines one. The codes of outcomes,
// rollout phases and endpoint states on the wire equal the balancer's constants. Times are in ticks.

// startEvent is the record BORN, which reports that an instance has just started.
type startEvent struct {
	seed     uint64
	settings []byte
}

func (r *reader) startEvent() startEvent {
	return startEvent{
		seed:     r.u64("salt"),
		settings: r.take(int(r.u32("info count")), "info"),
	}
}

// endpointUpdateEvent is the record ROSTER_CHANGE, which updates the endpoint list. The updated endpoints are in a
// numbered list, which an earlier CATALOG record defines.
type endpointUpdateEvent struct {
	kind endpointUpdateKind
	list uint32
}

func (r *reader) endpointUpdateEvent() endpointUpdateEvent {
	kind := endpointUpdateKind(r.u8("how"))
	r.u32("seq_no")
	return endpointUpdateEvent{kind: kind, list: r.u32("page")}
}

// requestEvent is the record SUBMIT, which holds a client's request.
type requestEvent struct {
	id       uint64
	class    int
	tenant   int
	key      uint64
	deadline balancer.Tick
	work     balancer.Tick
	options  uint8
}

func (r *reader) requestEvent() requestEvent {
	return requestEvent{
		id:       r.u64("corr"),
		class:    int(r.u8("band")),
		tenant:   int(r.u32("project")),
		key:      r.u64("name_key"),
		deadline: r.tick("not_after"),
		work:     r.tick("work"),
		options:  r.u8("opts"),
	}
}

// request converts the event to the balancer's type.
func (e requestEvent) request() *balancer.Request {
	request := &balancer.Request{
		ID:          e.id,
		Class:       e.class,
		Tenant:      e.tenant,
		Key:         e.key,
		Deadline:    e.deadline,
		ClientRetry: e.options&optionClientRetry != 0,
		Write:       e.options&optionWrite != 0,
	}
	if e.options&optionWorkKnown != 0 {
		request.EstimatedWork = e.work
	}
	return request
}

// attemptID identifies an attempt by its request and its number, which starts at 0.
type attemptID struct {
	request uint64
	number  int
}

func (r *reader) attemptID() attemptID {
	return attemptID{request: r.u64("corr"), number: int(r.u8("send_no"))}
}

// streamStartEvent is the record STREAMING, which reports that the answer to an attempt has begun.
type streamStartEvent struct {
	attempt attemptID
}

func (r *reader) streamStartEvent() streamStartEvent {
	event := streamStartEvent{attempt: r.attemptID()}
	r.u32("unit")
	r.tick("wait_time")
	return event
}

// outcomeEvent is the record FINISHED, which reports how an attempt ended.
type outcomeEvent struct {
	attempt     attemptID
	outcome     balancer.Outcome
	elapsed     balancer.Tick
	finalAnswer bool // whether the request has its final answer
	load        []float64
}

func (r *reader) outcomeEvent() outcomeEvent {
	event := outcomeEvent{attempt: r.attemptID()}
	r.u32("unit")
	event.outcome = balancer.Outcome(r.u8("state_code"))
	event.elapsed = r.tick("wait_time")
	event.finalAnswer = r.u8("settled") != 0
	event.load = r.loadReport()
	return event
}

// probeEvent is the record ECHO, which reports how a probe ended.
type probeEvent struct {
	outcome balancer.Outcome
	elapsed balancer.Tick
	backend uint32
	load    []float64
}

func (r *reader) probeEvent() probeEvent {
	return probeEvent{
		outcome: balancer.Outcome(r.u8("state_code")),
		elapsed: r.tick("wait_time"),
		backend: r.u32("unit"),
		load:    r.loadReport(),
	}
}

// gossipEvent is the record MEMO, which holds a message from another relay.
type gossipEvent struct {
	sender uint32
	data   []byte
}

func (r *reader) gossipEvent() gossipEvent {
	return gossipEvent{
		sender: r.u32("sender"),
		data:   r.take(int(r.u16("data count")), "data"),
	}
}

// releaseStatus reads the record PROMOTION, which holds the status of the newest version.
func (r *reader) releaseStatus() balancer.ReleaseStatus {
	return balancer.ReleaseStatus{
		Version:     r.u16("ver"),
		Stage:       int(r.u8("ring")),
		Phase:       balancer.RolloutPhase(r.u8("where_at")),
		VoteReply:   r.u8("code") == voteReply,
		Outcome:     balancer.Outcome(r.u8("state_code")),
		ExposureCap: r.f32("most_share"),
		Age:         r.tick("age"),
	}
}

// metricsEvent is the record DIGEST. It holds the release platform's counts of one version's attempts in one class,
// over all relays.
type metricsEvent struct {
	version  uint16
	class    int
	attempts int
	failed   int
	latency  balancer.Tick // mean latency of the attempts that did not fail
	age      balancer.Tick // time since the end of the period that the counts cover
}

func (r *reader) metricsEvent() metricsEvent {
	return metricsEvent{
		version:  r.u16("ver"),
		class:    int(r.u8("band")),
		attempts: int(r.u32("attempts")),
		failed:   int(r.u32("lost")),
		latency:  r.tick("wait_time"),
		age:      r.tick("age"),
	}
}

// wrongAnswerEvent is the record DISPUTED, which reports that a client has called an answer wrong.
type wrongAnswerEvent struct {
	backend uint32
	class   int
	age     balancer.Tick // time since the attempt was sent
}

func (r *reader) wrongAnswerEvent() wrongAnswerEvent {
	return wrongAnswerEvent{
		backend: r.u32("unit"),
		class:   int(r.u8("band")),
		age:     r.tick("age"),
	}
}

// listedEndpoint is one entry of the record CATALOG.
type listedEndpoint struct {
	backend  uint32
	endpoint balancer.Endpoint
}

// listedEndpointSize is the size in bytes of an entry of the record CATALOG.
const listedEndpointSize = 26

func (r *reader) listedEndpoint() listedEndpoint {
	return listedEndpoint{
		backend: r.u32("unit"),
		endpoint: balancer.Endpoint{
			Zone:          int(r.u16("dc")),
			MachineKind:   int(r.u8("hw")),
			Cell:          int(r.u16("cluster")),
			State:         balancer.EndpointState(r.u8("health")),
			NominalWeight: r.f32("nominal"),
			StartedAt:     r.tick("up_since"),
			Version:       uint16(r.f32("release")),
		},
	}
}
