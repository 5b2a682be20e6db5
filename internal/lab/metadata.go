package lab

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"silvercove/internal/keys"
	"silvercove/internal/metadataservice"
	"silvercove/internal/monotonic"
	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
	"silvercove/internal/tufverify"
)

// Metadata is what the measurement of the metadata front is run with.
type Metadata struct {
	Servers []int         // sizes of the fleet
	Asks    int           // requests of each kind for a size
	Width   int           // connections at once
	Entries int           // of the floor
	Poll    time.Duration // between two questions of a server
	Out     string        // folder for the plot, "" for none
}

// Run measures and prints.
func (m Metadata) Run(ctx context.Context, to io.Writer) error {
	_, _ = fmt.Fprintf(to, "Stand-in repositories, mirrors and servers on loopback; %d cores, %s.\n\n", runtime.NumCPU(),
		runtime.Version())
	rates := &Table{Title: "Requests through the front", Head: []string{"servers", "what", "requests", "a second", "p50",
		"p99", "not 200"}}
	told := &Table{Title: "From a cap lowered from 35% to 10% to the last server having been told", Head: []string{"servers",
		"told back", "issued", "last told", "p50"}}
	var held, through, last Series
	held.Name, through.Name, last.Name = "timestamp, held, p99", "package of 10 kB, p99", "last server told back"
	for _, n := range m.Servers {
		w, err := m.world(n)
		if err != nil {
			return err
		}
		for _, what := range []struct {
			name, path string
			into       *Series
		}{{"timestamp, held", "/r/image/metadata/timestamp.json", &held}, {"package of 10 kB, by mirrors",
			"/r/image/targets/app/1.tar", &through}} {
			rate, h, bad, err := m.load(ctx, w, n, what.path)
			if err != nil {
				w.close()
				return err
			}
			rates.Add(n, what.name, h.TotalCount(), rate, h.at(50), h.at(99), bad)
			what.into.X = append(what.into.X, float64(n))
			what.into.Y = append(what.into.Y, float64(h.at(99))/1e6)
		}
		count, issued, h, err := m.lowered(ctx, w, n)
		w.close()
		if err != nil {
			return err
		}
		told.Add(n, count, issued, h.at(100), h.at(50))
		last.X, last.Y = append(last.X, float64(n)), append(last.Y, float64(h.at(100))/1e6)
	}
	rates.Print(to)
	told.Print(to)
	if err := m.verification(to); err != nil {
		return err
	}
	if err := m.floor(to); err != nil {
		return err
	}
	if m.Out == "" {
		return nil
	}
	path := filepath.Join(m.Out, "metadata.svg")
	_, _ = fmt.Fprintf(to, "plot: %s\n", path)
	return Plot(path, "Metadata front (stand-ins)", "servers", "milliseconds", held, through, last)
}

// world is a front with mirrors and a fleet.
type world struct {
	dir    string
	front  *metadataservice.Service
	clock  *repository.Clock
	stop   func()
	key    *keys.Key
	wave   string
	write  func() error
	dirKey *repository.Publisher
}

func (w *world) close() {
	if w.stop != nil {
		w.stop()
	}
	_ = os.RemoveAll(w.dir)
}

