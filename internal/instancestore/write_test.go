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

// fullDisk is a file on a disk that is full beyond some size.
type fullDisk struct {
	*os.File
	left int
	sync error
}

func (f *fullDisk) Write(b []byte) (int, error) {
	if len(b) > f.left {
		n, _ := f.File.Write(b[:f.left])
		f.left = 0
		return n, syscall.ENOSPC
	}
	f.left -= len(b)
	return f.File.Write(b)
}

func (f *fullDisk) Sync() error {
	if f.sync != nil {
		return f.sync
	}
	return f.File.Sync()
}

func TestRun_FullDiskRefusesAndLosesNothing(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	m := &writtenLog{s: s, rec: replica.Log{Instance: "x"}}
	if err := m.add("one", "body"); err != nil {
		t.Fatal(err)
	}
	disk := &fullDisk{File: s.file.(*os.File), left: 20}
	_ = wait(func(d func(error)) { s.file = disk; s.SetNote(nil, d) }) // asked before, the writer rests
	if err := m.add("two", strings.Repeat("long", 50)); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("%v", err)
	}
	e := replica.LogEntry{Index: 3, Epoch: 3, RequestID: "three"}
	e.Checksum = e.ChainChecksum(99)
	if err := wait(func(d func(error)) { s.Append("x", e, d) }); !errors.Is(err, ErrGap) {
		t.Errorf("what rests on what was refused: %v", err)
	}
	disk.left = 1 << 20
	if err := m.add("two again", "x"); err != nil {
		t.Fatalf("room again: %v", err)
	}
	disk.sync = syscall.EIO
	if err := m.add("three", "x"); !errors.Is(err, syscall.EIO) {
		t.Errorf("%v", err)
	}
	disk.sync = nil
	if err := m.add("three", "x"); !errors.Is(err, ErrWriteFailed) {
		t.Errorf("after a sync that could not be taken back: %v", err)
	}
	end()
	_, records, _ := openStore(t, folder)
	if len(records) != 1 || !reflect.DeepEqual(records[0].Entries, m.rec.Entries) {
		t.Errorf("%v, not %v", records, m.rec)
	}
}

func TestRun_CompactionLosesNothing(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	_ = wait(func(d func(error)) { s.SetNote([]byte("kept"), d) })
	m := &writtenLog{s: s, rec: replica.Log{Instance: "x"}}
	for i := range 3000 {
		if err := m.add(fmt.Sprint(i), strings.Repeat("x", 4000)); err != nil {
			t.Fatal(err)
		}
	}
	end()
	if i, err := os.Stat(filepath.Join(folder, "instances.log")); err != nil || i.Size() > 13<<20 {
		t.Errorf("%d bytes for 4 MB: %v", i.Size(), err)
	}
	s2, records, note, err := Open(folder, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	close(stop)
	s2.Run(stop)
	if string(note) != "kept" || len(records) != 1 || records[0].LastIndex() != 3000 || records[0].Checksum() != m.rec.Checksum() ||
		len(records[0].Entries) != replica.LogCapacity {
		t.Errorf("%d entries, note %s", records[0].LastIndex(), note)
	}
}

// The count never falls but where the file is put back, and an old file never catches up with what was counted.
func TestRecordCount_OfFileThatWasPutBack(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "instances.log")
	if s, _, _ := openStore(t, ""); s.RecordCount() != 0 {
		t.Errorf("in memory: %d", s.RecordCount())
	}
	s, _, end := openStore(t, folder)
	m := &writtenLog{s: s, rec: replica.Log{Instance: "x"}}
	first := s.RecordCount()
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	if first == 0 || s.RecordCount() != first {
		t.Errorf("before it is confirmed: %d, and was %d", s.RecordCount(), first)
	}
	_ = wait(func(d func(error)) { s.ConfirmCurrent(0, d) })
	confirmed := s.RecordCount()
	old, _ := os.ReadFile(path)
	for i := range 3000 { // it is written anew meanwhile
		if err := m.add(fmt.Sprint(i), strings.Repeat("x", 4000)); err != nil {
			t.Fatal(err)
		}
	}
	disk := &fullDisk{File: s.file.(*os.File)}
	_ = wait(func(d func(error)) { s.file = disk; s.Delete("y", d) })
	last := s.RecordCount()
	if confirmed <= first+confirmStep/2 || last != confirmed+3000 {
		t.Errorf("%d at first, %d when confirmed, %d after 3,000 records and one that was refused", first, confirmed, last)
	}
	end()
	s, _, end = openStore(t, folder)
	if s.RecordCount() != last {
		t.Errorf("%d after a restart, and was %d", s.RecordCount(), last)
	}
	end()
	if err := os.WriteFile(path, old, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 3 { // runs whose end comes before the keepers were heard
		s, _, end = openStore(t, folder)
		_ = wait(func(d func(error)) { s.Delete("y", d) })
		if end(); s.RecordCount() != confirmed {
			t.Errorf("put back: %d, and was %d then", s.RecordCount(), confirmed)
		}
	}
	s, _, _ = openStore(t, folder)
	if _ = wait(func(d func(error)) { s.ConfirmCurrent(last, d) }); s.RecordCount() <= last {
		t.Errorf("once it is confirmed again: %d, and was %d before it was put back", s.RecordCount(), last)
	}
}
