package controllerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"silvercove/internal/leases"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// ErrNoController is wrapped where no keeper carried a call out while its context lasted. Whether it was is not known.
var ErrNoController = errors.New("no keeper carries it out")

// RefusalError is an answer that says no for good: 400, 404 or 409.
type RefusalError struct {
	Code int
	ErrorBody
}

// Error is the keeper's word.
func (r *RefusalError) Error() string { return r.ErrorBody.Error }

// words are the errors that a keeper sends as text.
var words = []error{placement.ErrNotFound, placement.ErrExists, placement.ErrStaleEpoch, placement.ErrNotPrimary, placement.ErrNotReplica,
	placement.ErrWrongState, placement.ErrUnsupportedVersion, placement.ErrInvalid, leases.ErrOtherIncarnation, leases.ErrStaleIncarnation, leases.ErrExpired, leases.ErrIncarnationPending}

// Is finds the error of handover or leases that the keeper named, such as handover.ErrOld.
func (r *RefusalError) Is(target error) bool {
	for _, w := range words {
		if w == target {
			return strings.Contains(r.ErrorBody.Error, w.Error())
		}
	}
	return false
}

// Client makes calls to whichever keeper leads. Its methods may be called from several goroutines; each ends with its
// context.
type Client struct {
	net   *peertransport.Network
	http  *http.Client
	names []string // of keepers
	spans leases.Timings

	mu     sync.Mutex
	line   Lineage
	leader string // where the next call goes
	polls  map[*polling]struct{}
	chance *rand.Rand
}

// polling is a call that waits for news at a keeper.
type polling struct {
	at   string
	stop context.CancelFunc
}

// New makes a client of the keepers in a process's file. set has fleet.lease; the seed draws the pauses.
func New(net *peertransport.Network, set map[string]any, seed uint64) *Client {
	c := &Client{net: net, http: net.Client(), spans: leases.TimingsFor(leases.ConfigFrom(set)), polls: map[*polling]struct{}{}, chance: rand.New(rand.NewPCG(seed, 29))}
	for _, p := range net.Peers("keeper") {
		c.names = append(c.names, p.Name)
	}
	if self := net.Self(); self.Role == "keeper" {
		c.names = append(c.names, self.Name)
	}
	slices.Sort(c.names)
	if len(c.names) > 0 {
		c.leader = c.names[c.chance.IntN(len(c.names))]
	}
	return c
}

// ErrOtherLineage is wrapped where a keeper speaks for another line of placement than one that was believed before.
var ErrOtherLineage = errors.New("the keepers lost their disks")

// Lineage is the latest one that a keeper spoke for. What outlives a process keeps it and hands it to Believe at a start.
func (c *Client) Lineage() Lineage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.line
}

// CheckLineage takes a line over, or says why it is not believed. It guards an owner against keepers that know nothing of it:
// emptied ones, or ones of before a rebuild. Keepers that were emptied on purpose look the same; silvercovectl fleet rebuild
// raises the generation, and all believe it.
func (c *Client) CheckLineage(l Lineage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch old := c.line; {
	case l.Generation < old.Generation:
		return fmt.Errorf("%w: generation %d, and placement was rebuilt as %d", ErrOtherLineage, l.Generation, old.Generation)
	case l.Generation == old.Generation && old.OriginID != "" && l.OriginID != old.OriginID:
		return fmt.Errorf("%w: their log began as %s, not as %s; silvercovectl fleet rebuild goes on from what the units hold",
			ErrOtherLineage, l.OriginID, old.OriginID)
	}
	c.line = l
	return nil
}

// RequestLease asks for a lease. It runs from sent, which is when the request that was granted left, by Now. It is an error
// where the keeper's line is not believed.
func (c *Client) RequestLease(ctx context.Context, ask LeaseRequest) (answer LeaseResponse, sent tick.Tick, err error) {
	ask.Version = Version
	sent, err = c.call(ctx, http.MethodPost, "/v1/lease", ask, &answer, c.spans.ConfirmTimeout)
	if err == nil {
		err = c.CheckLineage(answer.Lineage)
	}
	return answer, sent, err
}

// Propose has an entry agreed. A *Refusal has the place that stands instead, if any. After another error it may or may
// not have been agreed; the same entry may be sent again: one that is done already changes nothing or is refused with
// the place after it.
func (c *Client) Propose(ctx context.Context, e placement.Operation) (p placement.Assignment, err error) {
	e.Version = placement.FormatVersion
	_, err = c.call(ctx, http.MethodPost, "/v1/step", e, &p, c.spans.ProposalTimeout)
	return p, err
}

// MoveDevice says where an instance's device is now.
func (c *Client) MoveDevice(ctx context.Context, name, zone string) (p placement.Assignment, err error) {
	_, err = c.call(ctx, http.MethodPost, "/v1/device", DeviceRequest{Version, name, zone}, &p, c.spans.ProposalTimeout)
	return p, err
}

