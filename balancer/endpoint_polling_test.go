package balancer

import "testing"

// TestEndpointPolling_BacksOff: a relay whose calls are rejected asks less and less often, even if the poll interval of
// the settings is missing or invalid.
func TestEndpointPolling_BacksOff(t *testing.T) {
	for _, c := range []struct {
		pollInterval       Seconds
		minCalls, maxCalls int // minimum and maximum number of calls in 20 s
	}{{20, 2, 9}, {0, 10, 30}, {-1e300, 10, 30}, {-5, 10, 30}} {
		b := newFixture(func(s *Settings) {
			s.Discovery = DiscoverySubscribe
			s.Endpoints.PollInterval = c.pollInterval
		})
		b.OnListSynced(b.now, false)
		b.host.watchCalls = 0
		for range 20 {
			b.advance(Second)
			b.OnListSynced(b.now, false)
		}
		if n := b.host.watchCalls; n < c.minCalls || n > c.maxCalls {
			t.Errorf("the relay asked for the list %d times with a poll interval of %v", n, c.pollInterval)
		}
	}
}

// TestEndpointPolling_PollsInTime: whatever the settings say, a relay whose call for the list has failed calls again
// within 4 s plus timerInterval. This holds from the first call on. The site holds a relay responsible for a change of
// the list from 6 s after the discovery service has the change. A pause of 4 s leaves 2 s for the call. Relays that
// were rejected together do not ask again together.
func TestEndpointPolling_PollsInTime(t *testing.T) {
	const maxPause = 4*Second + timerInterval
	for _, pollInterval := range []Seconds{-1e300, -5, 0, 0.1, 1, 3, 10, 20, 600, 1e6, 1e300} {
		// Calls are rejected from the start, or only after the first list has arrived.
		for _, atStart := range []bool{true, false} {
			relaysByTenthCall := map[Tick]int{} // for each time, the number of relays whose tenth call came then
			for seed := range uint64(60) {
				host := newRecordingHost()
				b := &fixture{Balancer: New(host, testStart, seed, testSettings(func(s *Settings) {
					s.Discovery = DiscoverySubscribe
					s.Endpoints.PollInterval = pollInterval
				})), host: host, now: testStart}
				if !atStart {
					b.advance(timerInterval)
					b.OnListSynced(b.now, true)
				}
				b.OnListSynced(b.now, false)
				for last, n := b.now, 0; n < 10; {
					before := host.watchCalls
					if b.advance(timerInterval); b.now-last > maxPause {
						t.Fatalf("poll interval %v: no call for %d s after the last one", pollInterval, (b.now-last)/Second)
					}
					if host.watchCalls > before {
						last, n = b.now, n+1
						b.OnListSynced(b.now, false)
						if n == 10 {
							relaysByTenthCall[b.now]++
						}
					}
				}
			}
			for when, n := range relaysByTenthCall {
				if n > 12 {
					t.Errorf("poll interval %v: %d of 60 relays make their tenth call at tick %d", pollInterval, n, when)
				}
			}
		}
	}
}
