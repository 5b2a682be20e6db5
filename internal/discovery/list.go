// Package discovery keeps a watch on the list of units.
package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/http1"
	"silvercove/internal/transport"
)

// Page is the list, or changes of it, as discovery words them.
type Page struct {
	Seq       *int64 `json:"seq"`
	Complete  bool   `json:"whole"`
	Endpoints []struct {
		Host  string  `json:"host"`
		Dial  string  `json:"dial"`
		Site  string  `json:"site"`
		Class string  `json:"class"`
		Block int     `json:"block"`
		State string  `json:"health"`
		Share float64 `json:"share"`
		Born  int64   `json:"born_ms"`
		Build uint16  `json:"image_id"`
	} `json:"hosts"`
}

// ParsePage reads a page.
func ParsePage(text []byte) (seq int64, whole bool, hosts []dispatch.Endpoint, err error) {
	var p Page
	if err := json.Unmarshal(text, &p); err != nil {
		return 0, false, nil, err
	}
	if p.Seq == nil || p.Endpoints == nil {
		return 0, false, nil, fmt.Errorf("no seq or no hosts")
	}
	for _, h := range p.Endpoints {
		host := dispatch.Endpoint{Name: h.Host, Address: h.Dial, Zone: h.Site, MachineKind: h.Class, Cell: h.Block, State: h.State,
			Weight: h.Share, StartedAtMs: h.Born, Version: h.Build}
		if !host.Valid() {
			return 0, false, nil, fmt.Errorf("host %q makes no sense", h.Host)
		}
		hosts = append(hosts, host)
	}
	return *p.Seq, p.Complete, hosts, nil
}

// Watcher follows the list.
type Watcher struct {
	gate  *dispatch.Dispatcher
	place *transport.Address
	seq   int64
	wait  time.Duration // that a call may wait for something newer
	limit time.Duration // beyond that
	queue time.Duration // and for a call that begins a watch where discovery is asked for it
	room  *transport.BufferBudget
	log   func(string)
	on    chan bool // whether to watch; the last word counts
	fetch chan struct{}
	first chan struct{} // closed once the first call has ended

	astray bool // the last answer held changes of a version before the one that they were asked for

	Answers, Failures atomic.Int64
}

// A watch that has fallen silent is broken, and what it misses counts as told 6 s after it fell silent. After 4 s another
// has to be asked for, so that 2 s are left for its answer: a watch that stands is found out after mostWait and
// mostLimit, and where it is asked for the module begins another within a second; a call that begins one is found
// out after mostCall, by when the module's next word has come or is due, as its pause is 4 s at the most too.
const (
	mostWait  = 2 * time.Second
	mostLimit = time.Second
	mostCall  = 4 * time.Second
	// Graces of drains that are next to nothing would have calls follow each other without end, and given up before a
	// busy machine's agent could answer.
	leastWait  = 100 * time.Millisecond
	leastLimit = 250 * time.Millisecond
	// between is the pause after a call that failed, or was answered early with nothing new: who takes no account of how
	// long a call may wait is not asked without end. A watch goes on if its next call comes within 200 ms.
	between = 125 * time.Millisecond
)

// New makes a watch at a place that goes on from a version. A call has limit more time than it may wait, or queue
// where it begins a watch that had to be asked for. All are cut to what finds a silent watch in time.
func New(place *transport.Address, seq int64, wait, limit, queue time.Duration, room *transport.BufferBudget, log func(string)) *Watcher {
	wait, limit = min(max(wait, leastWait), mostWait), min(max(limit, leastLimit), mostLimit)
	return &Watcher{place: place, seq: seq, wait: wait, limit: limit, queue: min(max(queue, limit), mostCall-wait), room: room,
		log: log, on: make(chan bool, 1), fetch: make(chan struct{}, 1), first: make(chan struct{})}
}

// WaitFirst waits until the first call has ended, with an answer or without: what the agent has by then counts as told.
func (w *Watcher) WaitFirst(ctx context.Context) {
	select {
	case <-w.first:
	case <-ctx.Done():
	}
}

// SetWatching starts or stops the watch.
func (w *Watcher) SetWatching(on bool) {
	for {
		select {
		case w.on <- on:
			return
		default:
		}
		select {
		case <-w.on:
		default:
		}
	}
}

// Fetch asks for the whole list once.
func (w *Watcher) Fetch() {
	select {
	case w.fetch <- struct{}{}:
	default: // it is to come anyhow
	}
}

