package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/standin/backends"
)

// TestSIGTERM_BeforeListening checks that a relay stops gracefully on SIGTERM while it waits for the first endpoint list.
func TestSIGTERM_BeforeListening(t *testing.T) {
	d := newControlPlane(t, newBackend(t).Address())
	d.hold = make(chan struct{})
	p := newProcess(t, "127.0.0.1:0", d.Addr().String())
	p.sendConfig(configText(d.Addr().String(), d.Addr().String(), d.page()), func() {})
	d.want(t, "GET /v1/servers")
	sendSignal(t, p.Process.Pid, syscall.SIGTERM)
	close(d.hold)
	p.waitStopped()
}

// TestIdleConnections_BeyondDescriptorLimit opens 2,000 connections that send nothing. A request on a further connection
// must still be answered, and the number of descriptors must stay within the limit.
func TestIdleConnections_BeyondDescriptorLimit(t *testing.T) {
	const sockets, connections = 128, 2000
	d := newControlPlane(t, newBackend(t).Address())
	listen := freeAddress(t)
	p := newProcess(t, listen, d.Addr().String())
	p.sendConfig(configText(d.Addr().String(), d.Addr().String(), d.page()), func() {})
	backends.Eventually(t, "the relay is ready", func() bool {
		succeeded, _, _ := sendRequests(listen, "ready", 1)
		return succeeded == 1
	})
	maxDescriptors := 0
	count := func() {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		maxDescriptors = max(maxDescriptors, len(open))
	}
	for i := range connections {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if i%50 == 0 {
			count()
		}
	}
	began := time.Now()
	if succeeded, rejected, err := sendRequests(listen, "among", 1); succeeded+rejected != 1 || err != nil {
		t.Errorf("succeeded %d, rejected %d, %v", succeeded, rejected, err)
	}
	count()
	if took := time.Since(began); took > 15*time.Second {
		t.Errorf("answered after %v", took)
	}
	if maxDescriptors > sockets {
		t.Errorf("up to %d descriptors are open, more than the limit", maxDescriptors)
	}
	t.Logf("answered after %v, at most %d descriptors", time.Since(began), maxDescriptors)
}

// process is a relay in an operating system process of its own. Its configuration file is a named pipe, so each read of
// the configuration blocks until the test sends one.
type process struct {
	*exec.Cmd
	tb    testing.TB
	pipe  string
	log   bytes.Buffer
	ended chan error
}

