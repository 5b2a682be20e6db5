package recordlog

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	first, err := Lock(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(path); !errors.Is(err, ErrInUse) {
		t.Errorf("second lock: %v, want ErrInUse", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	again, err := Lock(path)
	if err != nil {
		t.Fatalf("lock after the first was released: %v", err)
	}
	if err := again.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(filepath.Join(t.TempDir(), "none", "lock")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("lock in a missing directory: %v, want os.ErrNotExist", err)
	}
}

func TestSyncDir(t *testing.T) {
	if err := SyncDir(t.TempDir()); err != nil {
		t.Error(err)
	}
	if err := SyncDir(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("sync of a missing directory: %v, want os.ErrNotExist", err)
	}
}
