package monotonic

import (
	"fmt"
	"sync"

	"silvercove/internal/tufverify"
)

// MemoryStore keeps the same for an installation without a lasting disk: nothing outlives the process. It is safe for
// concurrent use.
type MemoryStore struct {
	maxEntries int

	mu      sync.Mutex // guards all below
	entries map[string]entry
	latest  tufverify.Tick
}

// NewMemoryStore makes a store of at most maxEntries entries.
func NewMemoryStore(maxEntries int) *MemoryStore {
	return &MemoryStore{maxEntries: maxEntries, entries: map[string]entry{}}
}

// Recorded is the highest version of a key, 0 for none.
func (s *MemoryStore) Recorded(key string) (int64, tufverify.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].version, s.entries[key].sum
}

// Record keeps a version. Its error wraps ErrOlderVersion, ErrConflict or ErrFull; nothing has changed then.
func (s *MemoryStore) Record(key string, version int64, sum tufverify.Digest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[key]
	e := entry{version: version, sum: sum}
	if err := e.checkMonotonic(known, key); err != nil {
		return err
	}
	if !ok && len(s.entries) >= s.maxEntries {
		return fmt.Errorf("floor: %d entries: %w", len(s.entries), ErrFull)
	}
	s.entries[key] = e
	return nil
}

// TrustedTime is the latest time that was ever trusted.
func (s *MemoryStore) TrustedTime() tufverify.Tick {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// AdvanceTime keeps a time. One that is no later than the latest changes nothing.
func (s *MemoryStore) AdvanceTime(now tufverify.Tick) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = max(s.latest, now)
	return nil
}

// Entries lists what is kept, by key.
func (s *MemoryStore) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedEntries(s.entries)
}
