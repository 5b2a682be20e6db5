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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/standin/backends"
)

// TestMain is the program itself where a test starts it as a process of its own.
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

func good(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) { return false, 0 }

func newUnit(t *testing.T) *backends.Backend {
	t.Helper()
	u, err := backends.NewBackend("s-1", 1, good)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

// deaf takes connections, counts them and says nothing.
func deaf(t *testing.T) (address string, came *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	came = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			came.Add(1)
			defer func() { _ = c.Close() }()
		}
	}()
	return l.Addr().String(), came
}

func kill(t *testing.T, pid int, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(pid, s); err != nil {
		t.Fatal(err)
	}
}

func over(t *testing.T, ended chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}

// TestStartTakesTheAgentsList: what the agent has counts as told from the first moment. A relay that starts with an older
// list asks for it before it takes commands or opens a connection to a unit; where the agent is silent it starts all
// the same, with what it knows.
func TestStartTakesTheAgentsList(t *testing.T) {
	old, came := deaf(t)
	u := newUnit(t)
	stale := (&desk{unit: old}).page()
	t.Run("an agent that takes its time", func(t *testing.T) {
		d := newDesk(t, u.Address())
		d.hold = make(chan struct{})
		go func() {
			d.want(t, "GET /v1/servers")
			time.AfterFunc(50*time.Millisecond, func() { close(d.hold) })
		}()
		_, listen, ended := startedWith(t, d, d, stale)
		if acked, refused, err := asks(listen, "first", 1); acked != 1 {
			t.Errorf("acked %d, refused %d, %v", acked, refused, err)
		}
		if n := came.Load(); n > 0 {
			t.Errorf("%d connections to where the unit was", n)
		}
		kill(t, os.Getpid(), syscall.SIGTERM)
		over(t, ended)
	})
	t.Run("a silent agent", func(t *testing.T) {
		d := newDesk(t, u.Address())
		d.hold = make(chan struct{})
		t.Cleanup(func() { close(d.hold) })
		_, listen, ended := startedWith(t, d, d, d.page())
		if acked, refused, err := asks(listen, "first", 1); acked != 1 {
			t.Errorf("acked %d, refused %d, %v", acked, refused, err)
		}
		kill(t, os.Getpid(), syscall.SIGTERM)
		over(t, ended)
	})
}

// TestSignalsAfterSIGTERM: while a session stays open, a second SIGTERM ends nothing, and a new configuration still moves
// the list: units that it drains count.
func TestSignalsAfterSIGTERM(t *testing.T) {
	u := newUnit(t)
	first, second := newDesk(t, u.Address()), newDesk(t, u.Address())
	replace, listen, ended := started(t, first, first)
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	query := pgwire.SimpleQuery("SELECT content FROM kv WHERE name = 'k' /* id=1,c=a,t=t,d=2000 */")
	_, _ = c.Write(append(pgwire.StartupMessage(), query[:30]...))
	want := func(what []byte) {
		t.Helper()
		got := make([]byte, len(what))
		if n, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, what) {
			t.Fatalf("%q, %v", got[:n], err)
		}
	}
	kill(t, os.Getpid(), syscall.SIGTERM)
	backends.Until(t, "it takes no new connections", func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	kill(t, os.Getpid(), syscall.SIGTERM)
	replace(config(second.Addr().String(), first.Addr().String(), first.page()))
	kill(t, os.Getpid(), syscall.SIGHUP)
	second.want(t, "GET /v1/servers")
	select {
	case err := <-ended:
		t.Fatalf("it ended under half a message: %v", err)
	case <-time.After(acceptGrace * 6 / 5): // as long as the second SIGTERM could have it wait once more
	}
	_, _ = c.Write(query[30:])
	want(append(pgwire.AuthenticationOK(), 'T'))
	rest, err := io.ReadAll(c)
	if err != nil || !bytes.HasSuffix(rest, pgwire.ReadyForQuery()) {
		t.Errorf("%q, %v", rest, err)
	}
	over(t, ended)
}

// process is the program as one of its own, whose configuration comes through a pipe: each time it is read, the test says
// what it holds, and until then the program is held up.
type process struct {
	*exec.Cmd
	t    *testing.T
	pipe string
	log  bytes.Buffer
	over chan error
}

