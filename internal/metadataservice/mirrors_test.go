package metadataservice

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
)

// content returns the content of a package: n bytes that depend on seed.
func content(n int, seed byte) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7) ^ byte(i>>8) ^ seed
	}
	return b
}

// TestTarget_IsResumedVerifiedAndRanged checks that a package is delivered whole and verified while mirrors fail, that no wrong byte is
// passed on if every mirror sends one, and that Range requests are answered.
func TestTarget_IsResumedVerifiedAndRanged(t *testing.T) {
	body := content(1_000_000, 3)
	for _, c := range []struct {
		name   string
		script func(w *testService)
		whole  bool
	}{
		{"no faults", func(w *testService) {}, true},
		{"every mirror breaks off", func(w *testService) {
			for _, m := range w.mirrors {
				m.Script(repository.Fault{To: 1, Match: "targets/app", Kind: "half", Value: 60})
			}
		}, true}, // complete, because each mirror continues at the byte where the previous mirror broke off
		{"one mirror flips a byte", func(w *testService) {
			w.mirrors[0].Script(repository.Fault{To: -1, Match: "targets/app", Kind: "flip", Value: 500_000})
		}, true},
		{"two mirrors are silent", func(w *testService) {
			for _, m := range w.mirrors[:2] {
				m.Script(repository.Fault{To: -1, Match: "targets/app", Kind: "silent"})
			}
		}, true},
		{"every mirror flips a byte", func(w *testService) {
			for _, m := range w.mirrors {
				m.Script(repository.Fault{To: -1, Match: "targets/app", Kind: "flip", Value: 500_000})
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestService(t, 3, tufrepo.Lifetimes{})
			w.must(w.publisher.Add("app/1.tar", 1, body))
			w.start()
			w.until("a client can update", func() bool { return w.updateClient("c") == nil })
			c.script(w)
			status, got, _ := w.get("c", "/r/image/targets/app/1.tar")
			if c.whole && (status != 200 || !bytes.Equal(got, body)) {
				t.Errorf("status %d, %d bytes\n%s", status, len(got), tail(w.log.String()))
			}
			if !c.whole && (status != 0 || !bytes.Equal(got, body[:len(got)]) || len(got) >= 500_000) {
				t.Errorf("status %d, %d bytes passed on of a corrupt package", status, len(got))
			}
			for _, m := range w.mirrors {
				m.Script()
			}
			for _, r := range []struct {
				header   string
				status   int
				from, to int
			}{{"bytes=10-19", 206, 10, 20}, {"bytes=600000-", 206, 600_000, 1_000_000}, {"bytes=-7", 206, 999_993, 1_000_000},
				{"bytes=1000000-", 416, 0, 0}, {"bytes=1-2,4-5", 200, 0, 1_000_000}} {
				status, got, _ := fetch(t, http.DefaultTransport, w.url()+"/r/image/targets/app/1.tar", r.header)
				if status != r.status || status != 416 && !bytes.Equal(got, body[r.from:r.to]) {
					t.Errorf("%s: status %d, %d bytes", r.header, status, len(got))
				}
			}
			w.checkNoFindings()
		})
	}
}

// TestMirror_OlderVersionIsNotServed guards against mirrors that present an older, validly signed version. One, two or
// all of the three mirrors begin to do so, while the service runs or while it is stopped for a restart. In the last
// entry of the table, one mirror does so, and the version store is restored from a backup before the restart.
func TestMirror_OlderVersionIsNotServed(t *testing.T) {
	for _, c := range []struct {
		lagging  int
		restart  bool
		restored bool
		served   bool // whether a client can fetch the newest version after the lagging mirrors began to serve an older one
	}{
		{1, false, false, true}, {2, false, false, true}, {3, false, false, false},
		{1, true, false, true}, {2, true, false, true}, {3, true, false, false},
		{1, true, true, true},
	} {
		t.Run(fmt.Sprintf("%d of 3 lagging, restart %v, restored %v", c.lagging, c.restart, c.restored), func(t *testing.T) {
			t.Parallel()
			w := newTestService(t, 3, tufrepo.Lifetimes{})
			w.must(w.publisher.Add("app/1.tar", 1, content(1000, 1)))
			w.start()
			w.until("a client can update", func() bool { return w.updateClient("early") == nil })
			var backup []byte
			if c.restored {
				w.stop()
				backup = w.readFile("floor")
				w.start()
			}
			w.must(w.publisher.Add("app/2.tar", 2, content(1000, 2)))
			newest := w.publisher.Version("timestamp")
			w.until("the newest timestamp is held", func() bool {
				_ = w.updateClient("early")
				return w.service.Proxy.Status().Repositories[0].Timestamp == newest
			})
			if c.restart {
				w.stop()
				if c.restored {
					w.writeFile("floor", backup)
				}
			}
			for _, m := range w.mirrors[:c.lagging] {
				m.Script(repository.Fault{To: -1, Kind: "lag", Value: 1})
			}
			if c.restart {
				w.start()
			}
			got := false
			for end := time.Now().Add(time.Second); time.Now().Before(end) && (!got || !c.served); {
				got = w.updateClient("late") == nil
			}
			if got != c.served {
				t.Errorf("a client can update: %v, want %v\n%s", got, c.served, tail(w.log.String()))
			}
			w.checkNoFindings()
		})
	}
}

// TestMirror_DrainedGetsNoRequests checks that a draining mirror gets no requests once one second has passed since the
// start of its drain. When the mirror is up again, it must get requests again.
func TestMirror_DrainedGetsNoRequests(t *testing.T) {
	w := newTestService(t, 3, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(100_000, 1)))
	w.start()
	w.until("a client can update", func() bool { return w.updateClient("c") == nil })
	sendRequests := func() {
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				_ = w.updateClient(fmt.Sprint("c", i))
				w.get(fmt.Sprint("c", i), "/r/image/targets/app/1.tar")
			})
		}
		wg.Wait()
	}
	sendRequests()
	w.mirrorStates[0] = "draining"
	w.reload()
	drained := time.Now()
	for time.Since(drained) < 1500*time.Millisecond {
		sendRequests()
	}
	for _, request := range w.mirrors[0].Requests() {
		if request.At.After(drained.Add(time.Second)) {
			t.Errorf("%s was requested %v after the start of the drain", request.Path, request.At.Sub(drained))
		}
	}
	w.mirrorStates[0] = "up"
	w.reload()
	n := len(w.mirrors[0].Requests())
	w.until("the mirror gets requests again", func() bool { sendRequests(); return len(w.mirrors[0].Requests()) > n })
	w.checkNoFindings()
}

