package wakeup_test

import (
	"context"
	"testing"
	"time"

	"silvercove/internal/wakeup"
)

func TestWaker_RunsWhenDueOrWoken(t *testing.T) {
	for _, c := range []struct {
		name string
		next time.Duration // duration that the work returns
		wake bool
	}{{"due", 0, false}, {"woken", time.Hour, true}} {
		t.Run(c.name, func(t *testing.T) {
			waker, worked := wakeup.New(), make(chan struct{}, 16)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() {
				ended <- waker.Run(ctx, func() time.Duration {
					select {
					case worked <- struct{}{}:
					default:
					}
					return c.next
				})
			}()
			for range 3 {
				select {
				case <-worked:
				case <-time.After(5 * time.Second):
					t.Fatal("the work was not done")
				}
				if c.wake {
					for range 3 {
						waker.Wake()
					}
				}
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
			for range 3 {
				waker.Wake() // Wake must not block after Run has returned
			}
		})
	}
}
