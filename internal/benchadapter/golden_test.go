package benchadapter_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"silvercove/internal/benchadapter"
)

// The golden trace holds the adapter's replies, byte for byte, to scripts of frames that a generator of this file makes
// from a seed. The generator speaks the bench's wire by itself: it shares no code with the adapter. Texts of log records
// are left out of the hash, with the frame length that counts them; their number, place and order are in.

var update = flag.Bool("update", false, "write the golden trace instead of comparing with it")

const (
	goldenFile  = "testdata/replies.golden"
	goldenSeeds = 28
)

// Codes of the wire's events.
const (
	wireBorn = iota
	wireRosterChange
	wireSubmit
	wireStreaming
	wireFinished
	wireLeft
	wireAlarm
	wireEcho
	wireMemo
	wireDetach
	wirePromotion
	wireDigest
	wireDisputed
	wireCatalog
	wireEvents // how many there are
)

// Codes of the wire's actions.
const (
	wireSend = 64 + iota
	wireBounce
	wireSurrender
	wireAbortAttempt
	wireWakeAt
	wireTouch
	wireClose
	wireMemoTo
	wireSayLog
	wireFault
	wireTrack
	wirePull
	wireOpinion
	wireActionsEnd
)

// Outcomes of the wire.
const (
	wireOK = 1 + iota
	wireError
	wireFull
	wireTimeout
	wireConnectFailed
	wireReset
	wireCancelled
	wireMoot
)

// microseconds is a point of the script's clock.
type microseconds int64

const (
	second      microseconds = 1_000_000
	scriptStart              = 7 * second
	scriptSpan               = 14 * second
	batchGap                 = 5000 * microseconds(1)
)

func (at microseconds) seconds() float64 { return float64(at) / float64(second) }

// scriptUnit is a backend of the script.
type scriptUnit struct {
	id      uint32
	zone    uint16
	kind    uint8
	cell    uint16
	health  uint8
	nominal float32
	started microseconds
	build   uint16
	sick    float64 // chance of a failure
	slow    int     // times the usual time to answer
}

// scriptAttempt is one attempt that the adapter has started.
type scriptAttempt struct {
	unit      uint32
	sentAt    microseconds
	streaming bool
	ended     bool
}

type scriptRequest struct {
	id       uint64
	class    int
	notAfter microseconds
	over     bool
	attempts []*scriptAttempt
}

// scriptRelay is one instance behind the adapter.
type scriptRelay struct {
	number   uint32
	alive    bool
	life     int
	requests map[uint64]*scriptRequest
	versions uint32 // of the list
	watching bool
}

// scriptEvent writes records into the batch of its time.
type scriptEvent struct {
	at microseconds
	do func()
}

// bench plays the simulator's part against one adapter.
type bench struct {
	t        *testing.T
	random   *rand.Rand
	now      microseconds
	due      []scriptEvent // by time, then in the order of their making
	next     func()        // comes before all others of the next batch
	batch    []byte
	records  uint32
	relays   []*scriptRelay
	units    []*scriptUnit
	classes  []map[string]any
	settings map[string]any
	nextID   uint64
	nextUnit uint32
	build    uint16
	stage    uint8
	phase    uint8
	ceiling  float32
	news     microseconds // when the stage last changed

	sum     hash.Hash
	replies int
	events  [wireEvents]int
	actions [wireActionsEnd]int
}

func (b *bench) chance(part float64) bool { return b.random.Float64() < part }

func (b *bench) at(at microseconds, do func()) {
	i := len(b.due)
	for i > 0 && b.due[i-1].at > at {
		i--
	}
	b.due = slices.Insert(b.due, i, scriptEvent{at: at, do: do})
}

func (b *bench) after(span microseconds, do func()) { b.at(b.now+span, do) }

func (b *bench) record(code uint8) {
	b.records++
	b.events[code]++
	b.batch = append(b.batch, code)
}

