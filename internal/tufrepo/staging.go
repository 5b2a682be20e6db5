package tufrepo

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"
	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/tufverify"
)

// publishedPath returns the path of a published metadata file with a given name.
func (r *Repo) publishedPath(name string) string { return filepath.Join(r.dir, "metadata", name) }

// stagedPath returns the path of the staged metadata of a role.
func (r *Repo) stagedPath(role string) string {
	return filepath.Join(r.dir, "staged", tufverify.File{Role: role}.String())
}

// writeFile replaces a file atomically, so that a reader never sees a partial file.
func writeFile(name string, text []byte) error {
	return renameio.WriteFile(name, text, 0o644, renameio.WithTempDir(filepath.Dir(name)))
}

// stageMetadata replaces the staged metadata of a role.
func stageMetadata[T metadata.Roles](r *Repo, role string, m *metadata.Metadata[T]) error {
	text, err := m.ToBytes(true)
	if err != nil {
		return err
	}
	return writeFile(r.stagedPath(role), text)
}

// loadMetadata reads the staged metadata of a role if there are any, and otherwise the newest published metadata; staged tells
// which. The error wraps ErrNotStaged if the role has neither.
func loadMetadata[T metadata.Roles](r *Repo, role string) (m *metadata.Metadata[T], staged bool, err error) {
	m = &metadata.Metadata[T]{}
	text, err := os.ReadFile(r.stagedPath(role))
	if staged = err == nil; !staged {
		f, newest, err := r.newestFile(role)
		if err != nil {
			return nil, false, err
		}
		if newest == 0 {
			return nil, false, fmt.Errorf("%s: %w", role, ErrNotStaged)
		}
		if text, err = os.ReadFile(r.publishedPath(f)); err != nil {
			return nil, false, err
		}
	}
	if _, err := m.FromBytes(text); err != nil {
		return nil, false, fmt.Errorf("%s: %w", role, err)
	}
	return m, staged, nil
}

// newestFile returns the highest published version of a role and the name of its file. The version is 0 if the role has no
// published file.
func (r *Repo) newestFile(role string) (file string, version int64, err error) {
	all, err := os.ReadDir(filepath.Join(r.dir, "metadata"))
	if err != nil {
		return "", 0, err
	}
	for _, e := range all {
		f, ok := tufverify.ParseFile(e.Name())
		if !ok || f.Role != role {
			continue
		}
		published := f.Version
		if published == 0 {
			if published, err = r.versionOf(e.Name()); err != nil {
				return "", 0, err
			}
		}
		if published > version {
			file, version = e.Name(), published
		}
	}
	return file, version, nil
}

// versionOf reads the version from the content of a published file. It is used for files whose names do not contain the version.
func (r *Repo) versionOf(file string) (int64, error) {
	var m struct{ Signed struct{ Version int64 } }
	text, err := os.ReadFile(r.publishedPath(file))
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	return m.Signed.Version, err
}

// nextVersion returns the version that follows the highest published or recorded version of a role.
func (r *Repo) nextVersion(role string) (int64, error) {
	_, newest, err := r.newestFile(role)
	recorded, _ := r.versions.Recorded(role)
	return max(newest, recorded) + 1, err
}

// openForChange returns the metadata of a role for a change. It removes the signatures, because a change invalidates
// them. If the role has staged metadata, openForChange returns these. Otherwise it returns the published metadata after
// it has called setVersion with the next version.
func openForChange[T metadata.Roles](r *Repo, role string,
	setVersion func(m *metadata.Metadata[T], version int64)) (*metadata.Metadata[T], error) {
	m, staged, err := loadMetadata[T](r, role)
	if err != nil {
		return nil, err
	}
	m.ClearSignatures()
	if !staged {
		version, err := r.nextVersion(role)
		if err != nil {
			return nil, err
		}
		setVersion(m, version)
	}
	return m, nil
}

// loadRoot reads the staged root if staged is true, and otherwise the newest published root. It returns nil if that root does
// not exist.
func (r *Repo) loadRoot(staged bool) (*metadata.Metadata[metadata.RootType], error) {
	name := r.stagedPath(metadata.ROOT)
	if !staged {
		file, v, err := r.newestFile(metadata.ROOT)
		if err != nil || v == 0 {
			return nil, err
		}
		name = r.publishedPath(file)
	}
	text, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return (&metadata.Metadata[metadata.RootType]{}).FromBytes(text)
}

// targetsRoles returns the names of all targets roles, top-level and delegated, that have staged or published metadata.
func (r *Repo) targetsRoles() ([]string, error) {
	found := map[string]bool{}
	for _, sub := range []string{"metadata", "staged"} {
		all, err := os.ReadDir(filepath.Join(r.dir, sub))
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			if f, ok := tufverify.ParseFile(e.Name()); ok && f.MetadataType() == metadata.TARGETS {
				found[f.Role] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found)), nil
}
