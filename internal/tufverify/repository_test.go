package tufverify_test

import (
	"bytes"
	"crypto"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"pgregory.net/rapid"

	"silvercove/internal/tufverify"
)

func TestRepository_UpdateTimestamp(t *testing.T) {
	for _, c := range []struct {
		name    string
		newFile func(b *testRepository) []byte
		want    any
	}{
		{"newer", func(b *testRepository) []byte { return b.timestamp(6, day, 6, nil) }, nil},
		{"same file again", func(b *testRepository) []byte { return b.timestamp(5, day, 5, nil) }, tufverify.ReasonAlreadyHeld},
		{"same version with other content", func(b *testRepository) []byte { return b.timestamp(5, 2*day, 5, nil) }, tufverify.ReasonConflict},
		{"older", func(b *testRepository) []byte { return b.timestamp(4, day, 5, nil) }, tufverify.ReasonOlderVersion},
		{"newer, with an older snapshot", func(b *testRepository) []byte { return b.timestamp(6, day, 4, nil) }, tufverify.ReasonOlderVersion},
		{"expired", func(b *testRepository) []byte { return b.timestamp(6, 0, 6, nil) }, tufverify.ReasonExpired},
		{"signed by another key", func(b *testRepository) []byte { return b.timestamp(6, day, 6, nil, b.keys["extra"]...) }, tufverify.ReasonUnknownKey},
		{"version 0", func(b *testRepository) []byte { return b.timestamp(0, day, 6, nil) }, tufverify.ReasonMalformed},
		{"without a snapshot", func(b *testRepository) []byte {
			m := metadata.Timestamp(start.Add(day))
			m.Signed.Version, m.Signed.Meta = 6, nil
			return sign(b, m, b.keys["timestamp"]...)
		}, tufverify.ReasonMalformed},
		{"duplicate member", func(b *testRepository) []byte {
			return bytes.Replace(b.timestamp(6, day, 6, nil), []byte(`"version":6}`), []byte(`"version":6,"version":6}`), 1)
		}, tufverify.ReasonMalformed},
		{"members that differ in case alone, the wrong one first", func(b *testRepository) []byte {
			text := b.timestamp(6, day, 6, nil)
			return bytes.Replace(text, []byte(`"signed":{`), []byte(`"signed":{"Version":9,`), 1)
		}, tufverify.ReasonBadSignature},
		{"members that differ in case alone, the wrong one last", func(b *testRepository) []byte {
			return bytes.Replace(b.timestamp(6, day, 6, nil), []byte(`"version":6}`), []byte(`"version":6,"Version":9}`), 1)
		}, tufverify.ReasonMalformed},
		{"second signed part", func(b *testRepository) []byte {
			text := b.timestamp(6, day, 6, nil)
			return append(text[:len(text)-1], []byte(`,"Signed":{"_type":"timestamp","version":9}}`)...)
		}, tufverify.ReasonMalformed},
		{"data after the end", func(b *testRepository) []byte { return append(b.timestamp(6, day, 6, nil), "{}"...) }, tufverify.ReasonMalformed},
		{"too large", func(b *testRepository) []byte { return bytes.Repeat([]byte(" "), tufverify.MaxTimestampSize+1) }, tufverify.ReasonTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRepository(t)
			b.updateAll(5)
			b.checkRefusal(c.want, b.repo.UpdateTimestamp(at(0), c.newFile(b)))
			if c.want != nil && b.repo.Version("timestamp") != 5 {
				t.Error("the refused timestamp is held")
			}
		})
	}
}

