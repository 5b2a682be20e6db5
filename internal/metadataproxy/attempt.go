package metadataproxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/transport"
	"silvercove/internal/tufverify"
)

// errNoMirror: the module gave a command up.
var errNoMirror = errors.New("no mirror can be asked now")

// attemptResult is how one delivery went: its answer's status, 0 without one that counts, whether it was believed, how its
// connection ended, and what was wrong. over: no other mirror is to be asked.
type attemptResult struct {
	status   int
	accepted bool
	closed   transport.CloseStatus
	err      error
	final    bool
}

// request makes one command: work is done at the mirrors that the gate chooses until one is believed, or until the
// gate, or the client, gives up.
func (r *Repository) request(ctx context.Context, op string, work func(d *dispatch.Attempt) attemptResult) error {
	last := errNoMirror
	cmd, _ := r.dispatcher.Accept(dispatch.Request{Class: op, ReceivedAt: time.Now(), Timeout: r.timeouts[op]})
	defer context.AfterFunc(ctx, func() { r.dispatcher.Abandon(cmd) })()
	for {
		step := r.dispatcher.Next(cmd)
		if step.Attempt == nil {
			return last
		}
		d := step.Attempt
		if metadatarefresh.AttemptTooLate(toTicks(time.Since(d.ChosenAt())), 0) { // as if it had never been chosen
			r.dispatcher.ReportMirror(d, 0, false, transport.CloseStatus{Reason: transport.Canceled})
			continue
		}
		a := work(d)
		if a.err != nil {
			last = fmt.Errorf("mirror %s: %w", d.Name, a.err)
			r.log(slog.LevelWarn, "mirror attempt failed", slog.String("repository", r.name), slog.String("mirror", d.Name),
				slog.String("request_class", op), slog.String("error", a.err.Error()))
		}
		switch {
		case r.dispatcher.ReportMirror(d, a.status, a.accepted, a.closed), a.accepted:
			return nil
		case a.final:
			r.dispatcher.Abandon(cmd)
			return last
		}
	}
}

// fetchFile makes one command of a file.
func (r *Repository) fetchFile(op string, f tufverify.File, most int,
	take func(ctx context.Context, u dispatch.Backend, status int, data []byte) *tufverify.RefusalError) error {
	return r.request(context.Background(), op, func(d *dispatch.Attempt) attemptResult {
		s := r.download(d.Context, d.Backend, "metadata/"+f.String(), most)
		switch {
		case s.closed.Closed():
			return attemptResult{closed: s.closed, err: fmt.Errorf("%s: %s", f, s.closed.Reason)}
		case s.status != 200 && (s.status != 404 || op != classRoot):
			return attemptResult{status: s.status, err: fmt.Errorf("%s: status %d", f, s.status)}
		}
		if refusal := take(d.Context, d.Backend, s.status, s.data); refusal != nil {
			return attemptResult{status: s.status, err: refusal}
		}
		return attemptResult{status: s.status, accepted: true}
	})
}