func (b *bench) u8(v uint8)           { b.batch = append(b.batch, v) }
func (b *bench) u16(v uint16)         { b.batch = binary.LittleEndian.AppendUint16(b.batch, v) }
func (b *bench) u32(v uint32)         { b.batch = binary.LittleEndian.AppendUint32(b.batch, v) }
func (b *bench) u64(v uint64)         { b.batch = binary.LittleEndian.AppendUint64(b.batch, v) }
func (b *bench) f32(v float32)        { b.u32(math.Float32bits(v)) }
func (b *bench) time(at microseconds) { b.u64(math.Float64bits(at.seconds())) }
func (b *bench) flag(set bool)        { b.u8(map[bool]uint8{false: 0, true: 1}[set]) }
func (b *bench) figures(values ...int) {
	b.u8(uint8(len(values)))
	for _, v := range values {
		b.f32(float32(v) / 4)
	}
}

// loadReport writes a load report, or the absence of one.
func (b *bench) loadReport() {
	if b.chance(0.5) {
		b.figures()
		return
	}
	b.figures(b.random.IntN(40), b.random.IntN(5))
}

// newBench draws a site.
func newBench(t *testing.T, seed uint64) *bench {
	t.Helper()
	b := &bench{t: t, random: rand.New(rand.NewPCG(seed, 0x601d)), now: scriptStart, sum: sha256.New(), build: 3, phase: 2, ceiling: 1}
	pick := func(values ...any) any { return values[b.random.IntN(len(values))] }
	for i := range 1 + b.random.IntN(4) {
		class := map[string]any{"name": fmt.Sprint("class-", i), "worth": pick(0.5, 1.0, 4.0), "on_time": pick(0.15, 0.4, 1.0),
			"deadline": pick(0.8, 1.5, 2.0), "semantics": pick("read_like", "read_like", "idempotency_key", "non_idempotent"),
			"dedup_scope": pick("all", "zone", "cell"), "window": pick(0.5, 3.0), "stream": i > 0 && b.chance(0.3)}
		b.classes = append(b.classes, class)
	}
	b.settings = map[string]any{
		"balancers": 1 + b.random.IntN(3), "discovery": pick("automatic", "subscribe"), "family": "rollout",
		"clients": map[string]any{"marks_retry": true}, "grades": b.classes, "kinds": []string{"small", "large"},
		"zones": []string{"east", "west"}, "weights": "rough", "me": 0, "tick": 0.005,
		"parties": []map[string]any{{"name": "one", "fraction": 0.6, "quota_per_s": 50}, {"name": "two", "fraction": 0.4, "quota_per_s": 30}},
		"limits": map[string]any{"send_cap": pick(1, 2, 3, 5), "may_cancel": b.chance(0.7), "may_duplicate": false,
			"peers": b.chance(0.7), "probing": true, "retry_after": b.chance(0.5), "max_retry_after": pick(0.3, 2.0),
			"connect_timeout": 0.3, "idle_close": pick(0.5, 20.0)},
		"load_info": map[string]any{"columns": []string{"queue", "util"}, "source": "inline"},
		"rules": map[string]any{"ask_every": pick(2.0, 9.0), "cold": pick(0.0, 2.5, 6.0), "cold_from": pick(0.2, 0.5),
			"drain_grace": pick(0.3, 1.0), "fall_multiple": pick(1.5, 3.0), "tip_after": pick(0.5, 1.5), "answer_slack": 0.05},
		"family_info": map[string]any{"control": pick("single", "majority", "clocked"), "counted_by": pick("all", "per_lane"),
			"counted_over": pick(1.0, 2.0), "uncounted": pick(0.0, 3.0), "most_shares": []float64{0.25, 0.6, 1},
			"shares": []float64{0.2, 0.5, 1}, "guarded_stages": pick(0, 0, 1), "forward_only": b.chance(0.4),
			"found_share": pick(0.0, 0.5, 1.0), "metrics_period": pick(0.0, 1.0), "vote_wait": pick(0.5, 2.0),
			"votes_per_s": pick(2.0, 60.0), "ballot_ttl": pick(1.5, 5.0), "soak": 1.0, "repeat_every": 3.0},
	}
	for range 4 + b.random.IntN(7) {
		b.addUnit(0, b.build)
	}
	return b
}

func (b *bench) addUnit(started microseconds, build uint16) {
	b.nextUnit++
	n := b.nextUnit
	u := &scriptUnit{id: n*2654435761 | 1, zone: uint16(n % 2), kind: uint8(n / 2 % 2), cell: uint16(n % 4), health: 1,
		nominal: float32(1 + n%3), started: started, build: build, slow: 1}
	if b.chance(0.2) {
		u.sick = b.random.Float64()
	}
	if b.chance(0.15) {
		u.slow = 10
	}
	b.units = append(b.units, u)
}

