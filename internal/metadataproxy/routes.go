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

// defaultRetryAfter is the Retry-After time of a response that concerns no repository.
const defaultRetryAfter = time.Second

// ServeHTTP handles one request. The paths are /r/REPOSITORY/metadata/FILE, /r/REPOSITORY/targets/PATH,
// /director/SERVER/metadata/FILE, /director/SERVER/manifest (POST), /explain/SERVER and /status.
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
		p.respond(w, nil, metadatarefresh.Response{Status: http.StatusMethodNotAllowed, Text: "only GET and HEAD here"})
	case first == "r" && kind == "metadata" && p.repositories[name] != nil:
		p.serveMetadata(w, req, p.repositories[name], file)
	case first == "r" && kind == "targets" && p.repositories[name] != nil:
		p.serveTarget(w, req, p.repositories[name], req.URL.Path[len("/r/"+name+"/targets/"):])
	case first == "director" && kind == "metadata" && p.director != nil:
		p.serveDirectorMetadata(w, req, name, file)
	case first == "explain" && p.director != nil && kind == "":
		p.serveExplanation(w, name)
	default:
		p.respond(w, nil, metadatarefresh.Response{Status: http.StatusNotFound, Text: "no such path"})
	}
}

// respond sends the final response to a request that gets no file. If the response has a Retry-After header, its time
// comes from r.retryAfter, or is defaultRetryAfter if r is nil.
func (p *Proxy) respond(w http.ResponseWriter, r *Repository, answer metadatarefresh.Response) {
	p.Counts.Refused.Add(1)
	header := w.Header()
	for _, name := range []string{"Etag", "Content-Range", "Content-Length", "Accept-Ranges"} {
		header.Del(name)
	}
	header.Set("Cache-Control", "no-store")
	if answer.RetryLater {
		wait := defaultRetryAfter
		if r != nil {
			wait = r.retryAfter()
		}
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		header.Set("Retry-After-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	http.Error(w, answer.Text, answer.Status)
}

// acquire admits a request that may wait for mirrors. The caller must call release at the end of the request. If too
// many requests are admitted already, acquire sends a response with status 503 and ok is false.
func (p *Proxy) acquire(w http.ResponseWriter, req *http.Request, r *Repository) (release func(), ok bool) {
	client, _, _ := net.SplitHostPort(req.RemoteAddr)
	p.mu.Lock()
	ok = p.limiter.Acquire(client)
	p.mu.Unlock()
	if !ok {
		p.Counts.Overloaded.Add(1)
		p.respond(w, r, metadatarefresh.Response{Status: http.StatusServiceUnavailable, Text: "too many wait", RetryLater: true})
		return nil, false
	}
	return func() {
		p.mu.Lock()
		p.limiter.Release(client)
		p.mu.Unlock()
	}, true
}

// serveMetadata serves one metadata file of a repository. It asks the mirrors if the file cannot be served from the metadata
// that are held.
func (p *Proxy) serveMetadata(w http.ResponseWriter, req *http.Request, r *Repository, name string) {
	f, ok := tufverify.ParseFile(name)
	if !ok {
		p.respond(w, r, metadatarefresh.Response{Status: http.StatusNotFound, Text: "no such file"})
		return
	}
	data, refusal := r.cached(f)
	if data == nil {
		release, ok := p.acquire(w, req, r)
		if !ok {
			return
		}
		data, refusal = r.currentFile(f)
		release()
	} else {
		p.Counts.CacheHits.Add(1)
	}
	if data != nil && r.imageRepository != nil && f.MetadataType() == "targets" {
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

// serveFile serves a metadata file with its entity tag.
func (p *Proxy) serveFile(w http.ResponseWriter, req *http.Request, data []byte) {
	sum := sha256.Sum256(data)
	header := w.Header()
	header.Set("Etag", fmt.Sprintf(`"%x"`, sum[:16]))
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-cache") // otherwise a cache between client and proxy could serve the file after the metadata have expired
	p.Counts.Served.Add(1)
	p.Counts.Bytes.Add(int64(len(data)))
	http.ServeContent(w, req, "", time.Time{}, bytes.NewReader(data))
}

// checkAgreement returns a refusal if the image repository does not agree with a target of a mirrored Director repository.
func (p *Proxy) checkAgreement(r *Repository) *tufverify.RefusalError {
	targets, refusal := r.assignedTargets()
	if refusal != nil {
		return refusal
	}
	for _, target := range targets {
		image, refusal := r.imageRepository.Find(target.Path)
		if refusal != nil && refusal.Reason == tufverify.ReasonNotListed {
			refusal = &tufverify.RefusalError{Reason: tufverify.ReasonDisagreement, Repository: r.name, Role: target.Path,
				Text: "the image repository does not name it"}
			p.logDisagreement(refusal)
		}
		if refusal != nil {
			return refusal
		}
		for _, kind := range slices.Sorted(maps.Values(target.Custom.ECUs)) {
			if refusal := r.verifyAssignment(target, image, kind); refusal != nil {
				p.logDisagreement(refusal)
				return refusal
			}
		}
		if refusal := r.verifyAssignment(target, image, ""); len(target.Custom.ECUs) == 0 && refusal != nil {
			p.logDisagreement(refusal)
			return refusal
		}
	}
	return nil
}

func (p *Proxy) logDisagreement(refusal *tufverify.RefusalError) {
	p.log(slog.LevelWarn, "director and image repository disagree", refusal.LogFields()...)
}

// serveDirectorMetadata serves a metadata file that the Director issues for one server.
func (p *Proxy) serveDirectorMetadata(w http.ResponseWriter, req *http.Request, server, name string) {
	f, ok := tufverify.ParseFile(name)
	if !ok {
		p.respond(w, nil, metadatarefresh.Response{Status: http.StatusNotFound, Text: "no such file"})
		return
	}
	data, err := p.director.File(server, f)
	switch {
	case errors.Is(err, director.ErrUnknownServer):
		p.respond(w, nil, metadatarefresh.Response{Status: http.StatusNotFound, Text: "no such server"})
	case errors.Is(err, director.ErrUnknownFile):
		p.respond(w, nil, metadatarefresh.Response{Status: http.StatusNotFound, Text: "superseded or not there: begin again with timestamp.json"})
	case err != nil:
		p.log(slog.LevelWarn, "director metadata unavailable", slog.String("server", server), slog.String("error", err.Error()))
		p.respond(w, p.repositories[p.imageRepository], metadatarefresh.Response{Status: http.StatusServiceUnavailable, Text: "not to be had now", RetryLater: true})
	default:
		p.serveFile(w, req, data)
	}
}

// receiveReport handles a server's version report (Uptane Standard 2.1, section 5.4.2.1). It is idempotent: if a server
// sends its last accepted report again, the report gets the same response and has no further effect.
func (p *Proxy) receiveReport(w http.ResponseWriter, req *http.Request, server string) {
	if req.Method != http.MethodPost {
		w.Header().Set("Allow", "POST")
		p.respond(w, nil, metadatarefresh.Response{Status: http.StatusMethodNotAllowed, Text: "only POST here"})
		return
	}
	release, ok := p.acquire(w, req, nil)
	if !ok {
		return
	}
	defer release()
	data, err := io.ReadAll(io.LimitReader(req.Body, tufverify.MaxReportSize+1))
	if err != nil {
		p.respond(w, nil, metadatarefresh.Response{Status: http.StatusBadRequest, Text: "the report did not come whole"})
		return
	}
	report, refusal := p.shardOf(server).verify(server, data)
	answer := metadatarefresh.ReportResponse(refusal)
	if answer.Status != http.StatusOK {
		p.log(slog.LevelWarn, "version report refused", refusal.LogFields()...)
		p.respond(w, nil, answer)
		return
	}
	if report != nil {
		p.Counts.Reports.Add(1)
		if err := p.director.OnReport(report); err != nil {
			p.log(slog.LevelWarn, "version report could not be applied", slog.String("server", server), slog.String("error", err.Error()))
		}
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintln(w, answer.Text)
}

func (p *Proxy) shardOf(server string) *reportShard {
	hash := fnv.New32a()
	hash.Write([]byte(server))
	return p.reportShards[hash.Sum32()%reportShardCount]
}

func (s *reportShard) verify(server string, data []byte) (*tufverify.Report, *tufverify.RefusalError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verifier.VerifyReport(server, data)
}

// serveExplanation serves a plain-text explanation of why a server is assigned its version.
func (p *Proxy) serveExplanation(w http.ResponseWriter, server string) {
	lines, err := p.director.Explain(server)
	if err != nil {
		p.respond(w, nil, metadatarefresh.Response{Status: http.StatusNotFound, Text: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintln(w, strings.Join(lines, "\n"))
}
