package monotonic

import (
	"errors"
	"testing"
)

func TestMemoryStore(t *testing.T) {
	store := NewMemoryStore(1)
	must(t, store.Record("k", 2, sum("a")))
	must(t, store.AdvanceTime(5))
	for want, err := range map[error]error{ErrOlderVersion: store.Record("k", 1, sum("a")), ErrConflict: store.Record("k", 2, sum("b")),
		ErrFull: store.Record("l", 1, sum("a"))} {
		if !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
	}
	if v, _ := store.Recorded("k"); v != 2 || store.TrustedTime() != 5 || len(store.Entries()) != 1 {
		t.Error("rejected calls changed the store")
	}
}
