package director

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"silvercove/internal/keys"
	"silvercove/internal/standin/repository"
	"silvercove/internal/tufverify"
)

var updateStored = flag.Bool("update", false, "write testdata/stored again")

// storedState is the content of state.json: the state that the stored version store file contains. Passed is the trusted time.
type storedState struct {
	Released uint16                 `json:"released"`
	Passed   tufverify.Tick         `json:"passed"`
	Servers  map[string]storedIssue `json:"servers"`
}

// storedIssue is the recorded state of the last issue to one server. Version is the version number of the metadata. Build
// is the version that the issue assigns, and End is the expiry of the issue. Before is the version that the previous issue
// assigned. Until is the time until which the server may still install that version.
type storedIssue struct {
	Version int64          `json:"version"`
	Build   uint16         `json:"build"`
	Before  uint16         `json:"before"`
	End     tufverify.Tick `json:"end"`
	Until   tufverify.Tick `json:"until"`
}

// recordedState returns the current content of the version store.
func recordedState(h *testDirector) storedState {
	state := storedState{Passed: h.TrustedTime(), Servers: map[string]storedIssue{}}
	released, _ := h.Recorded("director/released")
	state.Released = uint16(released)
	for i := range 10 {
		name := fmt.Sprint("s", i)
		version, sum := h.Recorded("issued/" + name)
		record := decodeIssue(sum)
		state.Servers[name] = storedIssue{version, record.assigned, record.previous, record.expiresAt, record.previousUntil}
	}
	return state
}

// TestStoredState_IsReadAndContinued guards the stored format. It checks that a version store file that an earlier program wrote
// can be read, that the next issue to each server has the version number after the recorded one, and that the released version
// stays released.
func TestStoredState_IsReadAndContinued(t *testing.T) {
	stored := filepath.Join("testdata", "stored")
	if *updateStored {
		writeStored(t, stored)
	}
	text, err := os.ReadFile(filepath.Join(stored, "state.json"))
	if err != nil {
		t.Fatal(err)
	}
	var want storedState
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	h := newStoredDirector(t, stored)
	if got, _ := json.MarshalIndent(recordedState(h), "", "  "); string(got)+"\n" != string(text) {
		t.Errorf("the file is read as\n%s\nwant\n%s", got, text)
	}
	if h.released != want.Released {
		t.Errorf("version %d counts as released, want %d", h.released, want.Released)
	}
	h.setStage(2, "live", 1)
	for name, earlier := range want.Servers {
		version, build := h.assignment(name)
		if version != earlier.Version+1 || build != earlier.Build {
			t.Errorf("%s is assigned %d by issue %d, after %d by issue %d", name, build, version, earlier.Build, earlier.Version)
		}
	}
	h.start() // the restarted Director must find the issues recorded above
	for name, issue := range recordedState(h).Servers {
		if issue.Version != want.Servers[name].Version+1 {
			t.Errorf("%s: issue %d after %d", name, issue.Version, want.Servers[name].Version)
		}
	}
	if h.released != want.Released {
		t.Errorf("after a restart version %d counts as released, want %d", h.released, want.Released)
	}
}

// newStoredDirector returns a Director that uses a copy of the stored files. Its clock is a minute ahead of the time at which
// the files were written.
func newStoredDirector(t *testing.T, stored string) *testDirector {
	t.Helper()
	h := &testDirector{T: t, clock: repository.NewClock(false), path: filepath.Join(t.TempDir(), "floor"), chain: map[string][]byte{},
		beforeRecord: func() error { return nil }}
	h.clock.Jump(time.Minute)
	h.image = func(path string) (*tufverify.Target, *tufverify.RefusalError) {
		return &tufverify.Target{Path: path, Length: 5}, nil
	}
	content, err := os.ReadFile(filepath.Join(stored, "state.floor"))
	if err == nil {
		err = os.WriteFile(h.path, content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if h.chain["1.root.json"], err = os.ReadFile(filepath.Join(stored, "1.root.json")); err != nil {
		t.Fatal(err)
	}
	for _, role := range []string{"targets-0", "targets-1", "targets-2", "snapshot-0", "timestamp-0"} {
		text, err := os.ReadFile(filepath.Join(stored, role+keys.Suffix))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), role+keys.Suffix)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		k, err := keys.Load(path, nil)
		if err != nil {
			t.Fatal(err)
		}
		h.onlineKeys = append(h.onlineKeys, k)
	}
	h.start()
	t.Cleanup(func() { _ = h.disk.Close() })
	return h
}

// writeStored writes the recorded state of a Director to testdata/stored, after a rollout to ten servers that ended in a
// release.
func writeStored(t *testing.T, stored string) {
	t.Helper()
	h := newTestDirector(t)
	h.countOnVersion2()
	h.setStage(2, "testing", 0.3)
	h.countOnVersion2()
	for i := range 2 {
		if err := h.OnReport(&tufverify.Report{Server: fmt.Sprint("s", i), Build: 2, InstallResult: "ok", AttemptedTarget: "app/2"}); err != nil {
			t.Fatal(err)
		}
	}
	h.countOnVersion2()
	h.setStage(2, "live", 1)
	h.countOnVersion2()
	h.setStage(3, "testing", 0.1) // a stage of a later version makes the Director record version 2, which is live, as released
	state, err := json.MarshalIndent(recordedState(h), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(h.path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(stored); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(stored, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"state.json": append(state, '\n'), "state.floor": content,
		"1.root.json": h.chain["1.root.json"]} {
		if err := os.WriteFile(filepath.Join(stored, name), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for i, k := range h.onlineKeys {
		role := []string{"targets-0", "targets-1", "targets-2", "snapshot-0", "timestamp-0"}[i]
		if err := k.Save(filepath.Join(stored, role+keys.Suffix), nil); err != nil {
			t.Fatal(err)
		}
	}
}
