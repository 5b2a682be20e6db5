package monotonic

import (
	"fmt"
	"sync"

	"silvercove/internal/tufverify"
)

// MemoryStore keeps the same for an installation without a lasting disk: nothing outlives the process.
type MemoryStore struct {
	most   int
	log    func(string)
	mu     sync.Mutex
	marks  map[string]mark
	passed tufverify.Tick
}

// NewMemoryStore makes one of at most so many entries.
func NewMemoryStore(most int, log func(string)) *MemoryStore {
	return &MemoryStore{most: most, log: log, marks: map[string]mark{}}
}

// Seen tells the highest version of a key.
func (f *MemoryStore) Seen(key string) (int64, tufverify.Sum) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.marks[key].version, f.marks[key].sum
}

// Raise keeps a version; an older one, or the same with other content, is an error.
func (f *MemoryStore) Raise(key string, version int64, sum tufverify.Sum) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	was, ok := f.marks[key]
	m := mark{version, sum}
	if err := m.follows(was, key); err != nil {
		return err
	}
	if !ok && len(f.marks) >= f.most {
		return fmt.Errorf("floor: %d entries: %w", len(f.marks), ErrFull)
	}
	f.marks[key] = m
	return nil
}

// Passed tells the latest time that was ever trusted.
func (f *MemoryStore) Passed() tufverify.Tick {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.passed
}

// Pass keeps a time.
func (f *MemoryStore) Pass(now tufverify.Tick) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.passed = max(f.passed, now)
	return nil
}

// Log passes a line on.
func (f *MemoryStore) Log(text string) { f.log(text) }

// Entries lists what is held, by key.
func (f *MemoryStore) Entries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return entries(f.marks)
}
