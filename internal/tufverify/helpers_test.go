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

// memory is a Host whose writes can be made to fail.
type memory struct {
	marks  map[string]int64
	sums   map[string]tufverify.Digest
	passed tufverify.Tick
	fails  bool
}

func newMemory() *memory {
	return &memory{marks: map[string]int64{}, sums: map[string]tufverify.Digest{}}
}

func (m *memory) Recorded(key string) (int64, tufverify.Digest) { return m.marks[key], m.sums[key] }
func (m *memory) TrustedTime() tufverify.Tick                   { return m.passed }

func (m *memory) Record(key string, version int64, sum tufverify.Digest) error {
	if m.fails {
		return errors.New("disk full")
	}
	m.marks[key], m.sums[key] = version, sum
	return nil
}

func (m *memory) AdvanceTime(now tufverify.Tick) error {
	if m.fails {
		return errors.New("disk full")
	}
	m.passed = max(m.passed, now)
	return nil
}

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func at(d time.Duration) tufverify.Tick { return tufverify.FromTime(start.Add(d)) }

// bench makes metadata with keys of its own.
type bench struct {
	testing.TB
	keys map[string][]*keys.Key
	host *memory
	repo *tufverify.Repository
}

const day = 24 * time.Hour

func newBench(tb testing.TB) *bench {
	tb.Helper()
	b := &bench{TB: tb, keys: map[string][]*keys.Key{}, host: newMemory()}
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

func (b *bench) key() *keys.Key {
	k, err := keys.Generate("ed25519")
	if err != nil {
		b.Fatal(err)
	}
	return k
}

func (b *bench) open(pinned []byte) {
	b.Helper()
	var err error
	if b.repo, err = tufverify.New("r", b.host, at(0), pinned); err != nil {
		b.Fatal(err)
	}
}

func sign[T metadata.Roles](b *bench, m *metadata.Metadata[T], by ...*keys.Key) []byte {
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

// root makes a root of the keys as they are now; extra signers may be given.
func (b *bench) root(version int64, life time.Duration, also ...*keys.Key) []byte {
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

func (b *bench) targets(version int64, life time.Duration, change func(m *metadata.TargetsType), by ...*keys.Key) []byte {
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

func (b *bench) snapshot(version int64, life time.Duration, files map[string]int64) []byte {
	b.Helper()
	m := metadata.Snapshot(start.Add(life))
	m.Signed.Version = version
	m.Signed.Meta = map[string]*metadata.MetaFiles{}
	for name, v := range files {
		m.Signed.Meta[name+".json"] = metadata.MetaFile(v)
	}
	return sign(b, m, b.keys["snapshot"]...)
}

// timestamp names a snapshot; with its bytes also by length and hash.
func (b *bench) timestamp(version int64, life time.Duration, snapshot int64, text []byte, by ...*keys.Key) []byte {
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

// set has a whole set of one version taken.
func (b *bench) set(v int64) {
	b.Helper()
	b.want(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(v, day, v, nil)))
	b.want(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(v, 7*day, map[string]int64{"targets": v})))
	b.want(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(v, 30*day, nil)))
}

// want holds a refusal against what is wanted: nil, or a reason.
func (b *bench) want(why any, got *tufverify.RefusalError) {
	b.Helper()
	is, _ := why.(tufverify.Reason)
	switch {
	case why == nil && got != nil:
		b.Errorf("refused: %v", got)
	case why != nil && got == nil:
		b.Errorf("not refused, wanted: %v", is)
	case why != nil && got.Reason != is:
		b.Errorf("refused: %v; wanted: %v", got, is)
	}
}
