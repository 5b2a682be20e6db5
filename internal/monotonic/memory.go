package monotonic

import (
	"fmt"
	"sync"

	"silvercove/internal/tufverify"
)

// MemoryStore keeps versions and the latest time in memory, for installations without persistent storage. Its content is
// lost when the process ends. It is safe for concurrent use.
type MemoryStore struct {
	maxEntries int

	mu      sync.Mutex // guards all fields below
	entries map[string]entry
	latest  tufverify.Tick
}

// NewMemoryStore returns an empty store that holds at most maxEntries entries.
func NewMemoryStore(maxEntries int) *MemoryStore {
	return &MemoryStore{maxEntries: maxEntries, entries: map[string]entry{}}
}

// Recorded returns the highest recorded version of a key and the checksum of its content. The version is 0 if there is
// none.
func (s *MemoryStore) Recorded(key string) (int64, tufverify.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].version, s.entries[key].sum
}

// Record records a version of a key and the checksum of its content. The error wraps ErrOlderVersion, ErrConflict or
// ErrFull. After an error, the store is unchanged.
func (s *MemoryStore) Record(key string, version int64, sum tufverify.Digest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[key]
	e := entry{version: version, sum: sum}
	if err := e.checkMonotonic(known, key); err != nil {
		return err
	}
	if !ok && len(s.entries) >= s.maxEntries {
		return fmt.Errorf("version store: %d entries: %w", len(s.entries), ErrFull)
	}
	s.entries[key] = e
	return nil
}

// TrustedTime returns the latest time that was recorded with AdvanceTime.
func (s *MemoryStore) TrustedTime() tufverify.Tick {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// AdvanceTime records a time. A time that is not later than the latest one has no effect.
func (s *MemoryStore) AdvanceTime(now tufverify.Tick) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = max(s.latest, now)
	return nil
}

// Entries returns all entries, sorted by key.
func (s *MemoryStore) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedEntries(s.entries)
}
