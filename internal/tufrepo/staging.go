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

func (r *Repo) publishedPath(name string) string { return filepath.Join(r.dir, "metadata", name) }

func (r *Repo) stagedPath(role string) string {
	return filepath.Join(r.dir, "staged", tufverify.File{Role: role}.String())
}

func writeFile(name string, text []byte) error {
	return renameio.WriteFile(name, text, 0o644, renameio.WithTempDir(filepath.Dir(name)))
}

func stageMetadata[T metadata.Roles](r *Repo, role string, m *metadata.Metadata[T]) error {
	text, err := m.ToBytes(true)
	if err != nil {
		return err
	}
	return writeFile(r.stagedPath(role), text)
}

// loadMetadata reads what is staged of a role, or else its newest published metadata.
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

// newestFile finds the highest published version of a role, 0 for none.
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
		v := f.Version
		if v == 0 {
			if v, err = r.versionOf(e.Name()); err != nil {
				return "", 0, err
			}
		}
		if v > version {
			file, version = e.Name(), v
		}
	}
	return file, version, nil
}

func (r *Repo) versionOf(file string) (int64, error) {
	var m struct{ Signed struct{ Version int64 } }
	text, err := os.ReadFile(r.publishedPath(file))
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	return m.Signed.Version, err
}

// nextVersion is the version that comes after all that were published or ever reserved.
func (r *Repo) nextVersion(role string) (int64, error) {
	_, newest, err := r.newestFile(role)
	reserved, _ := r.versions.Recorded(role)
	return max(newest, reserved) + 1, err
}

// openForChange gives the metadata of a role to change: what is staged, with its signatures taken off, as they no longer
// fit, or a next version.
func openForChange[T metadata.Roles](r *Repo, role string, set func(m *metadata.Metadata[T], version int64)) (*metadata.Metadata[T], error) {
	m, staged, err := loadMetadata[T](r, role)
	if err != nil {
		return nil, err
	}
	m.ClearSignatures()
	if !staged {
		v, err := r.nextVersion(role)
		if err != nil {
			return nil, err
		}
		set(m, v)
	}
	return m, nil
}

// loadRoot reads the staged root, or the published one; none: nil.
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

// targetsRoles are the names of all roles of targets, staged or published.
func (r *Repo) targetsRoles() ([]string, error) {
	found := map[string]bool{}
	for _, sub := range []string{"metadata", "staged"} {
		all, err := os.ReadDir(filepath.Join(r.dir, sub))
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			if f, ok := tufverify.ParseFile(e.Name()); ok && f.Kind() == metadata.TARGETS {
				found[f.Role] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found)), nil
}
