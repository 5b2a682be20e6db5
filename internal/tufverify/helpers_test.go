package tufverify_test

import (
	"crypto/sha256"
	"errors"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

// memoryStore is a VersionStore in memory whose writes can be made to fail.
type memoryStore struct {
	versions    map[string]int64
	digests     map[string]tufverify.Digest
	trustedTime tufverify.Tick
	failWrites  bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{versions: map[string]int64{}, digests: map[string]tufverify.Digest{}}
}

func (m *memoryStore) Recorded(key string) (int64, tufverify.Digest) {
	return m.versions[key], m.digests[key]
}
func (m *memoryStore) TrustedTime() tufverify.Tick { return m.trustedTime }

func (m *memoryStore) Record(key string, version int64, sum tufverify.Digest) error {
	if m.failWrites {
		return errors.New("disk full")
	}
	m.versions[key], m.digests[key] = version, sum
	return nil
}

func (m *memoryStore) AdvanceTime(now tufverify.Tick) error {
	if m.failWrites {
		return errors.New("disk full")
	}
	m.trustedTime = max(m.trustedTime, now)
	return nil
}

// start is the time of at(0), at which the tests begin.
var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// at returns the time that is d after start.
func at(d time.Duration) tufverify.Tick { return tufverify.FromTime(start.Add(d)) }

// testRepository creates metadata signed with generated keys, and a Repository that verifies them.
type testRepository struct {
	testing.TB
	keys  map[string][]*keys.Key
	store *memoryStore
	repo  *tufverify.Repository
}

const day = 24 * time.Hour

func newTestRepository(tb testing.TB) *testRepository {
	tb.Helper()
	b := &testRepository{TB: tb, keys: map[string][]*keys.Key{}, store: newMemoryStore()}
	for _, role := range []string{"root", "targets", "snapshot", "timestamp", "extra"} {
		n := 1
		if role == "root" {
			n = 2
		}
		for range n {
			b.keys[role] = append(b.keys[role], b.key())
		}
	}
	b.open(b.root(1, 365*day))
	return b
}

func (b *testRepository) key() *keys.Key {
	k, err := keys.Generate("ed25519")
	if err != nil {
		b.Fatal(err)
	}
	return k
}

// open creates the Repository anew from a pinned root, as after a restart. The version store stays the same.
func (b *testRepository) open(pinned []byte) {
	b.Helper()
	var err error
	if b.repo, err = tufverify.New("r", b.store, at(0), pinned); err != nil {
		b.Fatal(err)
	}
}

func sign[T metadata.Roles](b *testRepository, m *metadata.Metadata[T], by ...*keys.Key) []byte {
	b.Helper()
	for _, k := range by {
		s, err := k.Signer()
		if err == nil {
			_, err = m.Sign(s)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	text, err := m.ToBytes(false)
	if err != nil {
		b.Fatal(err)
	}
	return text
}

// root creates a root that lists the keys of b.keys. It is signed by the root keys among them and by the keys in also.
func (b *testRepository) root(version int64, life time.Duration, also ...*keys.Key) []byte {
	b.Helper()
	m := metadata.Root(start.Add(life))
	m.Signed.Version = version
	for _, role := range metadata.TOP_LEVEL_ROLE_NAMES {
		for _, k := range b.keys[role] {
			if err := m.Signed.AddKey(k.Public, role); err != nil {
				b.Fatal(err)
			}
		}
		m.Signed.Roles[role].Threshold = len(b.keys[role])
	}
	return sign(b, m, append(append([]*keys.Key{}, b.keys["root"]...), also...)...)
}

// targets creates targets metadata. change, if not nil, modifies them before they are signed. They are signed by the keys in by,
// or by the keys of the top-level targets role if by is empty.
func (b *testRepository) targets(version int64, life time.Duration, change func(m *metadata.TargetsType), by ...*keys.Key) []byte {
	b.Helper()
	m := metadata.Targets(start.Add(life))
	m.Signed.Version = version
	if change != nil {
		change(&m.Signed)
	}
	if by == nil {
		by = b.keys["targets"]
	}
	return sign(b, m, by...)
}

// snapshot creates a snapshot that lists a version of each role in files.
func (b *testRepository) snapshot(version int64, life time.Duration, files map[string]int64) []byte {
	b.Helper()
	m := metadata.Snapshot(start.Add(life))
	m.Signed.Version = version
	m.Signed.Meta = map[string]*metadata.MetaFiles{}
	for name, v := range files {
		m.Signed.Meta[name+".json"] = metadata.MetaFile(v)
	}
	return sign(b, m, b.keys["snapshot"]...)
}

// timestamp creates a timestamp that lists a version of the snapshot. If text, the content of the snapshot, is not nil, the
// entry also has a length and a hash. The timestamp is signed by the keys in by, or by the keys of the timestamp role if by is
// empty.
func (b *testRepository) timestamp(version int64, life time.Duration, snapshot int64, text []byte, by ...*keys.Key) []byte {
	b.Helper()
	m := metadata.Timestamp(start.Add(life))
	m.Signed.Version = version
	is := metadata.MetaFile(snapshot)
	if text != nil {
		sum := sha256.Sum256(text)
		is.Length, is.Hashes = int64(len(text)), metadata.Hashes{"sha256": sum[:]}
	}
	m.Signed.Meta["snapshot.json"] = is
	if by == nil {
		by = b.keys["timestamp"]
	}
	return sign(b, m, by...)
}

// updateAll updates the repository with a timestamp, a snapshot and top-level targets, each of version v.
func (b *testRepository) updateAll(v int64) {
	b.Helper()
	b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(v, day, v, nil)))
	b.checkRefusal(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(v, 7*day, map[string]int64{"targets": v})))
	b.checkRefusal(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(v, 30*day, nil)))
}

// checkRefusal checks that a refusal is as expected: nil, or one with the given Reason.
func (b *testRepository) checkRefusal(why any, got *tufverify.RefusalError) {
	b.Helper()
	is, _ := why.(tufverify.Reason)
	switch {
	case why == nil && got != nil:
		b.Errorf("refused: %v", got)
	case why != nil && got == nil:
		b.Errorf("not refused, want: %v", is)
	case why != nil && got.Reason != is:
		b.Errorf("refused: %v; want: %v", got, is)
	}
}
