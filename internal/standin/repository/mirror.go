package repository

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"silvercove/internal/tufverify"
)

// Fault makes a mirror answer requests incorrectly.
type Fault struct {
	From, To int    // numbers of the first and last request at this mirror that the fault applies to, counted from 0; a To of -1 means no end
	Match    string // the fault applies to paths that contain this text; "" matches all paths

	// Kind is one of these kinds of faults:
	//   - lag: the mirror serves the set that was published Value sets before the newest one
	//   - freeze: the mirror keeps serving the set that was the newest at the first request of the fault
	//   - mix: a file has the content of its previous version
	//   - endless: a file is followed by up to 128 MB of other bytes
	//   - slow: each byte is followed by a pause of Value milliseconds
	//   - length: the Content-Length is 7 bytes too high
	//   - half: the connection ends after Value per cent of the requested bytes, or after 50 per cent if Value is 0
	//   - foreign: the mirror serves the files of another publisher
	//   - status: the response has the status code Value and no file
	//   - refuse: the connection ends without a response
	//   - silent: there is no response, but the connection stays open
	//   - flip: one bit of the byte at the offset Value, modulo the length of the file, is inverted
	Kind  string
	Value int // parameter of the kinds lag, slow, half, status and flip, which Kind explains
}

// ParseScript parses faults, one per line: FROM-TO MATCH KIND [N]. N is the fault's Value. The match "*" matches all
// paths, and an omitted TO means no end.
func ParseScript(text string) ([]Fault, error) {
	var all []Fault
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		f := Fault{To: -1}
		from, to, _ := strings.Cut(words[0], "-")
		var err error
		if len(words) >= 3 {
			f.Match, f.Kind = strings.TrimPrefix(words[1], "*"), words[2]
			if f.From, err = strconv.Atoi(from); err == nil && to != "" {
				f.To, err = strconv.Atoi(to)
			}
			if len(words) == 4 && err == nil {
				f.Value, err = strconv.Atoi(words[3])
			}
		}
		known := strings.Contains(" lag freeze mix endless slow length half foreign status refuse silent flip ", " "+f.Kind+" ")
		if len(words) < 3 || len(words) > 4 || err != nil || !known {
			return nil, fmt.Errorf("line %d: %q: want FROM-TO MATCH KIND [N]", i+1, line)
		}
		all = append(all, f)
	}
	return all, nil
}

// Request is a request that a mirror received.
type Request struct {
	At   time.Time
	Path string
}

// Mirror serves a publisher's repository over HTTP, with scripted faults.
type Mirror struct {
	Name      string
	publisher *Publisher
	foreign   *Publisher // publisher whose files are served under a fault of the kind foreign
	listener  net.Listener
	server    *http.Server
	done      sync.WaitGroup

	mu           sync.Mutex
	faults       []Fault
	requests     []Request
	frozen       int // index of the published set that is served under a fault of the kind freeze; -1 if no request has met such a fault since the last call of Script
	requestCount int
	quit         chan struct{}
}

// NewMirror starts a mirror on the loopback interface. foreignPublisher is the publisher for faults of the kind
// foreign, and may be nil.
func NewMirror(name string, publisher, foreignPublisher *Publisher, faults ...Fault) (*Mirror, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Mirror{Name: name, publisher: publisher, foreign: foreignPublisher, listener: l, faults: faults, frozen: -1,
		quit: make(chan struct{})}
	m.server = &http.Server{Handler: m}
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		_ = m.server.Serve(l)
	}()
	return m, nil
}

// Address returns the address on which the mirror listens.
func (m *Mirror) Address() string { return m.listener.Addr().String() }

// Close stops the mirror at once.
func (m *Mirror) Close() {
	m.mu.Lock()
	select {
	case <-m.quit:
	default:
		close(m.quit)
	}
	m.mu.Unlock()
	_ = m.server.Close()
	m.done.Wait()
}

// Script replaces the faults, and counts requests from 0 again.
func (m *Mirror) Script(faults ...Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults, m.requestCount, m.frozen = faults, 0, -1
}

// Requests returns the requests that the mirror has received.
func (m *Mirror) Requests() []Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Request(nil), m.requests...)
}

// recordRequest records a request. It returns the fault that applies to the request, if any, and the index of the
// published set to serve.
func (m *Mirror) recordRequest(path string) (f Fault, set int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, set := m.requestCount, m.publisher.Len()-1
	m.requestCount++
	m.requests = append(m.requests, Request{time.Now(), path})
	for _, scripted := range m.faults {
		if n < scripted.From || scripted.To >= 0 && n > scripted.To || !strings.Contains(path, scripted.Match) {
			continue
		}
		switch scripted.Kind {
		case "lag":
			set = max(0, set-scripted.Value)
		case "freeze":
			if m.frozen < 0 {
				m.frozen = set
			}
			set = m.frozen
		default:
			f = scripted
		}
	}
	return f, set
}

