package metadatarefresh

import "silvercove/internal/tufverify"

// maxSendDelay is the maximum delay between the choice of a mirror and the sending of the attempt.
const maxSendDelay = tufverify.Second / 2

// Limits of the rate of a transfer.
const (
	rateWindow       = 2 * tufverify.Second // length of a window in which bytes are counted
	minWindowBytes   = 4 << 10              // minimum number of bytes that must arrive in a window
	firstByteTimeout = 2 * tufverify.Second // maximum wait for the first byte
)

// AttemptTooLate reports whether an attempt must not be sent any more because its mirror was chosen too long ago. If
// the process was paused between the choice and the sending, the mirror may be draining by the time the attempt would
// be sent.
func AttemptTooLate(now, chosen Tick) bool { return now >= chosen+maxSendDelay }

// Transfer decides whether the body of a response arrives fast enough: at least minWindowBytes in each rateWindow. This
// guards against mirrors that keep a transfer going forever, or send only a byte now and then. A mirror cannot be used
// over a link that is slower than this rate. Begin must be called before the other methods.
type Transfer struct {
	windowStart Tick
	windowBytes int64
	started     bool // the first byte has arrived
}

// Begin records that a request was sent.
func (t *Transfer) Begin(now Tick) { *t = Transfer{windowStart: now} }

// OnBytes records that n bytes have arrived. tooSlow means that the mirror is too slow and another one must be asked.
func (t *Transfer) OnBytes(now Tick, n int64) (tooSlow bool) {
	t.started = true
	t.windowBytes += n
	if now < t.windowStart+rateWindow {
		return false
	}
	tooSlow = t.windowBytes < minWindowBytes
	t.windowStart, t.windowBytes = now, 0
	return tooSlow
}

// OnClientStall excludes a time span from the current rateWindow. During that time, the transfer waited for the client
// and not for the mirror.
func (t *Transfer) OnClientStall(span Tick) { t.windowStart += span }

// NextCheck returns the time from which the transfer counts as too slow if no more bytes have arrived by then.
func (t *Transfer) NextCheck() Tick {
	if !t.started {
		return t.windowStart + firstByteTimeout
	}
	return t.windowStart + 2*rateWindow
}
