package backends

import (
	"context"
	"time"
)

// Test is the part of *testing.T that the functions of this package need.
type Test interface {
	Helper()
	Cleanup(func())
	Error(args ...any)
	Fatalf(form string, args ...any)
}

// RunUntilCleanup runs a function in a goroutine until the test ends, and then waits for it. An error fails the test.
func RunUntilCleanup(t Test, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// Eventually waits until a condition holds, and fails the test after ten seconds. The parameter what describes the
// condition in the failure message.
func Eventually(t Test, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition does not hold after 10 s: %s", what)
		}
	}
}
