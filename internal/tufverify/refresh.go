package tufverify

import (
	"fmt"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Update verifies a file of any role, and holds the file if it is valid.
func (r *Repository) Update(now Tick, f File, data []byte) *RefusalError {
	switch f.Role {
	case metadata.ROOT:
		return r.UpdateRoot(now, data)
	case metadata.TIMESTAMP:
		return r.UpdateTimestamp(now, data)
	case metadata.SNAPSHOT:
		return r.UpdateSnapshot(now, data)
	}
	return r.UpdateTargets(now, f.Role, data)
}

// FetchFunc fetches a file for Refresh or LookUp. If the file does not exist, FetchFunc returns nil data and a nil error.
type FetchFunc func(f File) ([]byte, error)

// Refresh runs the client workflow (sections 5.3 to 5.6). It first fetches and verifies each next root until there is
// none. It then fetches the files that are missing (see NextFile). Refresh returns a RefusalError, an error that get
// returned, or an error that names the file that was not found.
func (r *Repository) Refresh(now Tick, get FetchFunc) error {
	for {
		f := File{metadata.ROOT, r.NextRootVersion()}
		data, err := get(f)
		if err != nil {
			return err
		}
		if data == nil {
			break
		}
		if refusal := r.UpdateRoot(now, data); refusal != nil {
			return refusal
		}
	}
	for f, _, ok := r.NextFile(now); ok; f, _, ok = r.NextFile(now) {
		if f.Role == metadata.ROOT { // no newer root exists, but the held root has expired or is older than the recorded one
			if refusal := r.checkRoot(f.Role); refusal != nil {
				return refusal
			}
			return fmt.Errorf("%s: file %s not found", r.name, f)
		}
		if err := r.fetchAndUpdate(now, f, get); err != nil {
			return err
		}
	}
	return nil
}

// fetchAndUpdate fetches a file, which must exist, and updates the repository with it.
func (r *Repository) fetchAndUpdate(now Tick, f File, get FetchFunc) error {
	data, err := get(f)
	if err != nil {
		return err
	}
	if data == nil {
		return fmt.Errorf("%s: file %s not found", r.name, f)
	}
	if refusal := r.Update(now, f, data); refusal != nil {
		return refusal
	}
	return nil
}

// LookUp finds a target, and fetches the metadata of the delegated roles that the search needs. The error is a
// RefusalError, is an error of the parameter get, or names the file that was not found.
func (r *Repository) LookUp(now Tick, path string, get FetchFunc) (*Target, error) {
	for {
		t, need, refusal := r.Find(now, path)
		switch {
		case refusal != nil:
			return nil, refusal
		case need == "":
			return t, nil
		}
		f, _, refusal := r.TargetsFile(now, need)
		if refusal != nil {
			return nil, refusal
		}
		if err := r.fetchAndUpdate(now, f, get); err != nil {
			return nil, err
		}
	}
}
