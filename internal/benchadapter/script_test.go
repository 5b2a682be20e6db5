package benchadapter_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"
)

// scriptBackend is a backend that the simulator lists to the adapter.
type scriptBackend struct {
	id            uint32
	zone          uint16
	kind          uint8
	cell          uint16
	health        uint8
	nominal       float32
	started       microseconds
	version       uint16
	failureRate   float64 // probability that an attempt fails
	latencyFactor int     // multiple of the usual latency, which is 8 to 68 ms
}

// scriptAttempt is one attempt that the adapter has started.
type scriptAttempt struct {
	backend   uint32
	sentAt    microseconds
	streaming bool
	ended     bool
}

// scriptRequest is a request that a client has sent to an instance.
type scriptRequest struct {
	id       uint64
	class    int
	deadline microseconds
	answered bool
	attempts []*scriptAttempt
}

// scriptInstance is the simulator's state of one balancer instance that the adapter hosts.
type scriptInstance struct {
	number      uint32
	running     bool
	incarnation int
	requests    map[uint64]*scriptRequest
	versions    uint32 // number of endpoint list updates sent to the instance
	watching    bool
}

// scriptEvent is a function that the simulator runs at a point in time. The function may add records to the next batch.
type scriptEvent struct {
	at microseconds
	do func()
}

// simulator takes the role of the bench's simulator for one adapter.
type simulator struct {
	t           *testing.T
	random      *rand.Rand
	now         microseconds
	pending     []scriptEvent // sorted by time; events at the same time are in the order of their creation
	next        func()        // if not nil, runs before the pending events of the next batch
	batch       []byte
	records     uint32
	instances   []*scriptInstance
	backends    []*scriptBackend
	classes     []map[string]any
	settings    map[string]any
	nextID      uint64
	nextBackend uint32
	version     uint16
	stage       uint8
	phase       uint8
	exposureCap float32
	stageStart  microseconds // time of the last change of the rollout stage

	replyHash hash.Hash
	replies   int
	events    [wireEventCount]int
	actions   [wireActionsEnd]int
}

func (b *simulator) withProbability(part float64) bool { return b.random.Float64() < part }

func (b *simulator) at(at microseconds, do func()) {
	i := len(b.pending)
	for i > 0 && b.pending[i-1].at > at {
		i--
	}
	b.pending = slices.Insert(b.pending, i, scriptEvent{at: at, do: do})
}

func (b *simulator) after(span microseconds, do func()) { b.at(b.now+span, do) }

// newSimulator generates the settings and the first backends from the seed.
func newSimulator(t *testing.T, seed uint64) *simulator {
	t.Helper()
	b := &simulator{t: t, random: rand.New(rand.NewPCG(seed, 0x601d)), now: scriptStart, replyHash: sha256.New(), version: 3, phase: 2, exposureCap: 1}
	pick := func(values ...any) any { return values[b.random.IntN(len(values))] }
	for i := range 1 + b.random.IntN(4) {
		class := map[string]any{"name": fmt.Sprint("class-", i), "worth": pick(0.5, 1.0, 4.0), "on_time": pick(0.15, 0.4, 1.0),
			"deadline": pick(0.8, 1.5, 2.0), "semantics": pick("read_like", "read_like", "idempotency_key", "non_idempotent"),
			"dedup_scope": pick("all", "zone", "cell"), "window": pick(0.5, 3.0), "stream": i > 0 && b.withProbability(0.3)}
		b.classes = append(b.classes, class)
	}
	b.settings = map[string]any{
		"balancers": 1 + b.random.IntN(3), "discovery": pick("automatic", "subscribe"), "family": "rollout",
		"clients": map[string]any{"marks_retry": true}, "grades": b.classes, "kinds": []string{"small", "large"},
		"zones": []string{"east", "west"}, "weights": "rough", "me": 0, "tick": 0.005,
		"parties": []map[string]any{{"name": "one", "fraction": 0.6, "quota_per_s": 50}, {"name": "two", "fraction": 0.4, "quota_per_s": 30}},
		"limits": map[string]any{"send_cap": pick(1, 2, 3, 5), "may_cancel": b.withProbability(0.7), "may_duplicate": false,
			"peers": b.withProbability(0.7), "probing": true, "retry_after": b.withProbability(0.5), "max_retry_after": pick(0.3, 2.0),
			"connect_timeout": 0.3, "idle_close": pick(0.5, 20.0)},
		"load_info": map[string]any{"columns": []string{"queue", "util"}, "source": "inline"},
		"rules": map[string]any{"ask_every": pick(2.0, 9.0), "cold": pick(0.0, 2.5, 6.0), "cold_from": pick(0.2, 0.5),
			"drain_grace": pick(0.3, 1.0), "fall_multiple": pick(1.5, 3.0), "tip_after": pick(0.5, 1.5), "answer_slack": 0.05},
		"family_info": map[string]any{"control": pick("single", "majority", "clocked"), "counted_by": pick("all", "per_lane"),
			"counted_over": pick(1.0, 2.0), "uncounted": pick(0.0, 3.0), "most_shares": []float64{0.25, 0.6, 1},
			"shares": []float64{0.2, 0.5, 1}, "guarded_stages": pick(0, 0, 1), "forward_only": b.withProbability(0.4),
			"found_share": pick(0.0, 0.5, 1.0), "metrics_period": pick(0.0, 1.0), "vote_wait": pick(0.5, 2.0),
			"votes_per_s": pick(2.0, 60.0), "ballot_ttl": pick(1.5, 5.0), "soak": 1.0, "repeat_every": 3.0},
	}
	for range 4 + b.random.IntN(7) {
		b.addBackend(0, b.version)
	}
	return b
}

