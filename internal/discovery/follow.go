package discovery

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/transport"
)

// watchState is the state of the watch of the endpoint list.
type watchState uint8

const (
	stopped   watchState = iota // no watch was requested
	suspended                   // a call failed: the watch waits for SetWatching, or for a new agent address
	watching                    // the next call waits for a newer version
)

// run holds the state of a call of Watcher.Run. Only the goroutine in Run uses it.
type run struct {
	*Watcher
	dispatcher *dispatch.Dispatcher
	mode       Mode
	state      watchState
	conn       *transport.Conn // connection of the last call; nil if the next call has to open one
	agent      string          // address of the last call; empty before the first call
	version    int64           // version of the known list
	// needsComplete is set if the changes after version cannot be followed. The next call then asks for the complete list.
	needsComplete bool
	// opensWatch is set if the next call begins a watch, because the previous call failed or there was none.
	opensWatch    bool
	markFirstDone func() // closes firstDone; only the first call has an effect
}

// Run follows the endpoint list until the context ends, and passes each update to the dispatcher. It returns nil.
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

// step waits until a call is due, makes the call and handles its result.
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
			r.state = watching // updates at the new address count as notified, so the watch does not wait for SetWatching
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
	if addressCtx.Err() != nil { // the address has changed and canceled the call, or the context has ended
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

// waitIdle waits for SetWatching or Fetch, or until the agent's address changes.
func (r *run) waitIdle(addressCtx context.Context) {
	select {
	case on := <-r.watching:
		r.setWatching(on)
	case <-r.fetch:
		r.Fetch()
	case <-addressCtx.Done():
	}
}

// switchAgent directs the next call to an address. If the address differs from that of the last call, the call asks for
// the complete list, as the agent there may number its versions differently.
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

// handleFailedCall handles a call that failed for a reason other than a change of the agent's address.
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

// pauseBeforeRetry waits for retryPause, so that an agent that is down, or answers polls at once, is not called in a tight
// loop.
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
