package tufrepo

import (
	"fmt"
	"os"
	"slices"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
)

// Sign adds a signature to the staged metadata of a role. The error wraps ErrNotStaged if the role has no staged metadata. It
// wraps ErrUnknownKey if no staged or published root and no delegation lists the key for the role.
func (r *Repo) Sign(role string, k *keys.Key) error {
	if _, err := os.Stat(r.stagedPath(role)); err != nil {
		return fmt.Errorf("%s: %w", role, ErrNotStaged)
	}
	known, err := r.isRoleKey(role, k.ID)
	if err != nil {
		return err
	}
	if !known {
		return fmt.Errorf("%s: %v: %w", role, k, ErrUnknownKey)
	}
	if role == metadata.ROOT {
		return sign[metadata.RootType](r, role, k)
	}
	return sign[metadata.TargetsType](r, role, k)
}

// sign adds a signature to the staged metadata of a role. T is the metadata type of the role.
func sign[T metadata.Roles](r *Repo, role string, k *keys.Key) error {
	m, _, err := loadMetadata[T](r, role)
	if err != nil {
		return err
	}
	if err := addSignature(m, k); err != nil {
		return err
	}
	return stageMetadata(r, role, m)
}

// addSignature signs metadata with a key and replaces an earlier signature of the same key.
func addSignature[T metadata.Roles](m *metadata.Metadata[T], k *keys.Key) error {
	m.Signatures = slices.DeleteFunc(m.Signatures, func(s metadata.Signature) bool { return s.KeyID == k.ID })
	signer, err := k.Signer()
	if err == nil {
		_, err = m.Sign(signer)
	}
	return err
}

// isRoleKey reports whether the staged root, the published root or a delegation lists the key with the identifier id for a role.
func (r *Repo) isRoleKey(role, id string) (bool, error) {
	for _, staged := range []bool{true, false} {
		root, err := r.loadRoot(staged)
		if err != nil {
			return false, err
		}
		if root != nil && root.Signed.Roles[role] != nil && slices.Contains(root.Signed.Roles[role].KeyIDs, id) {
			return true, nil
		}
	}
	names, err := r.targetsRoles()
	if err != nil {
		return false, err
	}
	for _, name := range names {
		m, _, err := loadMetadata[metadata.TargetsType](r, name)
		if err != nil || m.Signed.Delegations == nil {
			continue
		}
		for _, to := range m.Signed.Delegations.Roles {
			if to.Name == role && slices.Contains(to.KeyIDs, id) {
				return true, nil
			}
		}
	}
	return false, nil
}
