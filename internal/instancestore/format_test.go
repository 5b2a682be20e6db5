package instancestore

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"silvercove/internal/replica"
)

// TestFormat_CompatibleWithEarlierVersion checks that records are encoded to the same bytes as by an earlier version of
// the program, and that a store can read these bytes.
func TestFormat_CompatibleWithEarlierVersion(t *testing.T) {
	const wrote = "Y292ZWluc3QBAAAA+UJPLRYAAACSbzllozmTS7G4+EUDAQAAAHgCAAAAAAAAAAkAAAAAAAAALwAAAH+vWu7MBnO2lanDCQEBAAAAeAMAAAAAAAAA" +
		"AwAAAAAAAAAiDUs+0N2MsAYAAABlZGdlLWECAAAAYzBiLwAAAH+vWu7aDSyU4pCdHwEBAAAAeAQAAAAAAAAAAwAAAAAAAAAX6fZktYA3mwYAAABlZGdlLWEC" +
		"AAAAYzFiLwAAAH+vWu7bfc5FwPGfbgEBAAAAeAUAAAAAAAAAAwAAAAAAAAAEM1qSlvNOqgYAAABlZGdlLWECAAAAYzJiFgAAAJJvOWVeyQLAe6O43wIBAAAA" +
		"eAQAAAAAAAAAAAAAAAAAAAAWAAAAkm85ZXmGigVL7C1eAwEAAAB5AAAAAAAAAAAAAAAAAAAAAAYAAAC2H4A60BjG8SoWwDQEAQAAAHkJAAAAWYtSvy+ixzzk" +
		"njaWBQAAAABub3RlFQAAAHTnapZJs8ud35bqnwQAAAAABwAAAAAAAAAAAAAAAAAAAA=="
	log := replica.Log{Instance: "x", BaseIndex: 2, BaseChecksum: 9}
	out := appendRecord(format.Header(), request{kind: kindReset, instance: "x", number: 2, sum: 9})
	for i := range 3 {
		e := replica.LogEntry{Index: log.LastIndex() + 1, Epoch: 3, Node: "edge-a", RequestID: fmt.Sprint("c", i), Body: []byte("b")}
		e.Checksum = e.ChainChecksum(log.Checksum())
		log.Append(e)
		out = appendRecord(out, request{kind: kindEntry, instance: "x", entry: e})
	}
	log.Truncate(4)
	for _, o := range []request{{kind: kindTruncate, instance: "x", number: 4}, {kind: kindReset, instance: "y"}, {kind: kindDelete, instance: "y"},
		{kind: kindNote, note: []byte("note")}, {kind: kindCount, number: 7}} {
		out = appendRecord(out, o)
	}
	if base64.StdEncoding.EncodeToString(out) != wrote {
		t.Errorf("the encoding has changed: %x", out)
	}
	s := &Store{logs: map[string]*replica.Log{}}
	if n, err := s.read(out); n != len(out) || err != nil || len(s.logs) != 1 || !reflect.DeepEqual(*s.logs["x"], log) || string(s.note) != "note" {
		t.Errorf("%d of %d bytes are complete, error %v, logs %+v", n, len(out), err, s.logs)
	}
}

func FuzzStore_Read(f *testing.F) {
	good := appendRecord(format.Header(), request{kind: kindReset, instance: "x"})
	f.Add(good)
	f.Add(appendRecord(good, request{kind: kindTruncate, instance: "x"}))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &Store{logs: map[string]*replica.Log{}}
		if n, err := s.read(data); err == nil && n > len(data) {
			t.Errorf("%d of %d bytes are complete", n, len(data))
		}
	})
}

// TestOpen_RefusesUnknownRecordKind checks that Open rejects a file with a complete record of an unknown kind. The
// error must say that a later version wrote the file, and not that the file is damaged. Open must not truncate the
// file.
func TestOpen_RefusesUnknownRecordKind(t *testing.T) {
	folder := t.TempDir()
	s, _, end := openStore(t, folder)
	w := &logWriter{s: s, log: replica.Log{Instance: "x"}}
	_ = wait(func(d func(error)) { s.Reset("x", 0, 0, d) })
	if err := w.add("1", "body"); err != nil {
		t.Fatal(err)
	}
	end()
	path := filepath.Join(folder, "instances.log")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data = appendRecord(data, request{kind: 9, instance: "x"})
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(folder, func(string) {}); !errors.Is(err, ErrNewerVersion) || errors.Is(err, ErrCorrupt) {
		t.Errorf("error %v, want ErrNewerVersion", err)
	}
	if now, _ := os.ReadFile(path); string(now) != string(data) {
		t.Error("the rejected file was modified")
	}
}
