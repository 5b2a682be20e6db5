package benchadapter

import (
	"encoding/binary"
	"fmt"
	"math"

	"silvercove/balancer"
)

// Times on the wire are in seconds. The clock of the bench's simulator has a resolution of one microsecond.
const (
	microsecondsPerSecond = 1e6
	microsecondsPerTick   = microsecondsPerSecond / float64(balancer.Second)
	maxSeconds            = 1e11 // a time on the wire beyond this number is an error
)

// reader reads the fields of one frame. After its first error, every read returns zero and err keeps that error, so that a
// caller can read a whole record and check err once.
type reader struct {
	buf    []byte
	offset int // index in the frame of the next byte to read
	err    error
}

// require sets err unless at least n bytes are left to read. what names the field in the error.
func (r *reader) require(n int, what string) {
	if r.err == nil && (n < 0 || n > len(r.buf)-r.offset) {
		r.err = fmt.Errorf("%s at byte %d runs past the frame's %d bytes", what, r.offset, len(r.buf))
	}
}

// take returns the next n bytes, or nil after an error. The bytes are not copied: they change if the frame's buffer is
// reused.
func (r *reader) take(n int, what string) []byte {
	r.require(n, what)
	if r.err != nil {
		return nil
	}
	taken := r.buf[r.offset : r.offset+n]
	r.offset += n
	return taken
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

// seconds reads a point in time or a duration, in seconds.
func (r *reader) seconds(what string) float64 {
	v := math.Float64frombits(r.u64(what))
	if r.err == nil && (math.IsNaN(v) || math.Abs(v) > maxSeconds) {
		r.err = fmt.Errorf("%s at byte %d is no time", what, r.offset-8)
	}
	return v
}

// tick reads a point in time or a duration, in the balancer's ticks.
func (r *reader) tick(what string) balancer.Tick { return toTick(r.seconds(what)) }

// toTick converts seconds to ticks. A float64 holds most times on the wire only approximately. toTick therefore first
// rounds to the nearest microsecond, the resolution of the wire, which restores the exact time. It then rounds down to a
// tick, so that a deadline is never read as later than it is.
func toTick(seconds float64) balancer.Tick {
	return balancer.Tick(math.Floor(math.Round(seconds*microsecondsPerSecond) / microsecondsPerTick))
}

// loadReport reads the values of a load report. It returns nil if the record has no load report.
func (r *reader) loadReport() []float64 {
	const valueSize = 4
	count := int(r.u8("load report count"))
	r.require(count*valueSize, "load report")
	if r.err != nil {
		return nil
	}
	var values []float64
	for range count {
		values = append(values, r.f32("load report"))
	}
	return values
}

// replyHeaderSize is the size in bytes of a reply's header: the number of records, and the length of the records in bytes.
const replyHeaderSize = 8

// writer encodes the records of one reply.
type writer struct {
	buf   []byte
	count uint32 // number of records
}

// begin starts a new reply in the memory of the previous one.
func (w *writer) begin() {
	w.buf = append(w.buf[:0], make([]byte, replyHeaderSize)...)
	w.count = 0
}

// record starts a record for an instance. The caller writes the fields after it.
func (w *writer) record(code actionCode, instance uint32) {
	w.count++
	w.u8(uint8(code))
	w.u32(instance)
}

func (w *writer) u8(v uint8)   { w.buf = append(w.buf, v) }
func (w *writer) u16(v uint16) { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }
func (w *writer) u32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *writer) u64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }

func (w *writer) bool(v bool) {
	if v {
		w.u8(1)
	} else {
		w.u8(0)
	}
}

func (w *writer) tick(v balancer.Tick) {
	w.u64(math.Float64bits(float64(v) / float64(balancer.Second)))
}

// bytes writes a 16-bit count and that many bytes of b. It drops the bytes of b after the first 65,535.
func (w *writer) bytes(b []byte) {
	b = b[:min(len(b), math.MaxUint16)]
	w.u16(uint16(len(b)))
	w.buf = append(w.buf, b...)
}

// fault adds the record FAULT, which reports a panic of the balancer.
func (w *writer) fault(instance uint32, cause string) {
	w.record(actionFault, instance)
	w.bytes([]byte(cause))
}

// finish fills in the header and returns the reply, which is valid until the next call of begin.
func (w *writer) finish() []byte {
	binary.LittleEndian.PutUint32(w.buf[0:], w.count)
	binary.LittleEndian.PutUint32(w.buf[4:], uint32(len(w.buf)-replyHeaderSize))
	return w.buf
}
