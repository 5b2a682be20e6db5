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

// load asks for a path as n servers would, each in turn, over so many connections.
func (m Metadata) load(ctx context.Context, w *frontFixture, n int, path string) (rate float64, h latencies, bad int64, err error) {
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
				status := httpRequest(way, http.MethodGet, url, "", discardBody)
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

// httpRequest makes one request and has its answer read; it gives the status, 0 where that did not come complete.
func httpRequest(way http.RoundTripper, method, url, text string, read func(io.Reader) error) int {
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

func discardBody(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

func decodeInto(v any) func(io.Reader) error {
	return func(body io.Reader) error { return json.NewDecoder(body).Decode(v) }
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
	before := liveHeap()
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
	used, synced := liveHeap()-before, f.Commits
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

// liveHeap is what the heap holds after a collection.
func liveHeap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
