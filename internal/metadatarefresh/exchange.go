// Package metadatarefresh decides about exchanges of metadata at a front: whether what is held will do or mirrors are
// to be asked, when they are asked again after they had nothing, what a client is told, when a transfer
// is too slow to wait for, and how many clients are let in at once.
//
// It knows no socket and no clock: each method names what has happened, with the time.
//
// Kind: decision
package metadatarefresh

import (
	"math/rand/v2"

	"silvercove/balancer"
	"silvercove/internal/settings"
	"silvercove/internal/tufverify"
)

// Tick is a moment or a span in whole tenths of a millisecond.
type Tick = tufverify.Tick

const (
	minBackoff       = tufverify.Second / 5  // until mirrors are asked again after they had nothing
	maxBackoff       = 10 * tufverify.Second // it doubles up to this
	minWindowBytes   = 4 << 10               // a transfer brings within one span
	rateWindow       = 2 * tufverify.Second
	firstByteTimeout = 2 * tufverify.Second // until the first byte of a transfer
	maxChoiceAge     = tufverify.Second / 2 // a delivery chosen longer ago is not sent: its mirror may drain since
	retryAfterSpread = 2                    // come-back times are drawn up to so many times the least
)

// Refresh decides when the mirrors of one repository are asked for something newer.
type Refresh struct {
	freshFor       Tick // a timestamp is taken for current for so long
	unconfirmedFor Tick // and for so long where no mirror can be asked
	refreshedAt    Tick // when one was last had
	notBefore      Tick // after failures: not before
	backoff        Tick
	random         *rand.Rand
}

// NewRefresh makes one; a timestamp that was had every ago is asked for again, and one that was had alone ago
// is no longer passed on, also if no mirror can be asked.
func NewRefresh(every, alone Tick, seed uint64) *Refresh {
	return &Refresh{freshFor: every, unconfirmedFor: max(every, alone), refreshedAt: -1 << 40, random: rand.New(rand.NewPCG(seed, seed>>32))}
}

// Due tells whether the mirrors are to be asked before a timestamp is passed on. lacking: what is held
// will not do anyhow.
func (r *Refresh) Due(now Tick, lacking bool) bool {
	return (lacking || now >= r.refreshedAt+r.freshFor) && now >= r.notBefore
}

// OnRefreshed takes that the mirrors showed a current timestamp.
func (r *Refresh) OnRefreshed(now Tick) { r.refreshedAt, r.notBefore, r.backoff = now, 0, 0 }

// OnFailed takes that they did not. They are asked again after a while that doubles, drawn by a half, so that
// a dead repository is not asked by each client, nor by all relays at once.
func (r *Refresh) OnFailed(now Tick) {
	r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
	r.notBefore = now + r.backoff/2 + Tick(r.random.Int64N(int64(r.backoff/2)+1))
}

// Stale tells whether what is held may no longer be taken for the newest: the mirrors are to be asked, or
// have had nothing for too long. Between its two times a newer one may be out that no mirror showed: the end
// of the metadata bounds that anyhow, and an installation chooses how much earlier to stop.
func (r *Refresh) Stale(now Tick) bool {
	if r.backoff > 0 {
		return now >= r.refreshedAt+r.unconfirmedFor
	}
	return now >= r.refreshedAt+r.freshFor
}

// RetryAfter is how long a client is to wait that got nothing: until the mirrors are asked again, and a drawn
// while more, so that those who wait do not come at once.
func (r *Refresh) RetryAfter(now Tick) Tick {
	least := max(minBackoff, r.notBefore-now)
	return least + Tick(r.random.Int64N(int64(least)*(retryAfterSpread-1)+1))
}

// Response is what a client is told in place of a file.
type Response struct {
	Status     int
	Text       string
	RetryLater bool // with a time to come back
}

// RefusalResponse decides what a refusal means for the client. Never an old answer: what is not current now is
// answered 503 with a time to come back, what will never be is 404, what came too late 404 with the word
// that the exchange is to be begun again.
func RefusalResponse(r *tufverify.RefusalError) Response {
	switch r.Reason {
	case tufverify.ReasonOlderVersion:
		return Response{404, "superseded: begin again with timestamp.json", false}
	case tufverify.ReasonUnnamed:
		return Response{404, "no such file", false}
	case tufverify.ReasonMissing:
		if r.Role == "root" { // how clients learn that they have the newest (specification 5.3.3)
			return Response{404, "no such root", false}
		}
		return Response{503, "not to be had now", true}
	case tufverify.ReasonDisagreement, tufverify.ReasonOtherServer:
		return Response{503, "the repositories do not agree", true}
	case tufverify.ReasonExpired:
		return Response{503, "expired", true}
	case tufverify.ReasonNotDurable:
		return Response{503, "what must be kept cannot be written", true}
	}
	return Response{503, "nothing current", true}
}

