// Package bell owns the waiting of those who work when something falls due or is asked for: one goroutine that is
// woken at the time its work named, or earlier by Ring.
package wakeup

import (
	"context"
	"time"
)

// Waker wakes one worker. Its zero value can't be used.
type Waker struct{ rung chan struct{} }

// New makes a bell.
func New() *Waker { return &Waker{make(chan struct{}, 1)} }

// Wake has the work done soon. It never blocks; rings before the work begins count as one.
func (b *Waker) Wake() {
	select {
	case b.rung <- struct{}{}:
	default: // it is to look anyhow
	}
}

// Run does the work at once, then each time it is due by its own word or rung for, until the context ends.
func (b *Waker) Run(ctx context.Context, work func() (next time.Duration)) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.rung:
		case <-timer.C:
		}
		timer.Reset(work())
	}
}
