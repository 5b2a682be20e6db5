// Package backends stands in for what a relay deals with: units that speak PostgreSQL's wire protocol, the agent that tells
// their list, and the platform that takes votes and moves a package on or back. All on loopback. The frames are
// written from the protocol's documentation (PostgreSQL 15, "Message Formats").
package backends

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"silvercove/internal/pgwire"
)

// Backend is one server.
type Backend struct {
	Name       string
	listener   net.Listener
	answer     func(u *Backend, opType string, build uint16, since time.Time) (fails bool, took time.Duration)
	goroutines sync.WaitGroup

	mu          sync.Mutex
	version     uint16
	started     time.Time
	state       string
	connections map[net.Conn]bool
	closed      bool
}

// NewBackend starts a unit on a build. answer says how each query goes: whether it fails, and how long it takes.
func NewBackend(name string, build uint16, answer func(u *Backend, opType string, build uint16, since time.Time) (bool, time.Duration)) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Backend{Name: name, listener: l, answer: answer, version: build, state: "up", connections: map[net.Conn]bool{}}
	u.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			if u.closed || u.state != "up" {
				u.mu.Unlock()
				_ = c.Close()
				continue
			}
			u.connections[c] = true
			u.mu.Unlock()
			u.goroutines.Go(func() { u.serve(c) })
		}
	})
	return u, nil
}

// Close ends it.
func (u *Backend) Close() {
	u.mu.Lock()
	u.closed = true
	u.closeConnections()
	u.mu.Unlock()
	_ = u.listener.Close()
	u.goroutines.Wait()
}

func (u *Backend) closeConnections() {
	for c := range u.connections {
		_ = c.Close()
	}
	clear(u.connections)
}

// Address is where it listens.
func (u *Backend) Address() string { return u.listener.Addr().String() }

// Set puts it into a state: up, draining or removed. Up on another build is another process.
func (u *Backend) Set(state string, build uint16) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == "up" && (build != u.version || u.state == "removed") {
		u.version, u.started = build, time.Now()
		u.closeConnections()
	}
	if state == "removed" {
		u.closeConnections()
	}
	u.state = state
}

// Version is what it runs.
func (u *Backend) Version() uint16 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.version
}

func frame(kind byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))) + body
}

var rowReply = frame('T', "\x00\x01content\x00"+strings.Repeat("\x00", 18)) + frame('D', "\x00\x01\x00\x00\x00\x02hi") +
	frame('C', "SELECT 1\x00")

func (u *Backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.connections, c)
		u.mu.Unlock()
	}()
	var buf []byte
	more := func() bool {
		b := make([]byte, 4<<10)
		n, err := c.Read(b)
		buf = append(buf, b[:n]...)
		return err == nil
	}
	for {
		_, size, err := pgwire.ParseStartup(buf)
		if err != nil {
			return
		}
		if size > 0 {
			buf = buf[size:]
			break
		}
		if !more() {
			return
		}
	}
	if _, err := c.Write(pgwire.AuthenticationOK()); err != nil {
		return
	}
	for {
		kind, size, err := pgwire.ClientHeader(buf)
		if err != nil || kind == 'X' {
			return
		}
		if size == 0 || len(buf) < size {
			if !more() {
				return
			}
			continue
		}
		text := strings.TrimSuffix(string(buf[5:size]), "\x00")
		buf = buf[size:]
		q, fault := pgwire.ParseQuery([]byte(text))
		if fault != nil {
			_, _ = c.Write(append(pgwire.ErrorResponse("ERROR", fault.SQLState, fault.Text, ""), pgwire.ReadyForQuery()...))
			continue
		}
		u.mu.Lock()
		build, since := u.version, u.started
		u.mu.Unlock()
		fails, took := u.answer(u, q.Class, build, since)
		time.Sleep(took) // its work
		out := rowReply
		if fails {
			out = string(pgwire.ErrorResponse("ERROR", "XX000", "by script", ""))
		}
		if _, err := io.WriteString(c, out+string(pgwire.ReadyForQuery())); err != nil {
			return
		}
	}
}

// Platform is the list's agent and the platform at one address.
type Platform struct {
	Backends   []*Backend
	Stages     []float64 // parts of the fleet, which are the caps too
	Bake       time.Duration
	server     *http.Server
	listener   net.Listener
	goroutines sync.WaitGroup

	mu             sync.Mutex
	sequence       int64
	changed        chan struct{} // closed when anything has changed
	Version        uint16
	stageIndex     int
	state          string
	stageStarted   time.Time
	advancePending bool
	StagesPassed   int
	Released       bool
	RolledBack     bool
	TimeToVerdict  time.Duration // from the first wave on
	offered        time.Time
}

// NewPlatform starts one with its units, all on the earlier build, which is released.
func NewPlatform(units []*Backend, build uint16, waves []float64, bake time.Duration) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Backends: units, Stages: waves, Bake: bake, listener: l, sequence: 1, changed: make(chan struct{}), Version: build,
		state: "live"}
	p.server = &http.Server{Handler: p}
	p.goroutines.Go(func() { _ = p.server.Serve(l) })
	return p, nil
}

// Address is where it listens.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close ends it.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.goroutines.Wait()
}

// Changed has those who wait for changes look again, after a unit was set.
func (p *Platform) Changed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change()
}

func (p *Platform) change() {
	p.sequence++
	close(p.changed)
	p.changed = make(chan struct{})
}

// EndpointList is the list as the agent words it.
func (p *Platform) EndpointList() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpointList()
}

