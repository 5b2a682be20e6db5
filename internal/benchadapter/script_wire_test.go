package benchadapter_test

import (
	"encoding/binary"
	"math"
	"slices"
	"testing"
)

// This file implements the bench's side of the wire protocol as far as the scripts of the golden trace need it: codes, fields,
// frames and replies.

// Codes of the events on the wire.
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
	wireEventCount // number of events
)

// Codes of the actions on the wire.
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

// Codes of the outcomes on the wire.
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

// microseconds is a point in time or a duration on the script's clock.
type microseconds int64

const (
	second      microseconds = 1_000_000
	scriptStart              = 7 * second
	scriptSpan               = 14 * second
	batchGap                 = 5000 * microseconds(1)
)

func (at microseconds) seconds() float64 { return float64(at) / float64(second) }

func (b *simulator) record(code uint8) {
	b.records++
	b.events[code]++
	b.batch = append(b.batch, code)
}

func (b *simulator) u8(v uint8)           { b.batch = append(b.batch, v) }
func (b *simulator) u16(v uint16)         { b.batch = binary.LittleEndian.AppendUint16(b.batch, v) }
func (b *simulator) u32(v uint32)         { b.batch = binary.LittleEndian.AppendUint32(b.batch, v) }
func (b *simulator) u64(v uint64)         { b.batch = binary.LittleEndian.AppendUint64(b.batch, v) }
func (b *simulator) f32(v float32)        { b.u32(math.Float32bits(v)) }
func (b *simulator) time(at microseconds) { b.u64(math.Float64bits(at.seconds())) }
func (b *simulator) flag(set bool)        { b.u8(map[bool]uint8{false: 0, true: 1}[set]) }
func (b *simulator) floats(values ...int) {
	b.u8(uint8(len(values)))
	for _, v := range values {
		b.f32(float32(v) / 4)
	}
}

// loadReport writes a load report. It has two random values or, in half of the calls, none.
func (b *simulator) loadReport() {
	if b.withProbability(0.5) {
		b.floats()
		return
	}
	b.floats(b.random.IntN(40), b.random.IntN(5))
}

// frame encodes the records written so far as one batch, and clears them.
func (b *simulator) frame() []byte {
	out := make([]byte, 4, 16+len(b.batch))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(b.now.seconds()))
	out = binary.LittleEndian.AppendUint32(out, b.records)
	out = append(out, b.batch...)
	binary.LittleEndian.PutUint32(out, uint32(len(out)-4))
	b.batch, b.records = b.batch[:0], 0
	return out
}

// fields reads the fields of a reply.
type fields struct {
	t   *testing.T
	buf []byte
}

