package tufrepo_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/monotonic"
	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
	"silvercove/internal/tufverify"
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newTestPublisher(t *testing.T, consistent bool) *repository.Publisher {
	t.Helper()
	publisher, err := repository.NewPublisher(filepath.Join(t.TempDir(), "r"), repository.NewClock(false), tufrepo.Lifetimes{}, consistent)
	must(t, err)
	t.Cleanup(func() { _ = publisher.Repo.Close() })
	return publisher
}

// refreshAndLookUp refreshes a new client from the published metadata and looks up a target.
func refreshAndLookUp(t *testing.T, publisher *repository.Publisher, path string) (*tufverify.Target, error) {
	t.Helper()
	now := tufverify.FromTime(publisher.Clock.Now())
	files, _, err := tufrepo.PublishedFiles(publisher.Dir)
	must(t, err)
	r, err := tufverify.New("r", monotonic.NewMemoryStore(100), now, files["1.root.json"])
	must(t, err)
	get := func(f tufverify.File) ([]byte, error) { return files[f.String()], nil }
	if err := r.Refresh(now, get); err != nil {
		return nil, err
	}
	return r.LookUp(now, path, get)
}

func TestRepo_Publish(t *testing.T) {
	for _, consistent := range []bool{true, false} {
		publisher := newTestPublisher(t, consistent)
		must(t, publisher.Add("app/1.tar", 1, []byte("one"), "large"))
		must(t, publisher.Add("app/2.tar", 2, make([]byte, tufrepo.PieceSize+1)))
		found, err := refreshAndLookUp(t, publisher, "app/2.tar")
		must(t, err)
		if found.Length != tufrepo.PieceSize+1 || found.Custom.Build != 2 || len(found.Custom.PieceDigests) != 2 {
			t.Errorf("unexpected target: %+v", found)
		}
		must(t, publisher.Repo.Remove("targets", "app/1.tar"))
		must(t, publisher.Publish("targets"))
		if _, err := refreshAndLookUp(t, publisher, "app/1.tar"); err == nil {
			t.Error("a removed target can still be looked up")
		}
	}
}

func TestRepo_ThresholdsAndKeys(t *testing.T) {
	publisher := newTestPublisher(t, true)
	must(t, publisher.Stage("a", 1, []byte("x")))
	if err := publisher.Repo.Publish(publisher.Keys["snapshot"]); !errors.Is(err, tufrepo.ErrUnsigned) {
		t.Errorf("unsigned targets: %v", err)
	}
	must(t, publisher.Repo.Sign("targets", publisher.Keys["targets"][0]))
	must(t, publisher.Repo.Sign("targets", publisher.Keys["targets"][0])) // the same key again: its signatures count once
	if err := publisher.Publish(); !errors.Is(err, tufrepo.ErrUnsigned) {
		t.Errorf("one of two signatures: %v", err)
	}
	if err := publisher.Repo.Sign("targets", publisher.Keys["snapshot"][0]); !errors.Is(err, tufrepo.ErrUnknownKey) {
		t.Errorf("another role's key: %v", err)
	}
	must(t, publisher.Repo.Sign("targets", publisher.Keys["targets"][2]))
	if err := publisher.Repo.Publish(nil); !errors.Is(err, tufrepo.ErrUnsigned) {
		t.Errorf("without online keys: %v", err)
	}
	must(t, publisher.Publish())
	if err := publisher.Repo.Sign("targets", publisher.Keys["targets"][0]); !errors.Is(err, tufrepo.ErrNotStaged) {
		t.Errorf("nothing staged: %v", err)
	}
	for _, bad := range []string{"../a", "/a", "a/../b", "", `a\b`, "."} {
		if err := publisher.Repo.Add("targets", filepath.Join(publisher.Dir, "incoming"), bad, 1, nil); err == nil {
			t.Errorf("target path %q was accepted", bad)
		}
	}
	if _, err := tufrepo.Open(t.TempDir()); !errors.Is(err, tufrepo.ErrNotInitialized) {
		t.Errorf("opening an empty folder: %v", err)
	}
	if _, err := tufrepo.Open(publisher.Dir); !errors.Is(err, monotonic.ErrInUse) {
		t.Errorf("opening the repository twice: %v", err)
	}
	if _, err := tufrepo.Init(publisher.Dir, nil, true, tufrepo.DefaultLifetimes); !errors.Is(err, tufrepo.ErrExists) {
		t.Errorf("initializing an existing repository: %v", err)
	}
}

