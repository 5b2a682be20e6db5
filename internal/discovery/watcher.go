// Package discovery follows the endpoint list that a discovery agent on the machine serves, by long polls over HTTP/1.1.
//
// New creates a Watcher. Run follows the list and passes each update to a dispatcher. There are two modes. If discovery
// pushes lists, the watch runs from the start. Otherwise the balancer requests the watch through SetWatching, and single
// lists through Fetch.
package discovery

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"silvercove/internal/transport"
)

// A watch is broken if its agent stops responding. 6 s after the agent stopped, the relay is responsible for acting on
// the updates that the watch missed, even if the relay has not received them. The limits below ensure that a new watch
// is requested at most 4 s after the agent stopped, which leaves 2 s for the response.
//
// An established watch is found broken after at most maxPollWait plus maxAnswerTimeout, that is, 3 s. In the mode
// Subscribe, the balancer requests the next watch (SetWatching) at most 1 s later.
//
// An HTTP call that begins a watch is found broken after at most maxOpenCallDuration, that is, 4 s. The balancer requests
// the next watch (SetWatching) at most 4 s after it requested the broken one: after maxPollInterval of package balancer,
// which is 3.2 s, plus at most a quarter of it. When the HTTP call is found broken, the next watch has therefore been
// requested or is about to be.
const (
	maxPollWait         = 2 * time.Second
	maxAnswerTimeout    = time.Second
	maxOpenCallDuration = 4 * time.Second
	// minPollWait and minAnswerTimeout are the lower bounds of PollWait and AnswerTimeout. The relay derives both
	// durations from the drain grace period, which may be close to 0. Without the bounds, the relay would call in a tight
	// loop, and each call would time out before the agent on a busy machine could respond.
	minPollWait      = 100 * time.Millisecond
	minAnswerTimeout = 250 * time.Millisecond
	// retryPause is the pause after a call that failed, or that was answered early without a newer version. Without the
	// pause, Run would call an agent that ignores timeout_ms in a tight loop. Discovery continues a watch only if the
	// watch's next call arrives within 200 ms, so the pause must be shorter than that.
	retryPause = 125 * time.Millisecond
)

// Config configures a Watcher. New brings each duration into the range in its comment, so that a watch whose agent stops
// responding is found broken in time.
type Config struct {
	Address       *transport.Address // address of the agent
	Version       int64              // version of the list that the dispatcher already has; the first poll asks for later versions
	PollWait      time.Duration      // how long the agent may wait for a newer version; 100 ms to 2 s
	AnswerTimeout time.Duration      // how long a call may take beyond PollWait; 250 ms to 1 s
	// OpenTimeout replaces AnswerTimeout for a call that begins a requested watch, because the call may wait in a queue
	// at discovery. The range of OpenTimeout is from AnswerTimeout to 4 s minus PollWait.
	OpenTimeout time.Duration
	Buffers     *transport.BufferBudget
	// Log, if not nil, writes a log line for the operators: a constant message with fields.
	Log func(message string, fields ...slog.Attr)
}

// Mode selects what begins the watch.
type Mode uint8

const (
	// Subscribe begins the watch when SetWatching requests it. After a failed call, the watch waits for the next request
	// of SetWatching. The balancer limits these requests, as it knows how often all relays together may call discovery. A
	// relay that retried at once after a rejection would keep discovery overloaded for all relays.
	Subscribe Mode = iota
	// Pushed begins the watch at the start, and again without a request after a failed call. The first call, and each
	// call after a failed one, asks for the complete list. The agent answers such a call at once, while a poll may
	// wait. The complete list also replaces a list of an agent that has restarted and may number its versions
	// differently.
	Pushed
)

// Watcher follows the endpoint list. SetWatching, Fetch and WaitFirst may be called from any goroutine, also before Run;
// Run may be called once.
type Watcher struct {
	// New sets the fields from address to log, which do not change afterwards.
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

// WaitFirst waits until the first call has ended, successfully or not, or until ctx ends. From the end of the first
// call on, the relay is responsible for acting on the list that the agent has at that time.
func (w *Watcher) WaitFirst(ctx context.Context) {
	select {
	case <-w.firstDone:
	case <-ctx.Done():
	}
}

// SetWatching starts or stops the watch. It does not block. If it is called again before Run has received the previous
// call, only the last call takes effect.
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

// Fetch requests the complete list once. It does not block. Calls of Fetch that Run has not yet received are merged into
// one request.
func (w *Watcher) Fetch() {
	select {
	case w.fetch <- struct{}{}:
	default: // a request is already pending
	}
}