// ReportOutcomes tells how commands at units ended, and where the newest build stands.
func (c *Client) ReportOutcomes(ctx context.Context, o OutcomeReport) error {
	o.Version = Version
	_, err := c.call(ctx, http.MethodPost, "/v1/outcomes", o, &struct{}{}, c.spans.ProposalTimeout)
	return err
}

// LastResort is what is served on where all units of a zone are tired.
func (c *Client) LastResort(ctx context.Context) (f LastResortPlan, err error) {
	_, err = c.call(ctx, http.MethodGet, "/v1/floor", nil, &f, c.spans.ProposalTimeout)
	return f, err
}

// Assignments are those that changed since a version, at once; all of them since 0.
func (c *Client) Assignments(ctx context.Context, since uint64) (p AssignmentChanges, err error) {
	if _, err = c.call(ctx, http.MethodGet, c.since("/v1/places", since, 0), nil, &p, c.spans.ProposalTimeout); err == nil {
		err = c.CheckLineage(p.Lineage)
	}
	return p, err
}

// Nodes are all edge units, at once.
func (c *Client) Nodes(ctx context.Context) (u NodeList, err error) {
	_, err = c.call(ctx, http.MethodGet, c.since("/v1/units", 0, 0), nil, &u, c.spans.ProposalTimeout)
	return u, err
}

// Status is that of one keeper.
func (c *Client) Status(ctx context.Context, keeper string) (s Status, err error) {
	_, err = c.once(ctx, keeper, http.MethodGet, "/v1/status", nil, &s, c.spans.ProposalTimeout)
	return s, err
}

const poll = 20 * time.Second // a call waits so long for news before it is made anew; the page of calls has it

func (c *Client) since(path string, version uint64, wait time.Duration) string {
	return path + "?" + url.Values{"since": {fmt.Sprint(version)}, "birth": {c.Lineage().OriginID},
		"timeout_ms": {fmt.Sprint(wait.Milliseconds())}}.Encode()
}

// Watch tells all places and then each change, in order, until the context ends. Where whole is set, places are all
// there are, and what is not among them is gone; that is so at first, and after this process or the keepers missed too much.
func (c *Client) Watch(ctx context.Context,
	tell func(version uint64, places []placement.Assignment, gone []string, whole bool)) error {

	var at uint64
	for first := true; ; {
		wait := poll
		if first {
			wait = 0
		}
		var p AssignmentChanges
		if _, err := c.call(ctx, http.MethodGet, c.since("/v1/places", at, wait), nil, &p, c.spans.ProposalTimeout+tick.FromDuration(wait)); err != nil {
			return err
		}
		if c.CheckLineage(p.Lineage) != nil {
			if err := c.pause(ctx, c.spans.RetryDelayMax); err != nil {
				return err
			}
			continue
		}
		if first || p.Complete || p.Version != at {
			tell(p.Version, p.Assignments, p.Deleted, p.Complete)
		}
		at, first = p.Version, false
	}
}

// WatchNodes tells all edge units at first and whenever one of them changed, until the context ends.
func (c *Client) WatchNodes(ctx context.Context, tell func(version uint64, units []Node)) error {
	var at uint64
	for first := true; ; first = false {
		wait := poll
		if first {
			wait = 0
		}
		var u NodeList
		if _, err := c.call(ctx, http.MethodGet, c.since("/v1/units", at, wait), nil, &u, c.spans.ProposalTimeout+tick.FromDuration(wait)); err != nil {
			return err
		}
		if first || u.Version != at {
			tell(u.Version, u.Nodes)
		}
		at = u.Version
	}
}

// call tries keepers until one answers for good or the context ends. sent is when the request that was answered left.
func (c *Client) call(ctx context.Context, method, path string, in, out any, each tick.Tick) (sent tick.Tick, err error) {
	if len(c.names) == 0 {
		return 0, errors.New("this file names no keeper")
	}
	pause := c.spans.RetryDelayMin
	var last error
	for tries := 0; ; tries++ {
		one, stop := context.WithCancel(ctx)
		c.mu.Lock()
		at := c.leader
		p := &polling{at, stop}
		if each > c.spans.ProposalTimeout {
			c.polls[p] = struct{}{}
		}
		c.mu.Unlock()
		sent, err = c.once(one, at, method, path, in, out, each)
		stop()
		var no *RefusalError
		final := err == nil || errors.As(err, &no) && no.Code != http.StatusMisdirectedRequest && no.Code != http.StatusServiceUnavailable
		c.mu.Lock()
		delete(c.polls, p)
		if final {
			c.leads(at)
		}
		c.mu.Unlock()
		if final {
			return sent, err
		}
		if ctx.Err() != nil {
			if last == nil {
				last = err
			}
			return 0, fmt.Errorf("%w: %w (%w)", ErrNoController, last, ctx.Err())
		}
		last = err
		next := ""
		if no != nil && no.Code == http.StatusMisdirectedRequest && slices.Contains(c.names, no.Leader) && no.Leader != at {
			next = no.Leader
		}
		c.mu.Lock()
		if c.leader == at { // nobody has found another one meanwhile
			if c.leader = next; next == "" {
				c.leader = c.names[(slices.Index(c.names, at)+1)%len(c.names)]
			}
		}
		c.mu.Unlock()
		if next != "" && tries%(len(c.names)+1) < len(c.names) { // two that name each other must not be asked in a circle
			continue
		}
		if err := c.pause(ctx, pause); err != nil {
			return 0, fmt.Errorf("%w: %w (%w)", ErrNoController, last, err)
		}
		most := c.spans.RetryDelayMax
		if method == http.MethodGet { // whoever watches can wait longer than one whose lease runs
			most *= 4
		}
		pause = min(2*pause, most)
	}
}