// listed writes a catalog of units and the record that has an instance read it.
func (b *bench) listed(r *scriptRelay, how uint8, units []*scriptUnit) {
	page := uint32(b.random.IntN(16))
	if how != 1 {
		b.record(wireCatalog)
		b.u32(page)
		b.u32(uint32(len(units)))
		for _, u := range units {
			b.u32(u.id)
			b.u16(u.zone)
			b.u8(u.kind)
			b.u16(u.cell)
			b.u8(u.health)
			b.f32(u.nominal)
			b.time(u.started)
			b.f32(float32(u.build))
		}
	}
	r.versions++
	b.record(wireRosterChange)
	b.u32(r.number)
	b.u8(how)
	b.u32(r.versions)
	b.u32(page)
}

// present are the units that a whole list names.
func (b *bench) present() (units []*scriptUnit) {
	for _, u := range b.units {
		if u.health != 0 {
			units = append(units, u)
		}
	}
	return units
}

func (b *bench) start(r *scriptRelay) {
	r.alive, r.requests = true, map[uint64]*scriptRequest{}
	r.life++
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
	b.listed(r, 2, b.present())
	b.promotion(r, 0, wireOK)
	life := r.life
	b.after(0, func() { b.load(r, life) })
}

// load submits requests at a rate that changes by the second.
func (b *bench) load(r *scriptRelay, life int) {
	if !r.alive || r.life != life {
		return
	}
	b.submit(r)
	rate := 40 + 30*float64(b.now/second%4)
	b.after(1+microseconds(b.random.ExpFloat64()/rate*float64(second)), func() { b.load(r, life) })
}

func (b *bench) submit(r *scriptRelay) {
	class := b.random.IntN(len(b.classes))
	wait := b.classes[class]["deadline"].(float64)
	if b.chance(0.3) {
		wait *= b.random.Float64()
	}
	b.nextID += 1 + b.random.Uint64N(1<<20)
	q := &scriptRequest{id: b.nextID, class: class, notAfter: b.now + microseconds(wait*float64(second))}
	r.requests[q.id] = q
	b.record(wireSubmit)
	b.u32(r.number)
	b.u64(q.id)
	b.u8(uint8(class))
	b.u32(uint32(b.random.IntN(2)))
	b.u64(b.random.Uint64N(60) * 0x9e3779b97f4a7c15)
	b.time(q.notAfter)
	b.time(microseconds(b.random.IntN(20000)))
	b.u8(uint8(b.random.IntN(8)))
	life := r.life
	if b.chance(0.04) { // its client leaves early
		b.at(b.now+microseconds(b.random.Float64()*wait*float64(second)), func() { b.leave(r, life, q) })
	}
	b.at(q.notAfter+20_000, func() { b.leave(r, life, q) })
}

func (b *bench) leave(r *scriptRelay, life int, q *scriptRequest) {
	if !r.alive || r.life != life || q.over {
		return
	}
	q.over = true
	b.record(wireLeft)
	b.u32(r.number)
	b.u64(q.id)
}

func (b *bench) promotion(r *scriptRelay, code, outcome uint8) {
	b.record(wirePromotion)
	b.u32(r.number)
	b.u16(b.build)
	b.u8(b.stage)
	b.u8(b.phase)
	b.u8(code)
	b.u8(outcome)
	b.f32(b.ceiling)
	b.time(b.now - b.news)
}

// tellStage has every instance hear of the newest build.
func (b *bench) tellStage() {
	b.news = b.now
	for _, r := range b.relays {
		if r.alive {
			b.promotion(r, 0, wireOK)
		}
	}
}

