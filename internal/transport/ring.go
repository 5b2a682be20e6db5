package transport

import "sync/atomic"

// piece is the size of a ring of an idle connection, and the unit in which rings grow.
const piece = 2 << 10

// BufferBudget is the memory that commands may need for their buffers, in bytes. It is set aside when a
// command is taken, so that no buffer is missing later on.
type BufferBudget struct {
	most       int64
	taken, use atomic.Int64
}

// NewBufferBudget makes a room of so many bytes.
func NewBufferBudget(bytes int64) *BufferBudget { return &BufferBudget{most: bytes} }

// Reserve sets n bytes aside; false: there are not as many.
func (r *BufferBudget) Reserve(n int) bool {
	if r.taken.Add(int64(n)) > r.most {
		r.taken.Add(int64(-n))
		return false
	}
	return true
}

// Release gives bytes back.
func (r *BufferBudget) Release(n int) { r.taken.Add(int64(-n)) }

// InUse tells how many bytes are set aside, and how many buffers hold.
func (r *BufferBudget) InUse() (taken, held int64) { return r.taken.Load(), r.use.Load() }

// ring is a ring buffer that grows by pieces and falls back to none when it is empty.
type ring struct {
	buf   []byte
	at, n int // where the content starts, how much there is
	room  *BufferBudget
}

// grow makes space for n bytes in all.
func (r *ring) grow(n int) {
	if size := (n + piece - 1) / piece * piece; size > len(r.buf) {
		r.room.use.Add(int64(size - len(r.buf)))
		r.move(make([]byte, size))
	}
}

// move takes the content to the start of another buffer.
func (r *ring) move(to []byte) {
	k := copy(to, r.buf[r.at:min(r.at+r.n, len(r.buf))])
	copy(to[k:r.n], r.buf)
	r.buf, r.at = to, 0
}

// space is the first stretch that can be written to.
func (r *ring) space() []byte {
	if r.n == len(r.buf) {
		return nil
	}
	end := r.at + r.n
	if end >= len(r.buf) {
		return r.buf[end-len(r.buf) : r.at]
	}
	return r.buf[end:]
}

// front is the content in one stretch; it stays valid until the ring is written to or grows.
func (r *ring) front() []byte {
	if r.at+r.n > len(r.buf) {
		r.move(make([]byte, len(r.buf)))
	}
	return r.buf[r.at : r.at+r.n]
}

// drop takes n bytes off the front. An empty ring larger than a piece is given back.
func (r *ring) drop(n int) {
	r.at, r.n = r.at+n, r.n-n
	if r.at >= len(r.buf) {
		r.at -= len(r.buf)
	}
	if r.n == 0 {
		r.at = 0
		if len(r.buf) > piece {
			r.free()
		}
	}
}

func (r *ring) free() {
	r.room.use.Add(int64(-len(r.buf)))
	r.buf, r.at, r.n = nil, 0, 0
}
