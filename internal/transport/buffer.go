package transport

import "sync/atomic"

// ringBlockSize is the size in bytes of a ring of an idle connection, and the unit in which rings grow.
const ringBlockSize = 2 << 10

// BufferBudget is the memory that requests may need for their buffers, in bytes. It is reserved when a request is accepted,
// so that no buffer is missing later on. It may be used by any goroutine.
type BufferBudget struct {
	limit    int64
	reserved atomic.Int64
	buffered atomic.Int64 // held by buffers
}

// NewBufferBudget makes a budget of so many bytes.
func NewBufferBudget(bytes int64) *BufferBudget { return &BufferBudget{limit: bytes} }

// Reserve sets n bytes aside; false: there are not as many.
func (b *BufferBudget) Reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.limit {
		b.reserved.Add(int64(-n))
		return false
	}
	return true
}

// Release gives n reserved bytes back.
func (b *BufferBudget) Release(n int) { b.reserved.Add(int64(-n)) }

// InUse tells how many bytes are reserved, and how many bytes of memory the buffers have.
func (b *BufferBudget) InUse() (reserved, buffered int64) {
	return b.reserved.Load(), b.buffered.Load()
}

// ring is a ring buffer that grows by steps and gives its memory back when it is empty.
type ring struct {
	buf    []byte
	start  int // of the content
	length int // of the content
	budget *BufferBudget
}

// grow makes space for n bytes in all.
func (r *ring) grow(n int) {
	if size := (n + ringBlockSize - 1) / ringBlockSize * ringBlockSize; size > len(r.buf) {
		r.budget.buffered.Add(int64(size - len(r.buf)))
		r.moveTo(make([]byte, size))
	}
}

// moveTo takes the content to the start of another buffer.
func (r *ring) moveTo(buf []byte) {
	n := copy(buf, r.firstSegment())
	copy(buf[n:r.length], r.buf)
	r.buf, r.start = buf, 0
}

// firstSegment is the content up to the end of the buffer; the rest of it stands at the buffer's beginning.
func (r *ring) firstSegment() []byte {
	return r.buf[r.start:min(r.start+r.length, len(r.buf))]
}

// free is the first stretch that can be written to.
func (r *ring) free() []byte {
	if r.length == len(r.buf) {
		return nil
	}
	end := r.start + r.length
	if end >= len(r.buf) {
		return r.buf[end-len(r.buf) : r.start]
	}
	return r.buf[end:]
}

// write adds bytes that grow has made space for.
func (r *ring) write(bytes []byte) {
	for len(bytes) > 0 {
		n := copy(r.free(), bytes)
		r.length += n
		bytes = bytes[n:]
	}
}

// content is all of it in one stretch, valid until the ring is written to or grows.
func (r *ring) content() []byte {
	if r.start+r.length > len(r.buf) {
		r.moveTo(make([]byte, len(r.buf)))
	}
	return r.buf[r.start : r.start+r.length]
}

// discard takes n bytes off the front. An empty ring that has grown is given back.
func (r *ring) discard(n int) {
	r.start += n
	r.length -= n
	if r.start >= len(r.buf) {
		r.start -= len(r.buf)
	}
	if r.length > 0 {
		return
	}
	r.start = 0
	if len(r.buf) > ringBlockSize {
		r.release()
	}
}

// release gives the memory back.
func (r *ring) release() {
	r.budget.buffered.Add(int64(-len(r.buf)))
	r.buf, r.start, r.length = nil, 0, 0
}
