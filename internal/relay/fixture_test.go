package relay

import (
	"fmt"
	"io"
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

// runningRelay is a relay in the process of the test, with a scripted backend. checkEnded checks that the relay leaves no
// goroutine or descriptor behind.
type runningRelay struct {
	tb                testing.TB
	backend           *scriptedBackend
	controlPlane      *controlPlane
	replace           func(string)
	listen            string
	ended             chan error
	sigtermAt         time.Time // when the first SIGTERM was sent
	descriptorsBefore int
	goroutinesBefore  goleak.Option
	clients           []*client
}

func newRunningRelay(tb testing.TB, answer func(int) string) *runningRelay {
	tb.Helper()
	c := &runningRelay{tb: tb, backend: newScriptedBackend(tb, answer)}
	c.controlPlane = newControlPlane(tb, c.backend.Addr().String())
	c.descriptorsBefore, c.goroutinesBefore = descriptors(tb), goleak.IgnoreCurrent()
	c.replace, c.listen, c.ended = startRelay(tb, c.controlPlane, c.controlPlane)
	return c
}

func descriptors(tb testing.TB) int {
	tb.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		tb.Fatal(err)
	}
	return len(entries)
}

func (c *runningRelay) signal(s syscall.Signal) {
	c.tb.Helper()
	if s == syscall.SIGTERM && c.sigtermAt.IsZero() {
		c.sigtermAt = time.Now()
	}
	sendSignal(c.tb, os.Getpid(), s)
}

// waitNotAccepting waits until the relay accepts no new connections. This is closeStepDelay after the relay begins to
// close idle sessions.
func (c *runningRelay) waitNotAccepting() {
	c.tb.Helper()
	waitNotAccepting(c.tb, c.listen)
}

// checkEnded checks that the relay stops without an error and leaves no goroutine or descriptor behind.
func (c *runningRelay) checkEnded() {
	c.tb.Helper()
	waitEnded(c.tb, c.ended)
	for _, session := range c.clients {
		_ = session.Close()
	}
	if err := goleak.Find(c.goroutinesBefore); err != nil {
		c.tb.Error(err)
	}
	backends.Eventually(c.tb, "the relay's descriptors are closed", func() bool { return descriptors(c.tb) <= c.descriptorsBefore })
}

func (c *runningRelay) client(send string) *client {
	c.tb.Helper()
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.tb.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(conn, send)
	session := &client{conn.(*net.TCPConn), c.tb, nil}
	c.clients = append(c.clients, session)
	return session
}

// stopAndCheck stops the relay and checks that its goroutines have ended. It ignores the goroutines in the parameter
// before, which existed before the relay. It also checks that the process then has at most mostDescriptors open
// descriptors.
func stopAndCheck(tb testing.TB, ended chan error, before goleak.Option, mostDescriptors int) {
	tb.Helper()
	sendSignal(tb, os.Getpid(), syscall.SIGTERM)
	waitEnded(tb, ended)
	if err := goleak.Find(before, goleak.IgnoreAnyFunction("net/http.(*conn).serve"), goleak.IgnoreAnyFunction("os/signal.loop")); err != nil {
		tb.Error(err)
	}
	backends.Eventually(tb, "the relay's descriptors are closed", func() bool { return descriptors(tb) <= mostDescriptors })
}

// startWithDiscovery starts a relay that uses s as discovery and platform and has the current list of s in its
// configuration. done stops the relay and checks that it leaves no goroutine or descriptor behind.
func startWithDiscovery(tb testing.TB, s *scriptedDiscovery) (replace func(string), listen string, done func()) {
	tb.Helper()
	before, open := goleak.IgnoreCurrent(), descriptors(tb)
	replace, listen, ended := startRelayWithEndpoints(tb, s.controlPlane(), s.controlPlane(), page(3, true, s.entries...))
	return replace, listen, func() { stopAndCheck(tb, ended, before, open) }
}

// startRelay runs a relay. The parameters discovery and platform are its discovery agent and release platform. Its
// configuration has the endpoint list of discovery. startRelay returns once the relay accepts connections.
func startRelay(tb testing.TB, discovery, platform *controlPlane) (replace func(text string), listen string, ended chan error) {
	tb.Helper()
	return startRelayWithEndpoints(tb, discovery, platform, discovery.page())
}

