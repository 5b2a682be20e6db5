package metadataservice

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
)

// TestService_ServersUpdateThroughIt checks that servers install the packages that they are assigned. It checks this
// under an exposure cap, which limits the number of servers with the new package, and after the release of the new
// package.
func TestService_ServersUpdateThroughIt(t *testing.T) {
	w := newTestService(t, 3, tufrepo.Lifetimes{})
	first, second := content(700_000, 1), content(300_000, 2)
	w.must(w.publisher.Add("app/1.tar", 1, first, "large"))
	w.addServer("s1", "z0")
	w.addServer("s2", "z1")
	w.start()
	server1 := w.newServer("s1")
	w.until("s1 runs package 1", func() bool {
		err := server1.Step()
		if err != nil {
			_, _ = w.log.Write([]byte(err.Error() + "\n"))
		}
		return err == nil && server1.Running == "app/1.tar"
	})
	w.must(w.publisher.Add("app/2.tar", 2, second, "large"))
	w.stageLine = "wave 2 testing 50%"
	w.reload()
	server2 := w.newServer("s2")
	w.until("one of two servers runs package 2", func() bool {
		_ = server1.Step()
		_ = server2.Step()
		return (server1.Build == 2) != (server2.Build == 2) && server1.Build > 0 && server2.Build > 0
	})
	for range 5 {
		_ = server1.Step()
		_ = server2.Step()
	}
	if server1.Build+server2.Build != 3 {
		t.Errorf("builds %d and %d, the cap allows one of two servers to have build 2", server1.Build, server2.Build)
	}
	w.stageLine = "wave 2 live 100%"
	w.reload()
	w.until("both servers run package 2", func() bool { _ = server1.Step(); _ = server2.Step(); return server1.Build == 2 && server2.Build == 2 })
	w.checkNoFindings()
}

// TestService_MetadataExpireBetweenRequests checks that no expired file is served. A client requests the timestamp, the
// snapshot, the targets and a package in turn. In each case of the test, the metadata expire before a different one of
// these requests. The test also checks that expired metadata stay refused if the clock then jumps back, and after a
// restart.
func TestService_MetadataExpireBetweenRequests(t *testing.T) {
	for _, boundary := range []string{"timestamp.json", "snapshot.json", "targets.json", "app/1.tar"} {
		for _, clockBack := range []bool{false, true} {
			t.Run(fmt.Sprintf("before %s, clock back %v", boundary, clockBack), func(t *testing.T) {
				t.Parallel()
				w := newTestService(t, 2, repository.ShortLifetimes(time.Hour))
				w.must(w.publisher.Add("app/1.tar", 1, content(1000, 1)))
				w.start()
				w.until("a client can update", func() bool { return w.updateClient("c") == nil })
				v := w.service.Proxy.Status().Repositories[0]
				paths := []string{"/metadata/timestamp.json", fmt.Sprintf("/metadata/%d.snapshot.json", v.Snapshot),
					fmt.Sprintf("/metadata/%d.targets.json", v.Targets), "/targets/app/1.tar"}
				expired := false
				for _, p := range paths {
					if strings.HasSuffix(p, boundary) {
						w.clock.Jump(61 * time.Minute)
						expired = true
					}
					status, _, h := w.get("c", "/r/image"+p)
					if expired && (status != 503 || h.Get("Retry-After") == "") || !expired && status != 200 {
						t.Errorf("%s: status %d, expired %v", p, status, expired)
					}
				}
				if clockBack { // a clock that jumps back, or to 1970, must not make expired metadata current again
					for _, to := range []time.Time{w.clock.Now().Add(-2 * time.Hour), time.Unix(0, 0)} {
						w.clock.Set(to)
						for _, p := range paths {
							if status, _, _ := w.get("back", "/r/image"+p); status == 200 {
								t.Errorf("%s was served again", p)
							}
						}
					}
					w.stop()
					w.start()
					if w.updateClient("restarted") == nil {
						t.Error("expired metadata are current again after a restart")
					}
				}
			})
		}
	}
}