func (b *simulator) addBackend(started microseconds, version uint16) {
	b.nextBackend++
	n := b.nextBackend
	u := &scriptBackend{id: n*2654435761 | 1, zone: uint16(n % 2), kind: uint8(n / 2 % 2), cell: uint16(n % 4), health: 1,
		nominal: float32(1 + n%3), started: started, version: version, latencyFactor: 1}
	if b.withProbability(0.2) {
		u.failureRate = b.random.Float64()
	}
	if b.withProbability(0.15) {
		u.latencyFactor = 10
	}
	b.backends = append(b.backends, u)
}

// sendEndpointList sends an endpoint list update to an instance. It writes the backends as a numbered list (CATALOG), and
// an update that refers to the list (ROSTER_CHANGE). how is the code of an endpointUpdateKind. A failed update, with code
// 1, comes without a list.
func (b *simulator) sendEndpointList(r *scriptInstance, how uint8, backends []*scriptBackend) {
	page := uint32(b.random.IntN(16))
	if how != 1 {
		b.record(wireCatalog)
		b.u32(page)
		b.u32(uint32(len(backends)))
		for _, u := range backends {
			b.u32(u.id)
			b.u16(u.zone)
			b.u8(u.kind)
			b.u16(u.cell)
			b.u8(u.health)
			b.f32(u.nominal)
			b.time(u.started)
			b.f32(float32(u.version))
		}
	}
	r.versions++
	b.record(wireRosterChange)
	b.u32(r.number)
	b.u8(how)
	b.u32(r.versions)
	b.u32(page)
}

// presentBackends returns the backends that have not been removed, which are the entries of a complete list.
func (b *simulator) presentBackends() (backends []*scriptBackend) {
	for _, u := range b.backends {
		if u.health != 0 {
			backends = append(backends, u)
		}
	}
	return backends
}

func (b *simulator) start(r *scriptInstance) {
	r.running, r.requests = true, map[uint64]*scriptRequest{}
	r.incarnation++
	b.settings["me"] = r.number
	text, err := json.Marshal(b.settings)
	if err != nil {
		b.t.Fatal(err)
	}
	b.record(wireBorn)
	b.u32(r.number)
	b.u64(b.random.Uint64())
	b.u32(uint32(len(text)))
	b.batch = append(b.batch, text...)
	b.sendEndpointList(r, 2, b.presentBackends())
	b.releaseStatus(r, 0, wireOK)
	incarnation := r.incarnation
	b.after(0, func() { b.submitRequests(r, incarnation) })
}

// submitRequests submits requests to one incarnation of an instance, at a rate that changes every second. It ends if the
// instance stops or restarts.
func (b *simulator) submitRequests(r *scriptInstance, incarnation int) {
	if !r.running || r.incarnation != incarnation {
		return
	}
	b.submit(r)
	rate := 40 + 30*float64(b.now/second%4)
	b.after(1+microseconds(b.random.ExpFloat64()/rate*float64(second)), func() { b.submitRequests(r, incarnation) })
}

func (b *simulator) submit(r *scriptInstance) {
	class := b.random.IntN(len(b.classes))
	wait := b.classes[class]["deadline"].(float64)
	if b.withProbability(0.3) {
		wait *= b.random.Float64()
	}
	b.nextID += 1 + b.random.Uint64N(1<<20)
	q := &scriptRequest{id: b.nextID, class: class, deadline: b.now + microseconds(wait*float64(second))}
	r.requests[q.id] = q
	b.record(wireSubmit)
	b.u32(r.number)
	b.u64(q.id)
	b.u8(uint8(class))
	b.u32(uint32(b.random.IntN(2)))
	b.u64(b.random.Uint64N(60) * 0x9e3779b97f4a7c15)
	b.time(q.deadline)
	b.time(microseconds(b.random.IntN(20000)))
	b.u8(uint8(b.random.IntN(8)))
	incarnation := r.incarnation
	if b.withProbability(0.04) { // this client leaves before the deadline
		b.at(b.now+microseconds(b.random.Float64()*wait*float64(second)), func() { b.clientGone(r, incarnation, q) })
	}
	b.at(q.deadline+20_000, func() { b.clientGone(r, incarnation, q) })
}

