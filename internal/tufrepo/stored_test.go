package tufrepo_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"silvercove/internal/keys"
	"silvercove/internal/monotonic"
	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
	"silvercove/internal/tufverify"
)

var updateStored = flag.Bool("update", false, "regenerate testdata/stored")

var storedRoles = []string{"root", "targets", "snapshot", "timestamp"}

// TestRepo_ContinuesStoredRepository checks that a repository that an earlier version of this package wrote can be opened and
// changed. The targets of the repository can still be looked up after the change. The files that were published before the change
// stay as they were, except the timestamp.
func TestRepo_ContinuesStoredRepository(t *testing.T) {
	stored := filepath.Join("testdata", "stored")
	if *updateStored {
		writeStored(t, stored)
	}
	dir := filepath.Join(t.TempDir(), "r")
	must(t, os.CopyFS(dir, os.DirFS(filepath.Join(stored, "repository"))))
	clock := repository.NewClock(false)
	clock.Jump(time.Minute)
	byRole := storedSigners(t, filepath.Join(stored, "keys"))
	before, _, err := tufrepo.PublishedFiles(dir)
	must(t, err)
	checkTarget(t, dir, clock, "app/1.tar", "one")

	r, err := tufrepo.Open(dir)
	must(t, err)
	defer func() { _ = r.Close() }()
	r.Now = clock.Now
	must(t, r.Sign("targets", byRole["targets"][1])) // the staged targets in testdata/stored have one of the two signatures that they need
	must(t, r.Publish(append(byRole["snapshot"], byRole["timestamp"]...)))
	checkTarget(t, dir, clock, "app/1.tar", "one")
	checkTarget(t, dir, clock, "app/2.tar", "two")

	file := filepath.Join(t.TempDir(), "three")
	must(t, os.WriteFile(file, []byte("three"), 0o600))
	must(t, r.Add("targets", file, "app/3.tar", 3, nil))
	for _, k := range byRole["targets"][:2] {
		must(t, r.Sign("targets", k))
	}
	must(t, r.Publish(append(byRole["snapshot"], byRole["timestamp"]...)))
	checkTarget(t, dir, clock, "app/1.tar", "one")
	checkTarget(t, dir, clock, "app/3.tar", "three")

	after, _, err := tufrepo.PublishedFiles(dir)
	must(t, err)
	for name, text := range before {
		if name != "timestamp.json" && !bytes.Equal(after[name], text) {
			t.Errorf("%s was published before and has changed", name)
		}
	}
	if after["4.targets.json"] == nil || after["4.snapshot.json"] == nil {
		t.Error("version numbers do not continue from those already issued")
	}
}

// storedSigners returns the private keys of the stored repository, keyed by role.
func storedSigners(t *testing.T, dir string) map[string][]*keys.Key {
	t.Helper()
	byRole := map[string][]*keys.Key{}
	for _, role := range storedRoles {
		paths, err := filepath.Glob(filepath.Join(dir, role+"-*"+keys.Suffix))
		must(t, err)
		for _, path := range paths {
			text, err := os.ReadFile(path)
			must(t, err)
			private := filepath.Join(t.TempDir(), filepath.Base(path))
			must(t, os.WriteFile(private, text, 0o600))
			k, err := keys.Load(private, nil)
			must(t, err)
			byRole[role] = append(byRole[role], k)
		}
	}
	return byRole
}

// checkTarget refreshes a new client, looks up a target and checks that the length of the target is that of content.
func checkTarget(t *testing.T, dir string, clock *repository.Clock, path, content string) {
	t.Helper()
	now := tufverify.FromTime(clock.Now())
	files, _, err := tufrepo.PublishedFiles(dir)
	must(t, err)
	client, err := tufverify.New("r", monotonic.NewMemoryStore(100), now, files["1.root.json"])
	must(t, err)
	get := func(f tufverify.File) ([]byte, error) { return files[f.String()], nil }
	must(t, client.Refresh(now, get))
	target, err := client.LookUp(now, path, get)
	must(t, err)
	if target.Length != int64(len(content)) {
		t.Errorf("%s has %d bytes, want %d", path, target.Length, len(content))
	}
}

// writeStored writes to testdata/stored a repository with one published package and one staged package. The staged targets have
// the signature of one of the two keys that must sign them.
func writeStored(t *testing.T, stored string) {
	t.Helper()
	must(t, os.RemoveAll(stored))
	publisher := newTestPublisher(t, true)
	must(t, publisher.Add("app/1.tar", 1, []byte("one"), "large"))
	must(t, publisher.Stage("app/2.tar", 2, []byte("two")))
	must(t, publisher.Repo.Sign("targets", publisher.Keys["targets"][0]))
	must(t, publisher.Repo.Close())
	must(t, os.Remove(filepath.Join(publisher.Dir, "incoming")))
	must(t, os.Remove(filepath.Join(publisher.Dir, "issued.floor.lock")))
	must(t, os.MkdirAll(filepath.Join(stored, "keys"), 0o755))
	must(t, os.CopyFS(filepath.Join(stored, "repository"), os.DirFS(publisher.Dir)))
	for role, all := range publisher.Keys {
		for i, key := range all {
			must(t, key.Save(filepath.Join(stored, "keys", role+"-"+string(rune('1'+i))+keys.Suffix), nil))
		}
	}
}
