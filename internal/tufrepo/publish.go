package tufrepo

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

// pendingFile is a file that Publish is about to write.
type pendingFile struct {
	role    string
	name    string // name of the file in the folder metadata/
	version int64
	text    []byte
}

// Publish publishes the staged metadata, together with a new snapshot and a new timestamp, which are signed by the online keys. A
// file is written before any file that lists it, and the timestamp is written last. A client therefore never finds a file listed
// that does not exist yet. If any staged file has fewer signatures than its threshold, nothing is published and the error wraps
// ErrUnsigned.
func (r *Repo) Publish(online []*keys.Key) error {
	root, staged, err := r.rootToPublish()
	if err != nil {
		return err
	}
	var files []pendingFile
	if staged {
		text, _ := root.ToBytes(true)
		files = append(files, pendingFile{metadata.ROOT, tufverify.File{Role: metadata.ROOT, Version: root.Signed.Version}.String(),
			root.Signed.Version, text})
	}
	targets, meta, err := r.targetsToPublish(root)
	if err != nil {
		return err
	}
	files = append(files, targets...)
	for _, f := range files { // Record returns an error if the version of the file is already recorded with other content
		if err := r.versions.Record(f.role, f.version, sha256.Sum256(f.text)); err != nil {
			return err
		}
	}
	snapshot, err := r.signSnapshot(root, meta, online)
	if err != nil {
		return err
	}
	timestamp, err := r.signTimestamp(root, snapshot, online)
	if err != nil {
		return err
	}
	return r.publishFiles(append(files, snapshot, timestamp))
}

// targetsToPublish returns the staged files of the targets roles. It also returns the entries of the new snapshot for all targets
// roles, staged or published, keyed by file name.
func (r *Repo) targetsToPublish(root *metadata.Metadata[metadata.RootType]) ([]pendingFile, map[string]*metadata.MetaFiles, error) {
	names, err := r.targetsRoles()
	if err != nil {
		return nil, nil, err
	}
	meta := map[string]*metadata.MetaFiles{}
	var files []pendingFile
	for _, name := range names {
		m, staged, err := loadMetadata[metadata.TargetsType](r, name)
		if err != nil {
			return nil, nil, err
		}
		if err := r.checkTargetsThreshold(root, name, m, names); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		text, err := r.targetsBytes(name, m, staged)
		if err != nil {
			return nil, nil, err
		}
		meta[name+".json"] = tufverify.NewMetaFile(m.Signed.Version, text)
		if staged {
			files = append(files, pendingFile{name, fileName(root, name, m.Signed.Version), m.Signed.Version, text})
		}
	}
	if meta["targets.json"] == nil {
		return nil, nil, fmt.Errorf("targets: %w", ErrNotStaged)
	}
	return files, meta, nil
}

// targetsBytes returns the file content of a targets role: the encoded staged metadata, or else the published file unchanged.
func (r *Repo) targetsBytes(name string, m *metadata.Metadata[metadata.TargetsType], staged bool) ([]byte, error) {
	text, err := m.ToBytes(true)
	if staged || err != nil {
		return text, err
	}
	file, _, err := r.newestFile(name)
	if err != nil {
		return nil, err
	}
	return os.ReadFile(r.publishedPath(file))
}

// signSnapshot creates and signs the next snapshot. meta holds the entries of the files that the snapshot lists.
func (r *Repo) signSnapshot(root *metadata.Metadata[metadata.RootType], meta map[string]*metadata.MetaFiles,
	online []*keys.Key) (pendingFile, error) {
	version, err := r.nextVersion(metadata.SNAPSHOT)
	if err != nil {
		return pendingFile{}, err
	}
	snapshot := metadata.Snapshot(r.expiry(r.Lifetimes.Snapshot))
	snapshot.Signed.Version, snapshot.Signed.Meta = version, meta
	text, err := signAndRecord(r, root, metadata.SNAPSHOT, version, snapshot, online)
	return pendingFile{metadata.SNAPSHOT, fileName(root, metadata.SNAPSHOT, version), version, text}, err
}

