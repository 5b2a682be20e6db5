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

// mirrorResponse is how one exchange with a mirror went.
type mirrorResponse struct {
	status int
	data   []byte
	closed transport.CloseStatus
}

// download asks a mirror for a whole file.
func (r *Repository) download(ctx context.Context, u dispatch.Backend, path string, most int) (s mirrorResponse) {
	s.status, s.closed = r.roundTrip(ctx, u, path, 0, func(status int, length int64, body io.Reader) transport.CloseStatus {
		if status != 200 {
			return transport.CloseStatus{}
		}
		if length > int64(most) {
			return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
		}
		data, err := io.ReadAll(io.LimitReader(body, int64(most)+1))
		switch {
		case err != nil:
			return closeStatus(ctx, err, true)
		case len(data) > most:
			return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
		}
		s.data = data
		return transport.CloseStatus{}
	})
	return s
}

// roundTrip makes one request at a mirror and has its body read, as long as that comes fast enough.
func (r *Repository) roundTrip(ctx context.Context, u dispatch.Backend, path string, from int64,
	read func(status int, length int64, body io.Reader) transport.CloseStatus) (status int, end transport.CloseStatus) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Store(info.Err == nil) }})
	req, err := http.NewRequestWithContext(traced, http.MethodGet,
		(&url.URL{Scheme: "http", Host: u.Address, Path: "/" + path}).String(), nil)
	if err != nil {
		return 0, transport.CloseStatus{Reason: transport.Malformed}
	}
	if from > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", from))
	}
	if !r.dispatcher.IsCurrent(u) { // it drains since it was chosen
		return 0, transport.CloseStatus{Reason: transport.Canceled}
	}
	r.Attempts.Add(1)
	p := &pacedReader{cancel: cancel, tick: func() tufverify.Tick { return tufverify.FromTime(time.Now()) }}
	p.transfer.Begin(p.tick())
	p.timer = time.AfterFunc(toDuration(p.transfer.NextCheck()-p.tick()), p.stop)
	defer p.timer.Stop()
	resp, err := r.transport(u).RoundTrip(req)
	if err != nil && p.slow.Load() {
		return 0, transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: sent.Load()}
	} else if err != nil {
		return 0, closeStatus(ctx, err, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	p.Reader = resp.Body
	end = read(resp.StatusCode, resp.ContentLength, p)
	if p.slow.Load() {
		return resp.StatusCode, transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: true}
	}
	return resp.StatusCode, end
}

// pacedReader reads a body and calls the exchange off once that comes too slowly.
type pacedReader struct {
	io.Reader
	transfer metadatarefresh.Transfer
	timer    *time.Timer
	cancel   func()
	tick     func() tufverify.Tick
	slow     atomic.Bool
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

// addClientStall leaves out what the client, not the mirror, has held things up.
func (p *pacedReader) addClientStall(since tufverify.Tick) {
	now := p.tick()
	p.transfer.OnClientStall(now - since)
	p.timer.Reset(toDuration(p.transfer.NextCheck() - now))
}

func (p *pacedReader) stop() {
	p.slow.Store(true)
	p.cancel()
}

// closeStatus maps an error of the HTTP library to the way in which the connection ended.
func closeStatus(ctx context.Context, err error, sent bool) transport.CloseStatus {
	var op *net.OpError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return transport.CloseStatus{Reason: transport.DeadlineExceeded, Flushed: sent}
	case ctx.Err() != nil:
		return transport.CloseStatus{Reason: transport.Canceled, Flushed: sent}
	case errors.As(err, &op) && op.Op == "dial" && errors.As(err, &timeout) && timeout.Timeout():
		return transport.CloseStatus{Reason: transport.ConnectTimeout}
	case errors.As(err, &op) && op.Op == "dial":
		return transport.CloseStatus{Reason: transport.Refused}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return transport.CloseStatus{Reason: transport.ClosedByPeer, Flushed: sent}
	case strings.Contains(err.Error(), "malformed"), strings.Contains(err.Error(), "headers exceeded"):
		return transport.CloseStatus{Reason: transport.Malformed, Flushed: sent}
	}
	return transport.CloseStatus{Reason: transport.ConnectionReset, Flushed: sent}
}
