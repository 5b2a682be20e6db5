package metadataproxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/transport"
	"silvercove/internal/tufverify"
)

// errNoMirror is the error of a request if the dispatcher gave up the request before any attempt failed.
var errNoMirror = errors.New("no mirror can be asked now")

// attemptResult is the outcome of one attempt at a mirror.
type attemptResult struct {
	status   int                   // HTTP status code; 0 if the response is missing or incomplete, or if bytes of a package are invalid
	accepted bool                  // whether the response passed verification
	closed   transport.CloseStatus // how the connection ended; zero if it did not end early
	err      error                 // why the attempt failed; nil if it succeeded
	final    bool                  // whether no other mirror may be asked, because the client has disconnected or TargetReader.Corrupt reports true
}

// request has the dispatcher choose a mirror for each attempt of one request, and calls the function try with each
// attempt. request ends if the result of an attempt is accepted or final, if the dispatcher gives up, or if ctx ends.
// After a success it returns nil. Otherwise it returns the error of the last failed attempt, or errNoMirror if no
// attempt failed.
func (r *Repository) request(ctx context.Context, class string, try func(*dispatch.Attempt) attemptResult) error {
	lastErr := errNoMirror
	id, _ := r.dispatcher.Accept(dispatch.Request{Class: class, ReceivedAt: time.Now(), Timeout: r.timeouts[class]})
	defer context.AfterFunc(ctx, func() { r.dispatcher.Abandon(id) })()
	for {
		attempt := r.dispatcher.Next(id).Attempt
		if attempt == nil {
			return lastErr
		}
		// An attempt is not sent if its mirror was chosen too long ago (see metadatarefresh.AttemptTooLate). The
		// attempt is reported as canceled, as if the mirror had not been chosen.
		if metadatarefresh.AttemptTooLate(toTicks(time.Since(attempt.ChosenAt())), 0) {
			r.dispatcher.ReportMirror(attempt, 0, false, transport.CloseStatus{Reason: transport.Canceled})
			continue
		}
		result := try(attempt)
		if result.err != nil {
			lastErr = fmt.Errorf("mirror %s: %w", attempt.Name, result.err)
			r.log(slog.LevelWarn, "mirror attempt failed", slog.String("repository", r.name),
				slog.String("mirror", attempt.Name), slog.String("request_class", class),
				slog.String("error", result.err.Error()))
		}
		switch {
		case r.dispatcher.ReportMirror(attempt, result.status, result.accepted, result.closed), result.accepted:
			return nil
		case result.final:
			r.dispatcher.Abandon(id)
			return lastErr
		}
	}
}

// fetchFile requests a metadata file of at most maxSize bytes, and passes each mirror's response to verify. If verify
// refuses the response, another mirror is asked. For a root, verify also gets responses with status 404, which mean
// that no newer root exists.
func (r *Repository) fetchFile(class string, f tufverify.File, maxSize int,
	verify func(ctx context.Context, mirror dispatch.Backend, status int, data []byte) *tufverify.RefusalError) error {
	return r.request(context.Background(), class, func(attempt *dispatch.Attempt) attemptResult {
		response := r.download(attempt.Context, attempt.Backend, "metadata/"+f.String(), maxSize)
		switch {
		case response.closed.Closed():
			return attemptResult{closed: response.closed, err: fmt.Errorf("%s: %s", f, response.closed.Reason)}
		case response.status != http.StatusOK && (response.status != http.StatusNotFound || class != classRoot):
			return attemptResult{status: response.status, err: fmt.Errorf("%s: status %d", f, response.status)}
		}
		if refusal := verify(attempt.Context, attempt.Backend, response.status, response.data); refusal != nil {
			return attemptResult{status: response.status, err: refusal}
		}
		return attemptResult{status: response.status, accepted: true}
	})
}
