package metadataproxy

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"silvercove/internal/metadatarefresh"
	"silvercove/internal/tufverify"
)

// serveTarget serves a package, or one range of its bytes.
func (p *Proxy) serveTarget(w http.ResponseWriter, req *http.Request, r *Repository, path string) {
	release, ok := p.acquire(w, req, r)
	if !ok {
		return
	}
	defer release()
	target, refusal := r.FindByStoredName(path)
	if refusal != nil {
		p.respond(w, r, metadatarefresh.RefusalResponse(refusal))
		return
	}
	tag := fmt.Sprintf(`"%x"`, target.Sum)
	header := w.Header()
	header.Set("Etag", tag)
	header.Set("Accept-Ranges", "bytes")
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Cache-Control", "no-cache")
	if matchesTag(req.Header.Get("If-None-Match"), tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	requested, kind := requestedRange(req, tag, target.Length)
	if kind == rangeUnsatisfiable {
		header.Set("Content-Range", fmt.Sprintf("bytes */%d", target.Length))
		p.Counts.Refused.Add(1)
		http.Error(w, "no such bytes", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	body := r.newTargetReader(target)
	out := newRangeWriter(w, body, target.Length, requested, kind, &p.Counts)
	if req.Method == http.MethodHead || out.length <= 0 {
		out.sendHeader()
		return
	}
	switch err := r.streamTarget(req.Context(), target, body, out); {
	case err == nil:
		p.Counts.Served.Add(1)
	case !out.headerSent:
		p.respond(w, r, metadatarefresh.Response{Status: http.StatusServiceUnavailable, Text: "no mirror has it now", RetryLater: true})
	default: // abort the connection: the client notices the failure, because it receives fewer bytes than Content-Length
		p.Counts.Aborted.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// matchesTag reports whether an If-None-Match header lists an entity tag.
func matchesTag(header, tag string) bool {
	for _, listed := range strings.Split(header, ",") {
		if strings.TrimSpace(listed) == tag {
			return true
		}
	}
	return false
}

// requestedRange returns the part of a file that a request asks for. The Range header is ignored if the request has an
// If-Range header with another tag (RFC 9110, section 13.1.5).
func requestedRange(req *http.Request, tag string, length int64) (byteRange, rangeKind) {
	ifRange := req.Header.Get("If-Range")
	if ifRange != "" && ifRange != tag {
		return wholeFile(length), rangeIgnored
	}
	return parseRange(req.Header.Get("Range"), length)
}

// rangeWriter writes the requested part of a package to a client, given the bytes of the package in order. Only the
// goroutine of the request may use it.
type rangeWriter struct {
	response     http.ResponseWriter
	control      *http.ResponseController
	requested    byteRange
	offset       int64 // offset in the package of the first byte of the next call of write
	length       int64 // length of the response body in bytes
	status       int
	contentRange string // Content-Range header of a partial response; empty if the response is the whole package
	headerSent   bool
	disconnected bool
	counts       *Counts
}

// newRangeWriter returns a rangeWriter for a package whose bytes are verified by body. If the package has piece
// digests, newRangeWriter moves body to the start of the piece that contains the first requested byte. Otherwise only
// the whole package can be verified, so the response is the whole package.
func newRangeWriter(w http.ResponseWriter, body *tufverify.TargetReader, length int64, requested byteRange, kind rangeKind,
	counts *Counts) *rangeWriter {
	start := int64(0)
	if kind == rangePartial {
		var ok bool
		if start, ok = body.SeekPiece(requested.first); !ok {
			start, requested, kind = 0, wholeFile(length), rangeIgnored
		}
	}
	out := &rangeWriter{
		response:  w,
		control:   http.NewResponseController(w),
		requested: requested,
		offset:    start,
		length:    requested.length(),
		status:    http.StatusOK,
		counts:    counts,
	}
	if kind == rangePartial {
		out.status = http.StatusPartialContent
		out.contentRange = requested.contentRange(length)
	}
	return out
}

// sendHeader sends the status and the headers, unless they have been sent.
func (r *rangeWriter) sendHeader() {
	if r.headerSent {
		return
	}
	r.headerSent = true
	header := r.response.Header()
	header.Set("Content-Length", strconv.FormatInt(max(0, r.length), 10))
	if r.contentRange != "" {
		header.Set("Content-Range", r.contentRange)
	}
	r.response.WriteHeader(r.status)
}

// write takes the next verified bytes and sends the requested ones. The client must accept them within ClientWriteTimeout;
// otherwise write returns errClientGone.
func (r *rangeWriter) write(data []byte) error {
	first := max(r.requested.first-r.offset, 0)
	end := min(r.requested.last+1-r.offset, int64(len(data)))
	r.offset += int64(len(data))
	if first >= end {
		return nil
	}
	r.sendHeader()
	_ = r.control.SetWriteDeadline(time.Now().Add(toDuration(metadatarefresh.ClientWriteTimeout)))
	n, err := r.response.Write(data[first:end])
	r.counts.Bytes.Add(int64(n))
	if err != nil {
		r.disconnected = true
		return errClientGone
	}
	return nil
}

// done reports whether every requested byte was passed to write.
func (r *rangeWriter) done() bool { return r.offset > r.requested.last }

var errClientGone = errors.New("the client has disconnected")
