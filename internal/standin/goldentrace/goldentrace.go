// Package goldentrace records the calls of the balancer to its host, so that a test can compare a later version of the code with an
// earlier one. A trace is a hash of every call with all of its arguments. Log lines are excluded, because their wording is
// not a decision. Only tests import the package.
package goldentrace

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/standin/golden"
)

// checkpointEvery is the number of calls between two intermediate hashes of a trace.
const checkpointEvery = 1000

// The constants of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// The kinds of recorded calls. Their numbers are part of the recorded hashes.
const (
	callStartAttempt = 1 + iota
	callReject
	callFail
	callCancelAttempt
	callSetTimer
	callProbe
	callCloseIdle
	callSendGossip
	callWatchEndpoints
	callFetchEndpoints
	callCastVote
	callAllowRetry
	callIsEjected
	callAllowProbe
	callNote
)

// Trace is the record of one run, in which any number of balancers take part. It is not safe for concurrent use.
type Trace struct {
	hash        uint64
	calls       int
	checkpoints []uint32
	requests    map[*balancer.Request]uint64
}

// New returns an empty trace.
func New() *Trace {
	return &Trace{hash: fnvOffset, requests: map[*balancer.Request]uint64{}}
}

// Note adds a value that a balancer returned to its caller, such as the result of BeginAttempt.
func (t *Trace) Note(balancer int, values ...uint64) { t.add(callNote, balancer, values...) }

func (t *Trace) add(kind, balancer int, values ...uint64) {
	t.mix(uint64(kind))
	t.mix(uint64(balancer))
	for _, v := range values {
		t.mix(v)
	}
	if t.calls++; t.calls%checkpointEvery == 0 {
		t.checkpoints = append(t.checkpoints, uint32(t.hash^t.hash>>32))
	}
}

// mix adds one value to the hash: FNV-1a on a whole word, then a shift that carries high bits to low ones.
func (t *Trace) mix(v uint64) {
	t.hash = (t.hash ^ v) * fnvPrime
	t.hash ^= t.hash >> 29
}

// request returns the number of a request. Requests are numbered in the order in which they first appear in the trace.
func (t *Trace) request(request *balancer.Request) uint64 {
	n, known := t.requests[request]
	if !known {
		n = uint64(len(t.requests) + 1)
		t.requests[request] = n
	}
	return n
}

// fleet is the interface that the host of a relay in a fleet implements in addition to balancer.Host.
type fleet interface {
	AllowRetry(request *balancer.Request) bool
	IsEjected(backend *balancer.Backend) bool
	AllowProbe(backend *balancer.Backend) bool
}

// WrapHost wraps the host of one balancer, and records the balancer's calls to the host. If the host also implements fleet, so
// does the wrapper.
func (t *Trace) WrapHost(host balancer.Host, balancer int, now func() balancer.Tick) balancer.Host {
	r := &recorder{host: host, trace: t, balancer: balancer, now: now}
	if f, ok := host.(fleet); ok {
		return &fleetRecorder{recorder: r, fleet: f}
	}
	return r
}

type recorder struct {
	host     balancer.Host
	trace    *Trace
	balancer int
	now      func() balancer.Tick
}

func (r *recorder) add(kind int, values ...uint64) {
	r.trace.add(kind, r.balancer, append(values, uint64(r.now()))...)
}

// StartAttempt records an attempt.
func (r *recorder) StartAttempt(attempt *balancer.Attempt, deadline balancer.Tick) {
	request, backend := attempt.Request, attempt.Backend
	r.add(callStartAttempt, r.trace.request(request), request.ID, uint64(request.Class), uint64(request.Tenant),
		request.Key, uint64(request.Deadline), uint64(attempt.Number), uint64(backend.ID), uint64(backend.Version),
		uint64(backend.StartedAt), uint64(deadline))
	r.host.StartAttempt(attempt, deadline)
}

// Reject records a rejection.
func (r *recorder) Reject(request *balancer.Request, retryAfter balancer.Tick) {
	r.add(callReject, r.trace.request(request), request.ID, uint64(retryAfter))
	r.host.Reject(request, retryAfter)
}

// Fail records a failure.
func (r *recorder) Fail(request *balancer.Request) {
	r.add(callFail, r.trace.request(request), request.ID)
	r.host.Fail(request)
}

// CancelAttempt records a cancellation.
func (r *recorder) CancelAttempt(attempt *balancer.Attempt) {
	request := attempt.Request
	r.add(callCancelAttempt, r.trace.request(request), request.ID, uint64(attempt.Number), uint64(attempt.Backend.ID))
	r.host.CancelAttempt(attempt)
}

// SetTimer records a timer.
func (r *recorder) SetTimer(at balancer.Tick, tag uint32) {
	r.add(callSetTimer, uint64(at), uint64(tag))
	r.host.SetTimer(at, tag)
}

// Probe records a probe.
func (r *recorder) Probe(backend *balancer.Backend) {
	r.add(callProbe, uint64(backend.ID))
	r.host.Probe(backend)
}

