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

// copyBufferSize is the maximum number of bytes of one read from a mirror.
const copyBufferSize = 32 << 10

// streamTarget streams a package from mirrors to a client. If a mirror ends its response early, is too slow or sends
// wrong bytes, the transfer continues at another mirror from the next byte on.
func (r *Repository) streamTarget(ctx context.Context, target *tufverify.Target, body *tufverify.TargetReader, out *rangeWriter) error {
	r.mu.Lock()
	stored := r.verified.StoredName(target)
	r.mu.Unlock()
	return r.request(ctx, classPackage, func(attempt *dispatch.Attempt) (result attemptResult) {
		r.dispatcher.StreamStarted(attempt)
		body.SwitchMirror()
		offset := body.NextOffset()
		result.status, result.closed = r.roundTrip(attempt.Context, attempt.Backend, "targets/"+stored, offset, func(status int, _ int64, in io.Reader) transport.CloseStatus {
			if status == http.StatusOK && offset > 0 { // the mirror sent the whole file instead of the range: skip the bytes that body already has
				if _, err := io.CopyN(io.Discard, in, offset); err != nil {
					return closeStatus(attempt.Context, err, true)
				}
			} else if status != http.StatusOK && status != http.StatusPartialContent {
				return transport.CloseStatus{}
			}
			var copyStatus transport.CloseStatus
			copyStatus, result.err = r.copyVerified(attempt.Context, in.(*pacedReader), body, out)
			return copyStatus
		})
		switch complete := body.Done() || out.done(); {
		case out.disconnected:
			return attemptResult{closed: transport.CloseStatus{Reason: transport.Canceled, Flushed: true}, err: errClientGone, final: true}
		case complete:
			return attemptResult{status: result.status, accepted: true}
		case result.closed.Closed():
			result.status = 0
			result.err = cmp.Or(result.err, fmt.Errorf("%s from byte %d: %s", target.Path, offset, result.closed.Reason))
		case result.status == http.StatusOK || result.status == http.StatusPartialContent:
			result.status, result.closed = 0, transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
			result.err = fmt.Errorf("%s from byte %d: the response is incomplete", target.Path, offset)
		default:
			result.err = fmt.Errorf("%s: status %d", target.Path, result.status)
		}
		result.final = body.Corrupt()
		return result
	})
}

// copyVerified reads a mirror's body and sends the verified bytes to the client. The end of the body is not an error.
func (r *Repository) copyVerified(ctx context.Context, in *pacedReader, body *tufverify.TargetReader, out *rangeWriter) (transport.CloseStatus, error) {
	buffer := make([]byte, copyBufferSize)
	for body.Remaining() > 0 && !out.done() {
		n, err := in.Read(buffer)
		if n > 0 {
			if refused := body.Write(buffer[:n], func(p []byte) error {
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
