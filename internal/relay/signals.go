package relay

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// acceptGrace is how long the relay still accepts connections after SIGTERM. Clients need this time to learn that the
	// relay stops.
	acceptGrace = 500 * time.Millisecond
	// closeStepDelay is the time from closing idle sessions until the listener accepts no more connections.
	closeStepDelay = acceptGrace / 10
)

// shutdownState is the state of a graceful shutdown.
type shutdownState uint8

const (
	serving         shutdownState = iota
	inAcceptGrace                 // SIGTERM was received; connections are still accepted
	closingIdle                   // each session is closed as soon as it is between two requests
	listenerStopped               // no more connections are accepted
)

// signalHandler handles signals until the relay stops. It starts before prepareAndListen, so that a signal also reaches a
// relay that is still starting. Only the goroutine in run uses its fields.
type signalHandler struct {
	relay     *relay
	env       func(string) string
	cancel    context.CancelFunc // ends the context of all components
	signals   <-chan os.Signal
	listeners <-chan net.Listener // delivers the listener once it is open

	listener net.Listener // nil until the listener is open; no client has been accepted before that
	state    shutdownState
	nextStep <-chan time.Time // fires when the next change of state is due; nil if there is none
}

// run handles signals until the context ends or the relay is stopped before it serves. It then closes the listener.
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

// handle acts on a signal. It returns false if the signal has stopped a relay that was not yet serving; no later signal
// is then handled.
func (h *signalHandler) handle(s os.Signal) bool {
	switch {
	case s == syscall.SIGUSR1:
		h.relay.logCounters()
	// A reload can change the discovery address. A stopping relay reloads too: it must follow the endpoint list until
	// its last request is answered, for example to learn which backends drain.
	case s == syscall.SIGHUP:
		h.relay.reload(h.env)
	case h.listener == nil:
		h.relay.log.Info().Str("signal", s.String()).Msg("relay stopped before serving")
		h.cancel()
		return false
	case h.state == serving: // SIGTERM or SIGINT; a second one has no effect
		h.relay.log.Info().Str("signal", s.String()).Dur("stop_timeout_ms", h.relay.stopTimeout).Msg("relay stopping")
		h.relay.server.StopBefore(time.Now().Add(h.relay.stopTimeout))
		h.state, h.nextStep = inAcceptGrace, time.After(acceptGrace)
	}
	return true
}

// advance performs the next step of a graceful shutdown.
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

// closeListener waits until the context ends and closes the listener. If the relay was stopped while the listener was
// being opened, the listener may still be in the channel listeners. Such a listener has accepted no client, and
// closeListener tells the server to stop before closing the listener.
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

// reload reads the configuration again and applies the addresses of discovery and of the platform, the only settings that
// can change while the relay runs. A configuration that cannot be read changes nothing.
func (r *relay) reload(env func(string) string) {
	config, err := ReadConfig(env)
	if err != nil {
		r.log.Error().Err(err).Msg("configuration reload failed")
		return
	}
	discoveryMoved := r.discoveryAddress.Update(config.discovery)
	platformMoved := r.platformAddress.Update(config.platform)
	r.log.Info().Bool("discovery_moved", discoveryMoved).Bool("platform_moved", platformMoved).Msg("configuration reloaded")
}
