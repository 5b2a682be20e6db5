package director

import (
	"encoding/json"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

// sign makes the three metadata files of one version, by file name. target is nil for a server that is assigned none.
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
	snap.Signed.Meta["targets.json"] = tufverify.NewMetaFile(version, text)
	if text, err = signed(snap, online[metadata.SNAPSHOT]); err != nil {
		return nil, err
	}
	out[tufverify.File{Role: metadata.SNAPSHOT, Version: version}.String()] = text
	stamp := metadata.Timestamp(end)
	stamp.Signed.Version = version
	stamp.Signed.Meta["snapshot.json"] = tufverify.NewMetaFile(version, text)
	if text, err = signed(stamp, online[metadata.TIMESTAMP]); err != nil {
		return nil, err
	}
	out["timestamp.json"] = text
	return out, nil
}

// signed signs metadata with all keys and gives the text.
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