func (m Metadata) world(n int) (w *world, err error) {
	w = &world{clock: repository.NewClock(true), wave: "wave 2 testing 35%"}
	if w.dir, err = os.MkdirTemp("", "lab"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	var config strings.Builder
	mirrors, err := w.addImage(&config)
	if err != nil {
		return nil, err
	}
	if err := w.addDirector(&config, n); err != nil {
		return nil, err
	}
	text := config.String()
	w.write = func() error {
		return os.WriteFile(filepath.Join(w.dir, "cove.conf"), []byte(text+"  "+w.wave+"\n }\n}\n"), 0o600)
	}
	if err := w.write(); err != nil {
		return nil, err
	}
	if err := w.start(mirrors); err != nil {
		return nil, err
	}
	return w, w.waitCurrent()
}

// addImage makes the image repository with its mirrors, and adds them to the configuration.
func (w *world) addImage(config *strings.Builder) (mirrors []*repository.Mirror, err error) {
	image, err := repository.NewPublisher(filepath.Join(w.dir, "image"), w.clock, tufrepo.Lifetimes{}, true)
	if err != nil {
		return nil, err
	}
	for b := uint16(1); b <= 2; b++ {
		body := make([]byte, 10_000)
		body[0] = byte(b)
		if err := image.Add(fmt.Sprintf("app/%d.tar", b), b, body); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(config, "metadata {\n listen 127.0.0.1:0\n floor floor\n waiting 20000\n connections 20000\n"+
		" repository image {\n  root root.json\n")
	if err := os.WriteFile(filepath.Join(w.dir, "root.json"), image.Root(1), 0o600); err != nil {
		return nil, err
	}
	for i := range 4 {
		mirror, err := repository.NewMirror(fmt.Sprint("m", i), image, nil)
		if err != nil {
			return nil, err
		}
		mirrors = append(mirrors, mirror)
		fmt.Fprintf(config, "  mirror m%d %s z up\n", i, mirror.Address())
	}
	return mirrors, nil
}

// addDirector makes the director's keys and the servers' key, and adds the director with n servers to the configuration.
func (w *world) addDirector(config *strings.Builder, n int) (err error) {
	if w.dirKey, err = repository.NewPublisher(filepath.Join(w.dir, "director"), w.clock, tufrepo.Lifetimes{}, true); err != nil {
		return err
	}
	config.WriteString(" }\n director {\n  image image\n  chain director\n  lasts 10m\n  running 1\n" +
		"  package 1 app/1.tar\n  package 2 app/2.tar\n")
	for _, role := range []string{"targets", "snapshot", "timestamp"} {
		for i, k := range w.dirKey.Keys[role] {
			name := fmt.Sprintf("%s%d.key", role, i)
			if err := k.Save(filepath.Join(w.dir, name), nil); err != nil {
				return err
			}
			config.WriteString("  key " + name + "\n")
		}
	}
	if w.key, err = keys.Generate("ed25519"); err != nil {
		return err
	}
	if err := w.key.Save(filepath.Join(w.dir, "server.key"), nil); err != nil {
		return err
	}
	for i := range n {
		fmt.Fprintf(config, "  server s%d z%d large server.pub\n", i, i%3)
	}
	return nil
}

// start runs the front until stop is called, which closes the mirrors too.
func (w *world) start(mirrors []*repository.Mirror) (err error) {
	w.front, err = metadataservice.New(filepath.Join(w.dir, "cove.conf"), func(string) string { return "" }, w.clock.Now,
		zerolog.Nop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.front.Run(ctx)
	}()
	w.stop = func() {
		cancel()
		<-ended
		for _, mirror := range mirrors {
			mirror.Close()
		}
	}
	return nil
}

// waitCurrent waits until the front serves the image repository.
func (w *world) waitCurrent() error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + w.front.Address() + "/r/image/metadata/timestamp.json")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("the front has nothing current within 20 s")
		}
	}
}

