package relay

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"silvercove/internal/standin/backends"
)

// TestRollingRestart_AllRequestsAnswered sends SIGTERM right after a new configuration has changed the discovery address,
// while the backend answers slowly. The relay must stop only after every accepted request is answered. A client that
// connects during the grace period after SIGTERM must be served too.
func TestRollingRestart_AllRequestsAnswered(t *testing.T) {
	var paused atomic.Bool
	var served atomic.Int64
	u, err := backends.NewBackend("s-1", 1, func(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) {
		served.Add(1)
		if paused.Load() {
			return false, 300 * time.Millisecond
		}
		return false, 5 * time.Millisecond
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	first, second := newControlPlane(t, u.Address()), newControlPlane(t, u.Address())
	replace, listen, ended := startRelay(t, first, first)
	var all sync.WaitGroup
	var succeeded, rejected atomic.Int64
	client := func(name string, most int) {
		all.Go(func() {
			n, denied, lost := sendRequests(listen, name, most)
			succeeded.Add(int64(n))
			rejected.Add(int64(denied))
			if lost != nil {
				t.Errorf("client %s: %v", name, lost)
			}
		})
	}
	for i := range 8 {
		client(fmt.Sprintf("c%d-", i), 1<<20) // this client sends requests until the relay closes its session
	}
	backends.Eventually(t, "requests are served", func() bool { return served.Load() > 20 })
	paused.Store(true)
	replace(configText(second.Addr().String(), first.Addr().String(), first.page()))
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	second.want(t, "GET /v1/servers")
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	time.Sleep(acceptGrace / 2) // the relay still accepts connections, as acceptGrace has not passed
	before := served.Load()
	client("late-", 1)
	paused.Store(false)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the relay does not stop")
	}
	all.Wait()
	if succeeded.Load() < 20 || served.Load() <= before {
		t.Errorf("%d succeeded, %d rejected, %d served after SIGTERM", succeeded.Load(), rejected.Load(), served.Load()-before)
	}
	if n := succeeded.Load() + rejected.Load(); n < served.Load() {
		t.Errorf("the backend answered %d requests, clients have %d answers", served.Load(), n)
	}
}
