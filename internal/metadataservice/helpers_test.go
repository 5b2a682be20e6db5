package metadataservice

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"silvercove/internal/keys"
	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
)

// testService is a service on the loopback interface, with simulated publishers, mirrors and servers.
type testService struct {
	*testing.T
	dir               string
	clock             *repository.Clock
	publisher         *repository.Publisher
	otherPublisher    *repository.Publisher
	directorPublisher *repository.Publisher
	mirrors           []*repository.Mirror
	mirrorStates      []string
	serverLines       []string // server directives of the director block
	keys              map[string]*keys.Key
	extraDirectives   string // further directives of the metadata block
	lifetime          string
	stageLine         string
	survey            string
	discoveryAddress  string // address of the discovery agent that lists the mirrors; if empty, the configuration file lists them
	directorSource    string // directives of the director block that name the discovery agent and the release API; if empty, stageLine is used

	service         *Service
	stop            func()
	checker         *repository.Checker
	directorChecker *repository.Checker
	log             *logLines
}

// logLines is a log that tests can read. It is safe for concurrent use.
type logLines struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// must fails the test if err is not nil.
func (w *testService) must(err error) {
	w.Helper()
	if err != nil {
		w.Fatal(err)
	}
}

// newTestService creates publishers and mirrors, and returns a service that runs only after a call of start.
func newTestService(t *testing.T, mirrors int, lifetimes tufrepo.Lifetimes) *testService {
	t.Helper()
	w := &testService{T: t, dir: t.TempDir(), clock: repository.NewClock(true), keys: map[string]*keys.Key{}, lifetime: "60s",
		stageLine: "wave 1 live 100%", survey: "always"}
	var err error
	w.publisher, err = repository.NewPublisher(filepath.Join(w.dir, "image"), w.clock, lifetimes, true)
	w.must(err)
	w.otherPublisher, err = repository.NewPublisher(filepath.Join(w.dir, "other"), w.clock, lifetimes, true)
	w.must(err)
	w.directorPublisher, err = repository.NewPublisher(filepath.Join(w.dir, "director"), w.clock, tufrepo.Lifetimes{}, true)
	w.must(err)
	for _, role := range []string{"targets", "snapshot", "timestamp"} {
		for i, k := range w.directorPublisher.Keys[role] {
			w.must(k.Save(filepath.Join(w.dir, fmt.Sprintf("%s%d.key", role, i)), nil))
		}
	}
	w.must(os.WriteFile(filepath.Join(w.dir, "root.json"), w.publisher.Root(1), 0o600))
	for i := range mirrors {
		m, err := repository.NewMirror(fmt.Sprintf("m%d", i), w.publisher, w.otherPublisher)
		w.must(err)
		t.Cleanup(m.Close)
		w.mirrors, w.mirrorStates = append(w.mirrors, m), append(w.mirrorStates, "up")
	}
	w.checker, w.directorChecker = repository.NewChecker(w.publisher), repository.NewChecker(w.directorPublisher)
	w.log = &logLines{}
	return w
}

// hardwareKind is the kind of hardware of every server in these tests, and the kind that the packages fit.
const hardwareKind = "large"

// addServer adds a server to the fleet.
func (w *testService) addServer(name, zone string) {
	k := w.keys["any"]
	if k == nil { // all servers share one key, because generating thousands of keys takes long
		var err error
		k, err = keys.Generate("ed25519")
		w.must(err)
		w.must(k.Save(filepath.Join(w.dir, "server.key"), nil))
		w.keys["any"] = k
	}
	w.serverLines = append(w.serverLines, fmt.Sprintf("    server %s %s %s server.pub", name, zone, hardwareKind))
}

// writeConfig writes the operator's file.
func (w *testService) writeConfig() {
	var b strings.Builder
	fmt.Fprintf(&b, "metadata {\n  listen 127.0.0.1:0\n  floor %s\n  refresh 100ms\n  unconfirmed 100ms\n  survey %s\n%s\n",
		filepath.Join(w.dir, "floor"), w.survey, w.extraDirectives)
	fmt.Fprintf(&b, "  repository image {\n    root root.json\n")
	if w.discoveryAddress != "" {
		fmt.Fprintf(&b, "    discovery %s\n", w.discoveryAddress)
	}
	for i, m := range w.mirrors {
		if w.discoveryAddress != "" {
			break
		}
		fmt.Fprintf(&b, "    mirror %s %s z%d %s\n", m.Name, m.Address(), i%2, w.mirrorStates[i])
	}
	b.WriteString("  }\n")
	if len(w.serverLines) > 0 {
		fmt.Fprintf(&b, "  director {\n    image image\n    chain director\n    lasts %s\n", w.lifetime)
		for _, role := range []string{"targets", "snapshot", "timestamp"} {
			for i := range w.directorPublisher.Keys[role] {
				fmt.Fprintf(&b, "    key %s%d.key\n", role, i)
			}
		}
		b.WriteString("    running 1\n    package 1 app/1.tar\n    package 2 app/2.tar\n    package 3 app/3.tar\n    " + cmp.Or(w.directorSource, w.stageLine) + "\n" +
			strings.Join(w.serverLines, "\n") + "\n  }\n")
	}
	b.WriteString("}\n")
	w.must(os.WriteFile(filepath.Join(w.dir, "cove.conf"), []byte(b.String()), 0o600))
}

