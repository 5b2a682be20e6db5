package discovery

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/transport"
)

// watchState tells whether the next call is to wait for something newer.
type watchState uint8

const (
	stopped   watchState = iota // nobody wants a watch
	suspended                   // a call failed: the watch waits for SetWatching, or for the agent to move
	watching
)

// run is one Run of a watcher. It belongs to the goroutine that is in Run.
type run struct {
	*Watcher
	dispatcher *dispatch.Dispatcher
	mode       Mode
	state      watchState
	conn       *transport.Conn // nil: the next call opens one
	agent      string          // the address that was called last; empty before the first call
	version    int64           // of the list that is known
	// needsComplete: the changes cannot be followed from version on, so the next call is for the complete list.
	needsComplete bool
	// opensWatch: the next call begins a watch, as the one before failed, or there was none.
	opensWatch    bool
	markFirstDone func() // tells that the first call has ended; calls after the first do nothing
}

// Run follows the list until the context ends, and hands what it hears to the dispatcher. It returns nil.
func (w *Watcher) Run(ctx context.Context, dispatcher *dispatch.Dispatcher, mode Mode) error {
	r := &run{
		Watcher:       w,
		dispatcher:    dispatcher,
		mode:          mode,
		version:       w.version,
		needsComplete: mode == Pushed,
		opensWatch:    true,
		markFirstDone: sync.OnceFunc(func() { close(w.firstDone) }),
	}
	if mode == Pushed {
		r.state = watching
	}
	defer r.markFirstDone()
	defer r.closeConn()
	for ctx.Err() == nil {
		r.step(ctx)
	}
	return nil
}

// step waits for something to ask for, makes one call and takes what it brings.
func (r *run) step(ctx context.Context) {
	address, addressCtx, release := r.address.Current(ctx)
	defer release()
	fetch := false
	select {
	case on := <-r.watching:
		r.setWatching(on)
		return
	case <-r.fetch:
		fetch = true
	default:
		if r.state == suspended && r.agent != "" && address != r.agent {
			r.state = watching // what counts where the agent moved to waits for no request
		}
		if r.state != watching {
			r.waitIdle(addressCtx)
			r.opensWatch = true
			return
		}
	}
	r.switchAgent(address)
	p := poll{complete: fetch || r.needsComplete, queued: r.opensWatch && r.mode == Subscribe}
	began, version := time.Now(), r.version
	skipped, status := r.call(addressCtx, p)
	failed := status.Closed()
	r.needsComplete = skipped || failed && (r.needsComplete || r.mode == Pushed)
	r.opensWatch = failed
	if addressCtx.Err() != nil { // the agent has moved: the call was called off
		return
	}
	r.markFirstDone()
	switch {
	case failed:
		r.handleFailedCall(addressCtx, status)
	case !p.complete && r.version <= version && time.Since(began) < r.pollWait/2:
		pauseBeforeRetry(addressCtx)
	}
}

func (r *run) setWatching(on bool) {
	r.state = stopped
	if on {
		r.state = watching
	}
}

// waitIdle waits for something to ask for, or until the agent has moved.
func (r *run) waitIdle(addressCtx context.Context) {
	select {
	case on := <-r.watching:
		r.setWatching(on)
	case <-r.fetch:
		r.Fetch()
	case <-addressCtx.Done():
	}
}

// switchAgent has the next call go to an address. The agent there may count its versions otherwise.
func (r *run) switchAgent(address string) {
	if address == r.agent {
		return
	}
	r.closeConn()
	if r.agent != "" {
		r.needsComplete, r.opensWatch = true, true
	}
	r.agent = address
}

// handleFailedCall takes a call that failed for another reason than a move.
func (r *run) handleFailedCall(addressCtx context.Context, status transport.CloseStatus) {
	r.Failures.Add(1)
	r.log("endpoint list call failed", slog.String("agent", r.agent), slog.String("reason", status.Reason.String()))
	switch {
	case r.mode == Pushed:
		r.state = watching
		pauseBeforeRetry(addressCtx)
	case r.state == watching:
		r.state = suspended
	}
	r.dispatcher.EndpointFetchFailed()
}

// pauseBeforeRetry keeps an agent that is dead, or answers without end, from being asked without end.
func pauseBeforeRetry(addressCtx context.Context) {
	select {
	case <-time.After(retryPause):
	case <-addressCtx.Done():
	}
}

func (r *run) closeConn() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}
