package metadatarefresh

// AttemptTooLate tells whether a delivery that was chosen at a moment is no longer to be sent. It guards against
// a process that stood still between the choice and the sending, while its mirror began to drain.
func AttemptTooLate(now, chosen Tick) bool { return now >= chosen+maxChoiceAge }

// Transfer decides whether the body of an answer still comes fast enough. It guards against mirrors that
// send endlessly or a byte now and then; it hurts where a link is honestly slower than its least rate.
type Transfer struct {
	windowStart Tick
	windowBytes int64
	started     bool
}

// Begin takes that a delivery was sent.
func (t *Transfer) Begin(now Tick) { *t = Transfer{windowStart: now} }

// OnBytes takes bytes. tooSlow: another mirror is to be asked.
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

// OnClientStall takes that the client, not the mirror, has held things up for a while.
func (t *Transfer) OnClientStall(span Tick) { t.windowStart += span }

// NextCheck is when to look again should nothing come.
func (t *Transfer) NextCheck() Tick {
	if !t.started {
		return t.windowStart + firstByteTimeout
	}
	return t.windowStart + 2*rateWindow
}
