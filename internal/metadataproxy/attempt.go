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
	status   int                   // HTTP status code; 0 if there was no response, or none that counts
	accepted bool                  // the response was verified
	closed   transport.CloseStatus // how the connection ended, if it ended early
	err      error                 // why the attempt failed
	final    bool                  // do not ask another mirror
}

// request makes one request. It calls try for each attempt at a mirror that the dispatcher chooses, until a result is
// accepted or final, the dispatcher gives up, or ctx ends. It returns the error of the last failed attempt.
func (r *Repository) request(ctx context.Context, class string, try func(*dispatch.Attempt) attemptResult) error {
	last := errNoMirror
	id, _ := r.dispatcher.Accept(dispatch.Request{Class: class, ReceivedAt: time.Now(), Timeout: r.timeouts[class]})
	defer context.AfterFunc(ctx, func() { r.dispatcher.Abandon(id) })()
	for {
		attempt := r.dispatcher.Next(id).Attempt
		if attempt == nil {
			return last
		}
		// A late attempt is reported as canceled, as if the mirror had not been chosen.
		if metadatarefresh.AttemptTooLate(toTicks(time.Since(attempt.ChosenAt())), 0) {
			r.dispatcher.ReportMirror(attempt, 0, false, transport.CloseStatus{Reason: transport.Canceled})
			continue
		}
		result := try(attempt)
		if result.err != nil {
			last = fmt.Errorf("mirror %s: %w", attempt.Name, result.err)
			r.log(slog.LevelWarn, "mirror attempt failed", slog.String("repository", r.name),
				slog.String("mirror", attempt.Name), slog.String("request_class", class),
				slog.String("error", result.err.Error()))
		}
		switch {
		case r.dispatcher.ReportMirror(attempt, result.status, result.accepted, result.closed), result.accepted:
			return nil
		case result.final:
			r.dispatcher.Abandon(id)
			return last
		}
	}
}

// fetchFile requests a metadata file of at most maxSize bytes. verify checks a mirror's response; after a refusal another
// mirror is asked.
func (r *Repository) fetchFile(class string, f tufverify.File, maxSize int,
	verify func(ctx context.Context, mirror dispatch.Backend, status int, data []byte) *tufverify.RefusalError) error {
	return r.request(context.Background(), class, func(attempt *dispatch.Attempt) attemptResult {
		answer := r.download(attempt.Context, attempt.Backend, "metadata/"+f.String(), maxSize)
		switch {
		case answer.closed.Closed():
			return attemptResult{closed: answer.closed, err: fmt.Errorf("%s: %s", f, answer.closed.Reason)}
		case answer.status != http.StatusOK && (answer.status != http.StatusNotFound || class != classRoot):
			return attemptResult{status: answer.status, err: fmt.Errorf("%s: status %d", f, answer.status)}
		}
		if refusal := verify(attempt.Context, attempt.Backend, answer.status, answer.data); refusal != nil {
			return attemptResult{status: answer.status, err: refusal}
		}
		return attemptResult{status: answer.status, accepted: true}
	})
}