// load asks for a path as n servers would, each in turn, over so many connections.
func (m Metadata) load(ctx context.Context, w *world, n int, path string) (rate float64, h latencies, bad int64, err error) {
	width := min(m.Width, n)
	way := &http.Transport{MaxIdleConnsPerHost: width, MaxConnsPerHost: width}
	defer way.CloseIdleConnections()
	h = newLatencies()
	var mu sync.Mutex
	var next, wrong atomic.Int64
	var all sync.WaitGroup
	url := "http://" + w.front.Address() + path
	began := time.Now()
	for range width {
		all.Go(func() {
			for next.Add(1) <= int64(m.Asks) && ctx.Err() == nil {
				at := time.Now()
				status := ask(way, http.MethodGet, url, "", drop)
				took := time.Since(at)
				if status != 200 {
					wrong.Add(1)
				}
				mu.Lock()
				h.add(took)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return float64(h.TotalCount()) / time.Since(began).Seconds(), h, wrong.Load(), ctx.Err()
}

// ask makes one request and has its answer read; it gives the status, 0 where that did not come whole.
func ask(way http.RoundTripper, method, url, text string, read func(io.Reader) error) int {
	req, err := http.NewRequest(method, url, strings.NewReader(text))
	if err != nil {
		return 0
	}
	resp, err := way.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if read(resp.Body) != nil {
		return 0
	}
	return resp.StatusCode
}

func drop(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

func into(v any) func(io.Reader) error {
	return func(body io.Reader) error { return json.NewDecoder(body).Decode(v) }
}

// lowered has all servers poll, lowers the cap, and takes how long each of those told back waits until it has
// fetched metadata that name the earlier package.
func (m Metadata) lowered(ctx context.Context, w *world, n int) (count int, issued int64, h latencies, err error) {
	way := &http.Transport{MaxIdleConnsPerHost: m.Width, MaxConnsPerHost: m.Width}
	defer way.CloseIdleConnections()
	p := &pollers{Metadata: m, world: w, way: way, url: "http://" + w.front.Address(), has: make([]uint16, n)}
	want := int(0.35 * float64(n))
	for end := time.Now().Add(2 * time.Minute); p.count(2) < want; {
		if err := p.round(ctx); err != nil {
			return 0, 0, h, err
		}
		if time.Now().After(end) {
			return 0, 0, h, fmt.Errorf("%d of %d servers told after two minutes", p.count(2), want)
		}
	}
	before := w.front.Director().IssuedCount()
	h = newLatencies()
	w.wave = "wave 2 testing 10%"
	if err := w.write(); err != nil {
		return 0, 0, h, err
	}
	began := time.Now()
	if err := w.front.Reload(); err != nil {
		return 0, 0, h, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		if p.has[i] != 2 {
			continue
		}
		all.Go(func() {
			if p.waitTaken(ctx, i, began) {
				mu.Lock()
				h.add(time.Since(began))
				count++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if gone := p.count(2) - n/10; count < gone {
		return count, 0, h, fmt.Errorf("%d servers were told back, %d should have been", count, gone)
	}
	return count, w.front.Director().IssuedCount() - before, h, ctx.Err()
}

// pollers are servers that ask the front what to run. Its methods are called by one goroutine at a time, but waitTaken.
type pollers struct {
	Metadata
	*world
	way     http.RoundTripper
	url     string
	has     []uint16 // the package that each was told last, 0 for none
	counter int64    // of the servers' reports
}

// count is how many were told a package last.
func (p *pollers) count(build uint16) (n int) {
	for _, b := range p.has {
		if b == build {
			n++
		}
	}
	return n
}

// round has each server ask once. Those that are told a new package say that they run it, so that the next are told.
func (p *pollers) round(ctx context.Context) error {
	var mu sync.Mutex
	var all sync.WaitGroup
	limit := make(chan struct{}, p.Width)
	p.counter++
	for i := range p.has {
		limit <- struct{}{}
		all.Go(func() {
			defer func() { <-limit }()
			b := told(p.way, p.url, i)
			mu.Lock()
			changed := p.has[i] != b
			p.has[i] = b
			mu.Unlock()
			if changed && b != 0 {
				p.report(i, b)
			}
		})
	}
	all.Wait()
	return ctx.Err()
}

// report has a server say that it runs a package.
func (p *pollers) report(server int, build uint16) {
	path := fmt.Sprintf("app/%d.tar", build)
	text, err := tufverify.SignReport(tufverify.Report{Server: fmt.Sprint("s", server), Hardware: "large", Counter: p.counter,
		Running: path, Build: build, Installed: "ok", Tried: path}, p.key.Private)
	if err == nil {
		ask(p.way, http.MethodPost, fmt.Sprintf("%s/director/s%d/manifest", p.url, server), string(text), drop)
	}
}

// waitTaken has a server poll, at a moment of its own, until it is told the earlier package; false where it keeps the
// later one, or the time that is given is over.
func (p *pollers) waitTaken(ctx context.Context, server int, began time.Time) bool {
	wait := time.Duration(server%97) * p.Poll / 97
	for time.Since(began) < 20*p.Poll+5*time.Second && ctx.Err() == nil {
		time.Sleep(wait)
		if told(p.way, p.url, server) == 1 {
			return true
		}
		if assigned := p.front.Director().Count().Assigned; assigned <= len(p.has)/10 && time.Since(began) > 3*p.Poll+time.Second {
			return false
		}
		wait = p.Poll
	}
	return false
}

// told asks what a server is told now, without verifying it.
func told(way http.RoundTripper, front string, i int) uint16 {
	var stamp struct {
		Signed struct {
			Version int64
		}
	}
	base := fmt.Sprintf("%s/director/s%d/metadata/", front, i)
	if ask(way, http.MethodGet, base+"timestamp.json", "", into(&stamp)) != 200 {
		return 0
	}
	var targets struct {
		Signed struct {
			Targets map[string]struct{ Custom tufverify.Custom }
		}
	}
	if ask(way, http.MethodGet, fmt.Sprintf("%s%d.targets.json", base, stamp.Signed.Version), "", into(&targets)) != 200 {
		return 0
	}
	for _, t := range targets.Signed.Targets {
		return t.Custom.Build
	}
	return 0
}

// verification compares taking a set anew with passing it on from what is held.
func (m Metadata) verification(to io.Writer) error {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	clock := repository.NewClock(false)
	k, err := repository.NewPublisher(dir, clock, tufrepo.Lifetimes{}, true)
	if err != nil {
		return err
	}
	if err := k.Add("app/1.tar", 1, make([]byte, 10_000)); err != nil {
		return err
	}
	set := k.At(k.Len() - 1)
	now := tufverify.FromTime(clock.Now())
	const rounds = 200
	began := time.Now()
	var r *tufverify.Repository
	for range rounds {
		if r, err = tufverify.New("image", monotonic.NewMemoryStore(1000), now, k.Root(1)); err != nil {
			return err
		}
		if err := r.Refresh(now, func(f tufverify.File) ([]byte, error) { return set.Files[f.String()], nil }); err != nil {
			return err
		}
	}
	anew := time.Since(began) / rounds
	const passes = 100_000
	began = time.Now()
	for range passes {
		if _, refusal := r.Current(now, tufverify.File{Role: "timestamp"}); refusal != nil {
			return refusal
		}
	}
	t := &Table{Title: "Cost of verification", Head: []string{"what", "each"}}
	t.Add("a whole set anew: root, timestamp, snapshot, targets", anew)
	t.Add("a timestamp that is held, with all that it hangs on", time.Since(began)/passes)
	t.Print(to)
	return nil
}

// floor takes memory and recovery time with many server reports.
func (m Metadata) floor(to io.Writer) error {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "floor")
	before := live()
	f, err := monotonic.Open([]string{path}, m.Entries+1, func(slog.Level, string, ...slog.Attr) {})
	if err != nil {
		return err
	}
	began := time.Now()
	const width = 512
	var all sync.WaitGroup
	var next atomic.Int64
	var failed atomic.Int64
	for range width {
		all.Go(func() {
			for i := next.Add(1); i <= int64(m.Entries); i = next.Add(1) {
				if f.Record(fmt.Sprintf("report/server-%07d", i), i, sha256.Sum256([]byte{byte(i)})) != nil {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	wrote := time.Since(began)
	if failed.Load() > 0 {
		return fmt.Errorf("floor: %d reports were not taken", failed.Load())
	}
	used, synced := live()-before, f.Syncs
	if err := f.Close(); err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	began = time.Now()
	if f, err = monotonic.Open([]string{path}, m.Entries+1, func(slog.Level, string, ...slog.Attr) {}); err != nil {
		return err
	}
	took := time.Since(began)
	defer func() { _ = f.Close() }()
	t := &Table{Title: "The floor", Head: []string{"entries", "memory", "file", "taken a second", "syncs", "recovery"}}
	t.Add(f.Len(), fmt.Sprintf("%d MB", used>>20), fmt.Sprintf("%d MB", info.Size()>>20),
		float64(m.Entries)/wrote.Seconds(), synced, took)
	t.Print(to)
	return nil
}

// live is what the heap holds after a collection.
func live() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
