package controllerclient

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"silvercove/internal/tick"
)

// pollTimeout is how long a call waits at a controller for a change before it is made anew.
const pollTimeout = 20 * time.Second

// watchPath is the path and query of a call that waits at most so long for a change since a version.
func (c *Client) watchPath(path string, since uint64, wait time.Duration) string {
	query := url.Values{
		"since":      {strconv.FormatUint(since, 10)},
		"birth":      {c.Lineage().OriginID},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return path + "?" + query.Encode()
}

// Watch tells all assignments and then each change, in order, until the context ends. The changes are Complete at first, and
// after this process or the controllers missed too much. It returns the context's error, or that of a call that was refused.
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

// WatchNodes tells all edge nodes at first and whenever one of them has changed, until the context ends. It returns the
// context's error, or that of a call that was refused.
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

// pollOnce asks for what changed since a version: at once for the first time, and else once there is something, or the poll's
// timeout is over.
func (c *Client) pollOnce(ctx context.Context, path string, since uint64, first bool, response any) error {
	wait := pollTimeout
	if first {
		wait = 0
	}
	timeout := c.timings.ProposalTimeout + tick.FromDuration(wait)
	_, err := c.call(ctx, http.MethodGet, c.watchPath(path, since, wait), nil, response, timeout)
	return err
}
