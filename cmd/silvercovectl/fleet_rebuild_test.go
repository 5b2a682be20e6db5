package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// freePorts returns the first of n consecutive ports at which nothing listens.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for first := 21000 + os.Getpid()%4000; first < 60000; first += 97 {
		var all []net.Listener
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", first+i))
			if err != nil {
				break
			}
			all = append(all, l)
		}
		for _, l := range all {
			_ = l.Close()
		}
		if len(all) == n {
			return first
		}
	}
	t.Fatal("no consecutive ports are free")
	return 0
}

// clientAddress returns the address at which the relay of a configuration file listens for clients.
func clientAddress(t *testing.T, file string) (address string) {
	t.Helper()
	conf, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(conf), "\n") {
		if f := strings.Fields(line); len(f) == 2 && f[0] == "clients" {
			address = f[1]
		}
	}
	return address
}

// exampleFleet is a fleet with the files that the sub-command "fleet example" wrote, and the processes that were
// started on them.
type exampleFleet struct {
	test    *testing.T
	ctx     context.Context
	binary  string
	dir     string
	running map[string]*exec.Cmd
}

// newExampleFleet builds the program and writes the files of a fleet. When the test ends, so do the processes that were
// started.
func newExampleFleet(t *testing.T) *exampleFleet {
	t.Helper()
	f := &exampleFleet{test: t, binary: filepath.Join(t.TempDir(), "silvercovectl"), running: map[string]*exec.Cmd{}}
	if out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f.dir = filepath.Join(t.TempDir(), "fleet")
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	f.ctx = ctx
	first := freePorts(t, 20)
	if out, err := f.ctl("example", f.dir, "--port", fmt.Sprint(first), "--edges", "2", "--relays", "1"); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	t.Cleanup(f.end)
	return f
}

// end kills all processes, and logs the last 3000 bytes of each of their log files if the test failed.
func (f *exampleFleet) end() {
	for name := range f.running {
		f.kill(name)
	}
	if f.test.Failed() {
		logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
		for _, path := range logs {
			text, _ := os.ReadFile(path)
			f.test.Logf("%s\n%s", path, text[max(0, len(text)-3000):])
		}
	}
}

// ctl runs a sub-command of fleet and returns its output.
func (f *exampleFleet) ctl(args ...string) (string, error) {
	cmd := exec.CommandContext(f.ctx, f.binary, append([]string{"fleet"}, args...)...)
	if _, err := os.Stat(f.dir); err == nil {
		cmd.Dir = f.dir
	}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// start starts the processes with the given names and role. Each writes its output to a log file of its own.
func (f *exampleFleet) start(role string, names ...string) {
	f.test.Helper()
	for _, name := range names {
		cmd := exec.Command(f.binary, "fleet", role, name+".conf")
		cmd.Dir = f.dir
		log, err := os.Create(filepath.Join(f.dir, name+".log"))
		if err != nil {
			f.test.Fatal(err)
		}
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			f.test.Fatal(err)
		}
		_ = log.Close()
		f.running[name] = cmd
	}
}

// kill kills processes and waits until they have ended.
func (f *exampleFleet) kill(names ...string) {
	for _, name := range names {
		if cmd := f.running[name]; cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
			_ = cmd.Wait()
			delete(f.running, name)
		}
	}
}

// until calls the function ok until ok returns true. The test fails if ok has not returned true 90 s after
// newExampleFleet set the deadline. event names the awaited event in the failure message.
func (f *exampleFleet) until(event string, ok func() bool) {
	f.test.Helper()
	for !ok() {
		if f.ctx.Err() != nil {
			f.test.Fatalf("timed out waiting for %s", event)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestFleetRebuild_AllControllerDisksLost rebuilds the agreed log with real processes. It makes a backup, sends further
// requests that have effects, kills all controllers and removes their disks. It then rebuilds the log with that backup.
// The test guards against the loss of acknowledged effects that are newer than the backup.
func TestFleetRebuild_AllControllerDisksLost(t *testing.T) {
	f := newExampleFleet(t)
	dir, ctl, start, kill, until := f.dir, f.ctl, f.start, f.kill, f.until
	controllers := []string{"keeper-1", "keeper-2", "keeper-3"}
	start("keeper", controllers...)
	start("edge", "edge-a", "edge-b")
	start("relay", "relay-1")
	var out string
	until("an instance to be created", func() (ok bool) {
		var err error
		out, err = ctl("create", "keeper-2.conf", "camera-7", "edge-a", "north", "9")
		return err == nil || strings.Contains(out, "there already")
	})
	relay := clientAddress(t, filepath.Join(dir, "relay-1.conf"))
	var seq, epoch uint64
	var node string
	effect := func() bool {
		out, err := ctl("ask", relay, "camera-7")
		if err != nil {
			return false
		}
		var s uint64
		if _, err := fmt.Sscan(out, &s, &epoch, &node); err != nil || s <= seq {
			t.Fatalf("the answer is %s after effect %d", out, seq)
		}
		seq = s
		return true
	}
	until("an effect", effect)
	until("a backup", func() bool { _, err := ctl("backup", "keeper-1.conf", "yesterday"); return err == nil })
	for range 3 {
		until("another effect", effect)
	}
	lastSeq := seq
	if out, err := ctl("rebuild", "keeper-1.conf"); err == nil {
		t.Errorf("the log was rebuilt while the controllers run: %s", out)
	}
	kill(controllers...)
	for _, name := range controllers {
		if err := os.RemoveAll(filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	if out, err := ctl("rebuild", "keeper-1.conf", "--backup", "yesterday"); err != nil || !strings.Contains(out, "generation 2") {
		t.Fatalf("%v\n%s", err, out)
	}
	start("keeper", controllers...)
	until("an effect after the rebuild", effect)
	if epoch < 1000 || seq != lastSeq+1 && seq != lastSeq+2 { // seq is lastSeq+2 if a call of the function effect failed after the rebuild although its request ran: only the answer was lost
		t.Errorf("effect %d of epoch %d after effect %d", seq, epoch, lastSeq)
	}
	until("the other controllers to have the rebuilt log", func() bool {
		out, _ = ctl("show", "--keepers", "keeper-3.conf")
		return strings.Count(out, "follower") == 2 && strings.Count(out, "% free") == 3 // the status of each controller shows its free disk space
	})
}