// CloseIdle records that idle connections are closed.
func (r *recorder) CloseIdle(backend *balancer.Backend) {
	r.add(callCloseIdle, uint64(backend.ID))
	r.host.CloseIdle(backend)
}

// SendGossip records a gossip message.
func (r *recorder) SendGossip(peer uint32, data []byte) {
	sum := fnv.New64a()
	sum.Write(data)
	r.add(callSendGossip, uint64(peer), uint64(len(data)), sum.Sum64())
	r.host.SendGossip(peer, data)
}

// Log forwards a log line without recording it, because its wording is not a decision.
func (r *recorder) Log(message string, fields ...slog.Attr) { r.host.Log(message, fields...) }

// WatchEndpoints records a call that starts or ends the watch for endpoint changes.
func (r *recorder) WatchEndpoints(on bool) {
	r.add(callWatchEndpoints, bit(on))
	r.host.WatchEndpoints(on)
}

// FetchEndpoints records a fetch of the endpoint list.
func (r *recorder) FetchEndpoints() {
	r.add(callFetchEndpoints)
	r.host.FetchEndpoints()
}

// CastVote records a vote.
func (r *recorder) CastVote(version uint16, stage int, verdict balancer.Verdict) {
	r.add(callCastVote, uint64(version), uint64(stage), uint64(verdict))
	r.host.CastVote(version, stage, verdict)
}

type fleetRecorder struct {
	*recorder
	fleet fleet
}

// AllowRetry records whether the fleet allows a retry.
func (r *fleetRecorder) AllowRetry(request *balancer.Request) bool {
	allowed := r.fleet.AllowRetry(request)
	r.add(callAllowRetry, r.trace.request(request), request.ID, bit(allowed))
	return allowed
}

// IsEjected records whether a backend is ejected.
func (r *fleetRecorder) IsEjected(backend *balancer.Backend) bool {
	ejected := r.fleet.IsEjected(backend)
	r.add(callIsEjected, uint64(backend.ID), bit(ejected))
	return ejected
}

// AllowProbe records whether a backend may be probed.
func (r *fleetRecorder) AllowProbe(backend *balancer.Backend) bool {
	allowed := r.fleet.AllowProbe(backend)
	r.add(callAllowProbe, uint64(backend.ID), bit(allowed))
	return allowed
}

func bit(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// Float returns the bits of a number, as a value to pass to Trace.Note.
func Float(v float64) uint64 { return math.Float64bits(v) }

// String returns the number of calls, the final hash, and the shorter hashes of the checkpoints.
func (t *Trace) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %016x", t.calls, t.hash)
	for _, c := range t.checkpoints {
		fmt.Fprintf(&b, " %08x", c)
	}
	return b.String()
}

// Compare compares each trace with the recorded one of the same name. The recorded traces are in testdata/name, where
// name is the parameter; a run with -update rewrites this file. Each line of the file holds the name of a trace,
// without spaces, the number of calls, the final hash, and a shorter hash after each thousand calls.
func Compare(tb testing.TB, name string, traces map[string]*Trace) {
	tb.Helper()
	recorded := parseTraces(tb, golden.Recorded(tb, name, formatTraces(traces)))
	for run := range traces {
		if _, ok := recorded[run]; !ok {
			tb.Errorf("%s: not recorded in %s", run, name)
		}
	}
	for run, want := range recorded {
		got, ok := traces[run]
		if !ok {
			tb.Errorf("%s: recorded in %s, but not run", run, name)
			continue
		}
		if fields := strings.Fields(got.String()); !slices.Equal(fields, want) {
			tb.Errorf("%s: the decisions differ: %s", run, difference(fields, want))
		}
	}
}

// difference describes where two traces begin to differ. The first two fields of each trace are the number of calls and
// the final hash.
func difference(got, want []string) string {
	for i := 2; i < min(len(got), len(want)); i++ {
		if got[i] != want[i] {
			return fmt.Sprintf("first within calls %d to %d", (i-2)*checkpointEvery+1, (i-1)*checkpointEvery)
		}
	}
	return fmt.Sprintf("first after call %d; %s calls, recorded %s", (min(len(got), len(want))-2)*checkpointEvery, got[0], want[0])
}

// formatTraces returns the text of a trace file, sorted by name.
func formatTraces(traces map[string]*Trace) string {
	var b strings.Builder
	b.WriteString("# Recorded decisions: name, calls, hash, and a shorter hash after each thousand calls.\n")
	for _, name := range slices.Sorted(maps.Keys(traces)) {
		fmt.Fprintf(&b, "%s %s\n", name, traces[name])
	}
	return b.String()
}

// parseTraces returns the fields of each trace by its name.
func parseTraces(tb testing.TB, text string) map[string][]string {
	tb.Helper()
	recorded := map[string][]string{}
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if len(fields) < 3 {
			tb.Fatalf("trace line has %d fields, want at least 3: %s", len(fields), line)
		}
		if _, err := strconv.Atoi(fields[1]); err != nil {
			tb.Fatalf("%s: %v", fields[0], err)
		}
		recorded[fields[0]] = fields[1:]
	}
	return recorded
}