// ReportResponse decides what a server is told that sent a report.
func ReportResponse(r *tufverify.RefusalError) Response {
	if r == nil || r.Reason == tufverify.ReasonAlreadyHeld {
		return Response{200, "taken", false} // a repeat gets the same answer, and does nothing
	}
	switch r.Reason {
	case tufverify.ReasonTooLarge:
		return Response{413, r.Reason.String(), false}
	case tufverify.ReasonMalformed:
		return Response{400, r.Reason.String(), false}
	case tufverify.ReasonUnknownKey, tufverify.ReasonBadSignature, tufverify.ReasonOtherServer:
		return Response{403, r.Reason.String(), false}
	case tufverify.ReasonOlderVersion, tufverify.ReasonConflict:
		return Response{409, r.Reason.String(), false}
	}
	return Response{503, r.Reason.String(), true}
}

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

// ClientLimiter decides how many clients are let in: requests that wait for mirrors or are being passed a
// package need memory, files that are held cost next to none.
type ClientLimiter struct {
	Limit        int // at once
	inUse        int
	perClient    map[string]int // of one client address, while there is any
	maxPerClient int
}

// NewClientLimiter lets in so many at once, and of one client a quarter of them at most.
func NewClientLimiter(most int) *ClientLimiter {
	return &ClientLimiter{Limit: most, perClient: map[string]int{}, maxPerClient: max(1, most/4)}
}

// Acquire takes that a client wants in; false: it is told to come back. One client alone can't fill
// all places while others want in: past a half of them each has its own bound.
func (d *ClientLimiter) Acquire(client string) bool {
	if d.inUse >= d.Limit || d.inUse >= d.Limit/2 && d.perClient[client] >= d.maxPerClient {
		return false
	}
	d.inUse++
	d.perClient[client]++
	return true
}

// Release takes that it is through.
func (d *ClientLimiter) Release(client string) {
	d.inUse--
	if d.perClient[client]--; d.perClient[client] <= 0 {
		delete(d.perClient, client)
	}
}

// InUse tells how many are in.
func (d *ClientLimiter) InUse() int { return d.inUse }

// ClientWriteTimeout is how long a client may take to accept one stretch of a package: past it the client is
// let go, as it holds a mirror's connection.
const ClientWriteTimeout = 10 * tufverify.Second

// MirrorSurvey decides when enough mirrors have shown their timestamp after a start. The floor may have been put
// back with its disk, or there may be none: what a majority shows, or more of them than half can hide,
// stands in for it. It does not guard against a majority that is old.
type MirrorSurvey struct {
	shown map[string]bool
	Done  bool
}

// NewMirrorSurvey starts one; not wanted: it is done at once.
func NewMirrorSurvey(wanted bool) *MirrorSurvey {
	return &MirrorSurvey{shown: map[string]bool{}, Done: !wanted}
}

// OnTimestamp takes what a mirror answered: a timestamp that trust took, had already or found too old counts,
// as it is signed well.
func (s *MirrorSurvey) OnTimestamp(mirror string, refusal *tufverify.RefusalError, listed []string) {
	if refusal == nil || refusal.Reason == tufverify.ReasonAlreadyHeld || refusal.Reason == tufverify.ReasonOlderVersion {
		s.shown[mirror] = true
	}
	n := 0
	for _, name := range listed {
		if s.shown[name] {
			n++
		}
	}
	s.Done = s.Done || n > 0 && 2*n > len(listed)
}

// Rules are the settings of the gate of one repository's mirrors, from what an operator chooses: how many relays
// share the mirrors, how long a connection may take, the longest come-back time, and for each op type its
// name, service target, command timeout (seconds) and importance. What is not an operator's to choose:
// a mirror that is new starts at a tenth of its capacity and is warm after ten seconds; in no second
// more reaches it than twice what the warm ones answer; a drained one has one second's grace; a command
// may be tried at every mirror, up to sixteen.
func Rules(relays, connect, comeBack float64, classes []balancer.RequestClass) settings.Site {
	for i := range classes {
		classes[i].Idempotency = balancer.Idempotent
	}
	return settings.Site{Balancer: balancer.Settings{
		Relays:  relays,
		Classes: classes,
		Limits: balancer.Limits{ConnectTimeout: balancer.Seconds(connect), IdleTimeout: 10, MaxAttempts: 16, MayCancel: true,
			RetryAfter: true, MaxRetryAfter: balancer.Seconds(comeBack)},
		SlowStart: balancer.SlowStart{Window: 10, InitialFraction: 0.1, OverloadWindow: 1, OverloadMultiple: 2},
		Endpoints: balancer.EndpointRules{DrainGrace: 1, PollInterval: 20},
	}}
}