// attempt draws how an attempt ends.
func (b *bench) attempt(r *scriptRelay, q *scriptRequest, no int, stopAt microseconds) {
	a := q.attempts[no]
	var u *scriptUnit
	for _, one := range b.units {
		if one.id == a.unit {
			u = one
		}
	}
	if u == nil {
		b.t.Fatalf("an attempt at a unit %d that no list has named", a.unit)
	}
	outcome := uint8(wireOK)
	took := microseconds(u.slow) * microseconds(8000+b.random.IntN(60_000))
	sick := u.sick
	if u.build == 5 {
		sick = max(sick, 0.5)
	}
	switch draw := b.random.Float64(); {
	case u.health == 0:
		outcome = wireConnectFailed
	case draw < 0.02+sick:
		outcome = []uint8{wireError, wireError, wireFull, wireConnectFailed, wireReset, wireMoot}[b.random.IntN(6)]
	case draw < 0.04+sick:
		took = 3 * second
	}
	if stopAt == 0 || stopAt > q.notAfter {
		stopAt = q.notAfter
	}
	life := r.life
	if b.classes[q.class]["stream"] == true && outcome == wireOK && b.now+took < stopAt {
		b.after(took, func() { b.stream(r, life, q, no) })
		b.after(took+microseconds(b.random.IntN(500_000)), func() { b.finish(r, life, q, no, wireOK) })
		return
	}
	if b.now+took >= stopAt {
		took, outcome = max(0, stopAt-b.now), wireTimeout
	}
	b.after(took, func() { b.finish(r, life, q, no, outcome) })
}

func (b *bench) stream(r *scriptRelay, life int, q *scriptRequest, no int) {
	a := q.attempts[no]
	if !r.alive || r.life != life || a.ended {
		return
	}
	a.streaming = true
	b.record(wireStreaming)
	b.u32(r.number)
	b.u64(q.id)
	b.u8(uint8(no))
	b.u32(a.unit)
	b.time(b.now - a.sentAt)
}

func (b *bench) finish(r *scriptRelay, life int, q *scriptRequest, no int, outcome uint8) {
	a := q.attempts[no]
	if !r.alive || r.life != life || a.ended {
		return
	}
	a.ended = true
	if outcome == wireOK || a.streaming {
		q.over = true
	}
	b.record(wireFinished)
	b.u32(r.number)
	b.u64(q.id)
	b.u8(uint8(no))
	b.u32(a.unit)
	b.u8(outcome)
	b.time(b.now - a.sentAt)
	b.flag(q.over)
	b.loadReport()
	if outcome == wireOK && b.chance(0.03) {
		class := uint8(q.class)
		sent := a.sentAt
		b.after(microseconds(b.random.IntN(2_000_000)), func() {
			if r.alive && r.life == life {
				b.record(wireDisputed)
				b.u32(r.number)
				b.u32(a.unit)
				b.u8(class)
				b.time(b.now - sent)
			}
		})
	}
}

// noise is what comes beside the requests.
func (b *bench) noise() {
	for _, r := range b.relays {
		if !r.alive {
			continue
		}
		switch b.random.IntN(12) {
		case 0:
			b.record(wireEcho)
			b.u32(r.number)
			b.u8(uint8(1 + b.random.IntN(8)))
			b.time(microseconds(b.random.IntN(300_000)))
			b.u32(b.units[b.random.IntN(len(b.units))].id)
			b.loadReport()
		case 1:
			b.memo(r, uint32(b.random.IntN(4)), b.counts())
		case 2:
			b.memo(r, 1, []byte("what nobody understands")[:b.random.IntN(24)])
		case 3, 4:
			b.record(wireDigest)
			b.u32(r.number)
			b.u16(b.build - uint16(b.random.IntN(2)))
			b.u8(uint8(b.random.IntN(len(b.classes) + 1)))
			many := uint32(b.random.IntN(60))
			b.u32(many)
			b.u32(uint32(b.random.IntN(int(many)/8 + 2)))
			b.time(microseconds(b.random.IntN(200_000)))
			b.time(microseconds(b.random.IntN(1_500_000)))
		case 5:
			b.listed(r, 0, b.present())
		case 6:
			b.listed(r, 1, nil)
		case 7: // an event of a request that nobody knows any more
			b.record(wireLeft)
			b.u32(r.number)
			b.u64(1<<52 - 1)
		case 8:
			b.promotion(r, 0, wireOK)
		}
	}
	b.after(60_000, b.noise)
}

// counts is a message of another relay about the newest build.
func (b *bench) counts() []byte {
	data := make([]byte, 4+2*len(b.classes))
	binary.LittleEndian.PutUint16(data, b.build)
	for i := 2; i+1 < len(data); i += 2 {
		data[i] = byte(b.random.IntN(30))
		data[i+1] = byte(b.random.IntN(int(data[i])/6 + 1))
	}
	return data
}

