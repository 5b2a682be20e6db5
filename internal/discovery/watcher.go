// Package discovery follows the list of endpoints that an agent on the machine serves, by long polls over HTTP/1.1.
//
// New makes a Watcher, Run follows the list and hands what it hears to a dispatcher. Where lists are pushed the watch goes on
// from the start; else the balancer asks for it through SetWatching and Fetch.
package discovery

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"silvercove/internal/transport"
)

// A watch that has fallen silent is broken, and what it misses counts as notified 6 s after it fell silent. After 4 s another
// has to be asked for, so that 2 s are left for its answer: a standing watch is found out after maxPollWait and
// maxAnswerTimeout, and where watches are asked for the balancer begins another within a second; a call that begins one is
// found out after maxOpenCallDuration, by when the balancer's next request has come or is due, as its pause is 4 s at the most too.
const (
	maxPollWait         = 2 * time.Second
	maxAnswerTimeout    = time.Second
	maxOpenCallDuration = 4 * time.Second
	// Graces of drains that are next to nothing would have calls follow each other without end, and given up before a
	// busy machine's agent could answer.
	minPollWait      = 100 * time.Millisecond
	minAnswerTimeout = 250 * time.Millisecond
	// retryPause is the pause after a call that failed, or was answered early with nothing new: an agent that ignores how
	// long a call may wait is not asked without end. A watch goes on if its next call comes within 200 ms.
	retryPause = 125 * time.Millisecond
)

// Config is what a Watcher is made of. The times are cut to what finds a silent watch in time, see New.
type Config struct {
	Address       *transport.Address // of the agent
	Version       int64              // of the list that is known already
	PollWait      time.Duration      // how long a call may wait for something newer; 100 ms to 2 s
	AnswerTimeout time.Duration      // how long a call may take beyond that; 250 ms to 1 s
	// OpenTimeout takes the place of AnswerTimeout for a call that begins a watch which had to be asked for, as such calls
	// queue at discovery; AnswerTimeout to 4 s less PollWait.
	OpenTimeout time.Duration
	Buffers     *transport.BufferBudget
	// Log takes a line for the people on call: a constant message and what it is about. nil: nobody wants them.
	Log func(message string, fields ...slog.Attr)
}

// Mode tells who begins the watch.
type Mode uint8

const (
	// Subscribe has the watch begin when SetWatching asks for it, and wait for the next such request after a call that
	// failed: the balancer knows how often all relays together may ask, and a relay that asks at once when it was turned
	// away keeps discovery overloaded for all of them.
	Subscribe Mode = iota
	// Pushed has the watch go on from the start, and again by itself after a call that failed. The first call is for the
	// complete list, and so is that after one that failed: it need not wait for something newer, and an agent that has
	// restarted may count its versions otherwise.
	Pushed
)

// Watcher follows the endpoint list. SetWatching, Fetch and WaitFirst may be called from any goroutine, also before Run;
// Run may be called once.
type Watcher struct {
	// Fixed by New.
	address       *transport.Address
	version       int64
	pollWait      time.Duration
	answerTimeout time.Duration
	openTimeout   time.Duration
	buffers       *transport.BufferBudget
	log           func(message string, fields ...slog.Attr)

	watching  chan bool     // holds the last request of SetWatching that Run has not seen
	fetch     chan struct{} // holds one request of Fetch that Run has not seen
	firstDone chan struct{} // closed once the first call has ended

	// Answers and Failures count the calls that ended with a list, and those that failed.
	Answers, Failures atomic.Int64
}

// New makes a watcher. It starts no goroutine.
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

// WaitFirst waits until the first call has ended, with an answer or without: what the agent has by then counts as notified.
func (w *Watcher) WaitFirst(ctx context.Context) {
	select {
	case <-w.firstDone:
	case <-ctx.Done():
	}
}

// SetWatching starts or stops the watch. It does not block; the last call counts.
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

// Fetch asks for the complete list once. It does not block; requests that have not been seen yet are one.
func (w *Watcher) Fetch() {
	select {
	case w.fetch <- struct{}{}:
	default: // one is to come anyhow
	}
}