// start writes the operator's file and runs the service until w.stop is called.
func (w *testService) start() {
	w.Helper()
	w.writeConfig()
	var err error
	w.service, err = New(filepath.Join(w.dir, "cove.conf"), func(string) string { return "" }, w.clock.Now, zerolog.New(w.log))
	w.must(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	service := w.service
	go func() { ended <- service.Run(ctx) }()
	var once sync.Once
	w.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-ended; err != nil {
				w.Error(err)
			}
		})
	}
	w.Cleanup(w.stop)
}

// reload writes the operator's file again and makes the service reload it.
func (w *testService) reload() {
	w.Helper()
	w.writeConfig()
	w.must(w.service.Reload())
}

func (w *testService) url() string { return "http://" + w.service.Address() }

// get sends a request to the service as the named client, and w.checker checks the response.
func (w *testService) get(client, path string) (int, []byte, http.Header) {
	w.Helper()
	transport := w.checker.Transport(client, "/r/image", http.DefaultTransport)
	return fetch(w.T, transport, w.url()+path, "")
}

// fetch sends a request, with a Range header if byteRange is not empty. The status is 0 if the response is not complete.
func fetch(t *testing.T, transport http.RoundTripper, url, byteRange string) (int, []byte, http.Header) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if byteRange != "" {
		req.Header.Set("Range", byteRange)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return 0, b.Bytes(), resp.Header
	}
	return resp.StatusCode, b.Bytes(), resp.Header
}

// until fails the test if the function holds does not return true within 10 s. The error message shows condition, which
// describes the awaited state.
func (w *testService) until(condition string, holds func() bool) {
	w.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.Fatalf("not within 10 s: %s\n%s", condition, tail(w.log.String()))
		}
	}
}

// tail returns the last 3000 bytes of a log.
func tail(s string) string { return s[max(0, len(s)-3000):] }

// updateClient runs the client workflow of the public TUF library as the named client, and returns the library's error.
func (w *testService) updateClient(client string) error {
	transport := w.checker.Transport(client, "/r/image", http.DefaultTransport)
	_, err := repository.NewUpdater(w.url()+"/r/image", w.publisher.Root(1), w.clock.Now(), transport)
	return err
}

// newServer returns a simulated server of the fleet.
func (w *testService) newServer(name string) *repository.Server {
	return &repository.Server{Name: name, Hardware: hardwareKind, Front: w.url(), Image: "image", ImageRoot: w.publisher.Root(1),
		DirectorRoot: w.directorPublisher.Root(1), Key: w.keys["any"], Now: w.clock.Now,
		ImageHTTP:    w.checker.Transport(name, "/r/image", http.DefaultTransport),
		DirectorHTTP: w.directorChecker.Transport(name, "/director/"+name, http.DefaultTransport)}
}

// checkNoFindings fails the test if a checker found a violation.
func (w *testService) checkNoFindings() {
	w.Helper()
	for _, c := range []*repository.Checker{w.checker, w.directorChecker} {
		for _, f := range c.FoundFaults() {
			w.Error(f)
		}
	}
}

func (w *testService) readFile(name string) []byte {
	w.Helper()
	b, err := os.ReadFile(filepath.Join(w.dir, name))
	w.must(err)
	return b
}

func (w *testService) writeFile(name string, b []byte) {
	w.Helper()
	w.must(os.WriteFile(filepath.Join(w.dir, name), b, 0o600))
}

// replaceKeys replaces the n key files of a role by the files whose names have the suffix -new.
func replaceKeys(dir, role string, n int) error {
	for i := range n {
		to := filepath.Join(dir, fmt.Sprintf("%s%d", role, i))
		for _, suffix := range []string{".key", ".pub"} {
			if err := os.Rename(to+"-new"+suffix, to+suffix); err != nil {
				return err
			}
		}
	}
	return nil
}
