package relay

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// acceptGrace is how long connections are still accepted after SIGTERM, until clients know that the relay stops.
	acceptGrace = 500 * time.Millisecond
	// closeStepDelay is the time from closing idle sessions to the end of accepting connections.
	closeStepDelay = acceptGrace / 10
)

// shutdownState is the state of a graceful shutdown.
type shutdownState uint8

const (
	serving         shutdownState = iota
	inAcceptGrace                 // SIGTERM was received; connections are still accepted
	closingIdle                   // sessions are closed between two requests
	listenerStopped               // no more connections are accepted
)

// signalHandler handles signals until the relay stops, and begins before a starting relay first waits. Only the goroutine in run
// uses its fields.
type signalHandler struct {
	relay     *relay
	env       func(string) string
	cancel    context.CancelFunc // stops the relay immediately
	signals   <-chan os.Signal
	listeners <-chan net.Listener // delivers the listener once it is open

	listener net.Listener // nil until the listener is open; while it is nil, no client has been accepted
	state    shutdownState
	nextStep <-chan time.Time // fires when the state has to change; nil if no change is due
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

// handle acts on a signal. It returns false if it has stopped the relay, and later signals are to be ignored.
func (h *signalHandler) handle(s os.Signal) bool {
	switch {
	case s == syscall.SIGUSR1:
		h.relay.logCounters()
	case s == syscall.SIGHUP: // SIGHUP has an effect also after SIGTERM, as changes of the endpoint list still apply
		h.relay.reload(h.env)
	case h.listener == nil:
		h.relay.log.Info().Str("signal", s.String()).Msg("relay stopped before serving")
		h.cancel()
		return false
	case h.state == serving: // a second SIGTERM has no effect
		h.relay.log.Info().Str("signal", s.String()).Dur("stop_timeout_ms", h.relay.stopTimeout).Msg("relay stopping")
		h.relay.server.StopBefore(time.Now().Add(h.relay.stopTimeout))
		h.state, h.nextStep = inAcceptGrace, time.After(acceptGrace)
	}
	return true
}

// advance moves a graceful shutdown to its next state.
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

// closeListener waits until the context ends and closes the listener. A listener that was opened while the relay was being
// stopped has accepted no client, and closeListener first tells the server to stop.
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
