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

func sign[T metadata.Roles](b *testRepository, m *metadata.Metadata[T], signers ...*keys.Key) []byte {
	b.Helper()
	for _, k := range signers {
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

// root creates a root that lists the keys of b.keys. It is signed by the root keys among them and by extraSigners.
func (b *testRepository) root(version int64, lifetime time.Duration, extraSigners ...*keys.Key) []byte {
	b.Helper()
	m := metadata.Root(start.Add(lifetime))
	m.Signed.Version = version
	for _, role := range metadata.TOP_LEVEL_ROLE_NAMES {
		for _, k := range b.keys[role] {
			if err := m.Signed.AddKey(k.Public, role); err != nil {
				b.Fatal(err)
			}
		}
		m.Signed.Roles[role].Threshold = len(b.keys[role])
	}
	return sign(b, m, append(append([]*keys.Key{}, b.keys["root"]...), extraSigners...)...)
}

// targets creates targets metadata. change, if not nil, modifies them before they are signed. If signers is empty, the keys of
// the top-level targets role sign.
func (b *testRepository) targets(version int64, lifetime time.Duration, change func(m *metadata.TargetsType), signers ...*keys.Key) []byte {
	b.Helper()
	m := metadata.Targets(start.Add(lifetime))
	m.Signed.Version = version
	if change != nil {
		change(&m.Signed)
	}
	if signers == nil {
		signers = b.keys["targets"]
	}
	return sign(b, m, signers...)
}

// snapshot creates a snapshot that lists the given versions, keyed by role.
func (b *testRepository) snapshot(version int64, lifetime time.Duration, versions map[string]int64) []byte {
	b.Helper()
	m := metadata.Snapshot(start.Add(lifetime))
	m.Signed.Version = version
	m.Signed.Meta = map[string]*metadata.MetaFiles{}
	for name, v := range versions {
		m.Signed.Meta[name+".json"] = metadata.MetaFile(v)
	}
	return sign(b, m, b.keys["snapshot"]...)
}

// timestamp creates a timestamp that lists a version of the snapshot. snapshotFile is the content of the snapshot. If it is not
// nil, the entry of the snapshot also has a length and a hash. If signers is empty, the keys of the timestamp role sign.
func (b *testRepository) timestamp(version int64, lifetime time.Duration, snapshot int64, snapshotFile []byte, signers ...*keys.Key) []byte {
	b.Helper()
	m := metadata.Timestamp(start.Add(lifetime))
	m.Signed.Version = version
	entry := metadata.MetaFile(snapshot)
	if snapshotFile != nil {
		sum := sha256.Sum256(snapshotFile)
		entry.Length, entry.Hashes = int64(len(snapshotFile)), metadata.Hashes{"sha256": sum[:]}
	}
	m.Signed.Meta["snapshot.json"] = entry
	if signers == nil {
		signers = b.keys["timestamp"]
	}
	return sign(b, m, signers...)
}

// updateAll updates the repository with a timestamp, a snapshot and top-level targets, each of version v.
func (b *testRepository) updateAll(v int64) {
	b.Helper()
	b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(v, day, v, nil)))
	b.checkRefusal(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(v, 7*day, map[string]int64{"targets": v})))
	b.checkRefusal(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(v, 30*day, nil)))
}

// checkRefusal checks that a refusal is as expected: want is nil for no refusal, or a Reason.
func (b *testRepository) checkRefusal(want any, got *tufverify.RefusalError) {
	b.Helper()
	wantReason, _ := want.(tufverify.Reason)
	switch {
	case want == nil && got != nil:
		b.Errorf("refused: %v", got)
	case want != nil && got == nil:
		b.Errorf("not refused, want: %v", wantReason)
	case want != nil && got.Reason != wantReason:
		b.Errorf("refused: %v; want: %v", got, wantReason)
	}
}