func TestRepo_Rotate(t *testing.T) {
	publisher := newTestPublisher(t, true)
	must(t, publisher.Add("a", 1, []byte("x")))
	for _, role := range []string{"timestamp", "snapshot", "targets", "root", "root"} {
		must(t, publisher.Rotate(role))
		if _, err := refreshAndLookUp(t, publisher, "a"); err != nil {
			t.Errorf("after rotating the keys of %s: %v", role, err)
		}
	}
	if err := publisher.Repo.Rotate("targets", nil, []string{"nothing"}, 0); !errors.Is(err, tufrepo.ErrUnknownKey) {
		t.Errorf("revoking an unknown key: %v", err)
	}
	if err := publisher.Repo.Rotate("targets", nil, nil, 9); err == nil {
		t.Error("a threshold above the number of keys was accepted")
	}
	fresh, err := keys.Generate("ed25519")
	must(t, err)
	must(t, publisher.Repo.Rotate("root", []*metadata.Key{fresh.Public}, nil, 0))
	must(t, publisher.Repo.Sign("root", fresh))
	if err := publisher.Publish(); !errors.Is(err, tufrepo.ErrUnsigned) {
		t.Errorf("a root not signed by the old keys: %v", err)
	}
}

func TestRepo_Delegate(t *testing.T) {
	publisher := newTestPublisher(t, true)
	teamKey, err := keys.Generate("ecdsa")
	must(t, err)
	must(t, publisher.Repo.Delegate("targets", "teams", []*metadata.Key{teamKey.Public}, 1, []string{"teams/*"}, true))
	file := filepath.Join(publisher.Dir, "f")
	must(t, os.WriteFile(file, []byte("team's"), 0o600))
	must(t, publisher.Repo.Add("teams", file, "teams/a", 3, nil))
	must(t, publisher.Repo.Sign("teams", teamKey))
	must(t, publisher.Publish("targets"))
	found, err := refreshAndLookUp(t, publisher, "teams/a")
	must(t, err)
	if found.Role != "teams" || found.Custom.Build != 3 {
		t.Errorf("unexpected target: %+v", found)
	}
	if err := publisher.Repo.Delegate("targets", "root", []*metadata.Key{teamKey.Public}, 1, []string{"x"}, false); err == nil {
		t.Error("a delegation to root was accepted")
	}
	all, err := publisher.Repo.Status()
	must(t, err)
	if len(all) < 6 {
		t.Errorf("Status returned fewer than 6 files: %+v", all)
	}
}

// TestRepo_KilledBetweenSigningAndPublishing stops Publish as a crash would. Each case stops Publish before it writes
// the file of one role. No version number may be published with two different contents, and the next Publish must leave
// a repository that clients accept.
func TestRepo_KilledBetweenSigningAndPublishing(t *testing.T) {
	for _, step := range []string{"root", "targets", "snapshot", "timestamp"} {
		t.Run("before "+step, func(t *testing.T) {
			publisher := newTestPublisher(t, true)
			must(t, publisher.Add("a", 1, []byte("x")))
			seen := map[string]string{}
			checkVersions := func() {
				files, _, err := tufrepo.PublishedFiles(publisher.Dir)
				must(t, err)
				for name, text := range files {
					var m struct{ Signed json.RawMessage }
					must(t, json.Unmarshal(text, &m))
					var v struct{ Version int64 }
					must(t, json.Unmarshal(m.Signed, &v))
					key := tufverify.File{Role: strings.TrimSuffix(name, ".json"), Version: v.Version}.String()
					if earlier, ok := seen[key]; ok && earlier != string(m.Signed) {
						t.Errorf("%s was published with two contents", key)
					}
					seen[key] = string(m.Signed)
				}
			}
			checkVersions()
			must(t, publisher.Repo.Renew("root"))
			must(t, publisher.Sign("root"))
			must(t, publisher.Stage("b", 2, []byte("y")))
			must(t, publisher.Sign("targets"))
			publisher.Repo.CrashBefore = func(at string) bool { return at == step }
			if err := publisher.Publish(); err == nil {
				t.Fatal("Publish was not stopped")
			}
			checkVersions()
			must(t, publisher.Repo.Close()) // the repository is closed and opened again, as in a restart
			reopened, err := tufrepo.Open(publisher.Dir)
			must(t, err)
			reopened.Now = publisher.Clock.Now
			publisher.Repo = reopened
			publisher.Clock.Jump(time.Minute)
			if _, err := refreshAndLookUp(t, publisher, "a"); err != nil {
				t.Errorf("after the interrupted Publish: %v", err)
			}
			must(t, publisher.Publish())
			checkVersions()
			if _, err := refreshAndLookUp(t, publisher, "b"); err != nil {
				t.Errorf("after the next Publish: %v", err)
			}
		})
	}
}
