package director

import (
	"context"
	"log/slog"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// Run issues metadata and calls the rollout's OnTimer when they are due, until ctx is done.
func (d *Director) Run(ctx context.Context) error { return d.waker.Run(ctx, d.runDue) }

// runDue performs the work that is due now, and returns the delay until its next call.
func (d *Director) runDue() time.Duration {
	d.mu.Lock()
	if now := d.tick(); d.timerAt != 0 && now >= d.timerAt {
		d.timerAt = 0
		d.rollout.OnTimer(now)
	}
	if deferred := d.deferredStage; deferred != nil {
		d.mu.Unlock()
		d.OnStage(*deferred)
		d.mu.Lock()
	}
	pending := d.pendingIssues
	d.pendingIssues = nil
	d.mu.Unlock()
	err := d.issueAll(pending)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(pending) > 0 {
		d.LastChangeIssuedAt = d.now()
	}
	next := time.Hour
	if err != nil {
		d.log(slog.LevelWarn, "metadata could not be issued; retrying", slog.String("error", err.Error()),
			slog.Duration("wait_ms", time.Duration(metadatarefresh.IssueRetryDelay)*tickLength))
		for _, s := range pending {
			if s.needsReissue && s.files != nil {
				d.pendingIssues = append(d.pendingIssues, s)
			}
		}
		next = time.Duration(metadatarefresh.IssueRetryDelay) * tickLength
	}
	if d.timerAt != 0 {
		next = min(next, max(0, time.Duration(d.timerAt-d.tick())*tickLength))
	}
	return next
}

// issueAll issues the metadata of several servers concurrently, and waits for all of them. It returns the first error.
func (d *Director) issueAll(servers []*server) error {
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for _, s := range servers {
		group.Go(func() error { return d.reissue(s) })
	}
	return group.Wait()
}

// reissue issues a server's metadata if they are marked as still to be issued. If no metadata were issued to the server since
// the process started, reissue does nothing: File issues them when the server asks for them.
func (d *Director) reissue(s *server) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.mu.Lock()
	reissue := s.needsReissue
	d.mu.Unlock()
	if !reissue || s.files == nil {
		return nil
	}
	return d.issue(s, tufverify.FromTime(d.now()))
}
