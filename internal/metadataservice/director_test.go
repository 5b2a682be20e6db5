package metadataservice

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/internal/standin/backends"
	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
	"silvercove/internal/tufverify"
)

// TestDirector_ImageRepositoryDisagrees checks that the Director issues new metadata when the image repository replaces a package
// under the same path, and that a version can be rolled back while the image repository is unavailable.
func TestDirector_ImageRepositoryDisagrees(t *testing.T) {
	w := newTestService(t, 2, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(1000, 1)))
	w.must(w.publisher.Add("app/2.tar", 2, content(1000, 2)))
	for i := range 4 {
		w.addServer(fmt.Sprint("s", i), "z")
	}
	w.stageLine = "wave 2 testing 50%"
	w.start()
	servers := []*repository.Server{}
	for i := range 4 {
		servers = append(servers, w.newServer(fmt.Sprint("s", i)))
	}
	stepAll := func() (n int) {
		for _, s := range servers {
			_ = s.Step()
			if s.Build == 2 {
				n++
			}
		}
		return n
	}
	w.until("two of four servers run package 2", func() bool { return stepAll() == 2 })
	// The publisher replaces the content of package 1. The metadata that the Director has issued then no longer agree with
	// the image repository.
	w.must(w.publisher.Add("app/1.tar", 1, content(2000, 9)))
	w.until("the Director names the new bytes", func() bool {
		for _, s := range servers {
			s.Running = ""
			if err := s.Step(); err != nil {
				return false
			}
		}
		return true
	})
	// While the image repository is unavailable, a roll-back must still withdraw the version from the servers.
	for _, m := range w.mirrors {
		m.Script(repository.Fault{To: -1, Kind: "refuse"})
	}
	w.stageLine = "wave 2 recalled 0%"
	w.reload()
	if assigned := w.service.Director().Count().Assigned; assigned != 0 {
		t.Errorf("%d servers are assigned the recalled package", assigned)
	}
	status, _, h := w.get("c", "/r/image/metadata/timestamp.json")
	if status == 200 {
		w.until("nothing is current", func() bool {
			status, _, h = w.get("c", "/r/image/metadata/timestamp.json")
			return status != 200
		})
	}
	if status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("status %d with a dead image repository", status)
	}
	for _, s := range servers {
		_ = s.Step() // the server cannot download the package, but fetches the Director's metadata
	}
	if mayInstall := w.service.Director().Count().MayInstall; mayInstall != 0 {
		t.Errorf("%d servers may still install the package", mayInstall)
	}
	for _, m := range w.mirrors {
		m.Script()
	}
	w.until("all servers run package 1 again", func() bool { return stepAll() == 0 && servers[0].Build == 1 })
	w.checkNoFindings()
}

// TestDirector_VersionIsRolledBack checks that a version can be rolled back in steps while servers hold its metadata.
// Before that it checks that the assignments survive a restart of the service.
func TestDirector_VersionIsRolledBack(t *testing.T) {
	w := newTestService(t, 2, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(1000, 1)))
	w.must(w.publisher.Add("app/2.tar", 2, content(1000, 2)))
	var servers []*repository.Server
	for i := range 20 {
		w.addServer(fmt.Sprint("s", i), fmt.Sprint("z", i%3))
	}
	w.stageLine = "wave 2 testing 35%"
	w.start()
	for i := range 20 {
		servers = append(servers, w.newServer(fmt.Sprint("s", i)))
	}
	stepAll := func() (n int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, s := range servers {
			wg.Go(func() {
				s.Front = w.url()
				_ = s.Step()
				mu.Lock()
				defer mu.Unlock()
				if s.Build == 2 {
					n++
				}
			})
		}
		wg.Wait()
		return n
	}
	w.until("seven of twenty servers run package 2", func() bool { return stepAll() == 7 })
	chosen := map[string]bool{}
	for _, s := range servers {
		chosen[s.Name] = s.Build == 2
	}
	w.stop()
	w.start() // after the restart, the Director must still have the assignments that it recorded
	if counts := w.service.Director().Count(); counts.Assigned != 7 || counts.MayInstall != 7 {
		t.Errorf("after a restart %d servers are assigned the version and %d may install it", counts.Assigned, counts.MayInstall)
	}
	for range 3 {
		if n := stepAll(); n != 7 {
			t.Errorf("%d of twenty servers run package 2 after a restart", n)
		}
	}
	w.stageLine = "wave 2 testing 10%"
	began := time.Now()
	w.reload()
	w.until("two of twenty servers run package 2", func() bool { return stepAll() == 2 })
	t.Logf("rolled back within %v", time.Since(began))
	for _, s := range servers {
		if s.Build == 2 && !chosen[s.Name] {
			t.Errorf("%s runs package 2 at a cap of 10%% and did not at 35%%", s.Name)
		}
	}
	w.stageLine = "wave 2 recalled 0%"
	w.reload()
	w.until("none of twenty servers runs package 2", func() bool { return stepAll() == 0 })
	w.checkNoFindings()
}

