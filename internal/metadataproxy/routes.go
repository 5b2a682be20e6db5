package metadataproxy

import (
	"bytes"
	"crypto/sha256"
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
	"time"

	"silvercove/internal/director"
	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// ServeHTTP is the path of one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	p.Counts.Requests.Add(1)
	path := strings.TrimPrefix(req.URL.EscapedPath(), "/")
	first, rest, _ := strings.Cut(path, "/")
	name, rest, _ := strings.Cut(rest, "/")
	kind, file, _ := strings.Cut(rest, "/")
	switch {
	case first == "status" && name == "" && req.Method == http.MethodGet:
		p.serveStatus(w)
	case first == "director" && kind == "manifest" && file == "" && p.director != nil:
		p.receiveReport(w, req, name)
	case req.Method != http.MethodGet && req.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		p.respond(w, nil, metadatarefresh.Response{Status: 405, Text: "only GET and HEAD here"})
	case first == "r" && kind == "metadata" && p.repositories[name] != nil:
		p.serveMetadata(w, req, p.repositories[name], file)
	case first == "r" && kind == "targets" && p.repositories[name] != nil:
		p.serveTarget(w, req, p.repositories[name], req.URL.Path[len("/r/"+name+"/targets/"):])
	case first == "director" && kind == "metadata" && p.director != nil:
		p.serveDirectorMetadata(w, req, name, file)
	case first == "explain" && p.director != nil && kind == "":
		p.serveExplanation(w, name)
	default:
		p.respond(w, nil, metadatarefresh.Response{Status: 404, Text: "no such path"})
	}
}