// TestMirror_NewMirrorIsWarmedUp checks that a new mirror gets few requests at first, however many clients ask. In the
// half second after a reload adds the new mirror, the test counts the requests to the new mirror and to one warm
// mirror. The new mirror may get at most half of a reference number. The reference is the warm mirror's number in that
// half second, or its average per half second before the reload if that is higher. The average counts for two reasons:
// the budget of a new mirror also depends on earlier requests, and a busy machine can slow the warm mirrors in that half
// second.
func TestMirror_NewMirrorIsWarmedUp(t *testing.T) {
	w := newTestService(t, 3, tufrepo.Lifetimes{})
	w.must(w.publisher.Add("app/1.tar", 1, content(20_000, 1)))
	cold := w.mirrors[2]
	w.mirrors, w.mirrorStates = w.mirrors[:2], w.mirrorStates[:2]
	w.start()
	w.until("a client can update", func() bool { return w.updateClient("c") == nil })
	sendRequests := func(span time.Duration) {
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for end := time.Now().Add(span); time.Now().Before(end); {
					w.get(fmt.Sprint("c", i), "/r/image/targets/app/1.tar")
				}
			})
		}
		wg.Wait()
	}
	asked := len(w.mirrors[0].Requests())
	sendRequests(1500 * time.Millisecond)
	before := (len(w.mirrors[0].Requests()) - asked) / 3
	w.mirrors, w.mirrorStates = append(w.mirrors, cold), append(w.mirrorStates, "up")
	warmBefore := len(w.mirrors[0].Requests())
	w.reload()
	sendRequests(time.Second / 2)
	coldRequests, warmRequests := len(cold.Requests()), len(w.mirrors[0].Requests())-warmBefore
	if coldRequests == 0 || coldRequests > max(warmRequests, before)/2 {
		t.Errorf("the new mirror got %d requests at first, a warm one %d, and %d before", coldRequests, warmRequests, before)
	}
	w.checkNoFindings()
}
