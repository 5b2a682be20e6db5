package monotonic

import (
	"errors"
	"testing"
)

func TestMemoryStore(t *testing.T) {
	f := NewMemoryStore(1, quiet)
	must(t, f.Raise("k", 2, sum("a")))
	must(t, f.Pass(5))
	for want, err := range map[error]error{ErrOlderVersion: f.Raise("k", 1, sum("a")), ErrConflict: f.Raise("k", 2, sum("b")),
		ErrFull: f.Raise("l", 1, sum("a"))} {
		if !errors.Is(err, want) {
			t.Errorf("%v, wanted %v", err, want)
		}
	}
	if v, _ := f.Seen("k"); v != 2 || f.Passed() != 5 || len(f.Entries()) != 1 {
		t.Error("not kept")
	}
}
