package director

import (
	"encoding/json"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

// signFiles returns the signed targets, snapshot and timestamp files of one version, keyed by file name. target is nil for a
// server that is assigned no version.
func signFiles(online map[string][]*keys.Key, version int64, expiresAt time.Time, target *tufverify.Target) (map[string][]byte, error) {
	targets := metadata.Targets(expiresAt)
	targets.Signed.Version = version
	if target != nil {
		file := metadata.TargetFile()
		file.Length, file.Path = target.Length, target.Path
		file.Hashes["sha256"] = target.Sum[:]
		custom, err := json.Marshal(target.Custom)
		if err != nil {
			return nil, err
		}
		raw := json.RawMessage(custom)
		file.Custom = &raw
		targets.Signed.Targets[target.Path] = file
	}
	files := map[string][]byte{}
	text, err := signAndEncode(targets, online[metadata.TARGETS])
	if err != nil {
		return nil, err
	}
	files[tufverify.File{Role: metadata.TARGETS, Version: version}.String()] = text
	snapshot := metadata.Snapshot(expiresAt)
	snapshot.Signed.Version = version
	snapshot.Signed.Meta["targets.json"] = tufverify.NewMetaFile(version, text)
	if text, err = signAndEncode(snapshot, online[metadata.SNAPSHOT]); err != nil {
		return nil, err
	}
	files[tufverify.File{Role: metadata.SNAPSHOT, Version: version}.String()] = text
	timestamp := metadata.Timestamp(expiresAt)
	timestamp.Signed.Version = version
	timestamp.Signed.Meta["snapshot.json"] = tufverify.NewMetaFile(version, text)
	if text, err = signAndEncode(timestamp, online[metadata.TIMESTAMP]); err != nil {
		return nil, err
	}
	files["timestamp.json"] = text
	return files, nil
}

// signAndEncode signs metadata with all keys and returns the encoded file.
func signAndEncode[T metadata.Roles](m *metadata.Metadata[T], signingKeys []*keys.Key) ([]byte, error) {
	for _, k := range signingKeys {
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
