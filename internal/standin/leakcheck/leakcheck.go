// Package leakcheck fails a test that leaves goroutines or file descriptors behind.
package leakcheck

import (
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const (
	closeTimeout = 10 * time.Second // time limit for closing the test's descriptors after its end
	pollInterval = time.Millisecond
)

// Verify checks at the end of the test that no goroutine and no file descriptor of the test is left. It must be called first in a
// test, because functions that are registered with Cleanup later run before the check. It is not for parallel tests.
func Verify(tb testing.TB) {
	tb.Helper()
	openPoller(tb)
	goroutines, descriptors := goleak.IgnoreCurrent(), Descriptors(tb)
	tb.Cleanup(func() {
		goleak.VerifyNone(tb, goroutines)
		for end := time.Now().Add(closeTimeout); Descriptors(tb) > descriptors; time.Sleep(pollInterval) {
			if time.Now().After(end) {
				tb.Fatalf("%d file descriptors are open, %d before the test", Descriptors(tb), descriptors)
			}
		}
	})
}

// openPoller makes the runtime open the descriptors of its network poller. The runtime keeps them open, so they must be open
// before Verify counts the descriptors.
func openPoller(tb testing.TB) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	_ = listener.Close() // an error of Close is ignored: the listener was opened only to start the poller
}

// Descriptors returns the number of file descriptors that the process has open.
func Descriptors(tb testing.TB) int {
	tb.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		tb.Fatal(err)
	}
	return len(entries)
}
