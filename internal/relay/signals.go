package relay

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// acceptGrace is how long connections are still accepted after SIGTERM, while clients learn that the relay ends.
	acceptGrace = 500 * time.Millisecond
	// closeStepDelay is from the end of idle sessions to the end of the listener.
	closeStepDelay = acceptGrace / 10
)

// shutdownState tells how far an ordered end has come.
type shutdownState uint8

const (
	serving         shutdownState = iota
	inAcceptGrace                 // SIGTERM has come; connections are still accepted
	closingIdle                   // sessions end between two requests
	listenerStopped               // no connection is accepted any more
)

// signalHandler follows the signals from before the first wait of the start to the end. Its fields belong to the goroutine
// in run.
type signalHandler struct {
	relay     *relay
	env       func(string) string
	cancel    context.CancelFunc // ends the relay at once
	signals   <-chan os.Signal
	listeners <-chan net.Listener // brings the listener, once there is one

	listener net.Listener // nil: no client has been accepted
	state    shutdownState
	nextStep <-chan time.Time // when the state changes; nil while it does not
}

// run handles signals until the context ends, and then closes the listener.
func (h *signalHandler) run(ctx context.Context) {
	defer h.closeListener(ctx)
	for {
		select {
		case h.listener = <-h.listeners:
		case s := <-h.signals:
			if h.listener == nil && len(h.listeners) > 0 {
				h.listener = <-h.listeners
			}
			if !h.handle(s) {
				return
			}
		case <-h.nextStep:
			h.advance()
		case <-ctx.Done():
			return
		}
	}
}

// handle acts on a signal. false: the relay is ended, and no other signal counts.
func (h *signalHandler) handle(s os.Signal) bool {
	switch {
	case s == syscall.SIGUSR1:
		h.relay.logCounters()
	case s == syscall.SIGHUP: // also after SIGTERM: changes of the list still count
		h.relay.reload(h.env)
	case h.listener == nil:
		h.relay.log.Info().Str("signal", s.String()).Msg("relay ended before it served")
		h.cancel()
		return false
	case h.state == serving: // another SIGTERM changes nothing
		h.relay.log.Info().Str("signal", s.String()).Dur("stop_timeout_ms", h.relay.stopTimeout).Msg("relay stopping")
		h.relay.server.StopBefore(time.Now().Add(h.relay.stopTimeout))
		h.state, h.nextStep = inAcceptGrace, time.After(acceptGrace)
	}
	return true
}

// advance goes on to the next state of an ordered end.
func (h *signalHandler) advance() {
	switch h.state {
	case inAcceptGrace:
		h.relay.server.CloseIdleSessions()
		h.state, h.nextStep = closingIdle, time.After(closeStepDelay)
	case closingIdle:
		_ = h.listener.(*net.TCPListener).SetDeadline(time.Now())
		h.state, h.nextStep = listenerStopped, nil
	}
}

// closeListener closes the listener at the end of the relay. One that comes as the relay is ended has accepted nobody.
func (h *signalHandler) closeListener(ctx context.Context) {
	<-ctx.Done()
	select {
	case h.listener = <-h.listeners:
		h.relay.server.StopBefore(time.Now().Add(h.relay.stopTimeout))
		h.relay.server.CloseIdleSessions()
	default:
	}
	if h.listener != nil {
		_ = h.listener.Close()
	}
}

// reload reads the configuration again. Only the addresses of discovery and of the platform can change while the relay runs;
// a configuration that cannot be read changes nothing.
func (r *relay) reload(env func(string) string) {
	config, err := ReadConfig(env)
	if err != nil {
		r.log.Error().Err(err).Msg("configuration refused")
		return
	}
	discoveryMoved := r.discoveryAddress.Update(config.discovery)
	platformMoved := r.platformAddress.Update(config.platform)
	r.log.Info().Bool("discovery_moved", discoveryMoved).Bool("platform_moved", platformMoved).Msg("configuration reloaded")
}
