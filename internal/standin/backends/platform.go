package backends

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Platform simulates the agent that serves the endpoint list and the release platform, both at one address.
type Platform struct {
	Backends   []*Backend
	Stages     []float64 // share of the fleet that runs a new package at each stage, from 0 to 1; also the stage's exposure cap
	Bake       time.Duration
	server     *http.Server
	listener   net.Listener
	goroutines sync.WaitGroup

	mu             sync.Mutex
	sequence       int64
	changed        chan struct{} // closed and replaced at each change of the endpoint list or of the stage
	Version        uint16
	stageIndex     int
	state          string
	stageStarted   time.Time
	advancePending bool
	StagesPassed   int
	Released       bool
	RolledBack     bool
	TimeToVerdict  time.Duration // time from the start of Offer until the package was released or a vote rolled it back; 0 until then
	offered        time.Time
}

// NewPlatform starts a platform for backends that all run the given version. The platform treats this version as released.
func NewPlatform(backends []*Backend, version uint16, stages []float64, bake time.Duration) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Backends: backends, Stages: stages, Bake: bake, listener: l, sequence: 1, changed: make(chan struct{}), Version: version,
		state: "live"}
	p.server = &http.Server{Handler: p}
	p.goroutines.Go(func() { _ = p.server.Serve(l) })
	return p, nil
}

// Address returns the address on which the platform listens.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close stops the platform and waits for its goroutines.
func (p *Platform) Close() {
	_ = p.server.Close()
	p.goroutines.Wait()
}

// NotifyChange wakes the HTTP requests that wait for a change of the endpoint list or of the stage. A test calls it after it has
// set a backend's state.
func (p *Platform) NotifyChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change()
}

func (p *Platform) change() {
	p.sequence++
	close(p.changed)
	p.changed = make(chan struct{})
}

// EndpointList returns the endpoint list in the agent's format.
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

// StageText returns the stage of the newest package in the platform's format.
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

// ServeHTTP serves the endpoint list, which the agent offers, and the stages and votes of the release platform.
func (p *Platform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/v1/servers":
		since, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
		timeoutMS, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
		p.mu.Lock()
		if req.URL.Query().Has("since") && since >= p.sequence {
			changed := p.changed
			p.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(timeoutMS) * time.Millisecond):
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
			case <-time.After(200 * time.Millisecond): // repeats the stage as a keep-alive
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
			http.Error(w, "malformed vote", http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		accepted := v.Revision == p.Version && (p.state == "testing" && v.Wave == p.stageIndex || p.state == "live")
		if accepted {
			p.onVote(v.Decision)
		}
		text := p.stageText()
		p.mu.Unlock()
		if !accepted {
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = io.WriteString(w, text)
	default:
		http.NotFound(w, req)
	}
}

// onVote applies a vote. One vote is enough for a decision.
func (p *Platform) onVote(decision string) {
	switch {
	case decision == "ROLLBACK" && !p.RolledBack:
		p.RolledBack = true
		p.recordVerdict()
		p.state = "recalling"
		p.change()
	case decision == "PROCEED" && p.state == "testing":
		p.advancePending = true
	}
}

func (p *Platform) recordVerdict() {
	if p.TimeToVerdict == 0 {
		p.TimeToVerdict = time.Since(p.offered)
	}
}

// Offer rolls a package out in stages. A stage ends once a vote allows the next stage and the duration Platform.Bake has
// passed. After the last stage, the package is released. Offer then waits for the duration in the parameter watch and returns.
// Offer also returns when the package is rolled back or the context ends.
func (p *Platform) Offer(ctx context.Context, version uint16, watch time.Duration) {
	p.mu.Lock()
	p.Version, p.offered = version, time.Now()
	p.mu.Unlock()
	for stage := range p.Stages {
		p.mu.Lock()
		p.stageIndex, p.state, p.stageStarted, p.advancePending = stage, "testing", time.Now(), false
		p.change()
		p.mu.Unlock()
		if !p.replaceBackends(ctx, version, int(p.Stages[stage]*float64(len(p.Backends))+0.999)) {
			return
		}
		for {
			p.mu.Lock()
			advance, rolledBack := p.advancePending && time.Since(p.stageStarted) >= p.Bake, p.RolledBack
			p.mu.Unlock()
			if rolledBack {
				return
			}
			if advance {
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
	p.recordVerdict()
	p.change()
	p.mu.Unlock()
	waitFor(ctx, watch)
}

// replaceBackends drains some backends for one second and restarts them with a version. It chooses as many backends as are needed
// so that upTo backends run the version. It returns false if the context has ended.
func (p *Platform) replaceBackends(ctx context.Context, version uint16, upTo int) bool {
	var outdated []*Backend
	updated := 0
	for _, u := range p.Backends {
		if u.Version() == version {
			updated++
		} else if updated+len(outdated) < upTo {
			outdated = append(outdated, u)
		}
	}
	set := func(state string, to uint16) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, u := range outdated {
			u.Set(state, to)
		}
		p.change()
	}
	const drainTime = time.Second
	set("draining", 0)
	if !waitFor(ctx, drainTime) {
		return false
	}
	set("up", version)
	return true
}
