package evidence

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"silvercove/internal/standin/golden"
)

// TestLoad_StoredSnapshotIsReadAndContinued: a snapshot that an earlier release wrote is read, is written back byte for
// byte, and takes further outcomes.
func TestLoad_StoredSnapshotIsReadAndContinued(t *testing.T) {
	stored := filepath.Join("testdata", "stored", "evidence")
	if golden.Updating() {
		writeStored(t, stored)
	}
	text, err := os.ReadFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	store := New([]string{"read", "sell"})
	if store.Load(stored); store.LoadError != "" {
		t.Fatal(store.LoadError)
	}
	if got := store.Snapshot(); !bytes.Equal(got, text) {
		t.Errorf("the snapshot is written back as\n%s\nwant\n%s", got, text)
	}
	if estimates := store.Estimates(7); len(estimates) != 2 || estimates[0].Outcomes != 21 || estimates[0].Failures != 5 || estimates[1].Outcomes != 20 || estimates[1].Failures != 0 {
		t.Errorf("%+v", estimates)
	}
	before := store.Estimates(7)[0]
	store.RecordOutcome(40*s, 7, 0, 0, true)
	path := filepath.Join(t.TempDir(), "evidence")
	if err := Save(path, store.Snapshot()); err != nil {
		t.Fatal(err)
	}
	reloaded := New([]string{"read", "sell"})
	if reloaded.Load(path); reloaded.LoadError != "" {
		t.Fatal(reloaded.LoadError)
	}
	if known := reloaded.Estimates(7)[0]; known.Outcomes != before.Outcomes+1 || known.Failures != before.Failures+1 {
		t.Errorf("%g of %g outcomes failed, after one more than %g of %g", known.Failures, known.Outcomes, before.Failures, before.Outcomes)
	}
	want := decodeBody(t, text)
	first := want["builds"].([]any)[0].(map[string]any)
	first["last"] = float64(40 * s)
	cell := first["cells"].(map[string]any)["0/0/0"].(map[string]any)
	cell["n"], cell["bad"] = cell["n"].(float64)+1, cell["bad"].(float64)+1
	if got := decodeBody(t, reloaded.Snapshot()); !reflect.DeepEqual(got, want) {
		t.Errorf("the snapshot after one more outcome is\n%v\nwant\n%v", got, want)
	}
}

// decodeBody decodes the JSON of a snapshot by its stored names.
func decodeBody(t *testing.T, snapshot []byte) (all map[string]any) {
	t.Helper()
	_, text, _ := bytes.Cut(snapshot, []byte("\n"))
	if err := json.Unmarshal(text, &all); err != nil {
		t.Fatal(err)
	}
	return all
}

// writeStored stores a snapshot in which every stored field has a value.
func writeStored(t *testing.T, stored string) {
	t.Helper()
	store := filledStore()
	store.UpdateVersion(20*s, 7, "recalling")
	store.RecordWrongAnswer(30*s, 7, 0, 1, 15*s)
	store.UpdateVersion(31*s, 9, "testing")
	store.RecordOutcome(32*s, 9, 1, 0, false)
	store.RecordOutcome(33*s, 8, 0, 0, false) // counted in Orphans, because UpdateVersion was not called for version 8
	for range maxVotes {
		store.RecordVote(34*s, 9, 2, "hold", "too little evidence")
	}
	store.RecordVote(35*s, 9, 2, "go back", "evidence") // the store has maxVotes votes already, so it drops the first one
	v := store.findVersion(9)
	v.Votes = v.Votes[len(v.Votes)-2:] // keeps the stored file small: only the last two votes are stored
	if err := os.MkdirAll(filepath.Dir(stored), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(stored, store.Snapshot(), 0o644); err != nil {
		t.Fatal(err)
	}
}
