package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// platform is a stand-in for the platform as PROTOCOL.md describes it. It tells the state of the newest build, and goes on to the
// next line of its file at SIGUSR1.
type platform struct {
	mu      sync.Mutex
	states  []string
	at      int
	since   time.Time
	changed chan struct{}
}

// runPlatform runs "standin platform ADDRESS FILE". A line of the file is an object with Revision, Wave, State and MaxShare, without the
// closing brace; AgeMs is added.
func runPlatform(arguments []string) error {
	if len(arguments) != 2 {
		return errors.New("usage: standin platform ADDRESS FILE")
	}
	file, err := os.Open(arguments[1])
	if err != nil {
		return err
	}
	p := &platform{since: time.Now(), changed: make(chan struct{})}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		p.states = append(p.states, strings.TrimSpace(lines.Text()))
	}
	listener, err := net.Listen("tcp", arguments[0])
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			p.mu.Lock()
			p.at, p.since = min(p.at+1, len(p.states)-1), time.Now()
			close(p.changed)
			p.changed = make(chan struct{})
			p.mu.Unlock()
		}
	}()
	http.HandleFunc("GET /changes", p.changes)
	http.HandleFunc("POST /judgements", func(w http.ResponseWriter, r *http.Request) {
		state, _ := p.state()
		io.WriteString(w, state)
	})
	fmt.Println("ready")
	return http.Serve(listener, nil)
}

func (p *platform) state() (state string, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf(`%s,"AgeMs":%d}`, p.states[p.at], time.Since(p.since).Milliseconds()), p.changed
}

// changes tells the state at once and at each change, and a sign of life every second.
func (p *platform) changes(w http.ResponseWriter, r *http.Request) {
	for {
		state, changed := p.state()
		fmt.Fprintf(w, "{\"type\":\"stage\",\"object\":%s}\n", state)
		for waiting := true; waiting; {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-changed:
				waiting = false
			case <-time.After(time.Second):
				io.WriteString(w, "{}\n")
			}
		}
	}
}
