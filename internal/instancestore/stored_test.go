package instancestore

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"silvercove/internal/replica"
	"silvercove/internal/standin/golden"
)

// storedNote is the note in testdata/stored/instances.log.
const storedNote = `{"note":"of the program that stored it"}`

// storedCount is the count that was passed to ConfirmCurrent when testdata/stored/instances.log was written.
const storedCount = 5000

// TestOpen_StoredFileIsReadAndContinued opens a file that an earlier version of the program wrote, appends to it, and
// checks that the earlier content is still there after a restart.
func TestOpen_StoredFileIsReadAndContinued(t *testing.T) {
	stored := filepath.Join("testdata", "stored", "instances.log")
	if golden.Updating() {
		writeStored(t, stored)
	}
	data, err := os.ReadFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "instances.log"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	s, logs, end := openStore(t, folder)
	checkStored(t, logs)
	if s.RecordCount() <= storedCount {
		t.Errorf("the record count is %d, but it was confirmed at %d", s.RecordCount(), storedCount)
	}
	count := s.RecordCount()
	if err := wait(func(d func(error)) { s.ConfirmCurrent(count, d) }); err != nil {
		t.Fatal(err)
	}
	w := &logWriter{s: s, log: logs[0]}
	if err := w.add("more", "after it was stored"); err != nil {
		t.Fatal(err)
	}
	end()

	reopened, logs, end := openStore(t, folder)
	checkStored(t, logs)
	if n := len(logs[0].Entries); n != 4 || string(logs[0].Entries[3].Body) != "after it was stored" {
		t.Errorf("the log does not end with the entry appended last: %+v", logs[0])
	}
	if reopened.RecordCount() <= count {
		t.Errorf("the record count is %d after a restart, and was %d before the append", reopened.RecordCount(), count)
	}
	end()
	last, _, note, err := Open(folder, func(string) {})
	if err != nil || string(note) != storedNote {
		t.Fatalf("the note is %q, %v", note, err)
	}
	stop := make(chan struct{})
	close(stop)
	last.Run(stop)
}

// checkStored checks that logs are the logs in testdata/stored/instances.log. The log of camera-7 may have further
// entries.
func checkStored(t *testing.T, logs []replica.Log) {
	t.Helper()
	if len(logs) != 2 || logs[0].Instance != "camera-7" || logs[1].Instance != "camera-9" {
		t.Fatalf("logs %+v, want camera-7 and camera-9", logs)
	}
	for i, want := range []string{"command-0 body 0", "command-1 body 1", "command-2 "} {
		if i >= len(logs[0].Entries) {
			t.Fatalf("camera-7 has %d entries", len(logs[0].Entries))
		}
		e := logs[0].Entries[i]
		if got := e.RequestID + " " + string(e.Body); got != want || e.Index != uint64(i+1) || e.Epoch != 3 || e.Node != "edge-a" {
			t.Errorf("entry %d is %+v", i+1, e)
		}
	}
	if r := logs[1]; r.BaseIndex != 12 || r.BaseChecksum != 0xfeedface || r.LastIndex() != 12 {
		t.Errorf("log of camera-9: %+v", r)
	}
}

// writeStored writes a new file at the path stored, with a record of each kind.
func writeStored(t *testing.T, stored string) {
	t.Helper()
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	w := &logWriter{s: s, log: replica.Log{Instance: "camera-7"}}
	mustSubmit := func(submit func(done func(error))) {
		t.Helper()
		if err := wait(submit); err != nil {
			t.Fatal(err)
		}
	}
	mustSubmit(func(d func(error)) { s.ConfirmCurrent(storedCount, d) })
	mustSubmit(func(d func(error)) { s.Reset("camera-7", 0, 0, d) })
	for i, body := range []string{"body 0", "body 1", "", "cut off again"} {
		if err := w.add(fmt.Sprint("command-", i), body); err != nil {
			t.Fatal(err)
		}
	}
	mustSubmit(func(d func(error)) { s.Truncate("camera-7", 3, d) })
	mustSubmit(func(d func(error)) { s.Reset("camera-8", 0, 0, d) })
	mustSubmit(func(d func(error)) { s.Delete("camera-8", d) })
	mustSubmit(func(d func(error)) { s.Reset("camera-9", 12, 0xfeedface, d) })
	mustSubmit(func(d func(error)) { s.SetNote([]byte(storedNote), d) })
	end()
	data, err := os.ReadFile(filepath.Join(folder, "instances.log"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(stored), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(stored, data, 0o644); err != nil {
		t.Fatal(err)
	}
}