func newProcess(tb testing.TB, listen, discovery string) *process {
	tb.Helper()
	p := &process{tb: tb, pipe: filepath.Join(tb.TempDir(), "config"), ended: make(chan error, 1)}
	if err := syscall.Mkfifo(p.pipe, 0o600); err != nil {
		tb.Fatal(err)
	}
	p.Cmd = exec.Command(os.Args[0])
	p.Env = []string{"SILVERCOVE_ITSELF=1", "NODE_NAME=n1", "NODE_LISTEN=" + listen, "NODE_CONFIG=" + p.pipe,
		"NODE_DISCOVERY=" + discovery}
	p.Stderr = &p.log
	if err := p.Start(); err != nil {
		tb.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	tb.Cleanup(func() {
		if p.Process.Kill() == nil {
			if err := <-p.ended; err != nil {
				tb.Log("killed by the test: ", err)
			}
		}
	})
	return p
}

// waitStopped waits until the process has stopped gracefully: without an error, and with the line "relay stopped" in its
// log.
func (p *process) waitStopped() {
	p.tb.Helper()
	select {
	case err := <-p.ended:
		p.ended <- nil
		if err != nil || !strings.Contains(p.log.String(), `"message":"relay stopped"`) {
			p.tb.Errorf("the relay did not stop gracefully: error %v, log %s", err, p.log.String())
		}
	case <-time.After(10 * time.Second):
		p.tb.Fatal("the relay does not stop")
	}
}

// sendConfig waits until the process opens its configuration. It then calls the function first, and sends the text when
// first has returned.
func (p *process) sendConfig(text string, first func()) {
	p.tb.Helper()
	opened := make(chan *os.File, 1)
	go func() {
		f, err := os.OpenFile(p.pipe, os.O_WRONLY, 0)
		if err != nil {
			p.tb.Error(err)
		}
		opened <- f
	}()
	select {
	case f := <-opened:
		first()
		_, _ = io.WriteString(f, text)
		_ = f.Close()
	case <-time.After(10 * time.Second):
		p.tb.Fatal("the relay does not read its configuration")
	}
}

// TestSIGHUP_WhileReadingConfig sends SIGHUP while a relay is still reading its first configuration. The signal must not
// end the process, and the relay must read and apply a second configuration. SIGTERM must then stop the relay gracefully.
// The configurations are indented, which must make no difference.
func TestSIGHUP_WhileReadingConfig(t *testing.T) {
	u := newBackend(t)
	first, second := newControlPlane(t, u.Address()), newControlPlane(t, u.Address())
	listen := freeAddress(t)
	text := func(discovery *controlPlane) string {
		var b bytes.Buffer
		_ = json.Indent(&b, []byte(configText(discovery.Addr().String(), first.Addr().String(), first.page())), "", "  ")
		return b.String()
	}
	p := newProcess(t, listen, first.Addr().String())
	p.sendConfig(text(first), func() { sendSignal(t, p.Process.Pid, syscall.SIGHUP) })
	first.want(t, "GET /v1/servers") // the relay has read the first configuration
	p.sendConfig(text(second), func() {})
	// The relay opens its listener only after it has applied the second configuration. Once it listens, it must serve a
	// request.
	second.want(t, "GET /v1/servers")
	waitListening(t, listen)
	if succeeded, rejected, err := sendRequests(listen, "one", 1); succeeded != 1 {
		t.Errorf("succeeded %d, rejected %d, %v", succeeded, rejected, err)
	}
	sendSignal(t, p.Process.Pid, syscall.SIGTERM)
	p.waitStopped()
}

// TestSIGTERM_WhileReadingConfig checks that SIGTERM, sent while a relay is still reading its configuration, stops the relay
// gracefully.
func TestSIGTERM_WhileReadingConfig(t *testing.T) {
	d := newControlPlane(t, newBackend(t).Address())
	p := newProcess(t, "127.0.0.1:0", d.Addr().String())
	p.sendConfig(configText(d.Addr().String(), d.Addr().String(), d.page()), func() { sendSignal(t, p.Process.Pid, syscall.SIGTERM) })
	p.waitStopped()
}

// TestLimits_AtMaxConnections opens twice as many connections as a relay may have descriptors. The relay must be ready
// within 15 s, and stay within its limits of descriptors and memory. Once the connections are closed and the relay is
// idle, the relay must use little processor time.
func TestLimits_AtMaxConnections(t *testing.T) {
	u := newBackend(t)
	d := newControlPlane(t, u.Address())
	listen := freeAddress(t)
	p := newProcess(t, listen, d.Addr().String())
	began := time.Now()
	p.sendConfig(configText(d.Addr().String(), d.Addr().String(), d.page()), func() {})
	backends.Eventually(t, "the relay is ready", func() bool {
		succeeded, _, _ := sendRequests(listen, "ready", 1)
		return succeeded == 1
	})
	if took := time.Since(began); took > 15*time.Second {
		t.Errorf("ready after %v", took)
	}
	const sockets, memory = 128, 64 << 10 // limits in configText; memory is in kB
	var all []net.Conn
	for range 2 * sockets {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write(pgwire.StartupMessage())
		all = append(all, c)
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid)); err != nil || len(open) > sockets {
			t.Fatalf("%d descriptors are open, error %v", len(open), err)
		}
	}
	for _, c := range all {
		_ = c.Close()
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var kb int
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &kb)
	}
	if kb == 0 || kb > memory {
		t.Errorf("peak memory is %d kB", kb)
	}
	// spent returns the processor time of the relay in hundredths of a second. A thread that waits in a busy loop would
	// add 100 of them per second.
	spent := func() (ticks int) {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
		var user, system int
		_, _ = fmt.Sscan(fields[11], &user)
		_, _ = fmt.Sscan(fields[12], &system)
		return user + system
	}
	before, since := spent(), time.Now()
	backends.Eventually(t, "a second has passed", func() bool { return time.Since(since) > time.Second })
	if took := spent() - before; took > 50 {
		t.Errorf("%d hundredths of a second of processor time in an idle second", took)
	}
	sendSignal(t, p.Process.Pid, syscall.SIGTERM)
	p.waitStopped()
}