func TestRepository_UpdateSnapshotAndTargets(t *testing.T) {
	listed := map[string]int64{"targets": 5, "extra": 3}
	for _, c := range []struct {
		name string
		run  func(b *testRepository) *tufverify.RefusalError
		want any
	}{
		{"snapshot hash differs from the timestamp", func(b *testRepository) *tufverify.RefusalError {
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, []byte("x"))))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(6, day, listed))
		}, tufverify.ReasonHashMismatch},
		{"snapshot version differs from the timestamp", func(b *testRepository) *tufverify.RefusalError {
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(7, day, listed))
		}, tufverify.ReasonVersionMismatch},
		{"snapshot no longer lists a file", func(b *testRepository) *tufverify.RefusalError {
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(6, day, map[string]int64{"targets": 5}))
		}, tufverify.ReasonOlderVersion},
		{"snapshot lists an older version of a file", func(b *testRepository) *tufverify.RefusalError {
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(6, day, map[string]int64{"targets": 5, "extra": 2}))
		}, tufverify.ReasonOlderVersion},
		{"expired snapshot", func(b *testRepository) *tufverify.RefusalError {
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			return b.repo.UpdateSnapshot(at(0), b.snapshot(6, -day, listed))
		}, tufverify.ReasonExpired},
		{"snapshot after the timestamp expired", func(b *testRepository) *tufverify.RefusalError {
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, time.Hour, 6, nil)))
			return b.repo.UpdateSnapshot(at(time.Hour), b.snapshot(6, day, listed))
		}, tufverify.ReasonExpired},
		{"targets of another version", func(b *testRepository) *tufverify.RefusalError {
			return b.repo.UpdateTargets(at(0), "targets", b.targets(6, day, nil))
		}, tufverify.ReasonVersionMismatch},
		{"targets not listed in the snapshot", func(b *testRepository) *tufverify.RefusalError {
			return b.repo.UpdateTargets(at(0), "other", b.targets(1, day, nil))
		}, tufverify.ReasonNotListed},
		{"targets without a delegation", func(b *testRepository) *tufverify.RefusalError {
			return b.repo.UpdateTargets(at(0), "extra", b.targets(3, day, nil))
		}, tufverify.ReasonMissing},
		{"targets without a hash", func(b *testRepository) *tufverify.RefusalError {
			return b.repo.UpdateTargets(at(0), "targets", b.targets(5, day, func(m *metadata.TargetsType) {
				m.Targets["a"] = metadata.TargetFile()
			}))
		}, tufverify.ReasonMalformed},
		{"expired targets", func(b *testRepository) *tufverify.RefusalError {
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
			b.checkRefusal(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(6, day, map[string]int64{"targets": 6, "extra": 3})))
			return b.repo.UpdateTargets(at(0), "targets", b.targets(6, 0, nil))
		}, tufverify.ReasonExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRepository(t)
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(5, day, 5, nil)))
			b.checkRefusal(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(5, 7*day, listed)))
			b.checkRefusal(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(5, 30*day, nil)))
			b.checkRefusal(c.want, c.run(b))
		})
	}
}

func TestRepository_FailedRecordChangesNothing(t *testing.T) {
	b := newTestRepository(t)
	b.updateAll(5)
	b.store.failWrites = true
	b.checkRefusal(tufverify.ReasonNotDurable, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
	if _, refusal := b.repo.Current(at(0), tufverify.File{Role: "timestamp"}); refusal != nil {
		t.Error(refusal)
	}
	b.checkRefusal(tufverify.ReasonNotDurable, b.repo.UpdateRoot(at(0), b.root(2, 365*day)))
	b.store.failWrites = false
	b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil)))
}

func TestRepository_RecordedVersionsAfterRestart(t *testing.T) {
	b := newTestRepository(t)
	pinned := b.root(1, 365*day)
	old := b.timestamp(4, day, 4, nil)
	b.updateAll(5)
	b.checkRefusal(nil, b.repo.UpdateRoot(at(0), b.root(2, 364*day)))
	b.open(pinned)
	b.checkRefusal(tufverify.ReasonMissing, b.repo.UpdateTimestamp(at(0), b.timestamp(6, day, 6, nil))) // after the restart, root 2 is in the version store and not held yet
	b.checkRefusal(nil, b.repo.UpdateRoot(at(0), b.root(2, 364*day)))
	b.checkRefusal(tufverify.ReasonOlderVersion, b.repo.UpdateTimestamp(at(0), old))
	b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(5, day, 5, nil)))
	b.checkRefusal(tufverify.ReasonOlderVersion, b.repo.UpdateTimestamp(at(0), old))
	b.open(pinned)
	b.checkRefusal(tufverify.ReasonConflict, b.repo.UpdateRoot(at(0), b.root(2, 363*day)))
}

func TestRepository_ClockSetBack(t *testing.T) {
	b := newTestRepository(t)
	b.updateAll(5)
	files := []tufverify.File{{Role: "timestamp"}, {Role: "snapshot", Version: 5}, {Role: "targets", Version: 5}}
	for _, c := range []struct {
		at     time.Duration
		served bool
	}{{0, true}, {day - 1, true}, {day, false}, {0, false}, {-1000 * day, false}} {
		for _, f := range files {
			if _, refusal := b.repo.Current(at(c.at), f); (refusal == nil) != c.served {
				t.Errorf("%v at %v: %v", f, c.at, refusal)
			}
		}
	}
	b.open(b.root(1, 365*day)) // a restart; the clock is then set back, and the expired timestamp must still be refused
	b.checkRefusal(tufverify.ReasonExpired, b.repo.UpdateTimestamp(at(0), b.timestamp(5, day, 5, nil)))
	b.checkRefusal(tufverify.ReasonExpired, b.repo.UpdateTimestamp(tufverify.Tick(0), b.timestamp(5, day, 5, nil)))
}