func (f *fields) take(n int) []byte {
	if n > len(f.buf) {
		f.t.Fatalf("the reply is too short: the field has %d bytes, and only %d are left", n, len(f.buf))
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

// handleReply performs the actions of one reply and adds the reply to the hash.
func (b *simulator) handleReply(count uint32, body []byte) {
	f := &fields{t: b.t, buf: body}
	b.replies++
	b.replyHash.Write(binary.LittleEndian.AppendUint32(nil, count))
	for range count {
		before := f.buf
		code := f.u8()
		number := f.u32()
		if code < wireSend || code >= wireActionsEnd {
			b.t.Fatalf("unknown action %d", code)
		}
		b.actions[code]++
		var r *scriptInstance
		for _, candidate := range b.instances {
			if candidate.number == number && candidate.running {
				r = candidate
			}
		}
		if r == nil {
			b.t.Fatalf("action %d of unknown instance %d", code, number)
		}
		b.handleAction(f, code, r)
		taken := before[:len(before)-len(f.buf)]
		if code == wireSayLog {
			taken = taken[:5]
		}
		b.replyHash.Write(taken)
	}
	if len(f.buf) > 0 {
		b.t.Fatalf("%d bytes follow the last action", len(f.buf))
	}
}

func (b *simulator) handleAction(f *fields, code uint8, r *scriptInstance) {
	incarnation := r.incarnation
	switch code {
	case wireSend:
		q := b.request(r, f.u64())
		q.attempts = append(q.attempts, &scriptAttempt{backend: f.u32(), sentAt: b.now})
		b.startAttempt(r, q, len(q.attempts)-1, f.time())
	case wireBounce:
		b.request(r, f.u64()).answered = true
		f.time()
	case wireSurrender:
		b.request(r, f.u64()).answered = true
	case wireAbortAttempt:
		q, no := b.request(r, f.u64()), int(f.u8())
		if no >= len(q.attempts) {
			b.t.Fatalf("cancelled attempt %d does not exist: the request has %d", no, len(q.attempts))
		}
		b.after(batchGap, func() { b.finish(r, incarnation, q, no, wireCancelled) })
	case wireWakeAt:
		at, tag := f.time(), f.u32()
		b.at(max(at, b.now+batchGap), func() {
			if r.running && r.incarnation == incarnation {
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
		for _, peer := range b.instances {
			if peer != r {
				b.after(30_000, func() {
					if peer.running {
						b.gossip(peer, r.number, data)
					}
				})
			}
		}
	case wireSayLog, wireFault:
		f.take(int(f.u16()))
	case wireTrack:
		on := f.u8() == 1
		b.after(50_000, func() {
			if !r.running || r.incarnation != incarnation {
				return
			}
			if r.watching = on && b.withProbability(0.7); r.watching {
				b.sendEndpointList(r, 3, nil)
			} else {
				b.sendEndpointList(r, 1, nil)
			}
		})
	case wirePull:
		b.after(50_000, func() {
			if r.running && r.incarnation == incarnation {
				b.sendEndpointList(r, 0, b.presentBackends())
			}
		})
	case wireOpinion:
		f.u16()
		f.u8()
		f.u8()
		b.after(microseconds(20_000+b.random.IntN(300_000)), func() {
			if r.running && r.incarnation == incarnation {
				b.releaseStatus(r, 1, []uint8{wireOK, wireOK, wireOK, wireMoot, wireFull, wireError, wireTimeout}[b.random.IntN(7)])
			}
		})
	}
}

func (b *simulator) request(r *scriptInstance, id uint64) *scriptRequest {
	q := r.requests[id]
	if q == nil {
		b.t.Fatalf("instance %d refers to request %d, which was not sent to it", r.number, id)
	}
	return q
}

// malformedFrame returns a malformed frame, which a script ends with. The seed selects one of 14 kinds of fault.
func (b *simulator) malformedFrame(seed uint64) []byte {
	good := b.frame()
	record := func(data ...byte) []byte {
		out := slices.Clone(good[:12])
		out = append(out, 1, 0, 0, 0)
		out = append(out, data...)
		binary.LittleEndian.PutUint32(out, uint32(len(out)-4))
		return out
	}
	running := byte(b.instances[0].number)
	switch seed % 14 {
	case 0:
		return good[:3] // the frame ends within its length field
	case 1:
		return good[:10] // the frame ends within its time field, which follows the length field
	case 2:
		return record(14, running, 0, 0, 0)
	case 3:
		return record(wireAlarm, 200, 0, 0, 0, 1, 0, 0, 0)
	case 4:
		return record(wireAlarm, running, 0, 0, 0, 1, 0)
	case 5:
		return record(wireAlarm, running, 0, 0, 0, 1, 0, 0, 0, 9)
	case 6:
		return record(wireCatalog, 16, 0, 0, 0, 0, 0, 0, 0)
	case 7:
		return record(wireCatalog, 1, 0, 0, 0, 255, 255, 255, 255)
	case 8:
		return record(wireRosterChange, running, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 0)
	case 9:
		return record(wireRosterChange, running, 0, 0, 0, 0, 0, 0, 0, 0, 77, 0, 0, 0)
	case 10:
		return record(append([]byte{wireBorn, running, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 11, 0, 0, 0}, `{"grades":1}`[:11]...)...)
	case 11:
		data := append([]byte{wireSubmit, running, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 250}, make([]byte, 29)...)
		return record(data...)
	case 12:
		out := record()
		binary.LittleEndian.PutUint64(out[4:], math.Float64bits(math.NaN()))
		return out
	}
	return record(wireFinished, running, 0, 0, 0, 1)
}
