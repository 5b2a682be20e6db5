// Package wakeup runs work that is to be done when something falls due or is asked for: one goroutine, which is woken at the
// time that its work named, or earlier by Wake.
package wakeup

import (
	"context"
	"time"
)

// Waker wakes one worker. Use New; the zero value can't be woken. Wake may be called by any goroutine, Run by one at a time.
type Waker struct {
	wake chan struct{} // holds one wake-up, so that none is lost while the work is under way
}

// New makes a waker.
func New() *Waker { return &Waker{wake: make(chan struct{}, 1)} }

// Wake has the work done soon. It never blocks; several wake-ups before the work begins count as one.
func (w *Waker) Wake() {
	select {
	case w.wake <- struct{}{}:
	default: // the work will be done anyhow
	}
}

// Run does the work at once, then each time that it is due or woken, until the context ends. The work returns how long it is
// until it is due again. Run returns nil.
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
