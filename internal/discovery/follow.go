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
	stopped   watchState = iota // no watch is requested: Run makes only the calls that Fetch requests
	suspended                   // a call failed: the watch waits for SetWatching or for a new agent address
	watching                    // the watch is on: each call waits for a newer version, unless needsComplete is set
)

// run holds the state of a call of Watcher.Run. Only the goroutine in Run uses it.
type run struct {
	*Watcher
	dispatcher *dispatch.Dispatcher
	mode       Mode
	state      watchState
	conn       *transport.Conn // connection of the last call; nil before the first call and once the connection is closed
	agent      string          // address of the last call; empty before the first call
	version    int64           // version of the last list or changes that were applied
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

// step makes the next call, if one is due, and handles its result. Otherwise it waits for SetWatching, Fetch or a change
// of the agent's address.
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
			// The agent's address has changed. 4 s later, the relay is responsible for acting on the list of the agent
			// at the new address. The balancer's next call of SetWatching may come too late for that, so the watch
			// begins at once.
			r.state = watching
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

// switchAgent sets the address of the next call. If the address differs from that of the last call, the next call asks
// for the complete list, as the new agent may number its versions differently.
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

// pauseBeforeRetry waits for retryPause. It keeps Run from calling an agent in a tight loop if the agent is down or
// answers polls at once.
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
