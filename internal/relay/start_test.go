package relay

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/internal/standin/backends"
)

// TestStart_FetchesAgentList checks a relay whose configuration has an outdated endpoint list. From its start on, a
// relay is responsible for acting on the agent's current list. It must therefore request that list before it accepts
// requests or opens a connection to a backend. If the agent does not respond, the relay must start with the list in its
// configuration.
func TestStart_FetchesAgentList(t *testing.T) {
	old, accepted := newSilentBackend(t)
	u := newBackend(t)
	stale := (&controlPlane{backend: old}).page()
	t.Run("a slow agent", func(t *testing.T) {
		d := newControlPlane(t, u.Address())
		d.hold = make(chan struct{})
		go func() {
			d.want(t, "GET /v1/servers")
			time.AfterFunc(50*time.Millisecond, func() { close(d.hold) })
		}()
		_, listen, ended := startRelayWithEndpoints(t, d, d, stale)
		if succeeded, rejected, err := sendRequests(listen, "first", 1); succeeded != 1 {
			t.Errorf("succeeded %d, rejected %d, %v", succeeded, rejected, err)
		}
		if n := accepted.Load(); n > 0 {
			t.Errorf("%d connections to the outdated address of the backend", n)
		}
		sendSignal(t, os.Getpid(), syscall.SIGTERM)
		waitEnded(t, ended)
	})
	t.Run("a silent agent", func(t *testing.T) {
		d := newControlPlane(t, u.Address())
		d.hold = make(chan struct{})
		t.Cleanup(func() { close(d.hold) })
		_, listen, ended := startRelayWithEndpoints(t, d, d, d.page())
		if succeeded, rejected, err := sendRequests(listen, "first", 1); succeeded != 1 {
			t.Errorf("succeeded %d, rejected %d, %v", succeeded, rejected, err)
		}
		sendSignal(t, os.Getpid(), syscall.SIGTERM)
		waitEnded(t, ended)
	})
}

// TestStart_SilentPeers checks that a restarted relay is ready within 5 s even if the agent and the backends do not
// respond and the timeouts in the settings are long. Every scenario allows a restarted relay at least 6 s
// to become ready. The test covers both a pushed list and a requested one.
func TestStart_SilentPeers(t *testing.T) {
	for _, word := range []string{"automatic", "subscribe"} {
		t.Run(word, func(t *testing.T) {
			address, accepted := newSilentBackend(t)
			d := newSilentControlPlane(t, address)
			before := goleak.IgnoreCurrent()
			began := time.Now()
			_, listen, ended := startRelayWithoutWaiting(t, d, d, d.page(), func(text string) string {
				return withLongTimeouts(strings.Replace(text, "automatic", word, 1))
			})
			waitListening(t, listen)
			if took := time.Since(began); took > 5*time.Second || accepted.Load() == 0 {
				t.Errorf("ready after %v, %d connections to the backend", took, accepted.Load())
			}
			sendSignal(t, os.Getpid(), syscall.SIGTERM)
			waitEnded(t, ended)
			checkGoroutines(t, before)
		})
	}
}

// TestSignals_DuringStart sends signals while a starting relay waits for a silent agent, or for backends that do not
// respond. SIGHUP must change the discovery address at once, and the relay must use the list of the new agent. SIGTERM
// must stop the relay at once, before it listens.
func TestSignals_DuringStart(t *testing.T) {
	t.Run("SIGHUP in the first call", func(t *testing.T) {
		u := newBackend(t)
		old, accepted := newSilentBackend(t)
		first, second := newSilentControlPlane(t, old), newControlPlane(t, u.Address())
		before := goleak.IgnoreCurrent()
		replace, listen, ended := startRelayWithoutWaiting(t, first, first, first.page(), withLongTimeouts)
		first.want(t, "GET /v1/servers")
		replace(configText(second.Addr().String(), first.Addr().String(), first.page()))
		sendSignal(t, os.Getpid(), syscall.SIGHUP)
		second.want(t, "GET /v1/servers")
		backends.Eventually(t, "the relay serves", func() bool { succeeded, _, _ := sendRequests(listen, "one", 1); return succeeded == 1 })
		if n := accepted.Load(); n > 0 {
			t.Errorf("%d connections to the outdated address of the backend", n)
		}
		sendSignal(t, os.Getpid(), syscall.SIGTERM)
		waitEnded(t, ended)
		checkGoroutines(t, before)
	})
	for _, c := range []struct {
		name string
		wait func(first *controlPlane, called func() bool)
	}{
		{"SIGTERM in the first call", func(first *controlPlane, _ func() bool) { first.want(t, "GET /v1/servers") }},
		{"SIGTERM while backends do not respond", func(_ *controlPlane, called func() bool) { backends.Eventually(t, "a backend is dialed", called) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, accepted := newSilentBackend(t)
			d := newSilentControlPlane(t, address)
			before := goleak.IgnoreCurrent()
			_, listen, ended := startRelayWithoutWaiting(t, d, d, d.page(), withLongTimeouts)
			c.wait(d, func() bool { return accepted.Load() > 0 })
			began := time.Now()
			sendSignal(t, os.Getpid(), syscall.SIGTERM)
			waitEnded(t, ended)
			if took := time.Since(began); took > maxStartWait/4 {
				t.Errorf("the relay stops after %v", took)
			}
			if _, err := net.Dial("tcp", listen); err == nil {
				t.Error("the relay listens")
			}
			checkGoroutines(t, before)
		})
	}
}

// TestRun_PortInUse checks that a relay that cannot open its listener returns the reason and leaves no goroutine behind.
func TestRun_PortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	d := newControlPlane(t, newBackend(t).Address())
	before := goleak.IgnoreCurrent()
	var config Config
	if err := config.parse([]byte(configText(d.Addr().String(), d.Addr().String(), d.page()))); err != nil {
		t.Fatal(err)
	}
	config.listen = l.Addr().String()
	if err := Run(config, os.Getenv); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("got error %v, want one that says that the address is in use", err)
	}
	checkGoroutines(t, before)
}
