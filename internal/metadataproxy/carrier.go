// Package metadataproxy is the metadata front: servers ask it over HTTP/1.1 for the metadata and packages of
// repositories, and for what a Director tells them; it asks the repositories' mirrors. Each repository's
// mirrors are the units of a gate of its own. What may be believed and passed on is decided by package trust,
// when mirrors are asked and what a client is told by package exchange, which mirror by the gate.
//
// Nothing that trust refuses is ever passed on: a client gets what is current now with status 200, or
// one other final answer at once.
package metadataproxy

import (
	"bytes"
	"context"
	"crypto"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"silvercove/internal/director"
	"silvercove/internal/logging"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// Counts are what went through the front since the start.
type Counts struct {
	Asked, Held, Given, Refused, Spoilt, Crowded, Reports atomic.Int64
	Bytes                                                 atomic.Int64
}

// Proxy is the front.
type Proxy struct {
	now      func() time.Time
	log      logging.Func
	repos    map[string]*Repository
	director *director.Director
	image    string // the repository that the Director's packages are of
	shards   []*shard
	most     int // connections

	mu    sync.Mutex
	doors *metadatarefresh.ClientLimiter

	Counts Counts
}

// shard is a part of the fleet whose reports are taken one at a time.
type shard struct {
	mu    sync.Mutex
	fleet *tufverify.ReportVerifier
}

const shards = 64 // so that the reports of many servers are made durable together

// New makes a front for repositories. At most so many connections are open, and so many requests wait for
// mirrors or are being passed a package.
func New(repos []*Repository, now func() time.Time, log logging.Func, connections, waiting int) *Proxy {
	c := &Proxy{now: now, log: log, repos: map[string]*Repository{}, most: connections,
		doors: metadatarefresh.NewClientLimiter(waiting)}
	for _, r := range repos {
		c.repos[r.name] = r
		r.counts = &c.Counts
	}
	return c
}

// SetDirector adds a Director: its packages are those of the image repository, keys are its servers' by name.
func (c *Proxy) SetDirector(d *director.Director, image string, floor tufverify.VersionStore, keys map[string]crypto.PublicKey) error {
	if c.repos[image] == nil {
		return fmt.Errorf("director: no repository %s", image)
	}
	c.director, c.image = d, image
	for range shards {
		c.shards = append(c.shards, &shard{fleet: tufverify.NewReportVerifier(floor, keys)})
	}
	return nil
}

// SetKeys replaces the servers' keys.
func (c *Proxy) SetKeys(keys map[string]crypto.PublicKey) {
	for _, s := range c.shards {
		s.mu.Lock()
		s.fleet.SetKeys(keys)
		s.mu.Unlock()
	}
}

// RequireAgreement has the targets of one repository passed on only where another agrees with each of them.
func (c *Proxy) RequireAgreement(director, image string) error {
	a, b := c.repos[director], c.repos[image]
	if a == nil || b == nil || a == b {
		return fmt.Errorf("agree: %s and %s are not two repositories", director, image)
	}
	a.agrees = b
	return nil
}

// Run serves until the context ends, then lets requests under way end within their own limits.
func (c *Proxy) Run(ctx context.Context, listener net.Listener, longest time.Duration) error {
	server := &http.Server{Handler: c, ReadHeaderTimeout: spanOf(metadatarefresh.ClientHeaderTimeout),
		ReadTimeout: spanOf(metadatarefresh.ClientBodyTimeout), IdleTimeout: spanOf(metadatarefresh.ClientIdleTimeout), MaxHeaderBytes: 16 << 10}
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, inner := errgroup.WithContext(base)
	for _, r := range c.repos {
		group.Go(func() error { return r.run(inner) })
	}
	if c.director != nil {
		group.Go(func() error { return c.director.Run(inner) })
	}
	group.Go(func() error {
		err := server.Serve(netutil.LimitListener(listener, c.most))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		last, done := context.WithTimeout(context.Background(), longest)
		defer done()
		if server.Shutdown(last) != nil {
			_ = server.Close()
		}
		cancel() // mirrors are needed as long as there are requests
		return nil
	})
	return group.Wait()
}

// ServeHTTP is the path of one request.
func (c *Proxy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c.Counts.Asked.Add(1)
	path := strings.TrimPrefix(req.URL.EscapedPath(), "/")
	first, rest, _ := strings.Cut(path, "/")
	name, rest, _ := strings.Cut(rest, "/")
	kind, file, _ := strings.Cut(rest, "/")
	switch {
	case first == "status" && name == "" && req.Method == http.MethodGet:
		c.status(w)
	case first == "director" && kind == "manifest" && file == "" && c.director != nil:
		c.report(w, req, name)
	case req.Method != http.MethodGet && req.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		c.answer(w, nil, metadatarefresh.Response{Status: 405, Text: "only GET and HEAD here"})
	case first == "r" && kind == "metadata" && c.repos[name] != nil:
		c.metadata(w, req, c.repos[name], file)
	case first == "r" && kind == "targets" && c.repos[name] != nil:
		c.target(w, req, c.repos[name], req.URL.Path[len("/r/"+name+"/targets/"):])
	case first == "director" && kind == "metadata" && c.director != nil:
		c.directed(w, req, name, file)
	case first == "explain" && c.director != nil && kind == "":
		c.explain(w, name)
	default:
		c.answer(w, nil, metadatarefresh.Response{Status: 404, Text: "no such path"})
	}
}

// answer gives the one final answer of a request that gets no file.
func (c *Proxy) answer(w http.ResponseWriter, r *Repository, a metadatarefresh.Response) {
	c.Counts.Refused.Add(1)
	h := w.Header()
	for _, name := range []string{"Etag", "Content-Range", "Content-Length", "Accept-Ranges"} {
		h.Del(name)
	}
	h.Set("Cache-Control", "no-store")
	if a.RetryLater {
		wait := time.Second
		if r != nil {
			wait = r.comeBack()
		}
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	http.Error(w, a.Text, a.Status)
}

// enter lets a request in that may wait, or answers it at once.
func (c *Proxy) enter(w http.ResponseWriter, req *http.Request, r *Repository) (leave func(), ok bool) {
	client, _, _ := net.SplitHostPort(req.RemoteAddr)
	c.mu.Lock()
	ok = c.doors.Acquire(client)
	c.mu.Unlock()
	if !ok {
		c.Counts.Crowded.Add(1)
		c.answer(w, r, metadatarefresh.Response{Status: 503, Text: "too many wait", RetryLater: true})
		return nil, false
	}
	return func() {
		c.mu.Lock()
		c.doors.Release(client)
		c.mu.Unlock()
	}, true
}

// metadata answers for one metadata file of a repository.
func (c *Proxy) metadata(w http.ResponseWriter, req *http.Request, r *Repository, name string) {
	f, ok := tufverify.ParseFile(name)
	if !ok {
		c.answer(w, r, metadatarefresh.Response{Status: 404, Text: "no such file"})
		return
	}
	data, refusal := r.held(f)
	if data == nil {
		leave, ok := c.enter(w, req, r)
		if !ok {
			return
		}
		data, refusal = r.have(f)
		leave()
	} else {
		c.Counts.Held.Add(1)
	}
	if data != nil && r.agrees != nil && f.Kind() == "targets" {
		if refusal = c.agreed(r); refusal != nil {
			data = nil
		}
	}
	if data == nil {
		c.answer(w, r, metadatarefresh.RefusalResponse(refusal))
		return
	}
	c.file(w, req, data)
}

// file gives a file that is held, with its validator.
func (c *Proxy) file(w http.ResponseWriter, req *http.Request, data []byte) {
	sum := sha256.Sum256(data)
	h := w.Header()
	h.Set("Etag", fmt.Sprintf(`"%x"`, sum[:16]))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-cache") // held by a cache on the way it would be passed on past its end
	c.Counts.Given.Add(1)
	c.Counts.Bytes.Add(int64(len(data)))
	http.ServeContent(w, req, "", time.Time{}, bytes.NewReader(data))
}

// agreed holds a carried Director's targets against its Image repository.
func (c *Proxy) agreed(r *Repository) *tufverify.RefusalError {
	all, refusal := r.assigned()
	if refusal != nil {
		return refusal
	}
	for _, t := range all {
		is, refusal := r.agrees.Find(t.Path)
		if refusal != nil && refusal.Reason == tufverify.ReasonUnnamed {
			refusal = &tufverify.RefusalError{Reason: tufverify.ReasonDisagreement, Repository: r.name, Role: t.Path, Text: "the other does not know it"}
			c.logDisagreement(refusal)
		}
		if refusal != nil {
			return refusal
		}
		for _, kind := range slices.Sorted(maps.Values(t.Custom.ECUs)) {
			if refusal := r.compare(t, is, kind); refusal != nil {
				c.logDisagreement(refusal)
				return refusal
			}
		}
		if refusal := r.compare(t, is, ""); len(t.Custom.ECUs) == 0 && refusal != nil {
			c.logDisagreement(refusal)
			return refusal
		}
	}
	return nil
}

func (c *Proxy) logDisagreement(refusal *tufverify.RefusalError) {
	c.log(slog.LevelWarn, "director and image repository disagree", refusal.LogFields()...)
}

// directed answers for a metadata file of the Director for one server.
func (c *Proxy) directed(w http.ResponseWriter, req *http.Request, server, name string) {
	f, ok := tufverify.ParseFile(name)
	if !ok {
		c.answer(w, nil, metadatarefresh.Response{Status: 404, Text: "no such file"})
		return
	}
	data, err := c.director.File(server, f)
	switch {
	case errors.Is(err, director.ErrUnknownServer):
		c.answer(w, nil, metadatarefresh.Response{Status: 404, Text: "no such server"})
	case errors.Is(err, director.ErrUnknownFile):
		c.answer(w, nil, metadatarefresh.Response{Status: 404, Text: "superseded or not there: begin again with timestamp.json"})
	case err != nil:
		c.log(slog.LevelWarn, "director metadata unavailable", slog.String("server", server), slog.String("error", err.Error()))
		c.answer(w, c.repos[c.image], metadatarefresh.Response{Status: 503, Text: "not to be had now", RetryLater: true})
	default:
		c.file(w, req, data)
	}
}

// report takes a version report. A repeat of it gets the same answer, and nothing is done twice.
func (c *Proxy) report(w http.ResponseWriter, req *http.Request, server string) {
	if req.Method != http.MethodPost {
		w.Header().Set("Allow", "POST")
		c.answer(w, nil, metadatarefresh.Response{Status: 405, Text: "only POST here"})
		return
	}
	leave, ok := c.enter(w, req, nil)
	if !ok {
		return
	}
	defer leave()
	data, err := io.ReadAll(io.LimitReader(req.Body, tufverify.MaxReportSize+1))
	if err != nil {
		c.answer(w, nil, metadatarefresh.Response{Status: 400, Text: "the report did not come whole"})
		return
	}
	h := fnv.New32a()
	h.Write([]byte(server))
	s := c.shards[h.Sum32()%shards]
	s.mu.Lock()
	r, refusal := s.fleet.VerifyReport(server, data)
	s.mu.Unlock()
	a := metadatarefresh.ReportResponse(refusal)
	if a.Status != 200 {
		c.log(slog.LevelWarn, "version report refused", refusal.LogFields()...)
		c.answer(w, nil, a)
		return
	}
	if r != nil {
		c.Counts.Reports.Add(1)
		if err := c.director.OnReport(r); err != nil {
			c.log(slog.LevelWarn, "version report could not be applied", slog.String("server", server), slog.String("error", err.Error()))
		}
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintln(w, a.Text)
}

func (c *Proxy) explain(w http.ResponseWriter, server string) {
	lines, err := c.director.Explain(server)
	if err != nil {
		c.answer(w, nil, metadatarefresh.Response{Status: 404, Text: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintln(w, strings.Join(lines, "\n"))
}

// Status is what the front tells of itself.
type Status struct {
	Asked, Held, Given, Refused, Spoilt, Crowded, Reports, Bytes int64
	In                                                           int
	Repositories                                                 []RepoStatus
	Fleet, Told, MayAct                                          int
	Issued                                                       int64
}

// Status gives the counters.
func (c *Proxy) Status() Status {
	c.mu.Lock()
	in := c.doors.InUse()
	c.mu.Unlock()
	n := &c.Counts
	s := Status{Asked: n.Asked.Load(), Held: n.Held.Load(), Given: n.Given.Load(), Refused: n.Refused.Load(),
		Spoilt: n.Spoilt.Load(), Crowded: n.Crowded.Load(), Reports: n.Reports.Load(), Bytes: n.Bytes.Load(), In: in}
	for _, name := range slices.Sorted(maps.Keys(c.repos)) {
		s.Repositories = append(s.Repositories, c.repos[name].status())
	}
	if c.director != nil {
		s.Fleet, s.Told, s.MayAct = c.director.Count()
		s.Issued = c.director.IssuedCount()
	}
	return s
}

func (c *Proxy) status(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(c.Status())
}

// span turns a Range header into a first and a last byte; whole: it names none that can be given alone.
func span(header string, length int64) (from, to int64, whole, fits bool) {
	list, ok := strings.CutPrefix(header, "bytes=")
	a, b, cut := strings.Cut(strings.TrimSpace(list), "-")
	if !ok || !cut || strings.Contains(list, ",") {
		return 0, length - 1, true, true
	}
	if a == "" { // the last bytes
		n, err := strconv.ParseInt(b, 10, 62)
		if err != nil || n < 0 {
			return 0, length - 1, true, true
		}
		return max(0, length-n), length - 1, false, n > 0 && length > 0
	}
	from, err := strconv.ParseInt(a, 10, 62)
	to = length - 1
	if err == nil && b != "" {
		if to, err = strconv.ParseInt(b, 10, 62); err == nil && to < from {
			err = strconv.ErrRange
		}
	}
	if err != nil || from < 0 {
		return 0, length - 1, true, true
	}
	return from, min(to, length-1), false, from < length
}

// target answers for a package.
func (c *Proxy) target(w http.ResponseWriter, req *http.Request, r *Repository, path string) {
	leave, ok := c.enter(w, req, r)
	if !ok {
		return
	}
	defer leave()
	t, refusal := r.Stored(path)
	if refusal != nil {
		c.answer(w, r, metadatarefresh.RefusalResponse(refusal))
		return
	}
	h, tag := w.Header(), fmt.Sprintf(`"%x"`, t.Sum)
	h.Set("Etag", tag)
	h.Set("Accept-Ranges", "bytes")
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Cache-Control", "no-cache")
	for _, has := range strings.Split(req.Header.Get("If-None-Match"), ",") {
		if strings.TrimSpace(has) == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	from, to, whole, fits := int64(0), t.Length-1, true, true
	if in := req.Header.Get("If-Range"); in == "" || in == tag {
		if ranged := req.Header.Get("Range"); ranged != "" {
			from, to, whole, fits = span(ranged, t.Length)
		}
	}
	body := r.open(t)
	if !fits {
		h.Set("Content-Range", fmt.Sprintf("bytes */%d", t.Length))
		c.Counts.Refused.Add(1)
		http.Error(w, "no such bytes", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	start := int64(0)
	if !whole {
		if start, ok = body.StartAt(from); !ok { // only the whole can be verified: give it
			start, from, to, whole = 0, 0, t.Length-1, true
		}
	}
	out := &client{w: w, control: http.NewResponseController(w), from: from, to: to, at: start, status: 200,
		length: to - from + 1, counts: &c.Counts}
	if !whole {
		out.status = http.StatusPartialContent
		out.ranged = fmt.Sprintf("bytes %d-%d/%d", from, to, t.Length)
	}
	if req.Method == http.MethodHead || out.length <= 0 {
		out.begin()
		return
	}
	switch err := r.bring(req.Context(), t, body, out); {
	case err == nil:
		c.Counts.Given.Add(1)
	case !out.begun:
		c.answer(w, r, metadatarefresh.Response{Status: 503, Text: "no mirror has it now", RetryLater: true})
	default: // the client can tell, as fewer bytes come than it was told
		c.Counts.Spoilt.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// client is where a package goes: only the bytes that were asked for.
type client struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	from, to int64 // first and last byte asked for
	at       int64 // of the next byte that comes
	length   int64
	status   int
	ranged   string
	begun    bool
	gone     bool
	counts   *Counts
}

func (c *client) begin() {
	if c.begun {
		return
	}
	c.begun = true
	h := c.w.Header()
	h.Set("Content-Length", strconv.FormatInt(max(0, c.length), 10))
	if c.ranged != "" {
		h.Set("Content-Range", c.ranged)
	}
	c.w.WriteHeader(c.status)
}

// pass writes what was verified, within the patience for one stretch.
func (c *client) pass(p []byte) error {
	first, last := max(c.from-c.at, 0), min(c.to+1-c.at, int64(len(p)))
	c.at += int64(len(p))
	if first >= last {
		return nil
	}
	c.begin()
	_ = c.control.SetWriteDeadline(time.Now().Add(spanOf(metadatarefresh.ClientWriteTimeout)))
	n, err := c.w.Write(p[first:last])
	c.counts.Bytes.Add(int64(n))
	if err != nil {
		c.gone = true
		return errGone
	}
	return nil
}

func (c *client) done() bool { return c.at > c.to }

var errGone = errors.New("the client has gone")

func spanOf(t tufverify.Tick) time.Duration { return time.Duration(t) * (100 * time.Microsecond) }
