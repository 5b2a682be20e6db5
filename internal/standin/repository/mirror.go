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

// Fault is a deviation of a mirror from a correct answer.
type Fault struct {
	From, To int    // numbers of the first and last request at this mirror that the fault applies to, from 0; To -1: no end
	Match    string // substring of the path; "" matches all paths
	Kind     string // lag, freeze, mix, endless, slow, length, half, foreign, status, refuse, silent, flip
	Value    int    // lag: sets behind; slow: ms per byte; status: status code; flip: index of the byte; half: per cent sent, 0 for 50
}

// ParseScript parses faults, one a line: FROM-TO MATCH KIND [N]. "*" matches all paths, and an omitted TO means no end.
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

// Mirror serves a publisher's repository, with faults by script.
type Mirror struct {
	Name      string
	publisher *Publisher
	foreign   *Publisher // publisher whose files the fault foreign serves
	listener  net.Listener
	server    *http.Server
	done      sync.WaitGroup

	mu           sync.Mutex
	faults       []Fault
	requests     []Request
	frozen       int // the set that the fault freeze serves, -1 for none
	requestCount int
	quit         chan struct{}
}

// NewMirror starts a mirror on loopback. other is the publisher for the fault foreign, and may be nil.
func NewMirror(name string, publisher, other *Publisher, faults ...Fault) (*Mirror, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Mirror{Name: name, publisher: publisher, foreign: other, listener: l, faults: faults, frozen: -1,
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

// fault records a request, and returns the fault that applies to it and the index of the set to serve.
func (m *Mirror) fault(path string) (f Fault, set int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, set := m.requestCount, m.publisher.Len()-1
	m.requestCount++
	m.requests = append(m.requests, Request{time.Now(), path})
	for _, is := range m.faults {
		if n < is.From || is.To >= 0 && n > is.To || !strings.Contains(path, is.Match) {
			continue
		}
		switch is.Kind {
		case "lag":
			set = max(0, set-is.Value)
		case "freeze":
			if m.frozen < 0 {
				m.frozen = set
			}
			set = m.frozen
		default:
			f = is
		}
	}
	return f, set
}

// ServeHTTP answers a request as the script demands.
func (m *Mirror) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	path := strings.TrimPrefix(req.URL.Path, "/")
	f, at := m.fault(path)
	set := m.publisher.At(at)
	if f.Kind == "foreign" && m.foreign != nil {
		set = m.foreign.At(m.foreign.Len() - 1)
	}
	kind, name, _ := strings.Cut(path, "/")
	data, ok := set.Files[name]
	if kind == "targets" {
		data, ok = set.Targets[name]
	}
	if f.Kind == "mix" { // the newest file name with older content
		if v, role := versionOf(name), roleOf(name); v > 1 {
			if was, there := set.Files[fmt.Sprintf("%d.%s.json", v-1, role)]; there {
				data, ok = was, true
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
		for range 4096 { // at most 128 MB
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
	default: // foreign or mix: the data itself is the fault
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

// newestVersion returns the highest version of a role among files. If a file's name has no version, the file's content states it.
func newestVersion(files map[string][]byte, role string) (v int64) {
	for name, text := range files {
		if roleOf(name) != role {
			continue
		}
		is := versionOf(name)
		if is == 0 {
			is = signedVersion(text)
		}
		v = max(v, is)
	}
	return v
}

// signedVersion returns the version in the signed part of a file.
func signedVersion(text []byte) int64 {
	var m struct{ Signed struct{ Version int64 } }
	if json.Unmarshal(text, &m) != nil {
		return 0
	}
	return m.Signed.Version
}