func (b *bench) memo(r *scriptRelay, from uint32, data []byte) {
	b.record(wireMemo)
	b.u32(r.number)
	b.u32(from)
	b.u16(uint16(len(data)))
	b.batch = append(b.batch, data...)
}

// delta tells every instance what has changed at some units.
func (b *bench) delta(units ...*scriptUnit) {
	for _, r := range b.relays {
		if r.alive {
			b.listed(r, 3, units)
		}
	}
}

// churn changes the list and the stage of builds in the course of the script.
func (b *bench) churn() {
	b.at(scriptStart+1500_000, func() { // one unit starts anew
		u := b.units[b.random.IntN(len(b.units))]
		u.started = b.now
		b.delta(u)
	})
	rollout := func(at microseconds, build uint16) {
		b.at(at, func() {
			b.build, b.stage, b.phase, b.ceiling = build, 0, 0, 0.25
			before := len(b.units)
			for range 1 + before/4 {
				b.addUnit(b.now, build)
			}
			b.delta(b.units[before:]...)
			b.tellStage()
		})
		for i, share := range []float32{0.6, 1} {
			b.at(at+microseconds(i+1)*1500_000, func() {
				if b.build == build && b.phase == 0 {
					b.stage, b.ceiling = uint8(i+1), share
					b.addUnit(b.now, build)
					b.delta(b.units[len(b.units)-1])
					b.tellStage()
				}
			})
		}
	}
	rollout(scriptStart+2*second, 4)
	b.at(scriptStart+7*second, func() {
		b.phase, b.ceiling = 2, 1
		b.tellStage()
		for _, u := range b.units[:2] { // earlier units drain, then go
			u.health = 2
		}
		b.delta(b.units[:2]...)
	})
	b.at(scriptStart+8*second, func() {
		b.units[0].health = 0
		b.delta(b.units[0])
	})
	rollout(scriptStart+9*second, 5)
	b.at(scriptStart+12500_000, func() {
		b.phase, b.ceiling = 1, 0.1
		b.tellStage()
	})
	b.at(scriptStart+13*second, func() {
		b.phase, b.ceiling = 3, 0
		b.tellStage()
	})
	b.at(scriptStart+5*second, func() { b.next = b.kill })
}

// kill ends one instance, which comes back in the same batch or later.
func (b *bench) kill() {
	r := b.relays[b.random.IntN(len(b.relays))]
	r.alive = false
	b.record(wireDetach)
	b.u32(r.number)
	if b.chance(0.5) {
		b.start(r)
	} else {
		b.after(400_000, func() { b.start(r) })
	}
}

// frame makes the batch of the events that are due.
func (b *bench) frame() []byte {
	out := make([]byte, 4, 16+len(b.batch))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(b.now.seconds()))
	out = binary.LittleEndian.AppendUint32(out, b.records)
	out = append(out, b.batch...)
	binary.LittleEndian.PutUint32(out, uint32(len(out)-4))
	b.batch, b.records = b.batch[:0], 0
	return out
}

// fields takes the parts of a reply.
type fields struct {
	t   *testing.T
	buf []byte
}

func (f *fields) take(n int) []byte {
	if n > len(f.buf) {
		f.t.Fatalf("a reply is cut short: %d bytes are wanted, %d are there", n, len(f.buf))
	}
	out := f.buf[:n]
	f.buf = f.buf[n:]
	return out
}

