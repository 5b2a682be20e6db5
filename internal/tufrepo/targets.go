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

func (r *Repo) openTargets(role string) (*metadata.Metadata[metadata.TargetsType], error) {
	return openForChange(r, role, func(m *metadata.Metadata[metadata.TargetsType], v int64) {
		m.Signed.Version, m.Signed.Expires = v, r.expiry(r.Life.Targets)
	})
}

// Add takes a file into the repository as a target of a role, and stages the role's next targets. The file is
// stored at once under its hash; it is vouched for once the targets are signed and published.
func (r *Repo) Add(role, file, as string, build uint16, kinds []string) error {
	if !fs.ValidPath(as) || as == "." || strings.Contains(as, `\`) {
		return fmt.Errorf("target path %q: a relative path without dots is wanted", as)
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
	t, err := describe(in, as, build, kinds)
	if err != nil {
		return err
	}
	if err := r.storeTarget(in, t); err != nil {
		return err
	}
	m.Signed.Targets[as] = t
	return stageMetadata(r, role, m)
}

// describe reads a file through and gives length, sums and our own fields of it.
func describe(in io.ReadSeeker, as string, build uint16, kinds []string) (*metadata.TargetFiles, error) {
	if _, err := in.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	t := metadata.TargetFile()
	t.Path = as
	custom := tufverify.Custom{Build: build, Kinds: kinds, Piece: PieceSize}
	whole, buf := sha256.New(), make([]byte, PieceSize)
	for {
		n, err := io.ReadFull(in, buf)
		if n > 0 {
			whole.Write(buf[:n])
			sum := sha256.Sum256(buf[:n])
			custom.Pieces = append(custom.Pieces, hex.EncodeToString(sum[:]))
			t.Length += int64(n)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	t.Hashes["sha256"] = whole.Sum(nil)
	text, err := json.Marshal(custom)
	raw := json.RawMessage(text)
	t.Custom = &raw
	return t, err
}

// storeTarget puts a file where targets are served from, under its plain name and its hash's.
func (r *Repo) storeTarget(in io.ReadSeeker, t *metadata.TargetFiles) error {
	dir, base := path.Split(t.Path)
	folder := filepath.Join(r.dir, "targets", filepath.FromSlash(dir))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	hashed := filepath.Join(folder, t.Hashes["sha256"].String()+"."+base)
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

// Remove stages targets of a role without one path.
func (r *Repo) Remove(role, as string) error {
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	if m.Signed.Targets[as] == nil {
		return fmt.Errorf("%s has no target %s", role, as)
	}
	delete(m.Signed.Targets, as)
	return stageMetadata(r, role, m)
}

// Delegate stages targets of a role that delegate paths to another, and the first targets of that one.
func (r *Repo) Delegate(role, to string, of []*metadata.Key, threshold int, paths []string, terminating bool) error {
	if len(of) < threshold || threshold < 1 || len(paths) == 0 || to == "" ||
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
	d := m.Signed.Delegations
	d.Roles = slices.DeleteFunc(d.Roles, func(is metadata.DelegatedRole) bool { return is.Name == to })
	one := metadata.DelegatedRole{Name: to, Threshold: threshold, Paths: paths, Terminating: terminating}
	for _, k := range of {
		id, err := k.ID()
		if err != nil {
			return err
		}
		d.Keys[id] = k
		one.KeyIDs = append(one.KeyIDs, id)
	}
	d.Roles = append(d.Roles, one)
	if err := stageMetadata(r, role, m); err != nil {
		return err
	}
	if _, newest, err := r.newestFile(to); err != nil || newest > 0 {
		return err
	}
	if _, err := os.Stat(r.stagedPath(to)); err == nil {
		return nil
	}
	return stageMetadata(r, to, metadata.Targets(r.expiry(r.Life.Targets)))
}
