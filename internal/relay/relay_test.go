package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"silvercove/balancer"
)

// desk stands in for the list and the platform at one address: each request line that comes is told.
type desk struct {
	net.Listener
	lines chan string
	unit  string        // address of the unit that the list names
	hold  chan struct{} // answers to calls for the whole list wait for this to close; nil for none
}

func newDesk(t *testing.T, unit string) *desk {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	d := &desk{l, make(chan string, 64), unit, nil}
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

func (d *desk) page() string {
	return fmt.Sprintf(`{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"%s","health":"up","share":1.0,`+
		`"born_ms":0,"image_id":1}]}`, d.unit)
}

func (d *desk) serve(c net.Conn) {
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
		case strings.Contains(first, "since="): // nothing changes
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

// want waits for a request that starts so.
func (d *desk) want(t *testing.T, start string) {
	t.Helper()
	for timer := time.After(5 * time.Second); ; {
		select {
		case line := <-d.lines:
			if strings.HasPrefix(line, start) {
				return
			}
		case <-timer:
			t.Fatalf("no %s", start)
		}
	}
}

func config(discovery, platform, known string) string {
	return fmt.Sprintf(`{"name":"n1","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":64,"sockets":128},
		"release_api":{"address":%q,"news":%s},"known":%s,
		"settings":{"balancers":1,"discovery":"automatic","limits":{"send_cap":2,"connect_timeout":1.0,"idle_close":5.0},
		"rules":{"ask_every":20.0,"drain_grace":0.2},"family_info":{"vote_wait":1.0},
		"grades":[{"name":"a","semantics":"read_like","on_time":1.0,"deadline":2.0,"worth":1.0}]}}`,
		discovery, platform, stage, known)
}

// started runs a relay whose configuration names these addresses, and knows what discovery would say.
func started(t *testing.T, discovery, platform *desk) (replace func(text string), listen string, ended chan error) {
	t.Helper()
	return startedWith(t, discovery, platform, discovery.page())
}

func startedWith(t *testing.T, discovery, platform *desk, known string) (replace func(text string), listen string, ended chan error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	replace = func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	replace(config(discovery.Addr().String(), platform.Addr().String(), known))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen = l.Addr().String()
	_ = l.Close()
	env := func(name string) string {
		return map[string]string{"NODE_NAME": "n1", "NODE_LISTEN": listen, "NODE_CONFIG": path,
			"NODE_DISCOVERY": discovery.Addr().String()}[name]
	}
	ended = make(chan error, 1)
	go func() { ended <- Start(env) }()
	for {
		if c, err := net.Dial("tcp", listen); err == nil {
			_ = c.Close()
			return replace, listen, ended
		}
		select {
		case err := <-ended:
			t.Fatal(err)
		case <-time.After(time.Millisecond):
		}
	}
}

func TestSignals(t *testing.T) {
	first, second, third := newDesk(t, "127.0.0.1:9"), newDesk(t, "127.0.0.1:9"), newDesk(t, "127.0.0.1:9")
	replace, listen, ended := started(t, first, first)
	for range 3 { // it never answers these, and is asked again within the grace of drains
		first.want(t, "GET /v1/servers?since=3")
	}
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	replace("{}") // changes nothing
	signal(syscall.SIGHUP)
	signal(syscall.SIGUSR1)
	replace(config(second.Addr().String(), third.Addr().String(), first.page()))
	signal(syscall.SIGHUP)
	second.want(t, "GET /v1/servers") // the list there may count otherwise
	second.want(t, "GET /v1/servers?since=3")
	third.want(t, "GET /changes")
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it does not end")
	}
	if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
		t.Errorf("an idle session got %q, %v", b, err)
	}
}

func TestConfigurationErrorsNameTheCause(t *testing.T) {
	whole := config("127.0.0.1:1", "127.0.0.1:2", (&desk{unit: "127.0.0.1:9"}).page())
	for _, c := range []struct{ name, old, put string }{
		{"seed", "8c1f", "xyz"},
		{"limits", `"sockets":128`, `"sockets":3`},
		{"discovery", "127.0.0.1:1", "nowhere"},
		{"release_api.address", "127.0.0.1:2", "nowhere"},
		{"release_api.news", "live", "asleep"},
		{"known", `"seq":3`, `"seq":"x"`},
		{"settings", `"grades"`, `"others"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var told Config
			if err := told.parse([]byte(whole)); err != nil || !json.Valid([]byte(whole)) {
				t.Fatal(err)
			}
			err := told.parse([]byte(strings.Replace(whole, c.old, c.put, 1)))
			if err == nil || !strings.Contains(err.Error(), c.name) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestLedgerOutlivesARestart: what was known is written, read again, and said; a damaged file is a stated loss.
func TestLedgerOutlivesARestart(t *testing.T) {
	dir := t.TempDir()
	file, path := filepath.Join(dir, "cove.conf"), filepath.Join(dir, "ledger")
	if err := os.WriteFile(file, []byte("verdicts {\n ledger ledger\n save 100ms\n evidence_wait 60s\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	news := strings.Replace(stage, "live", "testing", 1)
	told := func() (Config, error) {
		config := strings.Replace(config("127.0.0.1:1", "127.0.0.1:2", (&desk{unit: "127.0.0.1:9"}).page()), stage, news, 1)
		if err := os.WriteFile(filepath.Join(dir, "config.json"), []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadConfig(func(name string) string {
			return map[string]string{"NODE_NAME": "n1", "NODE_LISTEN": "127.0.0.1:0", "NODE_DISCOVERY": "127.0.0.1:1",
				"NODE_CONFIG": filepath.Join(dir, "config.json"), "NODE_OPERATOR": file}[name]
		})
	}
	first, err := told()
	if err != nil {
		t.Fatal(err)
	}
	if first.site.Balancer.Rollout.EvidenceWait != 60 {
		t.Errorf("evidence_wait is %v", first.site.Balancer.Rollout.EvidenceWait)
	}
	r := newRelay(first)
	r.dispatcher.WithLock(func() {
		for range 30 {
			r.evidence.store.RecordOutcome(balancer.Tick(time.Now().UnixMicro()/100), 1, 0, 0, false)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := r.evidence.run(ctx); err != nil { // writes once more at its end
		t.Fatal(err)
	}
	second, err := told()
	if err != nil {
		t.Fatal(err)
	}
	if r = newRelay(second); len(r.evidence.recalled.outcomes) != 1 || r.evidence.recalled.outcomes[0] < 29 || r.evidence.recalled.version != 1 {
		t.Errorf("known after a restart: %v of build %d", r.evidence.recalled.outcomes, r.evidence.recalled.version)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	if r = newRelay(second); r.evidence.store.LoadError == "" || slices.Max(r.evidence.recalled.outcomes) != 0 {
		t.Errorf("lost %q, known %v", r.evidence.store.LoadError, r.evidence.recalled.outcomes)
	}
	if err := os.WriteFile(file, []byte("verdict {\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := told(); err == nil || !strings.Contains(err.Error(), "NODE_OPERATOR") {
		t.Errorf("a refused file: %v", err)
	}
}
