package metadataproxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"silvercove/internal/dispatch"
	"silvercove/internal/transport"
	"silvercove/internal/tufverify"
)

// streamTarget passes a package on from mirrors: one that breaks off, is too slow or wrong is followed by another,
// from the byte on that is wanted next.
func (r *Repository) streamTarget(ctx context.Context, t *tufverify.Target, body *tufverify.TargetReader, out *rangeWriter) error {
	r.mu.Lock()
	stored := r.verified.StoredName(t)
	r.mu.Unlock()
	return r.request(ctx, classPackage, func(d *dispatch.Attempt) (a attemptResult) {
		r.dispatcher.StreamStarted(d)
		body.Resume()
		from := body.NextOffset()
		a.status, a.closed = r.roundTrip(d.Context, d.Backend, "targets/"+stored, from, func(status int, _ int64, in io.Reader) transport.CloseStatus {
			if status == http.StatusOK && from > 0 { // it gives the whole: leave out what was had
				if _, err := io.CopyN(io.Discard, in, from); err != nil {
					return closeStatus(d.Context, err, true)
				}
			} else if status != http.StatusOK && status != http.StatusPartialContent {
				return transport.CloseStatus{}
			}
			var end transport.CloseStatus
			end, a.err = r.copyVerified(d.Context, in.(*pacedReader), body, out)
			return end
		})
		switch whole := body.Done() || out.done(); {
		case out.disconnected:
			return attemptResult{closed: transport.CloseStatus{Reason: transport.Canceled, Flushed: true}, err: errClientGone, final: true}
		case whole:
			return attemptResult{status: a.status, accepted: true}
		case a.closed.Closed():
			a.status = 0
			a.err = cmp.Or(a.err, fmt.Errorf("%s from byte %d: %s", t.Path, from, a.closed.Reason))
		case a.status == http.StatusOK || a.status == http.StatusPartialContent:
			a.status, a.closed = 0, transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
			a.err = fmt.Errorf("%s from byte %d: half a file", t.Path, from)
		default:
			a.err = fmt.Errorf("%s: status %d", t.Path, a.status)
		}
		a.final = body.Corrupt()
		return a
	})
}

// copyVerified verifies what comes and passes it on.
func (r *Repository) copyVerified(ctx context.Context, in *pacedReader, body *tufverify.TargetReader, out *rangeWriter) (transport.CloseStatus, error) {
	buf := make([]byte, 32<<10)
	for body.Remaining() > 0 && !out.done() {
		n, err := in.Read(buf)
		if n > 0 {
			if refused := body.Write(buf[:n], func(p []byte) error {
				since := in.tick()
				err := out.write(p)
				in.addClientStall(since)
				return err
			}); refused != nil {
				return transport.CloseStatus{Reason: transport.Malformed, Flushed: true}, refused
			}
		}
		if errors.Is(err, io.EOF) {
			return transport.CloseStatus{}, nil
		}
		if err != nil {
			return closeStatus(ctx, err, true), err
		}
	}
	return transport.CloseStatus{}, nil
}
