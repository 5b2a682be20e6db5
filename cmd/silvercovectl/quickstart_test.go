package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// Tests choose their ports at random from portRange consecutive ports. The lowest of them is firstPort. All are below
// the kernel's ephemeral ports, so the kernel gives no other process a chosen port before the test uses it.
const (
	firstPort = 20000
	portRange = 12000
)

// freePort returns a port at which nothing listens.
func freePort(t *testing.T) string {
	t.Helper()
	for range 100 {
		port := firstPort + rand.IntN(portRange)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return strconv.Itoa(port)
		}
	}
	t.Fatal("no port is free")
	return ""
}

// shellBlock returns the first shell block of a page.
func shellBlock(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(text), "```sh\n")
	script, _, closed := strings.Cut(rest, "```")
	if !ok || !closed {
		t.Fatalf("%s has no shell block", page)
	}
	return script
}

// TestDocs_MetadataQuickStart runs the shell block of the page on metadata, with free ports and with newly built
// binaries. It guards against commands in the page that no longer work.
func TestDocs_MetadataQuickStart(t *testing.T) {
	script := shellBlock(t, "../../docs/metadata.md")
	bin := t.TempDir()
	for _, port := range []string{"8600", "8701", "8702"} {
		script = strings.ReplaceAll(script, "127.0.0.1:"+port, "127.0.0.1:"+freePort(t))
	}
	script = strings.NewReplacer("go build -o bin/", "go build -o "+bin+"/", "$PWD/bin", bin).Replace(script)
	cmd := exec.Command("bash", "-c", script)
	cmd.Dir, _ = filepath.Abs("../..")
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{"s1 runs build 1, app/1.tar", "s1 runs build 2, app/2.tar", "s1 is told app/2.tar, build 2",
		"vouched for by targets", "Build 1 is released."} {
		if !strings.Contains(string(out), want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
}

// TestDocs_FleetQuickStart runs the shell block of the page on the failures of a fleet, with free ports and a newly
// built binary. It guards against commands in the page that no longer work.
func TestDocs_FleetQuickStart(t *testing.T) {
	script := shellBlock(t, "../../docs/fleet-failure.md")
	port, err := strconv.Atoi(freePort(t))
	if err != nil {
		t.Fatal(err)
	}
	script = strings.NewReplacer("go build -o bin/ ./cmd/...", "", "fleet example vans", fmt.Sprintf("fleet example vans --port %d", port),
		"17013", fmt.Sprint(port+13), `"$OLDPWD"/bin/silvercovectl`, buildBinary(t)).Replace(script)
	cmd := exec.Command("bash", "-c", script)
	cmd.Dir = t.TempDir()
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState.ExitCode() != 143 { // 143 is 128 + SIGTERM: the last process was ended by SIGTERM
		t.Fatalf("%v\n%s", err, out)
	}
	if !regexp.MustCompile(`(?s)1 1 edge-a\n2 1 edge-a\n.*3 2 edge-[cd]\n.*camera-7 +south +edge-[cd] +2 +runs`).Match(out) {
		t.Errorf("the output lacks the effects or the assignment after the migration:\n%s", out)
	}
}

// buildBinary builds this program and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "silvercovectl")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// TestRequireLoopback_RefusesOtherAddresses checks that requireLoopback accepts loopback IP addresses only. It also
// checks that withDiskFull returns other errors unchanged.
func TestRequireLoopback_RefusesOtherAddresses(t *testing.T) {
	for address, allowed := range map[string]bool{"127.0.0.1:1": true, "[::1]:1": true, "10.0.0.1:1": false, "localhost:1": false,
		"0.0.0.0:1": false, "x": false} {
		if err := requireLoopback(address); (err == nil) != allowed {
			t.Errorf("%s: %v", address, err)
		}
	}
	if err := withDiskFull(fmt.Errorf("other")); err.Error() != "other" {
		t.Error(err)
	}
}