// respond gives the one final answer of a request that gets no file.
func (p *Proxy) respond(w http.ResponseWriter, r *Repository, a metadatarefresh.Response) {
	p.Counts.Refused.Add(1)
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
func (p *Proxy) acquire(w http.ResponseWriter, req *http.Request, r *Repository) (leave func(), ok bool) {
	client, _, _ := net.SplitHostPort(req.RemoteAddr)
	p.mu.Lock()
	ok = p.limiter.Acquire(client)
	p.mu.Unlock()
	if !ok {
		p.Counts.Overloaded.Add(1)
		p.respond(w, r, metadatarefresh.Response{Status: 503, Text: "too many wait", RetryLater: true})
		return nil, false
	}
	return func() {
		p.mu.Lock()
		p.limiter.Release(client)
		p.mu.Unlock()
	}, true
}

// serveMetadata answers for one metadata file of a repository.
func (p *Proxy) serveMetadata(w http.ResponseWriter, req *http.Request, r *Repository, name string) {
	f, ok := tufverify.ParseFile(name)
	if !ok {
		p.respond(w, r, metadatarefresh.Response{Status: 404, Text: "no such file"})
		return
	}
	data, refusal := r.cached(f)
	if data == nil {
		leave, ok := p.acquire(w, req, r)
		if !ok {
			return
		}
		data, refusal = r.currentFile(f)
		leave()
	} else {
		p.Counts.CacheHits.Add(1)
	}
	if data != nil && r.agreesWith != nil && f.Kind() == "targets" {
		if refusal = p.checkAgreement(r); refusal != nil {
			data = nil
		}
	}
	if data == nil {
		p.respond(w, r, metadatarefresh.RefusalResponse(refusal))
		return
	}
	p.serveFile(w, req, data)
}

// serveFile gives a file that is held, with its validator.
func (p *Proxy) serveFile(w http.ResponseWriter, req *http.Request, data []byte) {
	sum := sha256.Sum256(data)
	h := w.Header()
	h.Set("Etag", fmt.Sprintf(`"%x"`, sum[:16]))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-cache") // held by a cache on the way it would be passed on past its end
	p.Counts.Served.Add(1)
	p.Counts.Bytes.Add(int64(len(data)))
	http.ServeContent(w, req, "", time.Time{}, bytes.NewReader(data))
}

// checkAgreement holds a carried Director's targets against its Image repository.
func (p *Proxy) checkAgreement(r *Repository) *tufverify.RefusalError {
	all, refusal := r.assigned()
	if refusal != nil {
		return refusal
	}
	for _, t := range all {
		is, refusal := r.agreesWith.Find(t.Path)
		if refusal != nil && refusal.Reason == tufverify.ReasonUnnamed {
			refusal = &tufverify.RefusalError{Reason: tufverify.ReasonDisagreement, Repository: r.name, Role: t.Path, Text: "the other does not know it"}
			p.logDisagreement(refusal)
		}
		if refusal != nil {
			return refusal
		}
		for _, kind := range slices.Sorted(maps.Values(t.Custom.ECUs)) {
			if refusal := r.compare(t, is, kind); refusal != nil {
				p.logDisagreement(refusal)
				return refusal
			}
		}
		if refusal := r.compare(t, is, ""); len(t.Custom.ECUs) == 0 && refusal != nil {
			p.logDisagreement(refusal)
			return refusal
		}
	}
	return nil
}

func (p *Proxy) logDisagreement(refusal *tufverify.RefusalError) {
	p.log(slog.LevelWarn, "director and image repository disagree", refusal.LogFields()...)
}

// serveDirectorMetadata answers for a metadata file of the Director for one server.
func (p *Proxy) serveDirectorMetadata(w http.ResponseWriter, req *http.Request, server, name string) {
	f, ok := tufverify.ParseFile(name)
	if !ok {
		p.respond(w, nil, metadatarefresh.Response{Status: 404, Text: "no such file"})
		return
	}
	data, err := p.director.File(server, f)
	switch {
	case errors.Is(err, director.ErrUnknownServer):
		p.respond(w, nil, metadatarefresh.Response{Status: 404, Text: "no such server"})
	case errors.Is(err, director.ErrUnknownFile):
		p.respond(w, nil, metadatarefresh.Response{Status: 404, Text: "superseded or not there: begin again with timestamp.json"})
	case err != nil:
		p.log(slog.LevelWarn, "director metadata unavailable", slog.String("server", server), slog.String("error", err.Error()))
		p.respond(w, p.repositories[p.imageRepository], metadatarefresh.Response{Status: 503, Text: "not to be had now", RetryLater: true})
	default:
		p.serveFile(w, req, data)
	}
}

// receiveReport takes a version report. A repeat of it gets the same answer, and nothing is done twice.
func (p *Proxy) receiveReport(w http.ResponseWriter, req *http.Request, server string) {
	if req.Method != http.MethodPost {
		w.Header().Set("Allow", "POST")
		p.respond(w, nil, metadatarefresh.Response{Status: 405, Text: "only POST here"})
		return
	}
	leave, ok := p.acquire(w, req, nil)
	if !ok {
		return
	}
	defer leave()
	data, err := io.ReadAll(io.LimitReader(req.Body, tufverify.MaxReportSize+1))
	if err != nil {
		p.respond(w, nil, metadatarefresh.Response{Status: 400, Text: "the report did not come whole"})
		return
	}
	h := fnv.New32a()
	h.Write([]byte(server))
	s := p.reportShards[h.Sum32()%reportShardCount]
	s.mu.Lock()
	r, refusal := s.verifier.VerifyReport(server, data)
	s.mu.Unlock()
	a := metadatarefresh.ReportResponse(refusal)
	if a.Status != 200 {
		p.log(slog.LevelWarn, "version report refused", refusal.LogFields()...)
		p.respond(w, nil, a)
		return
	}
	if r != nil {
		p.Counts.Reports.Add(1)
		if err := p.director.OnReport(r); err != nil {
			p.log(slog.LevelWarn, "version report could not be applied", slog.String("server", server), slog.String("error", err.Error()))
		}
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintln(w, a.Text)
}

func (p *Proxy) serveExplanation(w http.ResponseWriter, server string) {
	lines, err := p.director.Explain(server)
	if err != nil {
		p.respond(w, nil, metadatarefresh.Response{Status: 404, Text: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintln(w, strings.Join(lines, "\n"))
}
