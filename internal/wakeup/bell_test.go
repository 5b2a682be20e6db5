package wakeup

import (
	"context"
	"testing"
	"time"
)

func TestBell(t *testing.T) {
	for _, c := range []struct {
		name string
		next time.Duration // that the work names
		ring bool
	}{{"by its own time", 0, false}, {"rung for", time.Hour, true}} {
		t.Run(c.name, func(t *testing.T) {
			b, worked := New(), make(chan struct{}, 16)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() {
				ended <- b.Run(ctx, func() time.Duration {
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
					t.Fatal("the work is not done")
				}
				if c.ring {
					for range 3 {
						b.Wake()
					}
				}
			}
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
			for range 3 {
				b.Wake() // nobody works any more, and nobody is kept
			}
		})
	}
}