// TestDirector_TwoThousandServers checks that each of two thousand servers that ask within a second gets one final
// response while one mirror drains and another dies. It also checks that the memory and the goroutines of the requests
// are released afterwards.
func TestDirector_TwoThousandServers(t *testing.T) {
	w := newTestService(t, 4, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(50_000, 1)))
	w.start()
	w.until("a client can update", func() bool { return w.updateClient("c") == nil })
	heap, goroutines := usage()
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 256}
	t.Cleanup(transport.CloseIdleConnections)
	checked := w.checker.Transport("all", "/r/image", transport)
	statuses := make([]int, 2000)
	var wg sync.WaitGroup
	for i := range statuses {
		wg.Go(func() {
			statuses[i], _, _ = fetch(t, checked, w.url()+"/r/image/metadata/timestamp.json", "")
			if statuses[i] == 200 {
				statuses[i], _, _ = fetch(t, checked, w.url()+"/r/image/targets/app/1.tar", "")
			}
		})
		switch i {
		case 500:
			w.mirrors[0].Close()
		case 1000:
			w.mirrorStates[1] = "draining"
			w.reload()
		}
	}
	wg.Wait()
	counts := map[int]int{}
	for _, a := range statuses {
		counts[a]++
	}
	if counts[200]+counts[503] != len(statuses) || counts[200] == 0 {
		t.Errorf("responses by status: %v\n%s", counts, tail(w.log.String()))
	}
	// The test waits, because a client can get its response before the proxy counts the request as ended.
	w.until("no request is in flight", func() bool { return w.service.Proxy.Status().InFlight == 0 })
	transport.CloseIdleConnections()
	w.until("memory and goroutines of the requests are released", func() bool {
		heapNow, goroutinesNow := usage()
		return heapNow < heap+(8<<20) && goroutinesNow < goroutines+64
	})
	w.checkNoFindings()
}

// TestMirroredDirector_MustAgreeWithImageRepository checks that the targets of a mirrored Director repository are served only if the
// image repository agrees with them.
func TestMirroredDirector_MustAgreeWithImageRepository(t *testing.T) {
	w := newTestService(t, 2, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(1000, 1)))
	w.must(w.otherPublisher.Add("app/1.tar", 1, content(1000, 1)))
	m, err := repository.NewMirror("d0", w.otherPublisher, nil)
	w.must(err)
	t.Cleanup(m.Close)
	w.writeFile("other.json", w.otherPublisher.Root(1))
	w.extraDirectives = "  repository told {\n    root other.json\n    mirror d0 " + m.Address() + " z up\n    agree image\n  }\n"
	w.start()
	targets := func() int {
		v := w.service.Proxy.Status().Repositories[1].Targets
		fetch(t, http.DefaultTransport, w.url()+"/r/told/metadata/timestamp.json", "")
		status, _, _ := fetch(t, http.DefaultTransport, w.url()+fmt.Sprintf("/r/told/metadata/%d.targets.json", v), "")
		return status
	}
	w.until("the repositories agree", func() bool { return targets() == 200 })
	for _, c := range []struct {
		name string
		add  func() error
		want int
	}{
		{"a hash", func() error { return w.otherPublisher.Add("app/1.tar", 1, content(1000, 2)) }, 503},
		{"a length", func() error { return w.otherPublisher.Add("app/1.tar", 1, content(999, 1)) }, 503},
		{"a version", func() error { return w.otherPublisher.Add("app/1.tar", 2, content(1000, 1)) }, 503},
		{"nothing", func() error { return w.otherPublisher.Add("app/1.tar", 1, content(1000, 1)) }, 200},
		{"a path", func() error { return w.otherPublisher.Add("app/2.tar", 2, content(10, 1)) }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			w.must(c.add())
			w.until("the newest timestamp is held", func() bool {
				targets()
				return w.service.Proxy.Status().Repositories[1].Timestamp == w.otherPublisher.Version("timestamp")
			})
			if got := targets(); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}
		})
	}
}

// TestReload_ReplacesTheDirectorsKeys checks that a server that holds metadata signed by the old keys continues to update after the
// Director's keys were replaced.
func TestReload_ReplacesTheDirectorsKeys(t *testing.T) {
	w := newTestService(t, 2, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(10, 1)))
	w.addServer("s1", "z")
	w.start()
	s := w.newServer("s1")
	w.until("s1 runs package 1", func() bool { return s.Step() == nil && s.Build == 1 })
	for _, role := range []string{"timestamp", "targets", "snapshot"} {
		w.must(w.directorPublisher.Rotate(role))
		for i, k := range w.directorPublisher.Keys[role] {
			_ = k.Save(w.dir+fmt.Sprintf("/%s%d-new.key", role, i), nil)
		}
		w.must(replaceKeys(w.dir, role, len(w.directorPublisher.Keys[role])))
		w.directorChecker.Reset()
		w.reload()
		w.until("the server updates with the new keys", func() bool { return s.Step() == nil })
	}
	w.checkNoFindings()
}

