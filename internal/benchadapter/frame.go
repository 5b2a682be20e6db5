package benchadapter

import (
	"encoding/binary"
	"fmt"
	"math"

	"silvercove/balancer"
)

// reader takes fields from one frame. Its first failure stays and every later
// read gives zero, so that a record is read whole and checked once.
type reader struct {
	buf []byte
	at  int
	err error
}

func (r *reader) take(n int, what string) []byte {
	if r.err == nil && (n < 0 || n > len(r.buf)-r.at) {
		r.err = fmt.Errorf("%s at byte %d runs past the frame's %d bytes", what, r.at, len(r.buf))
	}
	if r.err != nil {
		return nil
	}
	b := r.buf[r.at : r.at+n]
	r.at += n
	return b
}

func (r *reader) u8(what string) uint8 {
	if b := r.take(1, what); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16(what string) uint16 {
	if b := r.take(2, what); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32(what string) uint32 {
	if b := r.take(4, what); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64(what string) uint64 {
	if b := r.take(8, what); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) f32(what string) float64 {
	return float64(math.Float32frombits(r.u32(what)))
}

func (r *reader) f64(what string) float64 {
	v := math.Float64frombits(r.u64(what))
	if r.err == nil && (math.IsNaN(v) || math.Abs(v) > 1e11) {
		r.err = fmt.Errorf("%s at byte %d is no time", what, r.at-8)
	}
	return v
}

// tick reads a time in seconds. The wire counts whole microseconds; the rest of a
// tick is dropped, so that a deadline is never read as later than it is.
func (r *reader) tick(what string) balancer.Tick {
	return toTick(r.f64(what))
}

func toTick(seconds float64) balancer.Tick {
	return balancer.Tick(math.Floor(math.Round(seconds*1e6) / 100))
}

func (r *reader) load() []float64 {
	n := int(r.u8("load report count"))
	if r.err == nil && n*4 > len(r.buf)-r.at {
		r.take(n*4, "load report")
		return nil
	}
	var load []float64
	for range n {
		load = append(load, r.f32("load report"))
	}
	return load
}

// writer holds the records of one reply.
type writer struct {
	buf   []byte
	count uint32
}

func (w *writer) begin() {
	w.buf = append(w.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	w.count = 0
}

func (w *writer) record(code uint8, relay uint32) {
	w.count++
	w.buf = append(w.buf, code)
	w.u32(relay)
}

func (w *writer) u8(v uint8)   { w.buf = append(w.buf, v) }
func (w *writer) u16(v uint16) { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }
func (w *writer) u32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *writer) u64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }

func (w *writer) tick(v balancer.Tick) {
	w.u64(math.Float64bits(float64(v) / float64(balancer.Second)))
}

func (w *writer) bytes(b []byte) {
	b = b[:min(len(b), math.MaxUint16)]
	w.u16(uint16(len(b)))
	w.buf = append(w.buf, b...)
}

// finish fills in the reply header.
func (w *writer) finish() []byte {
	binary.LittleEndian.PutUint32(w.buf[0:], w.count)
	binary.LittleEndian.PutUint32(w.buf[4:], uint32(len(w.buf)-8))
	return w.buf
}