// leads notes that a keeper has carried a call out, and ends what waits for news at another one. It guards against a
// keeper that led and stands still, with its connections open: it would be waited for as long as a poll may last, while
// leases are had of the next one, and nothing of what that one agreed is heard. A poll at the leading keeper may be ended
// too, where one of before answers late: it is made anew. It is called with mu.
func (c *Client) leads(at string) {
	for p := range c.polls {
		if p.at != at {
			p.stop()
		}
	}
}

// pause waits for between a half and the whole of a span.
func (c *Client) pause(ctx context.Context, most tick.Tick) error {
	c.mu.Lock()
	part := 0.5 + c.chance.Float64()/2
	c.mu.Unlock()
	timer := time.NewTimer(time.Duration(float64(most.Duration()) * part))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// mostAnswer is the most bytes of an answer: all places of a hundred thousand instances and more.
const mostAnswer = 256 << 20

func (c *Client) once(ctx context.Context, at, method, path string, in, out any, each tick.Tick) (sent tick.Tick, err error) {
	ctx, cancel := context.WithTimeout(ctx, each.Duration())
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return 0, &RefusalError{http.StatusBadRequest, ErrorBody{Error: err.Error()}}
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, body)
	if err != nil {
		return 0, err
	}
	sent = Now()
	answer, err := c.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	from := json.NewDecoder(io.LimitReader(answer.Body, mostAnswer))
	if answer.StatusCode == http.StatusOK {
		if err := from.Decode(out); err != nil {
			return 0, fmt.Errorf("%s: %w", at, err)
		}
		return sent, nil
	}
	no := &RefusalError{Code: answer.StatusCode}
	if err := from.Decode(&no.ErrorBody); err != nil {
		return 0, fmt.Errorf("%s: %s", at, answer.Status)
	}
	if no.ErrorBody.Error == "" {
		no.ErrorBody.Error = at + ": " + answer.Status
	}
	return 0, no
}

// Join asks the leading keeper to let a keeper's emptied disk in.
func (c *Client) Join(ctx context.Context, j JoinRequest) (answer JoinResponse, err error) {
	j.Version = Version
	_, err = c.call(ctx, http.MethodPost, "/v1/join", j, &answer, 4*c.spans.ProposalTimeout)
	return answer, err
}

// Confirm asks a keeper for the term that it is in.
func (c *Client) Confirm(ctx context.Context, keeper string, term uint64) (uint64, error) {
	var answer ConfirmRequest
	_, err := c.once(ctx, keeper, http.MethodPost, "/v1/confirm", ConfirmRequest{Version, term}, &answer, c.spans.ConfirmTimeout)
	return answer.Term, err
}

// Inventory asks an edge unit for what it has.
func (c *Client) Inventory(ctx context.Context, unit string) (h Inventory, err error) {
	_, err = c.once(ctx, unit, http.MethodGet, "/v1/holds", nil, &h, tick.FromDuration(time.Minute))
	switch {
	case err != nil:
	case h.Node != unit:
		err = fmt.Errorf("%s answers as %q", unit, h.Node)
	case h.Version > placement.FormatVersion: // what it has may mean something else
		err = fmt.Errorf("%w: %s tells what it has in version %d, this program reads %d", placement.ErrUnsupportedVersion, unit, h.Version, placement.FormatVersion)
	}
	return h, err
}

// Backup writes what the keepers agreed to w.
func (c *Client) Backup(ctx context.Context, w io.Writer) error {
	var last error = ErrNoController
	for _, name := range c.names {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+name+"/v1/backup", nil)
		if err != nil {
			return err
		}
		answer, err := c.http.Do(r)
		if err != nil {
			last = err
			continue
		}
		if answer.StatusCode == http.StatusOK {
			_, err = io.Copy(w, answer.Body)
			_ = answer.Body.Close()
			return err
		}
		_ = answer.Body.Close()
	}
	return fmt.Errorf("no keeper that leads: %w", last)
}

// Keepers are those of the file, by name.
func (c *Client) Keepers() []string { return slices.Clone(c.names) }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