// TestService_RootRotatesTwice checks that new and old clients get the newest metadata if the root is rotated twice,
// each time with a new key for a role. During the rotations, one client has fetched only the timestamp of an update.
// One mirror still serves metadata signed by a revoked key.
func TestService_RootRotatesTwice(t *testing.T) {
	for _, role := range []string{"timestamp", "snapshot", "targets", "root"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			w := newTestService(t, 3, tufrepo.Lifetimes{})
			w.must(w.publisher.Add("app/1.tar", 1, content(1000, 1)))
			w.start()
			w.until("a client can update", func() bool { return w.updateClient("c") == nil })
			// Client c fetches the timestamp of an update that it does not finish before the rotations.
			if status, _, _ := w.get("c", "/r/image/metadata/timestamp.json"); status != 200 {
				t.Fatal(status)
			}
			w.mirrors[0].Script(repository.Fault{To: -1, Kind: "freeze"})
			w.mirrors[0].Requests()
			before := w.publisher.Len()
			fetch(t, http.DefaultTransport, "http://"+w.mirrors[0].Address()+"/metadata/timestamp.json", "")
			w.must(w.publisher.Rotate(role))
			w.must(w.publisher.Rotate(role))
			if w.publisher.Len() != before+2 {
				t.Fatal("the keys were not rotated")
			}
			w.until("root 4 is held", func() bool {
				_ = w.updateClient("c")
				return w.service.Proxy.Status().Repositories[0].Root >= w.publisher.Version("root")
			})
			w.checker.Reset()
			w.until("a new client can update", func() bool { return w.updateClient("new") == nil })
			w.until("an old client can update", func() bool { return w.updateClient("c") == nil })
			w.until("the newest timestamp is held", func() bool {
				_ = w.updateClient("new")
				return w.service.Proxy.Status().Repositories[0].Timestamp == w.publisher.Version("timestamp")
			})
			w.checkNoFindings()
		})
	}
}

// TestService_RandomFaultScripts checks the service with random faults of the mirrors. No invalid file may be passed
// on. The newest metadata must be served as long as one mirror has no faults.
func TestService_RandomFaultScripts(t *testing.T) {
	faultKinds := []string{"lag", "freeze", "mix", "endless", "slow", "length", "half", "foreign", "status", "refuse", "flip"}
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 1))
			w := newTestService(t, 4, tufrepo.Lifetimes{})
			w.must(w.publisher.Add("app/1.tar", 1, content(30_000, 1)))
			w.start()
			w.until("a client can update", func() bool { return w.updateClient("c") == nil })
			for round := range 4 {
				for _, m := range w.mirrors[1:] {
					var faults []repository.Fault
					for range r.IntN(4) {
						f := repository.Fault{From: r.IntN(5), Kind: faultKinds[r.IntN(len(faultKinds))], Value: 1 + r.IntN(60)}
						f.To = f.From + r.IntN(20)
						f.Match = []string{"", "timestamp", "snapshot", "targets.json", "app"}[r.IntN(5)]
						if f.Kind == "status" {
							f.Value = []int{404, 500, 503}[r.IntN(3)]
						}
						faults = append(faults, f)
					}
					m.Script(faults...)
				}
				w.must(w.publisher.Add(fmt.Sprintf("app/%d.tar", 2+round), uint16(2+round), content(20_000+round, byte(round))))
				var wg sync.WaitGroup
				for i := range 6 {
					wg.Go(func() {
						_ = w.updateClient(fmt.Sprint("c", i))
						w.get(fmt.Sprint("c", i), fmt.Sprintf("/r/image/targets/app/%d.tar", 1+round))
					})
				}
				wg.Wait()
				newest := w.publisher.Version("timestamp")
				w.until("the newest metadata are served", func() bool {
					return w.updateClient("c") == nil && w.service.Proxy.Status().Repositories[0].Timestamp == newest
				})
			}
			w.checkNoFindings()
		})
	}
}

// TestReload_RefusedFileChangesNothing checks that a rejected file leaves the configuration unchanged, and that the error names the
// fault.
func TestReload_RefusedFileChangesNothing(t *testing.T) {
	w := newTestService(t, 2, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(10, 1)))
	w.addServer("s1", "z")
	w.start()
	w.until("a client can update", func() bool { return w.updateClient("c") == nil })
	good := w.readFile("cove.conf")
	for _, c := range []struct{ name, old, replacement, want string }{
		{"an unknown directive", "refresh", "refrsh", "unknown"}, {"a fixed directive", "refresh 100ms", "refresh 50ms", "restart"},
		{"another repository", "repository image", "repository images", "not a repository"},
		{"a missing key file", "timestamp0.key", "nowhere.key", "no such file"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w.writeFile("cove.conf", []byte(strings.Replace(string(good), c.old, c.replacement, 1)))
			if err := w.service.Reload(); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v", err)
			}
			if err := w.updateClient("c"); err != nil {
				t.Error(err)
			}
		})
	}
	w.writeFile("cove.conf", good)
	w.must(w.service.Reload())
}
