package director

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

// sign makes the three files of one version.
func sign(online map[string][]*keys.Key, version int64, end time.Time, t *tufverify.Target) (map[string][]byte, error) {
	targets := metadata.Targets(end)
	targets.Signed.Version = version
	if t != nil {
		file := metadata.TargetFile()
		file.Length, file.Path = t.Length, t.Path
		file.Hashes["sha256"] = t.Sum[:]
		custom, err := json.Marshal(t.Custom)
		if err != nil {
			return nil, err
		}
		raw := json.RawMessage(custom)
		file.Custom = &raw
		targets.Signed.Targets[t.Path] = file
	}
	out := map[string][]byte{}
	text, err := signed(targets, online[metadata.TARGETS])
	if err != nil {
		return nil, err
	}
	out[tufverify.File{Role: metadata.TARGETS, Version: version}.String()] = text
	snap := metadata.Snapshot(end)
	snap.Signed.Version = version
	snap.Signed.Meta["targets.json"] = metaFile(version, text)
	if text, err = signed(snap, online[metadata.SNAPSHOT]); err != nil {
		return nil, err
	}
	out[tufverify.File{Role: metadata.SNAPSHOT, Version: version}.String()] = text
	stamp := metadata.Timestamp(end)
	stamp.Signed.Version = version
	stamp.Signed.Meta["snapshot.json"] = metaFile(version, text)
	if text, err = signed(stamp, online[metadata.TIMESTAMP]); err != nil {
		return nil, err
	}
	out["timestamp.json"] = text
	return out, nil
}

func metaFile(version int64, text []byte) *metadata.MetaFiles {
	sum := sha256.Sum256(text)
	return &metadata.MetaFiles{Version: version, Length: int64(len(text)), Hashes: metadata.Hashes{"sha256": sum[:]}}
}

func signed[T metadata.Roles](m *metadata.Metadata[T], by []*keys.Key) ([]byte, error) {
	for _, k := range by {
		signer, err := k.Signer()
		if err != nil {
			return nil, err
		}
		if _, err := m.Sign(signer); err != nil {
			return nil, err
		}
	}
	return m.ToBytes(false)
}
