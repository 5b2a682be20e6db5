// Package discovery follows the endpoint list that a discovery agent on the machine serves, by long polls over HTTP/1.1.
//
// New creates a Watcher. Run follows the list and passes each update to a dispatcher. If discovery pushes lists, the watch
// runs from the start. Otherwise the balancer requests it through SetWatching and Fetch.
package discovery

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"silvercove/internal/transport"
)

// A watch whose agent stops responding is broken. 6 s after the agent stopped, a relay counts as notified of the updates that
// the watch misses, and so is responsible for them. A new watch must be requested within 4 s, so that 2 s are left for its
// response. An established watch is found broken after at most maxPollWait plus maxAnswerTimeout; if watches are requested,
// the balancer begins another one within a second. A call that begins a watch is found broken after at most
// maxOpenCallDuration. At that time the balancer's next request has arrived or is due, as the balancer pauses for at most 4 s.
const (
	maxPollWait         = 2 * time.Second
	maxAnswerTimeout    = time.Second
	maxOpenCallDuration = 4 * time.Second
	// Without the minimums, a drain grace period close to 0 would cause calls in a tight loop, each of which would time out
	// before the agent on a busy machine could respond.
	minPollWait      = 100 * time.Millisecond
	minAnswerTimeout = 250 * time.Millisecond
	// retryPause is the pause after a call that failed, or that was answered early without a newer version. It keeps an
	// agent that ignores timeout_ms from being called in a tight loop. Discovery continues a watch if its next call arrives
	// within 200 ms.
	retryPause = 125 * time.Millisecond
)

// Config configures a Watcher. New limits the durations so that a watch whose agent stops responding is found broken in time.
type Config struct {
	Address       *transport.Address // address of the agent
	Version       int64              // version of the list that is already known
	PollWait      time.Duration      // how long a call may wait for a newer version; 100 ms to 2 s
	AnswerTimeout time.Duration      // how long a call may take beyond PollWait; 250 ms to 1 s
	// OpenTimeout replaces AnswerTimeout for a call that begins a requested watch, as such calls wait in a queue at
	// discovery. Its range is from AnswerTimeout to 4 s minus PollWait.
	OpenTimeout time.Duration
	Buffers     *transport.BufferBudget
	// Log, if not nil, writes a log line for the operators: a constant message with fields.
	Log func(message string, fields ...slog.Attr)
}

// Mode selects who begins the watch.
type Mode uint8

const (
	// Subscribe begins the watch when SetWatching requests it. After a failed call, the watch waits for the next such
	// request. The balancer knows how often all relays together may call discovery, and a relay that retries at once
	// after it was rejected would keep discovery overloaded for all relays.
	Subscribe Mode = iota
	// Pushed begins the watch at the start, and again without a request after a failed call. The first call, and each call
	// after a failed one, asks for the complete list: such a call need not wait for a newer version, and an agent that has
	// restarted may number its versions differently.
	Pushed
)

// Watcher follows the endpoint list. SetWatching, Fetch and WaitFirst may be called from any goroutine, also before Run;
// Run may be called once.
type Watcher struct {
	// Set by New and not changed afterwards.
	address       *transport.Address
	version       int64
	pollWait      time.Duration
	answerTimeout time.Duration
	openTimeout   time.Duration
	buffers       *transport.BufferBudget
	log           func(message string, fields ...slog.Attr)

	watching  chan bool     // holds the last value passed to SetWatching that Run has not received
	fetch     chan struct{} // holds a request of Fetch that Run has not received
	firstDone chan struct{} // closed once the first call has ended

	// Answers counts the calls that returned a page, and Failures the calls that failed.
	Answers, Failures atomic.Int64
}

// New creates a watcher. It starts no goroutine.
func New(config Config) *Watcher {
	pollWait := min(max(config.PollWait, minPollWait), maxPollWait)
	answerTimeout := min(max(config.AnswerTimeout, minAnswerTimeout), maxAnswerTimeout)
	w := &Watcher{
		address:       config.Address,
		version:       config.Version,
		pollWait:      pollWait,
		answerTimeout: answerTimeout,
		openTimeout:   min(max(config.OpenTimeout, answerTimeout), maxOpenCallDuration-pollWait),
		buffers:       config.Buffers,
		log:           config.Log,
		watching:      make(chan bool, 1),
		fetch:         make(chan struct{}, 1),
		firstDone:     make(chan struct{}),
	}
	if w.log == nil {
		w.log = func(string, ...slog.Attr) {}
	}
	return w
}

// WaitFirst waits until the first call has ended, successfully or not, or until ctx ends. A relay counts as notified of the
// list that the agent has at that time.
func (w *Watcher) WaitFirst(ctx context.Context) {
	select {
	case <-w.firstDone:
	case <-ctx.Done():
	}
}

// SetWatching starts or stops the watch. It does not block. The last call takes effect.
func (w *Watcher) SetWatching(on bool) {
	for {
		select {
		case w.watching <- on:
			return
		default:
		}
		select {
		case <-w.watching:
		default:
		}
	}
}

// Fetch requests the complete list once. It does not block. Requests that are still pending are merged into one.
func (w *Watcher) Fetch() {
	select {
	case w.fetch <- struct{}{}:
	default: // a request is already pending
	}
}
