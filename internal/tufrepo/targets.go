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

// openTargets returns the targets metadata of a role for a change (see openForChange). If the role has no staged
// metadata, the returned metadata have the next version and a new expiry.
func (r *Repo) openTargets(role string) (*metadata.Metadata[metadata.TargetsType], error) {
	return openForChange(r, role, func(m *metadata.Metadata[metadata.TargetsType], version int64) {
		m.Signed.Version, m.Signed.Expires = version, r.expiry(r.Lifetimes.Targets)
	})
}

// Add adds a file as a target of a role. The target is the package of a software version for the given kinds of hardware, or for
// all kinds if hardwareKinds is empty. The file is stored immediately; clients can verify it after the staged targets metadata
// of the role are signed and published.
func (r *Repo) Add(role, file, targetPath string, version uint16, hardwareKinds []string) error {
	if !fs.ValidPath(targetPath) || targetPath == "." || strings.Contains(targetPath, `\`) {
		return fmt.Errorf("target path %q: must be a relative path with slashes and without . or .. elements", targetPath)
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

// describeTarget reads a file and returns its target entry: its length, its digests and the custom fields.
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

// storeTarget copies a file to the targets folder twice: under its plain name, and under the name with the digest as a prefix.
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

// Remove stages targets metadata of a role from which the target with the given path is removed.
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

// Delegate stages new targets metadata of role, which delegate the given paths to delegatedRole. public and threshold are the
// public keys and the threshold of delegatedRole. An earlier delegation from role to delegatedRole is replaced. If delegatedRole
// has no metadata yet, empty ones are staged.
func (r *Repo) Delegate(role, delegatedRole string, public []*metadata.Key, threshold int, paths []string, terminating bool) error {
	if len(public) < threshold || threshold < 1 || len(paths) == 0 || delegatedRole == "" ||
		slices.Contains(metadata.TOP_LEVEL_ROLE_NAMES[:], delegatedRole) || strings.ContainsAny(delegatedRole, `/\`) {
		return fmt.Errorf("delegation to %q: needs paths, enough keys for the threshold, and a name other than a top-level role", delegatedRole)
	}
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	if m.Signed.Delegations == nil {
		m.Signed.Delegations = &metadata.Delegations{Keys: map[string]*metadata.Key{}}
	}
	delegations := m.Signed.Delegations
	delegations.Roles = slices.DeleteFunc(delegations.Roles, func(d metadata.DelegatedRole) bool { return d.Name == delegatedRole })
	delegated := metadata.DelegatedRole{Name: delegatedRole, Threshold: threshold, Paths: paths, Terminating: terminating}
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
	if _, newest, err := r.newestFile(delegatedRole); err != nil || newest > 0 {
		return err
	}
	if _, err := os.Stat(r.stagedPath(delegatedRole)); err == nil {
		return nil
	}
	return stageMetadata(r, delegatedRole, metadata.Targets(r.expiry(r.Lifetimes.Targets)))
}
