package tufrepo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/tufverify"
)

// PublishedFiles returns the content of the published metadata files, keyed by file name, and the path of the folder that
// contains the targets.
func PublishedFiles(dir string) (map[string][]byte, string, error) {
	out := map[string][]byte{}
	all, err := os.ReadDir(filepath.Join(dir, "metadata"))
	if err != nil {
		return nil, "", err
	}
	for _, e := range all {
		if _, ok := tufverify.ParseFile(e.Name()); !ok {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, "metadata", e.Name()))
		if err != nil {
			return nil, "", err
		}
		out[e.Name()] = text
	}
	return out, filepath.Join(dir, "targets"), nil
}

// RoleStatus describes one published or staged metadata file.
type RoleStatus struct {
	Role      string
	Version   int64
	Expires   time.Time
	Signed    int // number of signatures, valid or not
	Threshold int
	Staged    bool
	Targets   []string // paths of the targets that the file lists, sorted
}

// Status returns the published metadata files, followed by the staged ones.
func (r *Repo) Status() (all []RoleStatus, err error) {
	for _, sub := range []string{"metadata", "staged"} {
		entries, err := os.ReadDir(filepath.Join(r.dir, sub))
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			f, ok := tufverify.ParseFile(e.Name())
			if !ok {
				continue
			}
			text, err := os.ReadFile(filepath.Join(r.dir, sub, e.Name()))
			if err != nil {
				return nil, err
			}
			var m struct {
				Signed struct {
					Version int64
					Expires time.Time
					Targets map[string]any
				}
				Signatures []metadata.Signature
			}
			if err := json.NewDecoder(bytes.NewReader(text)).Decode(&m); err != nil {
				return nil, fmt.Errorf("%s: %w", e.Name(), err)
			}
			all = append(all, RoleStatus{Role: f.Role, Version: m.Signed.Version, Expires: m.Signed.Expires,
				Signed: len(m.Signatures), Staged: sub == "staged", Targets: slices.Sorted(maps.Keys(m.Signed.Targets)),
				Threshold: r.threshold(f.Role)})
		}
	}
	return all, nil
}

// threshold returns the threshold of a role from the staged root, the published root or a delegation, in this order. It returns
// 0 if none of them lists the role.
func (r *Repo) threshold(role string) int {
	for _, staged := range []bool{true, false} {
		if root, err := r.loadRoot(staged); err == nil && root != nil && root.Signed.Roles[role] != nil {
			return root.Signed.Roles[role].Threshold
		}
	}
	names, _ := r.targetsRoles()
	for _, name := range names {
		if m, _, err := loadMetadata[metadata.TargetsType](r, name); err == nil && m.Signed.Delegations != nil {
			for _, to := range m.Signed.Delegations.Roles {
				if to.Name == role {
					return to.Threshold
				}
			}
		}
	}
	return 0
}
