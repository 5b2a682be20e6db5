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
	Requests   atomic.Int64 // requests received
	CacheHits  atomic.Int64 // metadata files answered without asking a mirror
	Served     atomic.Int64 // files served whole
	Refused    atomic.Int64 // requests answered without a file
	Aborted    atomic.Int64 // downloads broken off after their header was sent
	Overloaded atomic.Int64 // requests turned away, as too many waited
	Reports    atomic.Int64 // version reports accepted
	Bytes      atomic.Int64 // bytes of bodies sent
}

// Proxy is the front.
type Proxy struct {
	now             func() time.Time
	log             logging.Func
	repositories    map[string]*Repository
	director        *director.Director
	imageRepository string // the repository that the Director's packages are of
	reportShards    []*reportShard
	maxConnections  int // connections

	mu      sync.Mutex
	limiter *metadatarefresh.ClientLimiter

	Counts Counts
}

// reportShard is a part of the fleet whose reports are taken one at a time.
type reportShard struct {
	mu       sync.Mutex
	verifier *tufverify.ReportVerifier
}

const reportShardCount = 64 // so that the reports of many servers are made durable together

// New makes a front for repositories. At most so many connections are open, and so many requests wait for
// mirrors or are being passed a package.
func New(repos []*Repository, now func() time.Time, log logging.Func, connections, waiting int) *Proxy {
	c := &Proxy{now: now, log: log, repositories: map[string]*Repository{}, maxConnections: connections,
		limiter: metadatarefresh.NewClientLimiter(waiting)}
	for _, r := range repos {
		c.repositories[r.name] = r
		r.counts = &c.Counts
	}
	return c
}

// SetDirector adds a Director: its packages are those of the image repository, keys are its servers' by name.
func (c *Proxy) SetDirector(d *director.Director, image string, floor tufverify.VersionStore, keys map[string]crypto.PublicKey) error {
	if c.repositories[image] == nil {
		return fmt.Errorf("director: no repository %s", image)
	}
	c.director, c.imageRepository = d, image
	for range reportShardCount {
		c.reportShards = append(c.reportShards, &reportShard{verifier: tufverify.NewReportVerifier(floor, keys)})
	}
	return nil
}

// SetKeys replaces the servers' keys.
func (c *Proxy) SetKeys(keys map[string]crypto.PublicKey) {
	for _, s := range c.reportShards {
		s.mu.Lock()
		s.verifier.SetKeys(keys)
		s.mu.Unlock()
	}
}

// RequireAgreement has the targets of one repository passed on only where another agrees with each of them.
func (c *Proxy) RequireAgreement(director, image string) error {
	a, b := c.repositories[director], c.repositories[image]
	if a == nil || b == nil || a == b {
		return fmt.Errorf("agree: %s and %s are not two repositories", director, image)
	}
	a.agreesWith = b
	return nil
}