// ServeHTTP answers a request, with the scripted faults that apply to it.
func (m *Mirror) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	path := strings.TrimPrefix(req.URL.Path, "/")
	f, index := m.recordRequest(path)
	set := m.publisher.At(index)
	if f.Kind == "foreign" && m.foreign != nil {
		set = m.foreign.At(m.foreign.Len() - 1)
	}
	kind, name, _ := strings.Cut(path, "/")
	data, ok := set.Files[name]
	if kind == "targets" {
		data, ok = set.Targets[name]
	}
	if f.Kind == "mix" { // serve the previous version of the file under the requested name
		if v, role := versionOf(name), roleOf(name); v > 1 {
			if older, exists := set.Files[fmt.Sprintf("%d.%s.json", v-1, role)]; exists {
				data, ok = older, true
			}
		}
	}
	switch {
	case f.Kind == "status":
		http.Error(w, "by script", f.Value)
		return
	case f.Kind == "refuse":
		panic(http.ErrAbortHandler)
	case f.Kind == "silent":
		select {
		case <-req.Context().Done():
		case <-m.quit:
		}
		panic(http.ErrAbortHandler)
	case !ok:
		http.NotFound(w, req)
		return
	case f.Kind == "":
		http.ServeContent(w, req, "", time.Time{}, strings.NewReader(string(data)))
		return
	}
	m.serveFaulty(w, req, f, data)
}

// serveFaulty serves a file with a fault.
func (m *Mirror) serveFaulty(w http.ResponseWriter, req *http.Request, f Fault, data []byte) {
	switch f.Kind {
	case "endless":
		junk := make([]byte, 32<<10)
		for i := range junk {
			junk[i] = byte(i)
		}
		_, _ = w.Write(data)
		for range 4096 { // the loop writes at most 128 MB after the content of the file
			if _, err := w.Write(junk); err != nil {
				return
			}
		}
	case "slow":
		flush := http.NewResponseController(w)
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		for i := range data {
			if _, err := w.Write(data[i : i+1]); err != nil {
				return
			}
			_ = flush.Flush()
			select {
			case <-time.After(time.Duration(f.Value) * time.Millisecond):
			case <-req.Context().Done():
				return
			case <-m.quit:
				return
			}
		}
	case "length":
		w.Header().Set("Content-Length", strconv.Itoa(len(data)+7))
		_, _ = w.Write(data)
		panic(http.ErrAbortHandler)
	case "half":
		part := f.Value
		if part == 0 {
			part = 50
		}
		from := 0
		if r, ok := strings.CutPrefix(req.Header.Get("Range"), "bytes="); ok {
			from, _ = strconv.Atoi(strings.TrimSuffix(r, "-"))
			w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, len(data)-1, len(data)))
		}
		rest := data[min(from, len(data)):]
		w.Header().Set("Content-Length", strconv.Itoa(len(rest)))
		if from > 0 {
			w.WriteHeader(http.StatusPartialContent)
		}
		_, _ = w.Write(rest[:len(rest)*part/100])
		panic(http.ErrAbortHandler)
	case "flip":
		bad := append([]byte(nil), data...)
		if len(bad) > 0 {
			bad[f.Value%len(bad)] ^= 0x20
		}
		http.ServeContent(w, req, "", time.Time{}, strings.NewReader(string(bad)))
	default: // kind foreign or mix: data already has the wrong content
		_, _ = w.Write(data)
	}
}

func versionOf(name string) int64 {
	f, _ := tufverify.ParseFile(name)
	return f.Version
}

func roleOf(name string) string {
	f, _ := tufverify.ParseFile(name)
	return f.Role
}

// newestVersion returns the highest version of a role's metadata in the parameter files. A file's version is taken from its name,
// or from its content if the name has none.
func newestVersion(files map[string][]byte, role string) (v int64) {
	for name, text := range files {
		if roleOf(name) != role {
			continue
		}
		version := versionOf(name)
		if version == 0 {
			version = signedVersion(text)
		}
		v = max(v, version)
	}
	return v
}

// signedVersion returns the version in the signed part of a file.
func signedVersion(text []byte) int64 {
	var file struct{ Signed struct{ Version int64 } }
	if json.Unmarshal(text, &file) != nil {
		return 0
	}
	return file.Signed.Version
}
