package tufverify

import (
	"fmt"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Update verifies and holds a file of any role.
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

// FetchFunc fetches a file for Refresh or LookUp. Nil bytes without an error mean that there is no file of this name.
type FetchFunc func(f File) ([]byte, error)

// Refresh is the client workflow (sections 5.3 to 5.6) from what is held: the chain of roots to its end, then what a complete
// set lacks. Its error is a RefusalError, get's, or tells which file is missing.
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
		if f.Role == metadata.ROOT { // the newest that there is has expired, or an older one than was seen
			if refusal := r.checkRoot(f.Role); refusal != nil {
				return refusal
			}
			return fmt.Errorf("%s %s is not there", r.name, f)
		}
		if err := r.fetchAndUpdate(now, f, get); err != nil {
			return err
		}
	}
	return nil
}

func (r *Repository) fetchAndUpdate(now Tick, f File, get FetchFunc) error {
	data, err := get(f)
	if err != nil {
		return err
	}
	if data == nil {
		return fmt.Errorf("%s %s is not there", r.name, f)
	}
	if refusal := r.Update(now, f, data); refusal != nil {
		return refusal
	}
	return nil
}

// LookUp finds a target, and fetches the roles on the way that are not held. Its error is as Refresh's.
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
