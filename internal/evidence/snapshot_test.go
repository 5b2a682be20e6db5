package evidence

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRestore_RejectsDamagedSnapshots(t *testing.T) {
	store := filledStore()
	text := store.Snapshot()
	restored := New([]string{"read", "sell"})
	if err := restored.Restore(text); err != nil || strings.Join(restored.Explain(), "") != strings.Join(store.Explain(), "") {
		t.Errorf("%v", err)
	}
	for cut := range text { // a snapshot that is truncated at any byte must be refused
		fresh := New([]string{"read", "sell"})
		if err := fresh.Restore(text[:cut]); !errors.Is(err, ErrCorrupt) || len(fresh.versions) != 0 {
			t.Fatalf("snapshot truncated to %d bytes: %v", cut, err)
		}
	}
	for i := range text {
		bad := append([]byte(nil), text...)
		bad[i] ^= 1
		fresh := New([]string{"read", "sell"})
		if err := fresh.Restore(bad); err == nil || len(fresh.versions) != 0 {
			t.Fatalf("byte %d flipped: the snapshot is accepted", i)
		}
	}
	if err := restored.Restore([]byte(strings.Replace(string(text), "ledger 1", "ledger 2", 1))); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("%v", err)
	}
	if err := New([]string{"read"}).Restore(text); !errors.Is(err, ErrCorrupt) {
		t.Errorf("other request classes: %v", err)
	}
	path := filepath.Join(t.TempDir(), "ledger")
	if restored.Load(path); restored.LoadError != "" {
		t.Error("a missing file is an error")
	}
	if err := Save(path, text); err != nil {
		t.Fatal(err)
	}
	if loaded, err := ReadFile(path); err != nil || len(loaded.Estimates(7)) != 2 {
		t.Errorf("%v", err)
	}
	_ = os.WriteFile(path, text[:len(text)-1], 0o600)
	if restored.Load(path); !strings.Contains(restored.LoadError, "damaged") || restored.findVersion(7) == nil {
		t.Errorf("load error %q", restored.LoadError)
	}
	if _, err := ReadFile(path); err == nil {
		t.Error("a damaged snapshot is explained")
	}
}

func FuzzRestore(f *testing.F) {
	f.Add(filledStore().Snapshot())
	f.Add([]byte("silvercove-ledger 1 00000000 2\n{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		store := New([]string{"read", "sell"})
		if store.Restore(text) == nil {
			store.Explain()
			store.DecayedCounts(s, 7, s)
		}
	})
}
