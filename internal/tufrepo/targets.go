package tufrepo

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/tufverify"
)

// openTargets gives the targets of a role to change.
func (r *Repo) openTargets(role string) (*metadata.Metadata[metadata.TargetsType], error) {
	return openForChange(r, role, func(m *metadata.Metadata[metadata.TargetsType], version int64) {
		m.Signed.Version, m.Signed.Expires = version, r.expiry(r.Lifetimes.Targets)
	})
}

// Add adds a file as a target of a role: the package of a version for kinds of hardware, all of them if none is named. The file
// is stored at once; clients can verify it once the role's staged targets are signed and published.
func (r *Repo) Add(role, file, targetPath string, version uint16, hardwareKinds []string) error {
	if !fs.ValidPath(targetPath) || targetPath == "." || strings.Contains(targetPath, `\`) {
		return fmt.Errorf("target path %q: a relative path without dots is wanted", targetPath)
	}
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	target, err := describeTarget(in, targetPath, version, hardwareKinds)
	if err != nil {
		return err
	}
	if err := r.storeTarget(in, target); err != nil {
		return err
	}
	m.Signed.Targets[targetPath] = target
	return stageMetadata(r, role, m)
}

// describeTarget reads a file and gives its length, its digests and the custom fields.
func describeTarget(in io.ReadSeeker, targetPath string, version uint16, hardwareKinds []string) (*metadata.TargetFiles, error) {
	if _, err := in.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	target := metadata.TargetFile()
	target.Path = targetPath
	custom := tufverify.Custom{Build: version, HardwareKinds: hardwareKinds, PieceLength: PieceSize}
	total := sha256.New()
	piece := make([]byte, PieceSize)
	for {
		n, err := io.ReadFull(in, piece)
		if n > 0 {
			total.Write(piece[:n])
			digest := sha256.Sum256(piece[:n])
			custom.PieceDigests = append(custom.PieceDigests, hex.EncodeToString(digest[:]))
			target.Length += int64(n)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	target.Hashes["sha256"] = total.Sum(nil)
	text, err := json.Marshal(custom)
	raw := json.RawMessage(text)
	target.Custom = &raw
	return target, err
}

// storeTarget copies a file to where targets are served from, under its plain name and the one with its digest.
func (r *Repo) storeTarget(in io.ReadSeeker, target *metadata.TargetFiles) error {
	dir, base := path.Split(target.Path)
	folder := filepath.Join(r.dir, "targets", filepath.FromSlash(dir))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	hashed := filepath.Join(folder, target.Hashes["sha256"].String()+"."+base)
	for _, name := range []string{hashed, filepath.Join(folder, base)} {
		if _, err := in.Seek(0, io.SeekStart); err != nil {
			return err
		}
		out, err := renameio.NewPendingFile(name, renameio.WithTempDir(folder), renameio.WithPermissions(0o644))
		if err != nil {
			return err
		}
		_, err = io.Copy(out, in)
		if err == nil {
			err = out.CloseAtomicallyReplace()
		}
		_ = out.Cleanup()
		if err != nil {
			return err
		}
	}
	return nil
}

// Remove stages the targets of a role without one of them.
func (r *Repo) Remove(role, targetPath string) error {
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	if m.Signed.Targets[targetPath] == nil {
		return fmt.Errorf("%s has no target %s", role, targetPath)
	}
	delete(m.Signed.Targets, targetPath)
	return stageMetadata(r, role, m)
}

// Delegate stages targets of a role that delegate paths to another role, with its public keys and threshold, and the first
// targets of that role. A delegation to the role that was there is replaced.
func (r *Repo) Delegate(role, to string, public []*metadata.Key, threshold int, paths []string, terminating bool) error {
	if len(public) < threshold || threshold < 1 || len(paths) == 0 || to == "" ||
		slices.Contains(metadata.TOP_LEVEL_ROLE_NAMES[:], to) || strings.ContainsAny(to, `/\`) {
		return fmt.Errorf("delegation to %q: keys for its threshold, paths and a name of its own are wanted", to)
	}
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	if m.Signed.Delegations == nil {
		m.Signed.Delegations = &metadata.Delegations{Keys: map[string]*metadata.Key{}}
	}
	delegations := m.Signed.Delegations
	delegations.Roles = slices.DeleteFunc(delegations.Roles, func(d metadata.DelegatedRole) bool { return d.Name == to })
	delegated := metadata.DelegatedRole{Name: to, Threshold: threshold, Paths: paths, Terminating: terminating}
	for _, k := range public {
		id, err := k.ID()
		if err != nil {
			return err
		}
		delegations.Keys[id] = k
		delegated.KeyIDs = append(delegated.KeyIDs, id)
	}
	delegations.Roles = append(delegations.Roles, delegated)
	if err := stageMetadata(r, role, m); err != nil {
		return err
	}
	if _, newest, err := r.newestFile(to); err != nil || newest > 0 {
		return err
	}
	if _, err := os.Stat(r.stagedPath(to)); err == nil {
		return nil
	}
	return stageMetadata(r, to, metadata.Targets(r.expiry(r.Lifetimes.Targets)))
}
