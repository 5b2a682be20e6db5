package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/internal/standin/backends"
)

// scriptedDiscovery serves as both the discovery agent and the release platform. A poll waits until the test publishes a
// newer version.
type scriptedDiscovery struct {
	*httptest.Server
	mu           sync.Mutex
	seq          int
	entries      []string // entries of the complete list
	pollResponse string   // response to a poll that names an older version than seq
	changed      chan struct{}
	lastSince    int // version that the last poll named (since)
	silent       bool
}

func newScriptedDiscovery(tb testing.TB, entries ...string) *scriptedDiscovery {
	tb.Helper()
	s := &scriptedDiscovery{seq: 3, entries: entries, changed: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/changes" {
			_, _ = fmt.Fprintf(w, `{"type":"stage","object":%s}`+"\n", stage)
			_ = http.NewResponseController(w).Flush()
			<-req.Context().Done()
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		since, err := strconv.Atoi(req.URL.Query().Get("since"))
		if err != nil {
			_, _ = fmt.Fprint(w, page(s.seq, true, s.entries...))
			return
		}
		for s.lastSince = since; s.silent || since == s.seq; {
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-req.Context().Done():
			}
			if s.mu.Lock(); req.Context().Err() != nil { // the relay has canceled the poll
				return
			}
		}
		_, _ = fmt.Fprint(w, s.pollResponse)
	}))
	tb.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

// controlPlane returns a controlPlane at the address of s, for startRelay.
func (s *scriptedDiscovery) controlPlane() *controlPlane { return &controlPlane{Listener: s.Listener} }

// publish serves the entries as the next version of the list, which answers the waiting poll. It then waits until the
// relay polls with the new version.
func (s *scriptedDiscovery) publish(tb testing.TB, complete bool, entries ...string) {
	tb.Helper()
	s.mu.Lock()
	s.seq++
	if complete {
		s.entries = entries
	} else {
		s.entries = append(slices.Clone(s.entries), entries...)
	}
	s.pollResponse = page(s.seq, complete, entries...)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.waitApplied(tb)
}

// waitApplied waits until the relay has applied the current version. The relay shows this by a poll that names the
// version.
func (s *scriptedDiscovery) waitApplied(tb testing.TB) {
	tb.Helper()
	backends.Eventually(tb, "the relay polls after the current version", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lastSince == s.seq
	})
}

func entry(name, address, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"health":%q,"share":1.0,"born_ms":0,"image_id":1}`, name, address, state)
}

func page(seq int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, complete, strings.Join(entries, ","))
}

// controlPlane serves as both the discovery agent and the release platform, at one address.
type controlPlane struct {
	net.Listener
	lines   chan string   // receives the method and path of each request
	backend string        // address of the backend in the endpoint list
	hold    chan struct{} // if not nil, requests for the complete list are answered only after this channel is closed
}

func newControlPlane(tb testing.TB, backend string) *controlPlane {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	d := &controlPlane{l, make(chan string, 64), backend, nil}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

const stage = `{"Revision":1,"Wave":0,"State":"live","MaxShare":1.0,"AgeMs":0}`

func (d *controlPlane) page() string {
	return fmt.Sprintf(`{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"%s","health":"up","share":1.0,`+
		`"born_ms":0,"image_id":1}]}`, d.backend)
}

func (d *controlPlane) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		first, err := in.ReadString('\n')
		if err != nil {
			return
		}
		for line := ""; line != "\r\n"; {
			if line, err = in.ReadString('\n'); err != nil {
				return
			}
		}
		d.lines <- strings.Join(strings.Fields(first)[:2], " ")
		switch {
		case strings.Contains(first, "since="): // a poll: there is never a newer version, so it gets no response
		case strings.Contains(first, "/changes"):
			line := `{"type":"stage","object":` + stage + "}\n"
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
		default:
			if d.hold != nil {
				<-d.hold
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(d.page()), d.page())
		}
	}
}

// want waits for a request whose method and path begin with start.
func (d *controlPlane) want(tb testing.TB, start string) {
	tb.Helper()
	for timer := time.After(5 * time.Second); ; {
		select {
		case line := <-d.lines:
			if strings.HasPrefix(line, start) {
				return
			}
		case <-timer:
			tb.Fatalf("no request %s", start)
		}
	}
}

func configText(discovery, platform, known string) string {
	return fmt.Sprintf(`{"name":"n1","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":64,"sockets":128},
		"release_api":{"address":%q,"news":%s},"known":%s,
		"settings":{"balancers":1,"discovery":"automatic","limits":{"send_cap":2,"connect_timeout":1.0,"idle_close":5.0},
		"rules":{"ask_every":20.0,"drain_grace":0.2},"family_info":{"vote_wait":1.0},
		"grades":[{"name":"a","semantics":"read_like","on_time":1.0,"deadline":2.0,"worth":1.0}]}}`,
		discovery, platform, stage, known)
}

// newSilentControlPlane starts a controlPlane that does not answer requests for the complete list before the end of the
// test.
func newSilentControlPlane(tb testing.TB, backend string) *controlPlane {
	tb.Helper()
	d := newControlPlane(tb, backend)
	d.hold = make(chan struct{})
	tb.Cleanup(func() { close(d.hold) })
	return d
}

func defaultConfigText() string {
	return configText("127.0.0.1:1", "127.0.0.1:2", (&controlPlane{backend: "127.0.0.1:9"}).page())
}
