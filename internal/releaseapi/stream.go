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
	// changesPath is the platform's resource that streams changes, a JSON object a line.
	changesPath = "/changes"
	// maxLineBytes is how long a line may grow.
	maxLineBytes = 64 << 10
	// A stream without a whole line for as long as a call may take is broken, but not sooner than minIdleTimeout, as a keep-alive
	// line comes every second, nor later than maxSilence.
	minIdleTimeout = 2 * time.Second
	maxIdleTimeout = 2 * minIdleTimeout
	// retryDivisor: a stream is opened at most once in this part of the time in which it may be silent.
	retryDivisor = 8
)

// followChanges keeps the stream of changes open until the context ends. It opens the stream again at once when it was cut,
// and gives the platform a moment when it cannot be reached.
func (c *Client) followChanges(ctx context.Context) {
	for ctx.Err() == nil {
		c.followOnce(ctx)
	}
}

// followOnce opens the stream, and waits before the next one where that did not last.
func (c *Client) followOnce(ctx context.Context) {
	began := time.Now()
	address, addressCtx, release := c.address.Current(ctx)
	defer release()
	idleTimeout := min(max(c.timeout, minIdleTimeout), maxIdleTimeout)
	status := c.stream(addressCtx, address, idleTimeout)
	if addressCtx.Err() != nil { // the platform has moved, or the context has ended
		return
	}
	c.log("platform stream closed", slog.String("platform", address), slog.String("reason", status.Reason.String()))
	select {
	case <-time.After(min(c.timeout, idleTimeout)/retryDivisor - time.Since(began)):
	case <-addressCtx.Done():
	}
}

// stream reads changes until the connection ends, the context ends, or no whole line has come for the time of silence.
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
		if ctx.Err() != nil { // the new deadline has taken the place of the one that the context set at its end
			return closedAfterSend(transport.Canceled)
		}
		if status := conn.Fill(0); status.Closed() {
			return status
		}
	}
}

// applyLines takes the whole lines of a text and returns what follows them; nil where nothing does. extend is called after each
// line: bytes alone show no life. not ok: a line cannot be read.
func (c *Client) applyLines(text []byte, extend func()) (rest []byte, ok bool) {
	for {
		line, after, found := bytes.Cut(text, []byte("\n"))
		if !found {
			break
		}
		if err := c.applyChange(line); err != nil {
			c.log("platform change refused", slog.String("error", err.Error()))
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