// usage returns the heap size in bytes after a garbage collection, and the number of goroutines.
func usage() (heap uint64, goroutines int) {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc, runtime.NumGoroutine()
}

// TestDirector_ReceivesServersAndStagesFromDiscoveryAndReleaseAPI checks a configuration in which discovery agents list
// the mirrors and the servers, and the release API gives the stage and the votes.
func TestDirector_ReceivesServersAndStagesFromDiscoveryAndReleaseAPI(t *testing.T) {
	w := newTestService(t, 2, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(100, 1)))
	w.must(w.publisher.Add("app/2.tar", 2, content(100, 2)))
	var mu sync.Mutex
	state := "up"
	agent := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Has("since") {
			time.Sleep(50 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		var hosts []string
		for i, m := range w.mirrors {
			health := "up"
			if i == 0 {
				health = state
			}
			hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"health":%q,"share":1,"born_ms":0,"image_id":1}`, m.Name,
				m.Address(), health))
		}
		_, _ = fmt.Fprintf(rw, `{"seq":1,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ","))
	}))
	t.Cleanup(func() { agent.CloseClientConnections(); agent.Close() })
	w.discoveryAddress = agent.Listener.Addr().String()
	var listed []*backends.Backend
	for i := range 4 {
		name := fmt.Sprint("s", i)
		w.addServer(name, "z")
		backend, err := backends.NewBackend(name, 1, nil)
		w.must(err)
		t.Cleanup(backend.Close)
		listed = append(listed, backend)
	}
	platform, err := backends.NewPlatform(listed, 1, []float64{0.5, 1}, 0)
	w.must(err)
	t.Cleanup(platform.Close)
	w.directorSource = fmt.Sprintf("discovery %s\n    platform %s", platform.Address(), platform.Address())
	w.start()
	w.until("a client can update", func() bool { return w.updateClient("c") == nil })
	count := func() [2]int {
		counts := w.service.Director().Count()
		return [2]int{counts.Servers, counts.Assigned}
	}
	w.until("all servers are known", func() bool { return count()[0] == 4 })
	backends.RunUntilCleanup(t, func(ctx context.Context) error { platform.Offer(ctx, 2, 0); return nil })
	w.until("two of four servers are assigned the version", func() bool { return count() == [2]int{4, 2} })
	listed[0].Set("removed", 0) // three servers remain; the exposure cap is one half, and 1.5 servers are rounded down to one
	platform.NotifyChange()
	w.until("one of three servers is assigned the version", func() bool { return count() == [2]int{3, 1} })
	resp, err := http.Post("http://"+platform.Address()+"/judgements", "", strings.NewReader(`{"Revision":2,"Wave":0,"Decision":"ROLLBACK"}`))
	w.must(err)
	_ = resp.Body.Close()
	w.until("the version is rolled back", func() bool { return count()[1] == 0 })
	mu.Lock()
	state = "draining"
	mu.Unlock()
	w.until("the draining mirror is known", func() bool { return w.service.Proxy.Status().Repositories[0].Mirrors == 1 })
	before := len(w.mirrors[0].Requests())
	for range 20 {
		_ = w.updateClient("c")
		w.get("c", "/r/image/targets/app/1.tar")
	}
	if n := len(w.mirrors[0].Requests()) - before; n > 0 {
		t.Errorf("a draining mirror got %d requests", n)
	}
	w.checkNoFindings()
}

// TestPartialAssignment checks that partial verification of the Director's targets alone gives the same assignment as full
// verification, and refuses another repository's root and expired metadata.
func TestPartialAssignment(t *testing.T) {
	w := newTestService(t, 2, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(100, 1)))
	w.addServer("s1", "z")
	w.start()
	var got []*tufverify.Target
	w.until("s1 is assigned package 1", func() (ok bool) {
		var err error
		got, err = PartialAssignment(w.url(), "s1", w.directorPublisher.Root(1), w.clock.Now())
		return err == nil && len(got) == 1
	})
	whole, err := Assignment(w.url(), "s1", w.directorPublisher.Root(1), w.clock.Now())
	if err != nil || len(whole) != 1 || whole[0].Sum != got[0].Sum || got[0].Path != "app/1.tar" {
		t.Errorf("%+v, %+v, %v", got, whole, err)
	}
	if _, err := PartialAssignment(w.url(), "s1", w.publisher.Root(1), w.clock.Now()); err == nil {
		t.Error("the targets are accepted with another repository's root")
	}
	if _, err := PartialAssignment(w.url(), "s1", w.directorPublisher.Root(1), w.clock.Now().Add(time.Hour)); err == nil {
		t.Error("expired targets are accepted")
	}
	if _, err := Assignment(w.url(), "nobody", w.directorPublisher.Root(1), w.clock.Now()); err == nil {
		t.Error("an unknown server gets an assignment")
	}
}