// Run watches until the context ends; on: from the start, and again by itself after a call that failed. Else it
// begins a watch when On says so, and one that has failed waits for the next word: the module knows how often all
// relays together may ask, and who asks at once when turned away keeps discovery overbooked for everyone. Where lists
// are pushed, the first call is for all that the agent has, and so is that after one that failed: it need not wait for
// something newer, and an agent that has restarted may count its versions otherwise.
func (w *Watcher) Run(ctx context.Context, g *dispatch.Dispatcher, on bool) error {
	w.gate = g
	alone, wanted := on, on
	var l *transport.Conn
	at, lost := "", on // lost: the changes can not be followed from w.seq on
	ended := sync.OnceFunc(func() { close(w.first) })
	defer ended()
	begins := true // the next call begins a watch
	defer func() {
		if l != nil {
			l.Close()
		}
	}()
	for ctx.Err() == nil {
		whole := false
		address, here, release := w.place.Current(ctx)
		select {
		case wanted = <-w.on:
			on = wanted
			release()
			continue
		case <-w.fetch:
			whole = true
		default:
			if on = on || wanted && at != "" && address != at; !on { // what counts where it moved to waits for no word
				w.idle(here, &on, &wanted)
				begins = true
				release()
				continue
			}
		}
		if address != at && l != nil {
			l.Close()
			l = nil
		}
		if address != at && at != "" {
			lost, begins = true, true // the agent there may count its versions otherwise
		}
		at = address
		began, was := time.Now(), w.seq
		var end transport.CloseStatus
		l, end = w.call(here, address, l, whole || lost, begins && !alone)
		moved := here.Err() != nil
		all := whole || lost
		lost, begins = w.astray || end.Closed() && (lost || alone), end.Closed()
		if !moved {
			ended()
		}
		switch {
		case moved:
		case end.Closed():
			w.Failures.Add(1)
			w.log(fmt.Sprintf("list: call failed: %s", end.Reason))
			if on = alone; alone {
				w.pause(here)
			}
			w.gate.EndpointFetchFailed()
		case !all && w.seq <= was && time.Since(began) < w.wait/2:
			w.pause(here)
		}
		release()
	}
	return nil
}

// idle waits for something to ask for, or until the peer has moved.
func (w *Watcher) idle(here context.Context, on, wanted *bool) {
	select {
	case *wanted = <-w.on:
		*on = *wanted
	case <-w.fetch:
		w.Fetch()
	case <-here.Done():
	}
}

// pause keeps an agent that is dead, or answers without end, from being asked without end.
func (w *Watcher) pause(here context.Context) {
	select {
	case <-time.After(between):
	case <-here.Done():
	}
}

// call makes one call, on the connection that is open or on a new one, and takes its answer. One that discovery
// itself has to answer waits in its queue first.
func (w *Watcher) call(ctx context.Context, address string, l *transport.Conn, whole, queued bool) (*transport.Conn, transport.CloseStatus) {
	w.astray = false
	path, wait := "/v1/servers", time.Duration(0)
	if !whole {
		wait = w.wait
		path = fmt.Sprintf("/v1/servers?since=%d&timeout_ms=%d", w.seq, wait.Milliseconds())
	}
	limit := w.limit
	if queued {
		limit = w.queue
	}
	limited, cancel := context.WithTimeout(ctx, wait+limit)
	defer cancel()
	if l == nil || !l.Reusable() {
		if l != nil {
			l.Close()
		}
		var end transport.CloseStatus
		if l, end = transport.Dial(limited, address, w.limit, w.room); end.Closed() {
			return nil, end
		}
	}
	l.BindContext(limited)
	end := w.take(l, address, path)
	if !l.ReleaseContext() || end.Closed() {
		l.Close()
		l = nil
	}
	if end.Reason == transport.ClosedLocally {
		end = transport.CloseStatus{}
	}
	return l, end
}

func (w *Watcher) take(l *transport.Conn, address, path string) transport.CloseStatus {
	l.Append(http1.FormatRequest("GET", path, address, ""))
	if end := l.Flush(); end.Closed() {
		return end
	}
	var a http1.Response
	var body []byte
	for {
		used, out, err := a.Read(l.Buffered(), body)
		l.Discard(used)
		switch body = out; {
		case err == http1.ErrTooLong:
			return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
		case a.Done && err == nil && a.Status/100 == 5:
			return transport.CloseStatus{Reason: transport.PeerBusy, Flushed: true}
		case err != nil, a.Done && a.Status != 200:
			return transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
		case a.Done:
			seq, whole, hosts, err := ParsePage(body)
			if err != nil {
				return transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
			}
			w.seq, w.astray = seq, !whole && seq < w.seq
			w.Answers.Add(1)
			w.gate.UpdateEndpoints(whole, hosts)
			if a.Close {
				return transport.CloseStatus{Reason: transport.ClosedLocally, Flushed: true}
			}
			return transport.CloseStatus{}
		}
		if end := l.Fill(0); end.Closed() {
			return end
		}
	}
}