func (f *fields) u8() uint8   { return f.take(1)[0] }
func (f *fields) u16() uint16 { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32 { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64 { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) time() microseconds {
	return microseconds(math.Round(math.Float64frombits(f.u64()) * float64(second)))
}

// act does what one reply asks for, and adds it to the hash.
func (b *bench) act(count uint32, body []byte) {
	f := &fields{t: b.t, buf: body}
	b.replies++
	b.sum.Write(binary.LittleEndian.AppendUint32(nil, count))
	for range count {
		before := f.buf
		code := f.u8()
		number := f.u32()
		if code < wireSend || code >= wireActionsEnd {
			b.t.Fatalf("unknown action %d", code)
		}
		b.actions[code]++
		var r *scriptRelay
		for _, one := range b.relays {
			if one.number == number && one.alive {
				r = one
			}
		}
		if r == nil {
			b.t.Fatalf("action %d of the unknown instance %d", code, number)
		}
		b.action(f, code, r)
		taken := before[:len(before)-len(f.buf)]
		if code == wireSayLog {
			taken = taken[:5]
		}
		b.sum.Write(taken)
	}
	if len(f.buf) > 0 {
		b.t.Fatalf("%d bytes follow the last action", len(f.buf))
	}
}

func (b *bench) action(f *fields, code uint8, r *scriptRelay) {
	life := r.life
	switch code {
	case wireSend:
		q := b.request(r, f.u64())
		q.attempts = append(q.attempts, &scriptAttempt{unit: f.u32(), sentAt: b.now})
		b.attempt(r, q, len(q.attempts)-1, f.time())
	case wireBounce:
		b.request(r, f.u64()).over = true
		f.time()
	case wireSurrender:
		b.request(r, f.u64()).over = true
	case wireAbortAttempt:
		q, no := b.request(r, f.u64()), int(f.u8())
		if no >= len(q.attempts) {
			b.t.Fatalf("attempt %d of %d is called off", no, len(q.attempts))
		}
		b.after(batchGap, func() { b.finish(r, life, q, no, wireCancelled) })
	case wireWakeAt:
		at, tag := f.time(), f.u32()
		b.at(max(at, b.now+batchGap), func() {
			if r.alive && r.life == life {
				b.record(wireAlarm)
				b.u32(r.number)
				b.u32(tag)
			}
		})
	case wireTouch, wireClose:
		f.u32()
	case wireMemoTo:
		f.u32()
		data := slices.Clone(f.take(int(f.u16())))
		for _, other := range b.relays {
			if other != r {
				b.after(30_000, func() {
					if other.alive {
						b.memo(other, r.number, data)
					}
				})
			}
		}
	case wireSayLog, wireFault:
		f.take(int(f.u16()))
	case wireTrack:
		on := f.u8() == 1
		b.after(50_000, func() {
			if !r.alive || r.life != life {
				return
			}
			if r.watching = on && b.chance(0.7); r.watching {
				b.listed(r, 3, nil)
			} else {
				b.listed(r, 1, nil)
			}
		})
	case wirePull:
		b.after(50_000, func() {
			if r.alive && r.life == life {
				b.listed(r, 0, b.present())
			}
		})
	case wireOpinion:
		f.u16()
		f.u8()
		f.u8()
		b.after(microseconds(20_000+b.random.IntN(300_000)), func() {
			if r.alive && r.life == life {
				b.promotion(r, 1, []uint8{wireOK, wireOK, wireOK, wireMoot, wireFull, wireError, wireTimeout}[b.random.IntN(7)])
			}
		})
	}
}

func (b *bench) request(r *scriptRelay, id uint64) *scriptRequest {
	q := r.requests[id]
	if q == nil {
		b.t.Fatalf("instance %d names request %d, which it never got", r.number, id)
	}
	return q
}

// endings are last frames that make no sense, each with its place among the scripts.
func (b *bench) malformed(seed uint64) []byte {
	good := b.frame()
	record := func(data ...byte) []byte {
		out := slices.Clone(good[:12])
		out = append(out, 1, 0, 0, 0)
		out = append(out, data...)
		binary.LittleEndian.PutUint32(out, uint32(len(out)-4))
		return out
	}
	alive := byte(b.relays[0].number)
	switch seed % 14 {
	case 0:
		return good[:3] // cut short in the length
	case 1:
		return good[:10] // and after it
	case 2:
		return record(14, alive, 0, 0, 0)
	case 3:
		return record(wireAlarm, 200, 0, 0, 0, 1, 0, 0, 0)
	case 4:
		return record(wireAlarm, alive, 0, 0, 0, 1, 0)
	case 5:
		return record(wireAlarm, alive, 0, 0, 0, 1, 0, 0, 0, 9)
	case 6:
		return record(wireCatalog, 16, 0, 0, 0, 0, 0, 0, 0)
	case 7:
		return record(wireCatalog, 1, 0, 0, 0, 255, 255, 255, 255)
	case 8:
		return record(wireRosterChange, alive, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 0)
	case 9:
		return record(wireRosterChange, alive, 0, 0, 0, 0, 0, 0, 0, 0, 77, 0, 0, 0)
	case 10:
		return record(append([]byte{wireBorn, alive, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 11, 0, 0, 0}, `{"grades":1}`[:11]...)...)
	case 11:
		data := append([]byte{wireSubmit, alive, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 250}, make([]byte, 29)...)
		return record(data...)
	case 12:
		out := record()
		binary.LittleEndian.PutUint64(out[4:], math.Float64bits(math.NaN()))
		return out
	}
	return record(wireFinished, alive, 0, 0, 0, 1)
}

// play runs one script and returns its line of the trace.
func play(t *testing.T, seed uint64) (line string, b *bench) {
	t.Helper()
	b = newBench(t, seed)
	toAdapter, frames := io.Pipe()
	replies, fromAdapter := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := benchadapter.Serve(toAdapter, fromAdapter)
		toAdapter.CloseWithError(io.ErrClosedPipe)
		fromAdapter.CloseWithError(io.EOF)
		ended <- err
	}()
	ask := func(frame []byte) (count uint32, body []byte, err error) {
		if _, err := frames.Write(frame); err != nil {
			return 0, nil, err
		}
		var head [8]byte
		if _, err := io.ReadFull(replies, head[:]); err != nil {
			return 0, nil, err
		}
		body = make([]byte, binary.LittleEndian.Uint32(head[4:]))
		_, err = io.ReadFull(replies, body)
		return binary.LittleEndian.Uint32(head[:]), body, err
	}
	for i := range 1 + b.random.IntN(3) {
		r := &scriptRelay{number: uint32(i*5 + 1)}
		b.relays = append(b.relays, r)
		b.at(scriptStart+microseconds(i)*300_000, func() { b.start(r) })
	}
	b.churn()
	b.at(scriptStart+second, b.noise)
	for b.now = scriptStart - batchGap; b.now < scriptStart+scriptSpan; b.now += batchGap {
		if b.next != nil {
			b.next()
			b.next = nil
		}
		for len(b.due) > 0 && b.due[0].at <= b.now {
			next := b.due[0]
			b.due = b.due[1:]
			next.do()
		}
		if b.records == 0 && b.now > scriptStart {
			continue // only the first batches are empty ones
		}
		count, body, err := ask(b.frame())
		if err != nil {
			t.Fatalf("at %v s: %v, the adapter ended with %v", b.now.seconds(), err, <-ended)
		}
		b.act(count, body)
	}
	if seed%2 == 1 { // half of the scripts end as they should
		go func() {
			_, _ = frames.Write(b.malformed(seed / 2))
			_ = frames.Close()
		}()
		rest, err := io.ReadAll(replies)
		if err != nil {
			t.Fatal(err)
		}
		b.sum.Write(rest)
	} else {
		_ = frames.Close()
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "seed %d: %d replies;", seed, b.replies)
	for code := wireSend; code < wireActionsEnd; code++ {
		fmt.Fprintf(&text, " %d:%d", code, b.actions[code])
	}
	fmt.Fprintf(&text, "; sha256 %x; end: %v", b.sum.Sum(nil), <-ended)
	return text.String(), b
}

func TestRepliesMatchGoldenTrace(t *testing.T) {
	var lines []string
	var events [wireEvents]int
	var actions [wireActionsEnd]int
	for seed := range uint64(goldenSeeds) {
		line, b := play(t, seed)
		lines = append(lines, line)
		for code, n := range b.events {
			events[code] += n
		}
		for code, n := range b.actions {
			actions[code] += n
		}
	}
	for code, n := range events {
		if n == 0 {
			t.Errorf("no script has the event %d", code)
		}
	}
	for code, n := range actions[wireSend:] {
		// The balancer makes no probes and closes no idle connections; a fault would end the day.
		never := []int{wireTouch, wireClose, wireFault, wirePull}
		if n == 0 && !slices.Contains(never, wireSend+code) {
			t.Errorf("no script is answered by the action %d", wireSend+code)
		}
	}
	if *update {
		if err := os.WriteFile(goldenFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(want) != len(lines) {
		t.Fatalf("%d lines, the trace has %d", len(lines), len(want))
	}
	for i := range lines {
		if lines[i] != want[i] {
			t.Errorf("got  %s\nwant %s", lines[i], want[i])
		}
	}
}