// Issue is what a Director holds for a server: whether there is any, from and until when it counts, and whether it
// still is what the server is told, and what the Image repository says of the package.
type Issue struct {
	Held                  bool
	IssuedAt, ExpiresAt   Tick
	Assigned, ImageAgrees bool
}

// MustRenew tells whether it is to be issued anew before it is given: at half its life at the latest, so that a server
// that asks in that time never finds it expired.
func (i Issue) MustRenew(now Tick) bool {
	return !i.Held || !i.Assigned || !i.ImageAgrees || now >= i.IssuedAt+(i.ExpiresAt-i.IssuedAt)/2
}

// MayServeStale tells whether it may be given all the same if it could not be issued anew: never what the server is no
// longer told, nor what has expired.
func (i Issue) MayServeStale(now Tick) bool { return i.Held && i.Assigned && now < i.ExpiresAt }

// LastAnswerMayServe tells whether what the Image repository said last of a package may stand in for what it says now: while
// it can't be had, so that servers can be told back; not where it says something else.
func LastAnswerMayServe(r *tufverify.RefusalError) bool {
	return r.Reason == tufverify.ReasonMissing || r.Reason == tufverify.ReasonExpired
}

// IssueRetryDelay is how long what could not be issued waits.
const IssueRetryDelay = tufverify.Second / 5

// PersistTime tells whether the time is to be made durable before something is issued that lasts from now on.
func PersistTime(now, kept Tick) bool { return now > kept+tufverify.Second }

// Limits of a front's exchanges, beside those of trust.
const (
	MaxRootsPerRequest  = 64                    // of a chain, for one request
	MaxRounds           = 8                     // in which a whole set must be had, though keys may change meanwhile
	SurveyWidth         = 4                     // mirrors asked at once after a start
	MaxIdleMirrorConns  = 8                     // connections to a mirror that are kept
	MirrorIdleTimeout   = 10 * tufverify.Second // for so long
	ClientHeaderTimeout = 5 * tufverify.Second  // a client's request may take to come
	ClientBodyTimeout   = 30 * tufverify.Second // and its report
	ClientIdleTimeout   = 30 * tufverify.Second // a client's connection may stand idle
)

// FetchNewerRoots tells whether a mirror is asked for newer roots because of what it gave: it may be signed by keys of a
// newer one. chased: a newer root has come already, which may have made void what is held.
func FetchNewerRoots(r *tufverify.RefusalError, chased bool) bool {
	if r == nil {
		return false
	}
	return r.Reason == tufverify.ReasonUnknownKey || r.Reason == tufverify.ReasonBelowThreshold || r.Reason == tufverify.ReasonMissing && !chased
}

// MirrorBlameless tells whether a mirror is not to blame for a refusal: newer roots that it gave have made void what its
// file hangs on.
func MirrorBlameless(r *tufverify.RefusalError, chased bool) bool {
	return r != nil && chased && r.Reason == tufverify.ReasonMissing
}

// Confirmed holds what trust says of a file against when mirrors were asked: nothing but roots is passed on before
// the survey is done; a timestamp, and the word on which root is the newest, only while mirrors were asked lately.
func Confirmed(now Tick, f tufverify.File, says *tufverify.RefusalError, s *MirrorSurvey, r *Refresh, repository string) *tufverify.RefusalError {
	unconfirmed := func(text string) *tufverify.RefusalError {
		return &tufverify.RefusalError{Reason: tufverify.ReasonMissing, Repository: repository, Role: f.Role, Text: text}
	}
	newest := f.Role == "timestamp" || f.Role == "root" && (f.Version == 0 || says != nil)
	switch {
	case f.Role != "root" && !s.Done:
		return unconfirmed("mirrors are being surveyed")
	case newest && r.Stale(now):
		return unconfirmed("mirrors were not asked lately")
	}
	return says
}
