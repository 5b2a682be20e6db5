package controllerclient

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"silvercove/internal/tick"
)

// pollTimeout is how long a poll waits at a controller for a change before the client polls again.
const pollTimeout = 20 * time.Second

// watchPath returns path with the query of a call that waits up to the given time for a change after the version since.
func (c *Client) watchPath(path string, since uint64, wait time.Duration) string {
	query := url.Values{
		"since":      {strconv.FormatUint(since, 10)},
		"birth":      {c.Lineage().OriginID},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return path + "?" + query.Encode()
}

// Watch calls notify with all assignments and then with each change, in order, until the context ends. The first
// AssignmentChanges are Complete. Later AssignmentChanges are Complete if the controllers can't list all changes since the
// previous call of notify. Watch returns the context's error, or the error of a call that was refused.
func (c *Client) Watch(ctx context.Context, notify func(AssignmentChanges)) error {
	var version uint64
	for first := true; ; {
		var changes AssignmentChanges
		if err := c.pollOnce(ctx, "/v1/places", version, first, &changes); err != nil {
			return err
		}
		if c.CheckLineage(changes.Lineage) != nil {
			if err := c.pause(ctx, c.timings.RetryDelayMax); err != nil {
				return err
			}
			continue
		}
		if first || changes.Complete || changes.Version != version {
			notify(changes)
		}
		version, first = changes.Version, false
	}
}

// WatchNodes calls notify with all edge nodes, first at once and then after nodes have changed, until the context ends. It
// returns the context's error, or the error of a call that was refused.
func (c *Client) WatchNodes(ctx context.Context, notify func(NodeList)) error {
	var version uint64
	for first := true; ; first = false {
		var list NodeList
		if err := c.pollOnce(ctx, "/v1/units", version, first, &list); err != nil {
			return err
		}
		if first || list.Version != version {
			notify(list)
		}
		version = list.Version
	}
}

// pollOnce requests the changes after the version since. The first poll is answered at once, a later one as soon as there is a
// change or after pollTimeout.
func (c *Client) pollOnce(ctx context.Context, path string, since uint64, first bool, response any) error {
	wait := pollTimeout
	if first {
		wait = 0
	}
	timeout := c.timings.ProposalTimeout + tick.FromDuration(wait)
	_, err := c.call(ctx, http.MethodGet, c.watchPath(path, since, wait), nil, response, timeout)
	return err
}