func (b *simulator) clientGone(r *scriptInstance, incarnation int, q *scriptRequest) {
	if !r.running || r.incarnation != incarnation || q.answered {
		return
	}
	q.answered = true
	b.record(wireLeft)
	b.u32(r.number)
	b.u64(q.id)
}

func (b *simulator) releaseStatus(r *scriptInstance, code, outcome uint8) {
	b.record(wirePromotion)
	b.u32(r.number)
	b.u16(b.version)
	b.u8(b.stage)
	b.u8(b.phase)
	b.u8(code)
	b.u8(outcome)
	b.f32(b.exposureCap)
	b.time(b.now - b.stageStart)
}

// announceStage sends the status of the newest version to every running instance.
func (b *simulator) announceStage() {
	b.stageStart = b.now
	for _, r := range b.instances {
		if r.running {
			b.releaseStatus(r, 0, wireOK)
		}
	}
}

// startAttempt chooses the outcome and the latency of an attempt, and schedules the events that report them.
func (b *simulator) startAttempt(r *scriptInstance, q *scriptRequest, no int, stopAt microseconds) {
	a := q.attempts[no]
	var u *scriptBackend
	for _, candidate := range b.backends {
		if candidate.id == a.backend {
			u = candidate
		}
	}
	if u == nil {
		b.t.Fatalf("attempt at backend %d, which is in no list", a.backend)
	}
	outcome := uint8(wireOK)
	took := microseconds(u.latencyFactor) * microseconds(8000+b.random.IntN(60_000))
	failureRate := u.failureRate
	if u.version == 5 {
		failureRate = max(failureRate, 0.5)
	}
	switch draw := b.random.Float64(); {
	case u.health == 0:
		outcome = wireConnectFailed
	case draw < 0.02+failureRate:
		outcome = []uint8{wireError, wireError, wireFull, wireConnectFailed, wireReset, wireMoot}[b.random.IntN(6)]
	case draw < 0.04+failureRate:
		took = 3 * second
	}
	if stopAt == 0 || stopAt > q.deadline {
		stopAt = q.deadline
	}
	incarnation := r.incarnation
	if b.classes[q.class]["stream"] == true && outcome == wireOK && b.now+took < stopAt {
		b.after(took, func() { b.stream(r, incarnation, q, no) })
		b.after(took+microseconds(b.random.IntN(500_000)), func() { b.finish(r, incarnation, q, no, wireOK) })
		return
	}
	if b.now+took >= stopAt {
		took, outcome = max(0, stopAt-b.now), wireTimeout
	}
	b.after(took, func() { b.finish(r, incarnation, q, no, outcome) })
}

func (b *simulator) stream(r *scriptInstance, incarnation int, q *scriptRequest, no int) {
	a := q.attempts[no]
	if !r.running || r.incarnation != incarnation || a.ended {
		return
	}
	a.streaming = true
	b.record(wireStreaming)
	b.u32(r.number)
	b.u64(q.id)
	b.u8(uint8(no))
	b.u32(a.backend)
	b.time(b.now - a.sentAt)
}

func (b *simulator) finish(r *scriptInstance, incarnation int, q *scriptRequest, no int, outcome uint8) {
	a := q.attempts[no]
	if !r.running || r.incarnation != incarnation || a.ended {
		return
	}
	a.ended = true
	if outcome == wireOK || a.streaming {
		q.answered = true
	}
	b.record(wireFinished)
	b.u32(r.number)
	b.u64(q.id)
	b.u8(uint8(no))
	b.u32(a.backend)
	b.u8(outcome)
	b.time(b.now - a.sentAt)
	b.flag(q.answered)
	b.loadReport()
	if outcome == wireOK && b.withProbability(0.03) {
		class := uint8(q.class)
		sent := a.sentAt
		b.after(microseconds(b.random.IntN(2_000_000)), func() {
			if r.running && r.incarnation == incarnation {
				b.record(wireDisputed)
				b.u32(r.number)
				b.u32(a.backend)
				b.u8(class)
				b.time(b.now - sent)
			}
		})
	}
}

