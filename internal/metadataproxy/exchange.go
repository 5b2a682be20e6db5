package metadataproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/transport"
	"silvercove/internal/tufverify"
)

// mirrorResponse is a mirror's response to one request. data is nil unless the status is 200 and the body is complete.
type mirrorResponse struct {
	status int
	data   []byte
	closed transport.CloseStatus
}

// download fetches a whole file of at most maxSize bytes from a mirror.
func (r *Repository) download(ctx context.Context, mirror dispatch.Backend, path string, maxSize int) (response mirrorResponse) {
	response.status, response.closed = r.roundTrip(ctx, mirror, path, 0, func(status int, length int64, body io.Reader) transport.CloseStatus {
		if status != http.StatusOK {
			return transport.CloseStatus{}
		}
		if length > int64(maxSize) {
			return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
		}
		data, err := io.ReadAll(io.LimitReader(body, int64(maxSize)+1))
		switch {
		case err != nil:
			return closeStatus(ctx, err, true)
		case len(data) > maxSize:
			return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
		}
		response.data = data
		return transport.CloseStatus{}
	})
	return response
}

// roundTrip requests a file from a mirror, beginning with the byte at offset, and calls the function read with the
// response. It cancels the request if the body arrives too slowly. The result status is 0 if there was no response. The
// result closed is the return value of read. If there was no response, or the body arrived too slowly, closed holds
// that failure instead.
func (r *Repository) roundTrip(ctx context.Context, mirror dispatch.Backend, path string, offset int64,
	read func(status int, length int64, body io.Reader) transport.CloseStatus) (status int, closed transport.CloseStatus) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Store(info.Err == nil) }})
	req, err := http.NewRequestWithContext(traced, http.MethodGet,
		(&url.URL{Scheme: "http", Host: mirror.Address, Path: "/" + path}).String(), nil)
	if err != nil {
		return 0, transport.CloseStatus{Reason: transport.Malformed}
	}
	if offset > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", offset))
	}
	if !r.dispatcher.IsCurrent(mirror) { // the mirror began to drain or was removed after it was chosen
		return 0, transport.CloseStatus{Reason: transport.Canceled}
	}
	r.Attempts.Add(1)
	reader := &pacedReader{cancel: cancel, tick: func() tufverify.Tick { return tufverify.FromTime(time.Now()) }}
	reader.transfer.Begin(reader.tick())
	reader.timer = time.AfterFunc(toDuration(reader.transfer.NextCheck()-reader.tick()), reader.stop)
	defer reader.timer.Stop()
	resp, err := r.transport(mirror).RoundTrip(req)
	if err != nil && reader.slow.Load() {
		return 0, transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: sent.Load()}
	} else if err != nil {
		return 0, closeStatus(ctx, err, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	reader.Reader = resp.Body
	closed = read(resp.StatusCode, resp.ContentLength, reader)
	if reader.slow.Load() {
		return resp.StatusCode, transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: true}
	}
	return resp.StatusCode, closed
}

// pacedReader reads a body, and cancels the request if the body arrives too slowly (see metadatarefresh.Transfer). Read and
// addClientStall must be called from one goroutine; the timer calls stop from another.
type pacedReader struct {
	io.Reader
	transfer metadatarefresh.Transfer
	timer    *time.Timer
	cancel   func()
	tick     func() tufverify.Tick
	slow     atomic.Bool // whether the request was canceled because the body arrived too slowly
}

func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	now := p.tick()
	if p.transfer.OnBytes(now, int64(n)) && err == nil {
		p.stop()
	}
	p.timer.Reset(toDuration(p.transfer.NextCheck() - now))
	return n, err
}

// addClientStall excludes the time from the tick in the parameter since until the present from the measurement of the
// mirror's rate. During that time the exchange waited for the client to accept bytes.
func (p *pacedReader) addClientStall(since tufverify.Tick) {
	now := p.tick()
	p.transfer.OnClientStall(now - since)
	p.timer.Reset(toDuration(p.transfer.NextCheck() - now))
}

func (p *pacedReader) stop() {
	p.slow.Store(true)
	p.cancel()
}

// closeStatus maps an error of net/http to the way in which the connection ended. sent means that the request was written.
func closeStatus(ctx context.Context, err error, sent bool) transport.CloseStatus {
	var opError *net.OpError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: sent}
	case ctx.Err() != nil:
		return transport.CloseStatus{Reason: transport.Canceled, Flushed: sent}
	case errors.As(err, &opError) && opError.Op == "dial" && errors.As(err, &timeout) && timeout.Timeout():
		return transport.CloseStatus{Reason: transport.ConnectTimeout}
	case errors.As(err, &opError) && opError.Op == "dial":
		return transport.CloseStatus{Reason: transport.Refused}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return transport.CloseStatus{Reason: transport.ClosedByPeer, Flushed: sent}
	case strings.Contains(err.Error(), "malformed"), strings.Contains(err.Error(), "headers exceeded"):
		return transport.CloseStatus{Reason: transport.Malformed, Flushed: sent}
	}
	return transport.CloseStatus{Reason: transport.ConnectionReset, Flushed: sent}
}