func newProcess(t *testing.T, listen, discovery string) *process {
	t.Helper()
	p := &process{t: t, pipe: filepath.Join(t.TempDir(), "config"), over: make(chan error, 1)}
	if err := syscall.Mkfifo(p.pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p.Cmd = exec.Command(os.Args[0])
	p.Env = []string{"SILVERCOVE_ITSELF=1", "NODE_NAME=n1", "NODE_LISTEN=" + listen, "NODE_CONFIG=" + p.pipe,
		"NODE_DISCOVERY=" + discovery}
	p.Stderr = &p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.over <- p.Wait() }()
	t.Cleanup(func() {
		if p.Process.Kill() == nil {
			<-p.over
		}
	})
	return p
}

// config waits until it is read, does something first, and then says what it holds.
func (p *process) config(text string, first func()) {
	p.t.Helper()
	opened := make(chan *os.File, 1)
	go func() {
		f, err := os.OpenFile(p.pipe, os.O_WRONLY, 0)
		if err != nil {
			p.t.Error(err)
		}
		opened <- f
	}()
	select {
	case f := <-opened:
		first()
		_, _ = io.WriteString(f, text)
		_ = f.Close()
	case <-time.After(10 * time.Second):
		p.t.Fatal("it does not read its configuration")
	}
}

// TestSignalsBeforeTheStart: a new configuration that is told to a relay that is still reading its first one does not end
// it, and is taken; SIGTERM then ends it in order, and so it does with indented configurations.
func TestSignalsBeforeTheStart(t *testing.T) {
	u := newUnit(t)
	first, second := newDesk(t, u.Address()), newDesk(t, u.Address())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	_ = l.Close()
	text := func(discovery *desk) string {
		var b bytes.Buffer
		_ = json.Indent(&b, []byte(config(discovery.Addr().String(), first.Addr().String(), first.page())), "", "  ")
		return b.String()
	}
	p := newProcess(t, listen, first.Addr().String())
	p.config(text(first), func() { kill(t, p.Process.Pid, syscall.SIGHUP) })
	first.want(t, "GET /v1/servers") // it has read that to its end
	p.config(text(second), func() {})
	second.want(t, "GET /v1/servers") // taken before it listens: the first command that gets in is served
	backends.Until(t, "it listens", func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	if acked, refused, err := asks(listen, "one", 1); acked != 1 {
		t.Errorf("acked %d, refused %d, %v", acked, refused, err)
	}
	kill(t, p.Process.Pid, syscall.SIGTERM)
	select {
	case err := <-p.over:
		p.over <- nil
		if err != nil || !strings.Contains(p.log.String(), `"message":"relay stopped"`) {
			t.Errorf("%v: %s", err, p.log.String())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}

// TestStopBeforeTheStart: SIGTERM to a relay that has not begun to listen ends it in order.
func TestStopBeforeTheStart(t *testing.T) {
	d := newDesk(t, newUnit(t).Address())
	p := newProcess(t, "127.0.0.1:0", d.Addr().String())
	p.config(config(d.Addr().String(), d.Addr().String(), d.page()), func() { kill(t, p.Process.Pid, syscall.SIGTERM) })
	select {
	case err := <-p.over:
		p.over <- nil
		if err != nil || !strings.Contains(p.log.String(), `"message":"relay stopped"`) {
			t.Errorf("%v: %s", err, p.log.String())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}

// TestLimits: a relay at its limit of descriptors, with a connection from each client that there may be, is ready at
// once, keeps to its descriptors and memory, and waits when there is nothing to do.
func TestLimits(t *testing.T) {
	u := newUnit(t)
	d := newDesk(t, u.Address())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	_ = l.Close()
	p := newProcess(t, listen, d.Addr().String())
	began := time.Now()
	p.config(config(d.Addr().String(), d.Addr().String(), d.page()), func() {})
	backends.Until(t, "it is ready", func() bool {
		acked, _, _ := asks(listen, "ready", 1)
		return acked == 1
	})
	if took := time.Since(began); took > 15*time.Second {
		t.Errorf("ready after %v", took)
	}
	const sockets, memory = 128, 64 << 10 // as config has them; memory in kB
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
			t.Fatalf("%d descriptors, %v", len(open), err)
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
		t.Errorf("%d kB at the most", kb)
	}
	// Threads that spin would take a second of processor time each second.
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
	backends.Until(t, "a second has passed", func() bool { return time.Since(since) > time.Second })
	if took := spent() - before; took > 50 {
		t.Errorf("%d hundredths of a second of processor time in an idle second", took)
	}
	kill(t, p.Process.Pid, syscall.SIGTERM)
	select {
	case <-p.over:
		p.over <- nil
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}
