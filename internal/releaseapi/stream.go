package releaseapi

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"silvercove/internal/http1"
	"silvercove/internal/transport"
)

const (
	// changesPath is the platform's resource that streams changes, one JSON object per line.
	changesPath = "/changes"
	// maxLineBytes is the length beyond which a line of the stream is an error.
	maxLineBytes = 64 << 10
	// The client gives a stream up if no whole line arrives within the idle timeout. The idle timeout is the time limit of
	// a call, but at least minIdleTimeout and at most maxIdleTimeout. It must exceed a second, as the platform sends a
	// keep-alive line every second.
	minIdleTimeout = 2 * time.Second
	maxIdleTimeout = 2 * minIdleTimeout
	// retryDivisor sets the shortest interval between two attempts to open the stream. The interval is the time limit of a
	// call or the idle timeout, whichever is shorter, divided by retryDivisor.
	retryDivisor = 8
)

// followChanges keeps the stream of changes open until the context ends. When a stream ends, it opens the next one
// after the pause of followOnce.
func (c *Client) followChanges(ctx context.Context) {
	for ctx.Err() == nil {
		c.followOnce(ctx)
	}
}

// followOnce opens the stream and reads it until it ends. If that took less than the shortest interval between two
// attempts (see retryDivisor), followOnce waits for the rest of the interval. It does not wait if the platform's address
// has changed.
func (c *Client) followOnce(ctx context.Context) {
	began := time.Now()
	address, addressCtx, release := c.address.Current(ctx)
	defer release()
	idleTimeout := min(max(c.timeout, minIdleTimeout), maxIdleTimeout)
	status := c.stream(addressCtx, address, idleTimeout)
	if addressCtx.Err() != nil { // the platform's address has changed, or the context has ended: do not pause
		return
	}
	c.log("platform stream closed", slog.String("platform", address), slog.String("reason", status.Reason.String()))
	select {
	case <-time.After(min(c.timeout, idleTimeout)/retryDivisor - time.Since(began)):
	case <-addressCtx.Done():
	}
}

// stream opens the stream and reads changes until the connection or the context ends, or until no whole line has arrived for
// idleTimeout.
func (c *Client) stream(ctx context.Context, address string, idleTimeout time.Duration) transport.CloseStatus {
	conn, status := transport.Dial(ctx, address, min(c.timeout, idleTimeout), c.buffers)
	if status.Closed() {
		return status
	}
	defer conn.Close()
	c.StreamsOpened.Add(1)
	conn.BindContext(ctx)
	conn.SetDeadline(time.Now().Add(idleTimeout))
	conn.Append(http1.FormatRequest("GET", changesPath, address, ""))
	if status := conn.Flush(); status.Closed() {
		return status
	}
	response := http1.NewStream()
	var text []byte
	for {
		used, read, err := response.Read(conn.Buffered(), text)
		conn.Discard(used)
		text = read
		if err != nil || response.Status != 0 && response.Status != statusOK || len(text) > maxLineBytes {
			return closedAfterSend(transport.Malformed)
		}
		rest, ok := c.applyLines(text, func() { conn.SetDeadline(time.Now().Add(idleTimeout)) })
		if !ok {
			return closedAfterSend(transport.Malformed)
		}
		text = rest
		if response.Done {
			return closedAfterSend(transport.ClosedByPeer)
		}
		// When ctx ends, the connection gets a deadline in the past (see BindContext). applyLines may have replaced it
		// by a later one, which would let Fill wait, so ctx is checked here.
		if ctx.Err() != nil {
			return closedAfterSend(transport.Canceled)
		}
		if status := conn.Fill(0); status.Closed() {
			return status
		}
	}
}

// applyLines applies the whole lines of a text. It returns the incomplete line that follows them, or nil if there is
// none. ok is false if a line is invalid.
//
// After each whole line, applyLines calls the parameter extend, which restarts the idle timeout. Bytes without a line
// end do not show that the platform is alive, so they do not restart it.
func (c *Client) applyLines(text []byte, extend func()) (rest []byte, ok bool) {
	for {
		line, after, found := bytes.Cut(text, []byte("\n"))
		if !found {
			break
		}
		if err := c.applyChange(line); err != nil {
			c.log("platform change invalid", slog.String("error", err.Error()))
			return nil, false
		}
		text = after
		extend()
	}
	if len(text) == 0 {
		return nil, true
	}
	return text, true
}