// startRelayWithEndpoints is like startRelay, but the parameter known is the endpoint list in the configuration.
func startRelayWithEndpoints(tb testing.TB, discovery, platform *controlPlane, known string) (replace func(text string), listen string, ended chan error) {
	tb.Helper()
	replace, listen, env := newEnvironment(tb, discovery, platform, known, func(text string) string { return text })
	ended = make(chan error, 1)
	go func() { ended <- Start(env) }()
	for {
		if c, err := net.Dial("tcp", listen); err == nil {
			_ = c.Close()
			return replace, listen, ended
		}
		select {
		case err := <-ended:
			tb.Fatal(err)
		case <-time.After(time.Millisecond):
		}
	}
}

// newEnvironment writes a relay's configuration file, and returns the relay's environment, which names the file.
// replace atomically replaces the file. The function change edits each text before it is written to the file.
func newEnvironment(tb testing.TB, discovery, platform *controlPlane, known string, change func(string) string) (replace func(string), listen string, env func(string) string) {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "config.json")
	replace = func(text string) {
		if err := os.WriteFile(path+".new", []byte(change(text)), 0o600); err != nil {
			tb.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			tb.Fatal(err)
		}
	}
	replace(configText(discovery.Addr().String(), platform.Addr().String(), known))
	listen = freeAddress(tb)
	return replace, listen, func(name string) string {
		return map[string]string{
			"NODE_NAME":      "n1",
			"NODE_LISTEN":    listen,
			"NODE_CONFIG":    path,
			"NODE_DISCOVERY": discovery.Addr().String(),
		}[name]
	}
}

// accepts reports whether a connection to the address can be opened.
func accepts(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

func waitListening(tb testing.TB, address string) {
	tb.Helper()
	backends.Eventually(tb, "the relay listens", func() bool { return accepts(address) })
}

func waitNotAccepting(tb testing.TB, address string) {
	tb.Helper()
	backends.Eventually(tb, "the relay accepts no new connections", func() bool { return !accepts(address) })
}

// freeAddress returns an address on which no process listens.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// TestMain runs the tests. If a test has started this binary as a relay process, which an environment variable shows,
// TestMain runs a relay instead.
func TestMain(m *testing.M) {
	if os.Getenv("SILVERCOVE_ITSELF") != "" {
		if err := Start(os.Getenv); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func sendSignal(tb testing.TB, pid int, s syscall.Signal) {
	tb.Helper()
	if err := syscall.Kill(pid, s); err != nil {
		tb.Fatal(err)
	}
}

func waitEnded(tb testing.TB, ended chan error) {
	tb.Helper()
	select {
	case err := <-ended:
		if err != nil {
			tb.Error(err)
		}
	case <-time.After(10 * time.Second):
		tb.Fatal("the relay does not stop")
	}
}

// startRelayWithoutWaiting runs a relay. The function change edits the configuration before the relay reads it.
// startRelayWithoutWaiting does not wait for the listener, which the relay may never open.
func startRelayWithoutWaiting(tb testing.TB, discovery, platform *controlPlane, known string, change func(string) string) (replace func(string), listen string, ended chan error) {
	tb.Helper()
	replace, listen, env := newEnvironment(tb, discovery, platform, known, change)
	signals := catchSignals()
	ended = make(chan error, 1)
	go func() {
		config, err := ReadConfig(env)
		if config.signals = signals; err == nil {
			err = Run(config, env)
		}
		ended <- err
	}()
	return replace, listen, ended
}

// withLongTimeouts sets each timeout and interval of the settings to ten minutes or more.
func withLongTimeouts(text string) string {
	return strings.NewReplacer(`"connect_timeout":1.0`, `"connect_timeout":600.0`, `"drain_grace":0.2`, `"drain_grace":1e5`,
		`"vote_wait":1.0`, `"vote_wait":1e5`, `"idle_close":5.0`, `"idle_close":1e5`, `"ask_every":20.0`, `"ask_every":1e6`).Replace(text)
}

// checkGoroutines checks that the goroutines of a relay have ended. It ignores the goroutines of controlPlane, and the
// goroutines in the parameter before, which existed before the relay.
func checkGoroutines(tb testing.TB, before goleak.Option) {
	tb.Helper()
	if err := goleak.Find(before, goleak.IgnoreAnyFunction("silvercove/internal/relay.(*controlPlane).serve"),
		goleak.IgnoreAnyFunction("os/signal.loop")); err != nil {
		tb.Error(err)
	}
}
