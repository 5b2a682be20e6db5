package lab

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"silvercove/internal/tufverify"
)

// measureCapDecrease measures how fast servers get the earlier package back after the exposure cap is lowered. All
// servers poll until 35% of them are assigned the later package. The cap is then lowered to 10%. count is the number of
// servers that are assigned the earlier package again. For each of these servers, h holds the time from the change of
// the cap until the server fetched its new assignment. issued is the number of versions of metadata that the Director
// issued from the change of the cap until the last server had stopped polling.
func (m Metadata) measureCapDecrease(ctx context.Context, w *proxyFixture, n int) (count int, issued int64, h latencies, err error) {
	transport := &http.Transport{MaxIdleConnsPerHost: m.Width, MaxConnsPerHost: m.Width}
	defer transport.CloseIdleConnections()
	p := &pollers{Metadata: m, proxyFixture: w, transport: transport, url: "http://" + w.proxy.Address(), assigned: make([]uint16, n)}
	want := int(0.35 * float64(n))
	for end := time.Now().Add(2 * time.Minute); p.count(2) < want; {
		if err := p.round(ctx); err != nil {
			return 0, 0, h, err
		}
		if time.Now().After(end) {
			return 0, 0, h, fmt.Errorf("%d of %d servers were assigned the later package after two minutes", p.count(2), want)
		}
	}
	issuedBefore := w.proxy.Director().IssuedCount()
	h = newLatencies()
	w.stageLine = "wave 2 testing 10%"
	if err := w.write(); err != nil {
		return 0, 0, h, err
	}
	began := time.Now()
	if err := w.proxy.Reload(); err != nil {
		return 0, 0, h, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		if p.assigned[i] != 2 {
			continue
		}
		all.Go(func() {
			if p.waitForEarlierPackage(ctx, i, began) {
				mu.Lock()
				h.add(time.Since(began))
				count++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if least := p.count(2) - n/10; count < least {
		return count, 0, h, fmt.Errorf("%d servers were moved back to the earlier package, expected at least %d", count, least)
	}
	return count, w.proxy.Director().IssuedCount() - issuedBefore, h, ctx.Err()
}

// pollers are servers that poll the metadata proxy for their assignment. Only one goroutine at a time may call the
// methods, except for waitForEarlierPackage, which may run for several servers at once.
type pollers struct {
	Metadata
	*proxyFixture
	transport http.RoundTripper
	url       string
	assigned  []uint16 // by server: build number of the package that the server was assigned last; 0: none
	counter   int64    // counter in the reports of all servers; it increases with each round
}

// count returns the number of servers that were last assigned the package with the build number build.
func (p *pollers) count(build uint16) (n int) {
	for _, b := range p.assigned {
		if b == build {
			n++
		}
	}
	return n
}

// round has each server poll once. A server whose assigned package has changed reports that it runs the new package.
// The report allows the Director to assign that package to further servers.
func (p *pollers) round(ctx context.Context) error {
	var mu sync.Mutex
	var all sync.WaitGroup
	limit := make(chan struct{}, p.Width)
	p.counter++
	for i := range p.assigned {
		limit <- struct{}{}
		all.Go(func() {
			defer func() { <-limit }()
			b := assignedPackage(p.transport, p.url, i)
			mu.Lock()
			changed := p.assigned[i] != b
			p.assigned[i] = b
			mu.Unlock()
			if changed && b != 0 {
				p.report(i, b)
			}
		})
	}
	all.Wait()
	return ctx.Err()
}

// report sends a server's report that it runs the package with the build number build.
func (p *pollers) report(server int, build uint16) {
	path := fmt.Sprintf("app/%d.tar", build)
	text, err := tufverify.SignReport(tufverify.Report{Server: fmt.Sprint("s", server), Hardware: "large", Counter: p.counter,
		RunningTarget: path, Build: build, InstallResult: "ok", AttemptedTarget: path}, p.key.Private)
	if err == nil {
		httpRequest(p.transport, http.MethodPost, fmt.Sprintf("%s/director/s%d/manifest", p.url, server), string(text), discardBody)
	}
}

// waitForEarlierPackage has a server poll until it is assigned the earlier package, and then returns true. The first
// polls of different servers are spread over the time Poll. The parameter began is the time at which the proxy began to
// load the lowered cap. The result is false if the server keeps the later package although two conditions hold: more
// than 3 x Poll + 1 s have passed since began, and at most a tenth of the servers are still assigned the later package.
// The result is also false if the server is not assigned the earlier package within 20 x Poll + 5 s after began, or if
// ctx ends.
func (p *pollers) waitForEarlierPackage(ctx context.Context, server int, began time.Time) bool {
	wait := time.Duration(server%97) * p.Poll / 97
	for time.Since(began) < 20*p.Poll+5*time.Second && ctx.Err() == nil {
		time.Sleep(wait)
		if assignedPackage(p.transport, p.url, server) == 1 {
			return true
		}
		if assignedCount := p.proxy.Director().Count().Assigned; assignedCount <= len(p.assigned)/10 && time.Since(began) > 3*p.Poll+time.Second {
			return false
		}
		wait = p.Poll
	}
	return false
}

// assignedPackage fetches the build number of the package that server i is assigned, without verifying the metadata. It
// returns 0 if no package is assigned or the fetch fails.
func assignedPackage(transport http.RoundTripper, proxyURL string, i int) uint16 {
	var timestamp struct {
		Signed struct {
			Version int64
		}
	}
	base := fmt.Sprintf("%s/director/s%d/metadata/", proxyURL, i)
	if httpRequest(transport, http.MethodGet, base+"timestamp.json", "", decodeInto(&timestamp)) != 200 {
		return 0
	}
	var targets struct {
		Signed struct {
			Targets map[string]struct{ Custom tufverify.Custom }
		}
	}
	if httpRequest(transport, http.MethodGet, fmt.Sprintf("%s%d.targets.json", base, timestamp.Signed.Version), "", decodeInto(&targets)) != 200 {
		return 0
	}
	for _, t := range targets.Signed.Targets {
		return t.Custom.Build
	}
	return 0
}