// signTimestamp creates and signs the next timestamp, which lists the given snapshot.
func (r *Repo) signTimestamp(root *metadata.Metadata[metadata.RootType], snapshot pendingFile,
	online []*keys.Key) (pendingFile, error) {
	version, err := r.nextVersion(metadata.TIMESTAMP)
	if err != nil {
		return pendingFile{}, err
	}
	timestamp := metadata.Timestamp(r.expiry(r.Lifetimes.Timestamp))
	timestamp.Signed.Version = version
	timestamp.Signed.Meta["snapshot.json"] = tufverify.NewMetaFile(snapshot.version, snapshot.text)
	text, err := signAndRecord(r, root, metadata.TIMESTAMP, version, timestamp, online)
	return pendingFile{metadata.TIMESTAMP, "timestamp.json", version, text}, err
}

// publishFiles writes the files in the given order. It removes the staged file of a role only after the published file of the
// role is written.
func (r *Repo) publishFiles(files []pendingFile) error {
	for _, f := range files {
		if r.CrashBefore(f.role) {
			return errors.New("stopped before writing the file of role " + f.role)
		}
		if err := writeFile(r.publishedPath(f.name), f.text); err != nil {
			return err
		}
		if err := os.Remove(r.stagedPath(f.role)); err != nil && !os.IsNotExist(err) {
			return err
		}
	}
	return nil
}

// fileName returns the name of the file that clients request for a version of a role.
func fileName(root *metadata.Metadata[metadata.RootType], role string, version int64) string {
	f := tufverify.File{Role: role}
	if root.Signed.ConsistentSnapshot {
		f.Version = version
	}
	return f.String()
}

// signAndRecord signs metadata with those of the online keys that the root lists for the role. It then records the version with
// the digest of the encoded metadata, and returns the encoded metadata.
func signAndRecord[T metadata.Roles](r *Repo, root *metadata.Metadata[metadata.RootType], role string, version int64,
	m *metadata.Metadata[T], online []*keys.Key) ([]byte, error) {
	for _, k := range online {
		if slices.Contains(root.Signed.Roles[role].KeyIDs, k.ID) {
			if err := addSignature(m, k); err != nil {
				return nil, err
			}
		}
	}
	if err := root.VerifyDelegate(role, m); err != nil {
		return nil, fmt.Errorf("%s: too few online keys for the threshold: %w", role, ErrUnsigned)
	}
	text, err := m.ToBytes(true)
	if err != nil {
		return nil, err
	}
	return text, r.versions.Record(role, version, sha256.Sum256(text))
}

// rootToPublish returns the root that will be current after publishing, and reports whether that root is staged. A staged root
// must be signed by a threshold of its own root keys, and by a threshold of the root keys of the published root.
func (r *Repo) rootToPublish() (root *metadata.Metadata[metadata.RootType], staged bool, err error) {
	published, err := r.loadRoot(false)
	if err != nil {
		return nil, false, err
	}
	root, err = r.loadRoot(true)
	if err != nil {
		return nil, false, err
	}
	if root == nil {
		if published == nil {
			return nil, false, ErrNotInitialized
		}
		return published, false, nil
	}
	if published != nil && published.VerifyDelegate(metadata.ROOT, root) != nil {
		return nil, false, fmt.Errorf("root: checked with the keys of root %d: %w", published.Signed.Version, ErrUnsigned)
	}
	if root.VerifyDelegate(metadata.ROOT, root) != nil {
		return nil, false, fmt.Errorf("root: checked with its own keys: %w", ErrUnsigned)
	}
	return root, true, nil
}

// checkTargetsThreshold returns ErrUnsigned unless the targets metadata m have a threshold of valid signatures. The parameter
// name is the role of m. The root sets the threshold of the top-level targets role. A delegated role is accepted if m meet the
// threshold of at least one delegation to that role. The parameter names lists the targets roles whose metadata are searched for
// delegations to m's role.
func (r *Repo) checkTargetsThreshold(root *metadata.Metadata[metadata.RootType], name string,
	m *metadata.Metadata[metadata.TargetsType], names []string) error {
	if name == metadata.TARGETS {
		if root.VerifyDelegate(name, m) != nil {
			return ErrUnsigned
		}
		return nil
	}
	for _, delegatorName := range names {
		delegator, _, err := loadMetadata[metadata.TargetsType](r, delegatorName)
		if err == nil && delegatorName != name && delegator.VerifyDelegate(name, m) == nil {
			return nil
		}
	}
	return ErrUnsigned
}
