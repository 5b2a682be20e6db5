package relay

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/internal/standin/backends"
)

// begun runs a relay that may not come to listen: wide changes its settings.
func begun(t *testing.T, discovery, platform *desk, known string, wide func(string) string) (replace func(string), listen string, ended chan error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	replace = func(text string) {
		if err := os.WriteFile(path+".new", []byte(wide(text)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	replace(config(discovery.Addr().String(), platform.Addr().String(), known))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen = l.Addr().String()
	_ = l.Close()
	signals := catchSignals()
	env := func(name string) string {
		return map[string]string{"NODE_NAME": "n1", "NODE_LISTEN": listen, "NODE_CONFIG": path,
			"NODE_DISCOVERY": discovery.Addr().String()}[name]
	}
	ended = make(chan error, 1)
	go func() {
		told, err := ReadConfig(env)
		if told.signals = signals; err == nil {
			err = Run(told, env)
		}
		ended <- err
	}()
	return replace, listen, ended
}

// long names waits of a minute and more wherever the settings can.
func long(text string) string {
	return strings.NewReplacer(`"connect_timeout":1.0`, `"connect_timeout":600.0`, `"drain_grace":0.2`, `"drain_grace":1e5`,
		`"vote_wait":1.0`, `"vote_wait":1e5`, `"idle_close":5.0`, `"idle_close":1e5`, `"ask_every":20.0`, `"ask_every":1e6`).Replace(text)
}

func silentDesk(t *testing.T, unit string) *desk {
	t.Helper()
	d := newDesk(t, unit)
	d.hold = make(chan struct{})
	t.Cleanup(func() { close(d.hold) })
	return d
}

// endedWhole tells whether the goroutines of a relay have ended; those of stand-ins that were there before are left out.
func endedWhole(t *testing.T, before goleak.Option) {
	t.Helper()
	if err := goleak.Find(before, goleak.IgnoreAnyFunction("silvercove/internal/relay.(*desk).serve"),
		goleak.IgnoreAnyFunction("os/signal.loop")); err != nil {
		t.Error(err)
	}
}

// TestReadyInTime: with a silent agent, silent units and waits of any size in the settings, a relay that restarts is
// ready well within the 6 s that the shortest day leaves it; where the list is pushed and where it is asked for.
func TestReadyInTime(t *testing.T) {
	for _, word := range []string{"automatic", "subscribe"} {
		t.Run(word, func(t *testing.T) {
			address, came := deaf(t)
			d := silentDesk(t, address)
			before := goleak.IgnoreCurrent()
			began := time.Now()
			_, listen, ended := begun(t, d, d, d.page(), func(text string) string {
				return long(strings.Replace(text, "automatic", word, 1))
			})
			backends.Until(t, "it is ready", func() bool {
				c, err := net.Dial("tcp", listen)
				if err == nil {
					_ = c.Close()
				}
				return err == nil
			})
			if took := time.Since(began); took > 5*time.Second || came.Load() == 0 {
				t.Errorf("ready after %v, %d connections to the unit", took, came.Load())
			}
			kill(t, os.Getpid(), syscall.SIGTERM)
			over(t, ended)
			endedWhole(t, before)
		})
	}
}

// TestSignalsInTheStart: while a start waits for a silent agent, or for units that do not come up, SIGHUP moves the list
// at once and what the new agent has counts, and SIGTERM ends it at once, before it listens.
func TestSignalsInTheStart(t *testing.T) {
	t.Run("SIGHUP in the first call", func(t *testing.T) {
		u := newUnit(t)
		old, came := deaf(t)
		first, second := silentDesk(t, old), newDesk(t, u.Address())
		before := goleak.IgnoreCurrent()
		replace, listen, ended := begun(t, first, first, first.page(), long)
		first.want(t, "GET /v1/servers")
		replace(config(second.Addr().String(), first.Addr().String(), first.page()))
		kill(t, os.Getpid(), syscall.SIGHUP)
		second.want(t, "GET /v1/servers")
		backends.Until(t, "it serves", func() bool { acked, _, _ := asks(listen, "one", 1); return acked == 1 })
		if n := came.Load(); n > 0 {
			t.Errorf("%d connections to where the unit was", n)
		}
		kill(t, os.Getpid(), syscall.SIGTERM)
		over(t, ended)
		endedWhole(t, before)
	})
	for _, c := range []struct {
		name string
		wait func(first *desk, units func() bool)
	}{
		{"SIGTERM in the first call", func(first *desk, _ func() bool) { first.want(t, "GET /v1/servers") }},
		{"SIGTERM while units do not come up", func(_ *desk, units func() bool) { backends.Until(t, "a unit is called", units) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, came := deaf(t)
			d := silentDesk(t, address)
			before := goleak.IgnoreCurrent()
			_, listen, ended := begun(t, d, d, d.page(), long)
			c.wait(d, func() bool { return came.Load() > 0 })
			began := time.Now()
			kill(t, os.Getpid(), syscall.SIGTERM)
			over(t, ended)
			if took := time.Since(began); took > maxStartWait/4 {
				t.Errorf("it ends after %v", took)
			}
			if _, err := net.Dial("tcp", listen); err == nil {
				t.Error("it listens")
			}
			endedWhole(t, before)
		})
	}
}

// TestPortIsTaken: a relay that cannot listen says why, and leaves nothing behind.
func TestPortIsTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	d := newDesk(t, newUnit(t).Address())
	before := goleak.IgnoreCurrent()
	var told Config
	if err := told.parse([]byte(config(d.Addr().String(), d.Addr().String(), d.page()))); err != nil {
		t.Fatal(err)
	}
	told.listen = l.Addr().String()
	if err := Run(told, os.Getenv); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("%v", err)
	}
	endedWhole(t, before)
}
