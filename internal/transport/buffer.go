package transport

import "sync/atomic"

// ringBlockSize is the unit in bytes in which rings grow. A ring that becomes empty keeps a buffer of one block, and
// releases a larger one.
const ringBlockSize = 2 << 10

// BufferBudget limits the memory, in bytes, that requests may need for their buffers. The memory for a request is
// reserved when the request is accepted, so that the request does not lack a buffer later. A BufferBudget may be used
// from any goroutine.
type BufferBudget struct {
	limit    int64
	reserved atomic.Int64
	buffered atomic.Int64 // memory held by buffers
}

// NewBufferBudget returns a budget of the given number of bytes.
func NewBufferBudget(bytes int64) *BufferBudget { return &BufferBudget{limit: bytes} }

// Reserve sets n bytes aside. It returns false, and reserves nothing, if fewer than n bytes are left.
func (b *BufferBudget) Reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.limit {
		b.reserved.Add(int64(-n))
		return false
	}
	return true
}

// Release gives n reserved bytes back to the budget.
func (b *BufferBudget) Release(n int) { b.reserved.Add(int64(-n)) }

// InUse returns how many bytes are reserved, and how many bytes of memory the buffers hold.
func (b *BufferBudget) InUse() (reserved, buffered int64) {
	return b.reserved.Load(), b.buffered.Load()
}

// ring is a ring buffer that grows in blocks. When it becomes empty, it releases its memory if it has more than one
// block.
type ring struct {
	buf    []byte
	start  int // index in the buffer at which the content starts
	length int // number of bytes of content
	budget *BufferBudget
}

// grow makes the buffer large enough for n bytes of content, including the bytes that it already holds.
func (r *ring) grow(n int) {
	if size := (n + ringBlockSize - 1) / ringBlockSize * ringBlockSize; size > len(r.buf) {
		r.budget.buffered.Add(int64(size - len(r.buf)))
		r.moveTo(make([]byte, size))
	}
}

// moveTo copies the content to the start of another buffer, which replaces the ring's buffer.
func (r *ring) moveTo(buf []byte) {
	n := copy(buf, r.firstSegment())
	copy(buf[n:r.length], r.buf)
	r.buf, r.start = buf, 0
}

// firstSegment returns the content up to the end of the buffer. The rest of the content is at the buffer's beginning.
func (r *ring) firstSegment() []byte {
	return r.buf[r.start:min(r.start+r.length, len(r.buf))]
}

// free returns the first contiguous part of the buffer that can be written to.
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

// write appends bytes for which grow has made space.
func (r *ring) write(bytes []byte) {
	for len(bytes) > 0 {
		n := copy(r.free(), bytes)
		r.length += n
		bytes = bytes[n:]
	}
}

// content returns all of the content as one slice, which is valid until the ring is written to or grows.
func (r *ring) content() []byte {
	if r.start+r.length > len(r.buf) {
		r.moveTo(make([]byte, len(r.buf)))
	}
	return r.buf[r.start : r.start+r.length]
}

// discard removes the first n bytes of the content. If the ring is then empty and has more than one block, its memory
// is released.
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

// release releases the memory of the buffer.
func (r *ring) release() {
	r.budget.buffered.Add(int64(-len(r.buf)))
	r.buf, r.start, r.length = nil, 0, 0
}