// TestRepository_NoRollbackInAnyOrder updates a repository with files in random order, with restarts and a clock that jumps. The
// repository must never serve a file that is older than one served earlier, or that had expired at the latest time so far.
func TestRepository_NoRollbackInAnyOrder(t *testing.T) {
	b := newTestRepository(t)
	pinned := b.root(1, 365*day)
	const maxVersion = 5
	var timestamps, snapshots, targets [maxVersion + 1][]byte
	ends := map[string]time.Duration{}
	for v := int64(1); v <= maxVersion; v++ {
		ends["timestamp"] = time.Duration(v) * time.Hour
		timestamps[v] = b.timestamp(v, time.Duration(v)*time.Hour, v, nil)
		snapshots[v] = b.snapshot(v, 2*time.Duration(v)*time.Hour, map[string]int64{"targets": v})
		targets[v] = b.targets(v, 3*time.Duration(v)*time.Hour, nil)
	}
	rapid.Check(t, func(t *rapid.T) {
		b.store = newMemoryStore()
		b.open(pinned)
		lastServed, latest := map[string]int64{}, tufverify.Tick(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := at(time.Duration(rapid.IntRange(-60, 360).Draw(t, "minutes")) * time.Minute)
			v := rapid.IntRange(1, maxVersion).Draw(t, "version")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				_ = b.repo.UpdateTimestamp(now, timestamps[v])
			case 1:
				_ = b.repo.UpdateSnapshot(now, snapshots[v])
			case 2:
				_ = b.repo.UpdateTargets(now, "targets", targets[v])
			case 3:
				b.repo.AdvanceTime(now)
				b.open(pinned)
			default:
				b.repo.AdvanceTime(now)
			}
			latest = max(latest, now)
			for role, life := range map[string]int{"timestamp": 1, "snapshot": 2, "targets": 3} {
				f := tufverify.File{Role: role}
				if role != "timestamp" {
					f.Version = b.repo.Version(role)
				}
				text, refusal := b.repo.Current(now, f)
				if refusal != nil {
					continue
				}
				var m struct{ Signed struct{ Version int64 } }
				_ = json.Unmarshal(text, &m)
				version := m.Signed.Version
				if version < lastServed[role] {
					t.Fatalf("%s %d was served after %d", role, version, lastServed[role])
				}
				lastServed[role] = version
				if end := at(time.Duration(version) * time.Duration(life) * time.Hour); latest >= end {
					t.Fatalf("%s %d was served after it expired", role, version)
				}
			}
		}
	})
}

// TestRepository_GoTUFAssumptions checks the behavior of go-tuf on which this package relies.
func TestRepository_GoTUFAssumptions(t *testing.T) {
	b := newTestRepository(t)
	text := b.timestamp(1, day, 1, nil)
	spaced := bytes.Replace(text, []byte(`"signed":{`), []byte("\"signed\" : {\n "), 1)
	b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), spaced)) // added white space is accepted, because the signature covers the canonical form of the signed part
	twice := bytes.Replace(b.timestamp(2, day, 2, nil), []byte(`"signatures":[`), []byte(`"signatures":[{"keyid":"`+
		b.keys["timestamp"][0].ID+`","sig":"00"},`), 1)
	b.checkRefusal(tufverify.ReasonMalformed, b.repo.UpdateTimestamp(at(0), twice)) // two signatures by one key are refused
	if _, err := tufverify.New("r", newMemoryStore(), at(0), []byte(strings.Replace(string(b.root(1, day)), "root", "boot", 1))); err == nil {
		t.Error("a pinned root of another type was accepted")
	}
	var refusal *tufverify.RefusalError
	_, err := tufverify.New("r", newMemoryStore(), at(0), b.timestamp(1, day, 1, nil))
	if !errors.As(err, &refusal) || refusal.Reason != tufverify.ReasonMalformed {
		t.Errorf("timestamp as pinned root: %v", err)
	}
}

func FuzzMetadata(f *testing.F) {
	b := newTestRepository(f)
	f.Add(b.timestamp(1, day, 1, nil))
	f.Add(b.root(2, day))
	f.Add(b.targets(1, day, withTarget("x")))
	f.Add([]byte(`{"signed":{"_type":"targets","delegations":{"keys":{"a":null},"roles":[{}]}},"signatures":null}`))
	pinned := b.root(1, day)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := tufverify.New("r", newMemoryStore(), at(0), pinned)
		if err != nil {
			t.Fatal(err)
		}
		for _, refusal := range []*tufverify.RefusalError{r.UpdateRoot(at(0), data), r.UpdateTimestamp(at(0), data), r.UpdateSnapshot(at(0), data),
			r.UpdateTargets(at(0), "targets", data)} {
			if refusal == nil && !bytes.Contains(data, []byte(b.keys["root"][0].ID)) &&
				!bytes.Contains(data, []byte(b.keys["timestamp"][0].ID)) {
				t.Error("metadata without a signature by a known key were accepted")
			}
		}
		_, _ = tufverify.NewReportVerifier(newMemoryStore(), map[string]crypto.PublicKey{"s": b.keys["extra"][0].Private.Public()}).VerifyReport("s", data)
	})
}
