package tufverify_test

import (
	"bytes"
	"testing"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

func TestRepository_UpdateRoot(t *testing.T) {
	for _, c := range []struct {
		name    string
		newFile func(b *testRepository) []byte
		want    any
	}{
		{"next version", func(b *testRepository) []byte { return b.root(2, 365*day) }, nil},
		{"same file again", func(b *testRepository) []byte { return b.root(1, 365*day) }, tufverify.ReasonAlreadyHeld},
		{"same version with other content", func(b *testRepository) []byte { return b.root(1, 364*day) }, tufverify.ReasonOlderVersion},
		{"version skipped", func(b *testRepository) []byte { return b.root(3, 365*day) }, tufverify.ReasonVersionMismatch},
		{"new keys, not signed by the old keys", func(b *testRepository) []byte {
			b.keys["root"] = []*keys.Key{b.key(), b.key()}
			return b.root(2, 365*day)
		}, tufverify.ReasonUnknownKey},
		{"new keys, signed by one of two old keys", func(b *testRepository) []byte {
			old := b.keys["root"]
			b.keys["root"] = []*keys.Key{b.key(), b.key()}
			return b.root(2, 365*day, old[0])
		}, tufverify.ReasonBelowThreshold},
		{"new keys, signed by both old keys", func(b *testRepository) []byte {
			old := b.keys["root"]
			b.keys["root"] = []*keys.Key{b.key(), b.key()}
			return b.root(2, 365*day, old...)
		}, nil},
		{"invalid signature", func(b *testRepository) []byte {
			text := b.root(2, 365*day)
			at := bytes.Index(text, []byte(`"sig":"`)) + 7
			if text[at]++; text[at] != '1' { // replace the first digit of the signature: 0 by 1, and any other digit by 0
				text[at] = '0'
			}
			return text
		}, tufverify.ReasonBadSignature},
		{"role without keys", func(b *testRepository) []byte {
			b.keys["snapshot"] = nil
			return b.root(2, 365*day)
		}, tufverify.ReasonMalformed},
		{"not JSON", func(b *testRepository) []byte { return []byte("{") }, tufverify.ReasonMalformed},
		{"too large", func(b *testRepository) []byte { return make([]byte, tufverify.MaxRootSize+1) }, tufverify.ReasonTooLarge},
		{"timestamp", func(b *testRepository) []byte { return b.timestamp(2, day, 1, nil) }, tufverify.ReasonMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRepository(t)
			b.checkRefusal(c.want, b.repo.UpdateRoot(at(0), c.newFile(b)))
			wanted := int64(1)
			if c.want == nil {
				wanted = 2
			}
			if v := b.repo.Version("root"); v != wanted {
				t.Errorf("root %d is held", v)
			}
		})
	}
}

func TestRepository_NewKeysResetVersions(t *testing.T) {
	b := newTestRepository(t)
	b.updateAll(1000) // a high version stands for one that a stolen key has signed
	old := b.keys["timestamp"][0]
	b.keys["timestamp"] = []*keys.Key{b.key()}
	b.checkRefusal(nil, b.repo.UpdateRoot(at(0), b.root(2, 365*day)))
	if _, refusal := b.repo.Current(at(0), tufverify.File{Role: "timestamp"}); refusal == nil {
		t.Error("the timestamp signed by the old key is served")
	}
	b.checkRefusal(tufverify.ReasonUnknownKey, b.repo.UpdateTimestamp(at(0), b.timestamp(1001, day, 1001, nil, old)))
	b.updateAll(3)
	if _, refusal := b.repo.Current(at(0), tufverify.File{Role: "timestamp"}); refusal != nil {
		t.Error(refusal)
	}
}

func TestRepository_RevokedTargetsKey(t *testing.T) {
	b := newTestRepository(t)
	b.updateAll(5)
	b.keys["targets"] = []*keys.Key{b.key()}
	b.checkRefusal(nil, b.repo.UpdateRoot(at(0), b.root(2, 365*day)))
	if _, refusal := b.repo.Current(at(0), tufverify.File{Role: "targets", Version: 5}); refusal == nil {
		t.Error("targets signed by a revoked key are served")
	}
}
