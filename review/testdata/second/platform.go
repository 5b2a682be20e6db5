package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of the list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
	Image  int     `json:"image_id"`

	unit      *unit
	changedAt int64 // version of the list at which the entry changed last
}

// stage is the state of the newest build.
type stage struct {
	Revision int
	Wave     int
	State    string
	MaxShare float64
	since    time.Time
}

func (s stage) text() string {
	return fmt.Sprintf(`{"Revision":%d,"Wave":%d,"State":%q,"MaxShare":%g,"AgeMs":%d}`, s.Revision, s.Wave, s.State, s.MaxShare,
		time.Since(s.since).Milliseconds())
}

// told is when a change had been written to a relay.
type told struct {
	relay string
	at    time.Time
}

// world stands in for discovery and the platform. Each relay has an agent and a platform address of its own.
type world struct {
	rec   *record
	mu    sync.Mutex
	seq   int64
	hosts []*host
	stage stage
	news  int           // number of changes of the stage
	wake  chan struct{} // closed at each change

	drainTold map[string]map[string]time.Time // by relay, by unit: when the first entry draining or removed had been written
	stageTold map[string][]toldStage          // by relay
	onVote    func(relay string, revision int, decision string)
}

type toldStage struct {
	at    time.Time
	stage stage
}

func newWorld(rec *record, first stage) *world {
	return &world{rec: rec, seq: 1, stage: first, wake: make(chan struct{}), drainTold: map[string]map[string]time.Time{},
		stageTold: map[string][]toldStage{}}
}

// list adds an entry or changes the state of one.
func (w *world) list(u *unit, health string, born time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	var entry *host
	for _, h := range w.hosts {
		if h.unit == u {
			entry = h
		}
	}
	if entry == nil {
		entry = &host{Host: u.name, Site: "jhb-1", Class: "k3-fast", Share: 1, Image: u.build, unit: u}
		if u.kind != "" {
			entry.Class = u.kind
		}
		w.hosts = append(w.hosts, entry)
	}
	if !born.IsZero() {
		entry.Born = born.UnixMilli()
	}
	entry.Health, entry.changedAt = health, w.seq
	w.rec.line("list seq=%d unit=%s health=%s build=%d", w.seq, u.name, health, u.build)
	w.changed()
}

func (w *world) changed() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// announce changes the state of the newest build.
func (w *world) announce(s stage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.since = time.Now()
	w.stage = s
	w.news++
	w.rec.line("stage revision=%d wave=%d state=%s cap=%g", s.Revision, s.Wave, s.State, s.MaxShare)
	w.changed()
}

// page returns the entries that changed after a version, or the whole list. It is called with mu held.
func (w *world) page(relay string, since int64, whole bool) (text []byte, listed []*host) {
	hosts := []host{}
	for _, h := range w.hosts {
		if whole && h.Health == "removed" || !whole && h.changedAt <= since {
			continue
		}
		entry := *h
		entry.Dial = h.unit.addresses[relay]
		hosts = append(hosts, entry)
		listed = append(listed, h)
	}
	text, _ = json.Marshal(map[string]any{"seq": w.seq, "whole": whole, "hosts": hosts})
	return text, listed
}

// agent returns the handler of a relay's agent.
func (w *world) agent(relay string) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		whole := err != nil
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		end := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
		w.mu.Lock()
		for waiting := !whole; waiting && w.seq <= since; {
			wake := w.wake
			w.mu.Unlock()
			select {
			case <-wake:
			case <-end:
				waiting = false
			case <-r.Context().Done():
				return
			}
			w.mu.Lock()
		}
		text, listed := w.page(relay, since, whole)
		var drained []string
		for _, h := range listed {
			if h.Health != "up" {
				drained = append(drained, h.Host)
			}
		}
		seq := w.seq
		w.mu.Unlock()
		out.Header().Set("Content-Type", "application/json")
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if _, err := out.Write(text); err != nil || http.NewResponseController(out).Flush() != nil {
			return
		}
		now := time.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.drainTold[relay] == nil {
			w.drainTold[relay] = map[string]time.Time{}
		}
		for _, name := range drained {
			if _, known := w.drainTold[relay][name]; !known {
				w.drainTold[relay][name] = now
				w.rec.lineAt(now, "told relay=%s unit=%s drains seq=%d", relay, name, seq)
			}
		}
	})
}

// platform returns the handler of the platform as a relay reaches it.
func (w *world) platform(relay string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /changes", func(out http.ResponseWriter, r *http.Request) {
		flush := http.NewResponseController(out)
		known := -1
		for {
			w.mu.Lock()
			s, news, wake := w.stage, w.news, w.wake
			w.mu.Unlock()
			line := "{}\n"
			if news != known {
				line = `{"type":"stage","object":` + s.text() + "}\n"
			}
			if _, err := io.WriteString(out, line); err != nil || flush.Flush() != nil {
				return
			}
			if news != known {
				now := time.Now()
				w.mu.Lock()
				w.stageTold[relay] = append(w.stageTold[relay], toldStage{now, s})
				w.mu.Unlock()
				w.rec.lineAt(now, "told relay=%s revision=%d state=%s cap=%g", relay, s.Revision, s.State, s.MaxShare)
				known = news
			}
			sign := time.After(time.Second)
			for waiting := true; waiting; {
				select {
				case <-wake:
					w.mu.Lock()
					waiting, wake = w.news == known, w.wake
					w.mu.Unlock()
				case <-sign:
					waiting = false
				case <-r.Context().Done():
					return
				}
			}
		}
	})
	mux.HandleFunc("POST /judgements", func(out http.ResponseWriter, r *http.Request) {
		var vote struct {
			Revision, Wave int
			Decision       string
		}
		if json.NewDecoder(r.Body).Decode(&vote) != nil {
			out.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(out, `{"error":"ValidationError"}`)
			return
		}
		w.rec.line("vote relay=%s revision=%d wave=%d %s", relay, vote.Revision, vote.Wave, vote.Decision)
		w.mu.Lock()
		s, onVote := w.stage, w.onVote
		w.mu.Unlock()
		if vote.Revision != s.Revision {
			out.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(out, `{"error":"ConditionFailed"}`)
			return
		}
		_, _ = io.WriteString(out, s.text())
		if onVote != nil {
			onVote(relay, vote.Revision, vote.Decision)
		}
	})
	return mux
}

// serveHTTP starts a server on a free loopback address and returns the address.
func serveHTTP(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String(), nil
}
