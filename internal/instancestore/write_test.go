package instancestore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"silvercove/internal/replica"
)

// fullDisk is a file on a disk with limited space.
type fullDisk struct {
	*os.File
	remaining int   // bytes that can still be written
	syncErr   error // returned by Sync if not nil
}

func (f *fullDisk) Write(b []byte) (int, error) {
	if len(b) > f.remaining {
		n, _ := f.File.Write(b[:f.remaining])
		f.remaining = 0
		return n, syscall.ENOSPC
	}
	f.remaining -= len(b)
	return f.File.Write(b)
}

func (f *fullDisk) Sync() error {
	if f.syncErr != nil {
		return f.syncErr
	}
	return f.File.Sync()
}

// TestRun_FullDiskKeepsAcknowledgedRecords checks that requests fail while the disk is full, that the store recovers once
// there is space, and that it fails permanently if a failed sync cannot be undone. No acknowledged entry is lost.
func TestRun_FullDiskKeepsAcknowledgedRecords(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	w := &logWriter{s: s, log: replica.Log{Instance: "x"}}
	if err := w.add("one", "body"); err != nil {
		t.Fatal(err)
	}
	disk := &fullDisk{File: s.file.(*os.File), remaining: 20}
	_ = wait(func(d func(error)) { s.file = disk; s.SetNote(nil, d) }) // s.file may be replaced here: Run does not use it while no request is queued
	if err := w.add("two", strings.Repeat("long", 50)); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("append on a full disk: %v, want ENOSPC", err)
	}
	e := replica.LogEntry{Index: 3, Epoch: 3, RequestID: "three"}
	e.Checksum = e.ChainChecksum(99)
	if err := wait(func(d func(error)) { s.Append("x", e, d) }); !errors.Is(err, ErrGap) {
		t.Errorf("append after a rejected entry: %v, want ErrGap", err)
	}
	disk.remaining = 1 << 20
	if err := w.add("two again", "x"); err != nil {
		t.Fatalf("append once there is space: %v", err)
	}
	disk.syncErr = syscall.EIO
	if err := w.add("three", "x"); !errors.Is(err, syscall.EIO) {
		t.Errorf("append with a failing sync: %v, want EIO", err)
	}
	disk.syncErr = nil
	if err := w.add("three", "x"); !errors.Is(err, ErrWriteFailed) {
		t.Errorf("append after a failed sync that could not be undone: %v, want ErrWriteFailed", err)
	}
	end()
	_, logs, _ := openStore(t, folder)
	if len(logs) != 1 || !reflect.DeepEqual(logs[0].Entries, w.log.Entries) {
		t.Errorf("logs %v, want %v", logs, w.log)
	}
}

// TestRun_CompactionKeepsRecords checks that the note and the last entries survive compaction, and that the file stays
// small.
func TestRun_CompactionKeepsRecords(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	_ = wait(func(d func(error)) { s.SetNote([]byte("kept"), d) })
	w := &logWriter{s: s, log: replica.Log{Instance: "x"}}
	for i := range 3000 {
		if err := w.add(fmt.Sprint(i), strings.Repeat("x", 4000)); err != nil {
			t.Fatal(err)
		}
	}
	end()
	if i, err := os.Stat(filepath.Join(folder, "instances.log")); err != nil || i.Size() > 13<<20 {
		t.Errorf("the file has %d bytes for 4 MB of entries: %v", i.Size(), err)
	}
	s2, logs, note, err := Open(folder, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	close(stop)
	s2.Run(stop)
	if string(note) != "kept" || len(logs) != 1 || logs[0].LastIndex() != 3000 || logs[0].Checksum() != w.log.Checksum() ||
		len(logs[0].Entries) != replica.LogCapacity {
		t.Errorf("last index %d, note %s", logs[0].LastIndex(), note)
	}
}

// TestRecordCount_FileRestoredFromBackup checks that the count decreases only if the file is restored from a backup, and
// that the count of the restored file does not increase until ConfirmCurrent.
func TestRecordCount_FileRestoredFromBackup(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "instances.log")
	if s, _, _ := openStore(t, ""); s.RecordCount() != 0 {
		t.Errorf("store without a file: count %d, want 0", s.RecordCount())
	}
	s, _, end := openStore(t, folder)
	w := &logWriter{s: s, log: replica.Log{Instance: "x"}}
	first := s.RecordCount()
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	if first == 0 || s.RecordCount() != first {
		t.Errorf("before ConfirmCurrent: count %d, want %d", s.RecordCount(), first)
	}
	_ = wait(func(d func(error)) { s.ConfirmCurrent(0, d) })
	confirmed := s.RecordCount()
	old, _ := os.ReadFile(path)
	for i := range 3000 { // enough records that the file is compacted
		if err := w.add(fmt.Sprint(i), strings.Repeat("x", 4000)); err != nil {
			t.Fatal(err)
		}
	}
	disk := &fullDisk{File: s.file.(*os.File)}
	_ = wait(func(d func(error)) { s.file = disk; s.Delete("y", d) })
	last := s.RecordCount()
	if confirmed <= first+confirmStep/2 || last != confirmed+3000 {
		t.Errorf("count %d at first, %d when confirmed, %d after 3,000 records and a rejected one", first, confirmed, last)
	}
	end()
	s, _, end = openStore(t, folder)
	if s.RecordCount() != last {
		t.Errorf("count %d after a restart, want %d", s.RecordCount(), last)
	}
	end()
	if err := os.WriteFile(path, old, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 { // each time, the store is closed without ConfirmCurrent, as if the node had not reached the controllers
		s, _, end = openStore(t, folder)
		_ = wait(func(d func(error)) { s.Delete("y", d) })
		if end(); s.RecordCount() != confirmed {
			t.Errorf("restored: count %d, want %d as in the backup", s.RecordCount(), confirmed)
		}
	}
	s, _, _ = openStore(t, folder)
	if _ = wait(func(d func(error)) { s.ConfirmCurrent(last, d) }); s.RecordCount() <= last {
		t.Errorf("restored and confirmed: count %d, want more than the %d before the restore", s.RecordCount(), last)
	}
}
