package balancer

import "testing"

func TestIdempotency_ForwardOnlyKeys(t *testing.T) {
	b := newFixture(func(s *Settings) { s.Rollout.ForwardOnly = true })
	b.status(2, 0, Canary, 0.2)
	stable := b.addBackend(1, 1, 0)
	b.addBackend(2, 2, 0)
	b.addAnsweredKey(9, 2)
	check(t, "key of a later version, at the earlier one", b.checkBackend(&Request{Key: 9}, stable) == NotRefused, false)
	check(t, "another key", b.checkBackend(&Request{Key: 8}, stable) == NotRefused, true)
	b.addAnsweredKey(7, 3) // version 3, which no release status has announced yet, has answered key 7
	check(t, "key of an unannounced version", b.checkBackend(&Request{Key: 7}, stable) == NotRefused, false)
	b.status(2, 0, RollingBack, 0)
	check(t, "key of a version that is rolled back", b.checkBackend(&Request{Key: 9}, stable) == NotRefused, true)
	check(t, "key of a version while another is rolled back", b.checkBackend(&Request{Key: 7}, stable) == NotRefused, false)
}

// TestIdempotency_KeyFiltersAreBounded: with many keys and versions, the number of key filters stays bounded. A filter
// loses no key and reports few other keys as added.
func TestIdempotency_KeyFiltersAreBounded(t *testing.T) {
	b := newFixture(func(s *Settings) { s.Rollout.ForwardOnly = true })
	key := func(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 }
	const keyCount = 100_000
	for version := uint16(2); version < 40; version++ {
		for i := range keyCount / 38 {
			b.addAnsweredKey(key(i), version)
		}
	}
	check(t, "versions with a key filter", len(b.answeredKeys), maxAnsweredVersions)
	filter := &keyFilter{}
	for i := range keyCount {
		filter.add(key(i))
	}
	falsePositives := 0
	for i := range keyCount {
		check(t, "contains an added key", filter.mayContain(key(i)), true)
		if filter.mayContain(key(keyCount + i)) {
			falsePositives++
		}
	}
	if falsePositives > keyCount/50 {
		t.Errorf("%d of %d other keys are reported as added", falsePositives, keyCount)
	}
}

func TestIdempotency_NoEffectTwice(t *testing.T) {
	for _, c := range []struct {
		name           string
		class          int
		scope          DedupScope
		outcome        Outcome
		age            Tick
		zone, cell     int // zone and cell of the backend that would get the repeat; the first attempt was in zone 1 and cell 1
		repeat, reject bool
	}{
		{"idempotent, timed out", idempotent, DedupNowhere, TimedOut, 0, 2, 2, true, true},
		{"at most once, at capacity", atMostOnce, DedupNowhere, AtCapacity, 0, 2, 2, true, true},
		{"at most once, connect failed", atMostOnce, DedupNowhere, ConnectFailed, 0, 2, 2, true, true},
		{"at most once, never sent", atMostOnce, DedupNowhere, Discarded, 0, 2, 2, true, true},
		{"at most once, timed out", atMostOnce, DedupNowhere, TimedOut, 0, 1, 1, false, false},
		{"at most once, cancelled", atMostOnce, DedupNowhere, Cancelled, 0, 1, 1, false, false},
		{"deduplicated everywhere, within the window", withKey, DedupEverywhere, Reset, Second - 2, 2, 2, true, true},
		{"deduplicated everywhere, at the end of the window", withKey, DedupEverywhere, Reset, Second - 1, 2, 2, false, true},
		{"deduplicated by zone, same zone", withKey, DedupZone, Reset, 0, 1, 2, true, false},
		{"deduplicated by zone, another zone", withKey, DedupZone, Reset, 0, 2, 1, false, false},
		{"deduplicated by cell, same cell", withKey, DedupCell, Reset, 0, 2, 1, true, false},
		{"deduplicated by cell, another cell", withKey, DedupCell, Reset, 0, 1, 2, false, false},
		{"deduplicated by zone, at capacity", withKey, DedupZone, AtCapacity, 0, 2, 2, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.settings.Classes[c.class].DedupScope = c.scope
			b.Balancer.now = testStart + c.age
			first := &Backend{Endpoint: Endpoint{Zone: 1, Cell: 1}}
			request := &Request{Class: c.class}
			request.attempts = []*Attempt{{Request: request, Backend: first, chosenAt: testStart, state: attemptEnded, outcome: c.outcome}}
			receiver := &Backend{Endpoint: Endpoint{Zone: c.zone, Cell: c.cell}}
			check(t, "safe to repeat", b.safeToRepeat(request, request.attempts, receiver), c.repeat)
			check(t, "safe to reject", b.safeToReject(request), c.reject)
			request.attempts[0].state = attemptRunning
			check(t, "safe to repeat while an attempt is running", b.safeToRepeat(request, request.attempts, first), false)
		})
	}
}
