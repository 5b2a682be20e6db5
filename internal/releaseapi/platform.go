// Package releaseapi follows the platform's changes and casts votes there.
package releaseapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/internal/dispatch"
	"silvercove/internal/http1"
	"silvercove/internal/transport"
)

// Of the stream of changes.
const (
	mostLine = 64 << 10
	signs    = 2 * time.Second // without a line: a sign of life comes every second
	most     = 2 * signs       // however long a call may take
)

// state is where the newest build stands.
type state struct {
	Revision *uint16
	Wave     int
	State    string
	MaxShare float64
	AgeMs    float64
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ParseStage reads where the newest build stands.
func ParseStage(text []byte) (dispatch.RolloutStage, error) {
	var s state
	if err := json.Unmarshal(text, &s); err != nil {
		return dispatch.RolloutStage{}, err
	}
	if s.Revision == nil {
		return dispatch.RolloutStage{}, fmt.Errorf("no Revision")
	}
	out := dispatch.RolloutStage{Version: *s.Revision, Stage: s.Wave, Phase: s.State, ExposureCap: s.MaxShare, Age: milliseconds(s.AgeMs)}
	if !out.Valid() {
		return dispatch.RolloutStage{}, fmt.Errorf("the state %q with share %v makes no sense", s.State, s.MaxShare)
	}
	return out, nil
}

// Client speaks with the platform.
type Client struct {
	gate  *dispatch.Dispatcher
	place *transport.Address
	limit time.Duration // of a call
	room  *transport.BufferBudget
	log   func(string)
	votes chan dispatch.Vote

	Lines, Streams, Dropped atomic.Int64
}

// New makes a desk for the platform at a place. A call may take as long as limit.
func New(place *transport.Address, limit time.Duration, room *transport.BufferBudget, log func(string)) *Client {
	return &Client{place: place, limit: limit, room: room, log: log, votes: make(chan dispatch.Vote, 4)}
}

// Vote casts a vote as soon as those before it have been answered. One too many is dropped: the
// module says it again.
func (d *Client) Vote(v dispatch.Vote) {
	select {
	case d.votes <- v:
	default:
		d.Dropped.Add(1)
	}
}

// Run follows the changes and casts votes until the context ends.
func (d *Client) Run(ctx context.Context, g *dispatch.Dispatcher) error {
	d.gate = g
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.follow(ctx) })
	group.Go(func() error { return d.vote(ctx) })
	return group.Wait()
}

func (d *Client) vote(ctx context.Context) error {
	for {
		select {
		case v := <-d.votes:
			status, stage, end := d.cast(ctx, v)
			d.gate.VoteAnswered(status, stage, end)
		case <-ctx.Done():
			return nil
		}
	}
}

// cast makes one call on a connection of its own, so that none stands idle until it is closed.
func (d *Client) cast(ctx context.Context, v dispatch.Vote) (status int, stage dispatch.RolloutStage, end transport.CloseStatus) {
	limited, cancel := context.WithTimeout(ctx, d.limit)
	defer cancel()
	address, _, release := d.place.Current(ctx) // a vote under way ends where it was cast
	defer release()
	l, end := transport.Dial(limited, address, d.limit, d.room)
	if end.Closed() {
		return 0, stage, end
	}
	defer l.Close()
	l.BindContext(limited)
	body, _ := json.Marshal(struct {
		Revision uint16
		Wave     int
		Decision string
	}{v.Version, v.Stage, v.Verdict})
	l.Append(http1.FormatRequest("POST", "/judgements", address, string(body)))
	if end := l.Flush(); end.Closed() {
		return 0, stage, end
	}
	var a http1.Response
	var text []byte
	for {
		used, out, err := a.Read(l.Buffered(), text)
		l.Discard(used)
		text = out
		if err != nil {
			return 0, stage, transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
		}
		if a.Done {
			break
		}
		if end := l.Fill(0); end.Closed() {
			return 0, stage, end
		}
	}
	if a.Status == 200 {
		var err error
		if stage, err = ParseStage(text); err != nil {
			return 0, stage, transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
		}
	}
	return a.Status, stage, transport.CloseStatus{Reason: transport.ClosedLocally, Flushed: true}
}

// follow keeps the stream of changes open. It comes back at once when it was cut, and gives the
// platform a moment when it cannot be reached.
func (d *Client) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		began := time.Now()
		address, here, release := d.place.Current(ctx)
		silent := min(max(d.limit, signs), most)
		end := d.stream(here, address, silent)
		if here.Err() == nil { // it has not moved
			d.log(fmt.Sprintf("platform: changes cut: %s", end.Reason))
			select {
			case <-time.After(min(d.limit, silent)/8 - time.Since(began)):
			case <-here.Done():
			}
		}
		release()
	}
	return nil
}

// stream reads changes until the connection ends, is called off, or gives no sign of life for so long: no whole line.
func (d *Client) stream(ctx context.Context, address string, silent time.Duration) transport.CloseStatus {
	l, end := transport.Dial(ctx, address, min(d.limit, silent), d.room)
	if end.Closed() {
		return end
	}
	defer l.Close()
	d.Streams.Add(1)
	l.BindContext(ctx)
	l.SetDeadline(time.Now().Add(silent))
	l.Append(http1.FormatRequest("GET", "/changes", address, ""))
	if end := l.Flush(); end.Closed() {
		return end
	}
	a := http1.NewStream()
	var lines []byte
	for {
		used, out, err := a.Read(l.Buffered(), lines)
		l.Discard(used)
		lines = out
		if err != nil || a.Status != 0 && a.Status != 200 || len(lines) > mostLine {
			return transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
		}
		for {
			line, rest, ok := bytes.Cut(lines, []byte("\n"))
			if !ok {
				break
			}
			if err := d.line(line); err != nil {
				d.log(fmt.Sprintf("platform: change not understood: %v", err))
				return transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
			}
			lines = rest
			l.SetDeadline(time.Now().Add(silent)) // bytes alone are no sign of life
		}
		if len(lines) == 0 {
			lines = nil
		}
		if a.Done {
			return transport.CloseStatus{Reason: transport.ClosedByPeer, Flushed: true}
		}
		if ctx.Err() != nil { // the new time limit has taken the place of the one that calls off
			return transport.CloseStatus{Reason: transport.Canceled, Flushed: true}
		}
		if end := l.Fill(0); end.Closed() {
			return end
		}
	}
}

// line takes one change. Kinds that are not known are skipped.
func (d *Client) line(text []byte) error {
	d.Lines.Add(1)
	var is struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(text, &is); err != nil {
		return err
	}
	var o struct {
		Revision        uint16
		Lane            string
		Samples, Errors int
		MeanMs, AgeMs   float64
		InstanceId      string
	}
	switch is.Type {
	case "stage":
		stage, err := ParseStage(is.Object)
		if err == nil {
			d.gate.UpdateStage(stage)
		}
		return err
	case "tally", "flag":
		if err := json.Unmarshal(is.Object, &o); err != nil {
			return err
		}
		if is.Type == "flag" {
			d.gate.RecordWrongAnswer(o.InstanceId, o.Lane, milliseconds(o.AgeMs))
		} else {
			d.gate.RecordPlatformCount(o.Revision, o.Lane, o.Samples, o.Errors, milliseconds(o.MeanMs), milliseconds(o.AgeMs))
		}
	}
	return nil
}
