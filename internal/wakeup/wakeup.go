// Package wakeup does recurring work in one goroutine. The work is done each time that it falls due, or earlier if Wake
// is called. The work itself returns the time until it is due again.
package wakeup

import (
	"context"
	"time"
)

// Waker wakes the goroutine that does the work in Run. Create one with New; Wake has no effect on the zero value. Wake
// may be called from any goroutine, and Run by one goroutine at a time.
type Waker struct {
	wake chan struct{} // holds one wake-up, so that none is lost while the work runs
}

// New returns a Waker.
func New() *Waker { return &Waker{wake: make(chan struct{}, 1)} }

// Wake causes the work to be done soon. It never blocks; several calls before the work begins count as one.
func (w *Waker) Wake() {
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Run does the work at once, and then each time that the work is due or Wake is called, until the context ends. The
// work returns the time until it is due again. Run returns nil.
func (w *Waker) Run(ctx context.Context, work func() (next time.Duration)) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		case <-timer.C:
		}
		timer.Reset(work())
	}
}
