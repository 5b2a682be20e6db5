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
	opensWatch bool
	endFirst   func() // tells that the first call has ended; calls after the first do nothing
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
		endFirst:      sync.OnceFunc(func() { close(w.firstDone) }),
	}
	if mode == Pushed {
		r.state = watching
	}
	defer r.endFirst()
	defer r.closeConn()
	for ctx.Err() == nil {
		r.step(ctx)
	}
	return nil
}

// step waits for something to ask for, makes one call and takes what it brings.
func (r *run) step(ctx context.Context) {
	address, here, release := r.address.Current(ctx)
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
			r.waitIdle(here)
			r.opensWatch = true
			return
		}
	}
	r.moveTo(address)
	p := poll{complete: fetch || r.needsComplete, queued: r.opensWatch && r.mode == Subscribe}
	began, version := time.Now(), r.version
	skipped, status := r.call(here, p)
	failed := status.Closed()
	r.needsComplete = skipped || failed && (r.needsComplete || r.mode == Pushed)
	r.opensWatch = failed
	if here.Err() != nil { // the agent has moved: the call was called off
		return
	}
	r.endFirst()
	switch {
	case failed:
		r.callFailed(here, status)
	case !p.complete && r.version <= version && time.Since(began) < r.pollWait/2:
		pause(here)
	}
}

func (r *run) setWatching(on bool) {
	r.state = stopped
	if on {
		r.state = watching
	}
}

// waitIdle waits for something to ask for, or until the agent has moved.
func (r *run) waitIdle(here context.Context) {
	select {
	case on := <-r.watching:
		r.setWatching(on)
	case <-r.fetch:
		r.Fetch()
	case <-here.Done():
	}
}

// moveTo has the next call go to an address. The agent there may count its versions otherwise.
func (r *run) moveTo(address string) {
	if address == r.agent {
		return
	}
	r.closeConn()
	if r.agent != "" {
		r.needsComplete, r.opensWatch = true, true
	}
	r.agent = address
}

// callFailed takes a call that failed for another reason than a move.
func (r *run) callFailed(here context.Context, status transport.CloseStatus) {
	r.Failures.Add(1)
	r.log("endpoint list call failed", slog.String("agent", r.agent), slog.String("reason", status.Reason.String()))
	switch {
	case r.mode == Pushed:
		r.state = watching
		pause(here)
	case r.state == watching:
		r.state = suspended
	}
	r.dispatcher.EndpointFetchFailed()
}

// pause keeps an agent that is dead, or answers without end, from being asked without end.
func pause(here context.Context) {
	select {
	case <-time.After(retryPause):
	case <-here.Done():
	}
}

func (r *run) closeConn() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}
