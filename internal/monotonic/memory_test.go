package monotonic

import (
	"errors"
	"testing"
)

func TestMemoryStore(t *testing.T) {
	f := NewMemoryStore(1)
	must(t, f.Record("k", 2, sum("a")))
	must(t, f.AdvanceTime(5))
	for want, err := range map[error]error{ErrOlderVersion: f.Record("k", 1, sum("a")), ErrConflict: f.Record("k", 2, sum("b")),
		ErrFull: f.Record("l", 1, sum("a"))} {
		if !errors.Is(err, want) {
			t.Errorf("%v, wanted %v", err, want)
		}
	}
	if v, _ := f.Recorded("k"); v != 2 || f.TrustedTime() != 5 || len(f.Entries()) != 1 {
		t.Error("not kept")
	}
}
