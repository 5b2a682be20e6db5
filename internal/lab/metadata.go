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

// Metadata holds the parameters of the measurement of the metadata proxy.
type Metadata struct {
	Servers []int         // numbers of servers; each number is measured separately
	Asks    int           // number of requests for each measured path, for each number of servers
	Width   int           // largest number of concurrent connections
	Entries int           // number of entries of the version store
	Poll    time.Duration // pause between two polls of a server
	Out     string        // folder for the plot, "" for none
}

// Run measures the metadata proxy, the verification of metadata and the version store, and prints the figures.
func (m Metadata) Run(ctx context.Context, to io.Writer) error {
	_, _ = fmt.Fprintf(to, "Stand-in repositories, mirrors and servers on loopback; %d cores, %s.\n\n", runtime.NumCPU(),
		runtime.Version())
	rates := &Table{Title: "Requests through the metadata proxy", Head: []string{"servers", "what", "requests", "a second", "p50",
		"p99", "not 200"}}
	notifications := &Table{Title: "From a cap lowered from 35% to 10% until the last server has the new assignment", Head: []string{"servers",
		"moved back", "issued", "last moved", "p50"}}
	var timestampSeries, packageSeries, notifiedSeries Series
	timestampSeries.Name, packageSeries.Name, notifiedSeries.Name = "cached timestamp, p99", "package of 10 kB, p99", "last server moved back"
	for _, n := range m.Servers {
		w, err := m.newProxyFixture(n)
		if err != nil {
			return err
		}
		for _, what := range []struct {
			name, path string
			into       *Series
		}{{"cached timestamp", "/r/image/metadata/timestamp.json", &timestampSeries}, {"package of 10 kB, from mirrors",
			"/r/image/targets/app/1.tar", &packageSeries}} {
			rate, h, failed, err := m.measureRequests(ctx, w, n, what.path)
			if err != nil {
				w.close()
				return err
			}
			rates.Add(n, what.name, h.TotalCount(), rate, h.at(50), h.at(99), failed)
			what.into.X = append(what.into.X, float64(n))
			what.into.Y = append(what.into.Y, float64(h.at(99))/1e6)
		}
		count, issued, h, err := m.measureCapDecrease(ctx, w, n)
		w.close()
		if err != nil {
			return err
		}
		notifications.Add(n, count, issued, h.at(100), h.at(50))
		notifiedSeries.X, notifiedSeries.Y = append(notifiedSeries.X, float64(n)), append(notifiedSeries.Y, float64(h.at(100))/1e6)
	}
	rates.Print(to)
	notifications.Print(to)
	if err := m.measureVerification(to); err != nil {
		return err
	}
	if err := m.measureVersionStore(to); err != nil {
		return err
	}
	if m.Out == "" {
		return nil
	}
	path := filepath.Join(m.Out, "metadata.svg")
	_, _ = fmt.Fprintf(to, "plot: %s\n", path)
	return Plot(path, "Metadata proxy (stand-ins)", "servers", "milliseconds", timestampSeries, packageSeries, notifiedSeries)
}

// measureRequests sends m.Asks GET requests for a path and waits for their answers. It uses m.Width connections, but at
// most n, the number of servers. rate is in requests a second, h holds the latency of each request, and failures counts
// the requests without an answer of status 200.
func (m Metadata) measureRequests(ctx context.Context, w *proxyFixture, n int, path string) (rate float64, h latencies, failures int64, err error) {
	width := min(m.Width, n)
	transport := &http.Transport{MaxIdleConnsPerHost: width, MaxConnsPerHost: width}
	defer transport.CloseIdleConnections()
	h = newLatencies()
	var mu sync.Mutex
	var next, failed atomic.Int64
	var all sync.WaitGroup
	url := "http://" + w.proxy.Address() + path
	start := time.Now()
	for range width {
		all.Go(func() {
			for next.Add(1) <= int64(m.Asks) && ctx.Err() == nil {
				sentAt := time.Now()
				status := httpRequest(transport, http.MethodGet, url, "", discardBody)
				latency := time.Since(sentAt)
				if status != 200 {
					failed.Add(1)
				}
				mu.Lock()
				h.add(latency)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return float64(h.TotalCount()) / time.Since(start).Seconds(), h, failed.Load(), ctx.Err()
}

// httpRequest sends a request and has read consume the body of the answer. It returns the status, or 0 if the request
// failed or the answer was incomplete.
func httpRequest(transport http.RoundTripper, method, url, text string, read func(io.Reader) error) int {
	req, err := http.NewRequest(method, url, strings.NewReader(text))
	if err != nil {
		return 0
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if read(resp.Body) != nil {
		return 0
	}
	return resp.StatusCode
}

// discardBody reads a body to its end.
func discardBody(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

// decodeInto returns a function that decodes a JSON body into v.
func decodeInto(v any) func(io.Reader) error {
	return func(body io.Reader) error { return json.NewDecoder(body).Decode(v) }
}

// measureVerification compares the time to verify a whole set of metadata with the time to check a cached timestamp
// before that timestamp is served. The check covers all metadata that the timestamp depends on.
func (m Metadata) measureVerification(to io.Writer) error {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	clock := repository.NewClock(false)
	publisher, err := repository.NewPublisher(dir, clock, tufrepo.Lifetimes{}, true)
	if err != nil {
		return err
	}
	if err := publisher.Add("app/1.tar", 1, make([]byte, 10_000)); err != nil {
		return err
	}
	set := publisher.At(publisher.Len() - 1)
	now := tufverify.FromTime(clock.Now())
	const rounds = 200
	began := time.Now()
	var r *tufverify.Repository
	for range rounds {
		if r, err = tufverify.New("image", monotonic.NewMemoryStore(1000), now, publisher.Root(1)); err != nil {
			return err
		}
		if err := r.Refresh(now, func(f tufverify.File) ([]byte, error) { return set.Files[f.String()], nil }); err != nil {
			return err
		}
	}
	wholeSet := time.Since(began) / rounds
	const passes = 100_000
	began = time.Now()
	for range passes {
		if _, refusal := r.Current(now, tufverify.File{Role: "timestamp"}); refusal != nil {
			return refusal
		}
	}
	t := &Table{Title: "Cost of verification", Head: []string{"what", "each"}}
	t.Add("a whole set: root, timestamp, snapshot, targets", wholeSet)
	t.Add("a cached timestamp, with all that it depends on", time.Since(began)/passes)
	t.Print(to)
	return nil
}

// measureVersionStore measures the memory, the write rate and the recovery time of a version store that holds Entries
// reports of servers.
func (m Metadata) measureVersionStore(to io.Writer) error {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "floor")
	heapBefore := liveHeap()
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
	writeTime := time.Since(began)
	if failed.Load() > 0 {
		return fmt.Errorf("version store: %d reports were not recorded", failed.Load())
	}
	used, syncs := liveHeap()-heapBefore, f.Commits
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
	recoveryTime := time.Since(began)
	defer func() { _ = f.Close() }()
	t := &Table{Title: "The version store", Head: []string{"entries", "memory", "file", "recorded per second", "syncs", "recovery"}}
	t.Add(f.Len(), fmt.Sprintf("%d MB", used>>20), fmt.Sprintf("%d MB", info.Size()>>20),
		float64(m.Entries)/writeTime.Seconds(), syncs, recoveryTime)
	t.Print(to)
	return nil
}

// liveHeap returns the bytes on the heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