// Run serves until the context ends, then lets requests under way end within their own limits.
func (c *Proxy) Run(ctx context.Context, listener net.Listener, longest time.Duration) error {
	server := &http.Server{Handler: c, ReadHeaderTimeout: toDuration(metadatarefresh.ClientHeaderTimeout),
		ReadTimeout: toDuration(metadatarefresh.ClientBodyTimeout), IdleTimeout: toDuration(metadatarefresh.ClientIdleTimeout), MaxHeaderBytes: 16 << 10}
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, inner := errgroup.WithContext(base)
	for _, r := range c.repositories {
		group.Go(func() error { return r.run(inner) })
	}
	if c.director != nil {
		group.Go(func() error { return c.director.Run(inner) })
	}
	group.Go(func() error {
		err := server.Serve(netutil.LimitListener(listener, c.maxConnections))
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
	c.Counts.Requests.Add(1)
	path := strings.TrimPrefix(req.URL.EscapedPath(), "/")
	first, rest, _ := strings.Cut(path, "/")
	name, rest, _ := strings.Cut(rest, "/")
	kind, file, _ := strings.Cut(rest, "/")
	switch {
	case first == "status" && name == "" && req.Method == http.MethodGet:
		c.serveStatus(w)
	case first == "director" && kind == "manifest" && file == "" && c.director != nil:
		c.receiveReport(w, req, name)
	case req.Method != http.MethodGet && req.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		c.respond(w, nil, metadatarefresh.Response{Status: 405, Text: "only GET and HEAD here"})
	case first == "r" && kind == "metadata" && c.repositories[name] != nil:
		c.serveMetadata(w, req, c.repositories[name], file)
	case first == "r" && kind == "targets" && c.repositories[name] != nil:
		c.serveTarget(w, req, c.repositories[name], req.URL.Path[len("/r/"+name+"/targets/"):])
	case first == "director" && kind == "metadata" && c.director != nil:
		c.serveDirectorMetadata(w, req, name, file)
	case first == "explain" && c.director != nil && kind == "":
		c.serveExplanation(w, name)
	default:
		c.respond(w, nil, metadatarefresh.Response{Status: 404, Text: "no such path"})
	}
}

// respond gives the one final answer of a request that gets no file.
func (c *Proxy) respond(w http.ResponseWriter, r *Repository, a metadatarefresh.Response) {
	c.Counts.Refused.Add(1)
	h := w.Header()
	for _, name := range []string{"Etag", "Content-Range", "Content-Length", "Accept-Ranges"} {
		h.Del(name)
	}
	h.Set("Cache-Control", "no-store")
	if a.RetryLater {
		wait := time.Second
		if r != nil {
			wait = r.retryAfter()
		}
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	http.Error(w, a.Text, a.Status)
}

// acquire lets a request in that may wait, or answers it at once.
func (c *Proxy) acquire(w http.ResponseWriter, req *http.Request, r *Repository) (leave func(), ok bool) {
	client, _, _ := net.SplitHostPort(req.RemoteAddr)
	c.mu.Lock()
	ok = c.limiter.Acquire(client)
	c.mu.Unlock()
	if !ok {
		c.Counts.Overloaded.Add(1)
		c.respond(w, r, metadatarefresh.Response{Status: 503, Text: "too many wait", RetryLater: true})
		return nil, false
	}
	return func() {
		c.mu.Lock()
		c.limiter.Release(client)
		c.mu.Unlock()
	}, true
}

// serveMetadata answers for one metadata file of a repository.
func (c *Proxy) serveMetadata(w http.ResponseWriter, req *http.Request, r *Repository, name string) {
	f, ok := tufverify.ParseFile(name)
	if !ok {
		c.respond(w, r, metadatarefresh.Response{Status: 404, Text: "no such file"})
		return
	}
	data, refusal := r.cached(f)
	if data == nil {
		leave, ok := c.acquire(w, req, r)
		if !ok {
			return
		}
		data, refusal = r.currentFile(f)
		leave()
	} else {
		c.Counts.CacheHits.Add(1)
	}
	if data != nil && r.agreesWith != nil && f.Kind() == "targets" {
		if refusal = c.checkAgreement(r); refusal != nil {
			data = nil
		}
	}
	if data == nil {
		c.respond(w, r, metadatarefresh.RefusalResponse(refusal))
		return
	}
	c.serveFile(w, req, data)
}

// serveFile gives a file that is held, with its validator.
func (c *Proxy) serveFile(w http.ResponseWriter, req *http.Request, data []byte) {
	sum := sha256.Sum256(data)
	h := w.Header()
	h.Set("Etag", fmt.Sprintf(`"%x"`, sum[:16]))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-cache") // held by a cache on the way it would be passed on past its end
	c.Counts.Served.Add(1)
	c.Counts.Bytes.Add(int64(len(data)))
	http.ServeContent(w, req, "", time.Time{}, bytes.NewReader(data))
}

// checkAgreement holds a carried Director's targets against its Image repository.
func (c *Proxy) checkAgreement(r *Repository) *tufverify.RefusalError {
	all, refusal := r.assigned()
	if refusal != nil {
		return refusal
	}
	for _, t := range all {
		is, refusal := r.agreesWith.Find(t.Path)
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

// serveDirectorMetadata answers for a metadata file of the Director for one server.
func (c *Proxy) serveDirectorMetadata(w http.ResponseWriter, req *http.Request, server, name string) {
	f, ok := tufverify.ParseFile(name)
	if !ok {
		c.respond(w, nil, metadatarefresh.Response{Status: 404, Text: "no such file"})
		return
	}
	data, err := c.director.File(server, f)
	switch {
	case errors.Is(err, director.ErrUnknownServer):
		c.respond(w, nil, metadatarefresh.Response{Status: 404, Text: "no such server"})
	case errors.Is(err, director.ErrUnknownFile):
		c.respond(w, nil, metadatarefresh.Response{Status: 404, Text: "superseded or not there: begin again with timestamp.json"})
	case err != nil:
		c.log(slog.LevelWarn, "director metadata unavailable", slog.String("server", server), slog.String("error", err.Error()))
		c.respond(w, c.repositories[c.imageRepository], metadatarefresh.Response{Status: 503, Text: "not to be had now", RetryLater: true})
	default:
		c.serveFile(w, req, data)
	}
}

// receiveReport takes a version report. A repeat of it gets the same answer, and nothing is done twice.
func (c *Proxy) receiveReport(w http.ResponseWriter, req *http.Request, server string) {
	if req.Method != http.MethodPost {
		w.Header().Set("Allow", "POST")
		c.respond(w, nil, metadatarefresh.Response{Status: 405, Text: "only POST here"})
		return
	}
	leave, ok := c.acquire(w, req, nil)
	if !ok {
		return
	}
	defer leave()
	data, err := io.ReadAll(io.LimitReader(req.Body, tufverify.MaxReportSize+1))
	if err != nil {
		c.respond(w, nil, metadatarefresh.Response{Status: 400, Text: "the report did not come whole"})
		return
	}
	h := fnv.New32a()
	h.Write([]byte(server))
	s := c.reportShards[h.Sum32()%reportShardCount]
	s.mu.Lock()
	r, refusal := s.verifier.VerifyReport(server, data)
	s.mu.Unlock()
	a := metadatarefresh.ReportResponse(refusal)
	if a.Status != 200 {
		c.log(slog.LevelWarn, "version report refused", refusal.LogFields()...)
		c.respond(w, nil, a)
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

func (c *Proxy) serveExplanation(w http.ResponseWriter, server string) {
	lines, err := c.director.Explain(server)
	if err != nil {
		c.respond(w, nil, metadatarefresh.Response{Status: 404, Text: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintln(w, strings.Join(lines, "\n"))
}

// Status is what the front tells of itself.
type Status struct {
	Requests     int64 `json:"Asked"`   // requests received
	CacheHits    int64 `json:"Held"`    // metadata files answered without asking a mirror
	Served       int64 `json:"Given"`   // files served whole
	Refused      int64 `json:"Refused"` // requests answered without a file
	Aborted      int64 `json:"Spoilt"`  // downloads broken off after their header was sent
	Overloaded   int64 `json:"Crowded"` // requests turned away, as too many waited
	Reports      int64 `json:"Reports"` // version reports accepted
	Bytes        int64 `json:"Bytes"`   // bytes of bodies sent
	InFlight     int   `json:"In"`      // requests that wait for mirrors or are being passed a package
	Repositories []RepoStatus

	Servers    int   `json:"Fleet"`  // servers listed
	Assigned   int   `json:"Told"`   // servers assigned the newest version
	MayInstall int   `json:"MayAct"` // servers that may install the newest version
	Issued     int64 `json:"Issued"` // versions of servers' metadata issued
}

// Status gives the counters.
func (c *Proxy) Status() Status {
	c.mu.Lock()
	in := c.limiter.InUse()
	c.mu.Unlock()
	n := &c.Counts
	s := Status{Requests: n.Requests.Load(), CacheHits: n.CacheHits.Load(), Served: n.Served.Load(), Refused: n.Refused.Load(),
		Aborted: n.Aborted.Load(), Overloaded: n.Overloaded.Load(), Reports: n.Reports.Load(), Bytes: n.Bytes.Load(), InFlight: in}
	for _, name := range slices.Sorted(maps.Keys(c.repositories)) {
		s.Repositories = append(s.Repositories, c.repositories[name].status())
	}
	if c.director != nil {
		s.Servers, s.Assigned, s.MayInstall = c.director.Count()
		s.Issued = c.director.IssuedCount()
	}
	return s
}

func (c *Proxy) serveStatus(w http.ResponseWriter) {
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

// serveTarget answers for a package.
func (c *Proxy) serveTarget(w http.ResponseWriter, req *http.Request, r *Repository, path string) {
	leave, ok := c.acquire(w, req, r)
	if !ok {
		return
	}
	defer leave()
	t, refusal := r.Stored(path)
	if refusal != nil {
		c.respond(w, r, metadatarefresh.RefusalResponse(refusal))
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
	out := &rangeWriter{response: w, control: http.NewResponseController(w), first: from, last: to, offset: start, status: 200,
		length: to - from + 1, counts: &c.Counts}
	if !whole {
		out.status = http.StatusPartialContent
		out.contentRange = fmt.Sprintf("bytes %d-%d/%d", from, to, t.Length)
	}
	if req.Method == http.MethodHead || out.length <= 0 {
		out.sendHeader()
		return
	}
	switch err := r.streamTarget(req.Context(), t, body, out); {
	case err == nil:
		c.Counts.Served.Add(1)
	case !out.headerSent:
		c.respond(w, r, metadatarefresh.Response{Status: 503, Text: "no mirror has it now", RetryLater: true})
	default: // the client can tell, as fewer bytes come than it was told
		c.Counts.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// rangeWriter is where a package goes: only the bytes that were asked for.
type rangeWriter struct {
	response     http.ResponseWriter
	control      *http.ResponseController
	first        int64 // first byte asked for
	last         int64 // last byte asked for
	offset       int64 // of the next byte that comes
	length       int64
	status       int
	contentRange string
	headerSent   bool
	disconnected bool
	counts       *Counts
}

func (c *rangeWriter) sendHeader() {
	if c.headerSent {
		return
	}
	c.headerSent = true
	h := c.response.Header()
	h.Set("Content-Length", strconv.FormatInt(max(0, c.length), 10))
	if c.contentRange != "" {
		h.Set("Content-Range", c.contentRange)
	}
	c.response.WriteHeader(c.status)
}

// write writes what was verified, within the patience for one stretch.
func (c *rangeWriter) write(p []byte) error {
	first, last := max(c.first-c.offset, 0), min(c.last+1-c.offset, int64(len(p)))
	c.offset += int64(len(p))
	if first >= last {
		return nil
	}
	c.sendHeader()
	_ = c.control.SetWriteDeadline(time.Now().Add(toDuration(metadatarefresh.ClientWriteTimeout)))
	n, err := c.response.Write(p[first:last])
	c.counts.Bytes.Add(int64(n))
	if err != nil {
		c.disconnected = true
		return errClientGone
	}
	return nil
}

func (c *rangeWriter) done() bool { return c.offset > c.last }

var errClientGone = errors.New("the client has gone")

func toDuration(t tufverify.Tick) time.Duration { return time.Duration(t) * (100 * time.Microsecond) }