func (p *Platform) endpointList() string {
	type host struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Class  string  `json:"class"`
		Health string  `json:"health"`
		Share  float64 `json:"share"`
		Born   int64   `json:"born_ms"`
		Build  uint16  `json:"image_id"`
	}
	hosts := []host{}
	for _, u := range p.Backends {
		u.mu.Lock()
		h := host{u.Name, u.listener.Addr().String(), "z", "large", u.state, 1, 0, u.version}
		if !u.started.IsZero() {
			h.Born = u.started.UnixMilli()
		}
		u.mu.Unlock()
		hosts = append(hosts, h)
	}
	text, _ := json.Marshal(map[string]any{"seq": p.sequence, "whole": true, "hosts": hosts})
	return string(text)
}

// StageText is where the newest package stands, as the platform words it.
func (p *Platform) StageText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stageText()
}

func (p *Platform) stageText() string {
	share := 1.0
	switch p.state {
	case "testing":
		share = p.Stages[p.stageIndex]
	case "recalling", "recalled":
		share = 0
	}
	text, _ := json.Marshal(map[string]any{"Revision": p.Version, "Wave": p.stageIndex, "State": p.state, "MaxShare": share,
		"AgeMs": float64(time.Since(p.stageStarted).Milliseconds())})
	if p.stageStarted.IsZero() {
		return fmt.Sprintf(`{"Revision":%d,"Wave":0,"State":"live","MaxShare":1.0,"AgeMs":0}`, p.Version)
	}
	return string(text)
}

// ServeHTTP answers for the agent and for the platform.
func (p *Platform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/v1/servers":
		since, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
		limit, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
		p.mu.Lock()
		if req.URL.Query().Has("since") && since >= p.sequence {
			changed := p.changed
			p.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(limit) * time.Millisecond):
			case <-req.Context().Done():
				return
			}
			p.mu.Lock()
		}
		text := p.endpointList()
		p.mu.Unlock()
		_, _ = io.WriteString(w, text)
	case "/changes":
		for flush := http.NewResponseController(w); ; {
			p.mu.Lock()
			text, changed := p.stageText(), p.changed
			p.mu.Unlock()
			if _, err := io.WriteString(w, `{"type":"stage","object":`+text+"}\n"); err != nil || flush.Flush() != nil {
				return
			}
			select {
			case <-changed:
			case <-time.After(200 * time.Millisecond): // a sign of life
			case <-req.Context().Done():
				return
			}
		}
	case "/judgements":
		var v struct {
			Revision uint16
			Wave     int
			Decision string
		}
		if json.NewDecoder(req.Body).Decode(&v) != nil {
			http.Error(w, "no vote", http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		counts := v.Revision == p.Version && (p.state == "testing" && v.Wave == p.stageIndex || p.state == "live")
		if counts {
			p.onVote(v.Decision)
		}
		text := p.stageText()
		p.mu.Unlock()
		if !counts {
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = io.WriteString(w, text)
	default:
		http.NotFound(w, req)
	}
}

// onVote acts on a vote, as one decides.
func (p *Platform) onVote(decision string) {
	switch {
	case decision == "ROLLBACK" && !p.RolledBack:
		p.RolledBack = true
		p.noteVerdict()
		p.state = "recalling"
		p.change()
	case decision == "PROCEED" && p.state == "testing":
		p.advancePending = true
	}
}

func (p *Platform) noteVerdict() {
	if p.TimeToVerdict == 0 {
		p.TimeToVerdict = time.Since(p.offered)
	}
}

// Offer rolls a package out, wave by wave as votes say, until it is released and watched for a while, taken back, or
// the context ends.
func (p *Platform) Offer(ctx context.Context, build uint16, watch time.Duration) {
	p.mu.Lock()
	p.Version, p.offered = build, time.Now()
	p.mu.Unlock()
	for wave := range p.Stages {
		p.mu.Lock()
		p.stageIndex, p.state, p.stageStarted, p.advancePending = wave, "testing", time.Now(), false
		p.change()
		p.mu.Unlock()
		if !p.replaceBackends(ctx, build, int(p.Stages[wave]*float64(len(p.Backends))+0.999)) {
			return
		}
		for {
			p.mu.Lock()
			on, back := p.advancePending && time.Since(p.stageStarted) >= p.Bake, p.RolledBack
			p.mu.Unlock()
			if back {
				return
			}
			if on {
				break
			}
			if !waitFor(ctx, 5*time.Millisecond) {
				return
			}
		}
		p.mu.Lock()
		p.StagesPassed++
		p.mu.Unlock()
	}
	p.mu.Lock()
	p.state, p.Released = "live", true
	p.noteVerdict()
	p.change()
	p.mu.Unlock()
	waitFor(ctx, watch)
}

// replaceBackends has units run a build until so many do.
func (p *Platform) replaceBackends(ctx context.Context, build uint16, upTo int) bool {
	var moved []*Backend
	has := 0
	for _, u := range p.Backends {
		if u.Version() == build {
			has++
		} else if has+len(moved) < upTo {
			moved = append(moved, u)
		}
	}
	set := func(state string, to uint16) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, u := range moved {
			u.Set(state, to)
		}
		p.change()
	}
	const grace = time.Second
	set("draining", 0)
	if !waitFor(ctx, grace) {
		return false
	}
	set("up", build)
	return true
}

func waitFor(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

// Test is what a test lends to a helper; *testing.T is one.
type Test interface {
	Helper()
	Cleanup(func())
	Error(args ...any)
	Fatalf(form string, args ...any)
}

// Running runs something until the test ends, and waits for it.
func Running(t Test, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// Until waits for something to hold, for ten seconds at the most.
func Until(t Test, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}