// sideEvents writes random events that do not result from the simulated requests, and schedules itself again 60 ms later.
func (b *simulator) sideEvents() {
	for _, r := range b.instances {
		if !r.running {
			continue
		}
		switch b.random.IntN(12) {
		case 0:
			b.record(wireEcho)
			b.u32(r.number)
			b.u8(uint8(1 + b.random.IntN(8)))
			b.time(microseconds(b.random.IntN(300_000)))
			b.u32(b.backends[b.random.IntN(len(b.backends))].id)
			b.loadReport()
		case 1:
			b.gossip(r, uint32(b.random.IntN(4)), b.gossipCounts())
		case 2:
			b.gossip(r, 1, []byte("what nobody understands")[:b.random.IntN(24)])
		case 3, 4:
			b.record(wireDigest)
			b.u32(r.number)
			b.u16(b.version - uint16(b.random.IntN(2)))
			b.u8(uint8(b.random.IntN(len(b.classes) + 1)))
			attempts := uint32(b.random.IntN(60))
			b.u32(attempts)
			b.u32(uint32(b.random.IntN(int(attempts)/8 + 2)))
			b.time(microseconds(b.random.IntN(200_000)))
			b.time(microseconds(b.random.IntN(1_500_000)))
		case 5:
			b.sendEndpointList(r, 0, b.presentBackends())
		case 6:
			b.sendEndpointList(r, 1, nil)
		case 7: // an event of a request that the instance does not know
			b.record(wireLeft)
			b.u32(r.number)
			b.u64(1<<52 - 1)
		case 8:
			b.releaseStatus(r, 0, wireOK)
		}
	}
	b.after(60_000, b.sideEvents)
}

// gossipCounts returns a gossip message in the form that another relay would send. It has random counts of the newest
// version's outcomes for each class.
func (b *simulator) gossipCounts() []byte {
	data := make([]byte, 4+2*len(b.classes))
	binary.LittleEndian.PutUint16(data, b.version)
	for i := 2; i+1 < len(data); i += 2 {
		data[i] = byte(b.random.IntN(30))
		data[i+1] = byte(b.random.IntN(int(data[i])/6 + 1))
	}
	return data
}

func (b *simulator) gossip(r *scriptInstance, from uint32, data []byte) {
	b.record(wireMemo)
	b.u32(r.number)
	b.u32(from)
	b.u16(uint16(len(data)))
	b.batch = append(b.batch, data...)
}

// sendDelta sends a list of changed backends to every running instance.
func (b *simulator) sendDelta(backends ...*scriptBackend) {
	for _, r := range b.instances {
		if r.running {
			b.sendEndpointList(r, 3, backends)
		}
	}
}

// scheduleRollouts schedules the changes of the endpoint list, the rollouts of versions 4 and 5, and the restart of an
// instance.
func (b *simulator) scheduleRollouts() {
	b.at(scriptStart+1500_000, func() { // one backend restarts
		u := b.backends[b.random.IntN(len(b.backends))]
		u.started = b.now
		b.sendDelta(u)
	})
	rollout := func(at microseconds, version uint16) {
		b.at(at, func() {
			b.version, b.stage, b.phase, b.exposureCap = version, 0, 0, 0.25
			before := len(b.backends)
			for range 1 + before/4 {
				b.addBackend(b.now, version)
			}
			b.sendDelta(b.backends[before:]...)
			b.announceStage()
		})
		for i, share := range []float32{0.6, 1} {
			b.at(at+microseconds(i+1)*1500_000, func() {
				if b.version == version && b.phase == 0 {
					b.stage, b.exposureCap = uint8(i+1), share
					b.addBackend(b.now, version)
					b.sendDelta(b.backends[len(b.backends)-1])
					b.announceStage()
				}
			})
		}
	}
	rollout(scriptStart+2*second, 4)
	b.at(scriptStart+7*second, func() {
		b.phase, b.exposureCap = 2, 1
		b.announceStage()
		for _, u := range b.backends[:2] { // two backends of the earlier version start to drain; the first is removed a second later
			u.health = 2
		}
		b.sendDelta(b.backends[:2]...)
	})
	b.at(scriptStart+8*second, func() {
		b.backends[0].health = 0
		b.sendDelta(b.backends[0])
	})
	rollout(scriptStart+9*second, 5)
	b.at(scriptStart+12500_000, func() {
		b.phase, b.exposureCap = 1, 0.1
		b.announceStage()
	})
	b.at(scriptStart+13*second, func() {
		b.phase, b.exposureCap = 3, 0
		b.announceStage()
	})
	b.at(scriptStart+5*second, func() { b.next = b.restartInstance })
}

// restartInstance stops one instance and starts it again, in the same batch or 0.4 s later.
func (b *simulator) restartInstance() {
	r := b.instances[b.random.IntN(len(b.instances))]
	r.running = false
	b.record(wireDetach)
	b.u32(r.number)
	if b.withProbability(0.5) {
		b.start(r)
	} else {
		b.after(400_000, func() { b.start(r) })
	}
}
