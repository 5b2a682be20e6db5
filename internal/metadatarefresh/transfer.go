package metadatarefresh

import "silvercove/internal/tufverify"

// maxSendDelay is how long after its choice an attempt may be sent.
const maxSendDelay = tufverify.Second / 2

// Limits of a transfer's rate.
const (
	rateWindow       = 2 * tufverify.Second // bytes are counted in windows of this length
	minWindowBytes   = 4 << 10              // that must come in one
	firstByteTimeout = 2 * tufverify.Second // until the first byte
)

// AttemptTooLate tells whether an attempt whose mirror was chosen at a time is no longer to be sent. Guards against a process
// that was stopped between the two: seen as requests to a mirror that drains.
func AttemptTooLate(now, chosen Tick) bool { return now >= chosen+maxSendDelay }

// Transfer decides whether the body of an answer comes fast enough: minWindowBytes in each rateWindow. Guards against mirrors
// that send endlessly or a byte now and then. A link that is slower than that can't be used. Begin makes its zero value
// ready.
type Transfer struct {
	windowStart Tick
	windowBytes int64
	started     bool // the first byte has come
}

// Begin records that a request was sent.
func (t *Transfer) Begin(now Tick) { *t = Transfer{windowStart: now} }

// OnBytes records bytes that came. tooSlow: another mirror is to be asked.
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

// OnClientStall leaves a time out of the window in which the client, not the mirror, was slow.
func (t *Transfer) OnClientStall(span Tick) { t.windowStart += span }

// NextCheck is when the transfer is too slow if nothing comes until then.
func (t *Transfer) NextCheck() Tick {
	if !t.started {
		return t.windowStart + firstByteTimeout
	}
	return t.windowStart + 2*rateWindow
}
