package tufverify

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/secure-systems-lab/go-securesystemslib/cjson"
	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// parse reads one piece of metadata without believing it.
func parse[T metadata.Roles](r *Repository, role string, data []byte, most int) (*verified[T], *RefusalError) {
	if len(data) > most {
		return nil, r.refuse(ReasonTooLarge, role, "%d bytes, %d are allowed", len(data), most)
	}
	sum, err := canonicalDigest(data)
	if err != nil {
		return nil, r.refuse(ReasonMalformed, role, "%v", err)
	}
	m, err := (&metadata.Metadata[T]{}).FromBytes(data)
	if err != nil {
		return nil, r.refuse(ReasonMalformed, role, "%v", err)
	}
	h := &verified[T]{Metadata: m, raw: bytes.Clone(data), digest: sum}
	spec := ""
	switch s := any(&m.Signed).(type) {
	case *metadata.RootType:
		h.version, h.expires, spec = s.Version, FromTime(s.Expires), s.SpecVersion
	case *metadata.TimestampType:
		h.version, h.expires, spec = s.Version, FromTime(s.Expires), s.SpecVersion
	case *metadata.SnapshotType:
		h.version, h.expires, spec = s.Version, FromTime(s.Expires), s.SpecVersion
	case *metadata.TargetsType:
		h.version, h.expires, spec = s.Version, FromTime(s.Expires), s.SpecVersion
	}
	signed, err := cjson.EncodeCanonical(m.Signed)
	switch {
	case err != nil:
		return nil, r.refuse(ReasonMalformed, role, "%v", err)
	case sha256.Sum256(signed) != sum:
		return nil, r.refuse(ReasonMalformed, role, "its bytes can be read in two ways")
	case h.version < 1:
		return nil, r.refuse(ReasonMalformed, role, "version %d", h.version)
	case !strings.HasPrefix(spec, "1."):
		return nil, r.refuse(ReasonMalformed, role, "specification version %q, 1.x is understood", spec)
	}
	return h, nil
}

// canonicalDigest reads the bytes as clients may, and gives the sum of the canonical form of the signed part. An
// object that names a member twice is refused: readers differ in which one they take.
func canonicalDigest(data []byte) (sum Digest, err error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := checkUniqueMembers(dec, 0); err != nil {
		return sum, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return sum, fmt.Errorf("bytes behind its end")
	}
	var outer map[string]json.RawMessage
	if err := json.Unmarshal(data, &outer); err != nil {
		return sum, err
	}
	var signed any
	dec = json.NewDecoder(bytes.NewReader(outer["signed"]))
	dec.UseNumber()
	if err := dec.Decode(&signed); err != nil {
		return sum, err
	}
	text, err := cjson.EncodeCanonical(signed)
	return sha256.Sum256(text), err
}

// checkUniqueMembers walks one value and refuses members that come twice. Names that only case parts, which the library
// takes for one, show in the canonical form.
func checkUniqueMembers(dec *json.Decoder, depth int) error {
	const deepest = 32
	t, err := dec.Token()
	if err != nil {
		return err
	}
	d, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	if depth >= deepest {
		return fmt.Errorf("more than %d values one inside another", deepest)
	}
	names := map[string]bool{}
	for dec.More() {
		if d == '{' {
			t, err := dec.Token()
			if err != nil {
				return err
			}
			name, _ := t.(string)
			if names[name] {
				return fmt.Errorf("member %q comes twice", name)
			}
			names[name] = true
		}
		if err := checkUniqueMembers(dec, depth+1); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}

// validateRoot checks what the library takes for granted: every role with keys that are there.
func validateRoot(r *Repository, h *verified[metadata.RootType]) *RefusalError {
	for _, role := range metadata.TOP_LEVEL_ROLE_NAMES {
		is := h.Signed.Roles[role]
		if is == nil || is.Threshold < 1 || len(is.KeyIDs) < is.Threshold {
			return r.refuse(ReasonMalformed, metadata.ROOT, "role %s has too few keys for its threshold", role)
		}
		for _, id := range is.KeyIDs {
			if h.Signed.Keys[id] == nil {
				return r.refuse(ReasonMalformed, metadata.ROOT, "key %.8s of role %s is not there", id, role)
			}
		}
	}
	return nil
}

// validateTargets does the same for targets and their delegations.
func validateTargets(r *Repository, role string, h *verified[metadata.TargetsType]) *RefusalError {
	for path, t := range h.Signed.Targets {
		if t == nil || t.Length < 0 || len(t.Hashes["sha256"]) != sha256.Size {
			return r.refuse(ReasonMalformed, role, "target %s needs a length and a SHA-256", path)
		}
	}
	d := h.Signed.Delegations
	if d == nil {
		return nil
	}
	if len(d.Roles) > 0 && d.SuccinctRoles != nil {
		return r.refuse(ReasonMalformed, role, "delegations of two kinds")
	}
	if s := d.SuccinctRoles; s != nil && (s.BitLength < 1 || s.BitLength > 16 || s.Threshold < 1) {
		return r.refuse(ReasonMalformed, role, "succinct delegations of %d bits", s.BitLength)
	}
	names := map[string]bool{}
	for _, to := range d.Roles {
		top := slices.Contains(metadata.TOP_LEVEL_ROLE_NAMES[:], to.Name)
		if top || to.Name == "" || names[to.Name] || to.Threshold < 1 || len(to.KeyIDs) < to.Threshold {
			return r.refuse(ReasonMalformed, role, "delegation to %q", to.Name)
		}
		names[to.Name] = true
	}
	for id, k := range d.Keys {
		if k == nil {
			return r.refuse(ReasonMalformed, role, "key %.8s is not there", id)
		}
	}
	return nil
}

type delegationVerifier interface {
	VerifyDelegate(role string, of any) error
}

// verifySignatures verifies that enough keys of a role have signed, and tells the ways apart in which they have not.
func (r *Repository) verifySignatures(by delegationVerifier, role string, what any, signatures []metadata.Signature) *RefusalError {
	err := by.VerifyDelegate(role, what)
	if err == nil {
		return nil
	}
	keys, threshold := roleKeys(by, role)
	known := 0
	for _, s := range signatures {
		if slices.Contains(keys, s.KeyID) {
			known++
		}
	}
	switch {
	case known == 0:
		return r.refuse(ReasonUnknownKey, role, "none of its %d signatures is by a key of the role", len(signatures))
	case known < threshold:
		return r.refuse(ReasonBelowThreshold, role, "%d of %d signatures", known, threshold)
	}
	return r.refuse(ReasonBadSignature, role, "%v", err)
}

func roleKeys(by delegationVerifier, role string) (ids []string, threshold int) {
	switch by := by.(type) {
	case *metadata.Metadata[metadata.RootType]:
		if is := by.Signed.Roles[role]; is != nil {
			return is.KeyIDs, is.Threshold
		}
	case *metadata.Metadata[metadata.TargetsType]:
		if d := by.Signed.Delegations; d != nil && d.SuccinctRoles != nil {
			return d.SuccinctRoles.KeyIDs, d.SuccinctRoles.Threshold
		} else if d != nil {
			for _, to := range d.Roles {
				if to.Name == role {
					return to.KeyIDs, to.Threshold
				}
			}
		}
	}
	return nil, 0
}

// sameKeys tells whether two roots name the same keys for a role.
func sameKeys(a, b *verified[metadata.RootType], role string) bool {
	x, y := slices.Clone(a.Signed.Roles[role].KeyIDs), slices.Clone(b.Signed.Roles[role].KeyIDs)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}

// delegates tells whether targets delegate to a role.
func delegates(from *verified[metadata.TargetsType], role string) bool {
	d := from.Signed.Delegations
	if d == nil {
		return false
	}
	if d.SuccinctRoles != nil {
		return d.SuccinctRoles.IsDelegatedRole(role)
	}
	return slices.ContainsFunc(d.Roles, func(to metadata.DelegatedRole) bool { return to.Name == role })
}

// checkMetaFile checks length and hashes that a parent gives for a file, where it gives any (5.5.2, 5.6.2).
func (r *Repository) checkMetaFile(role string, named *metadata.MetaFiles, data []byte, most int) *RefusalError {
	if len(data) > most {
		return r.refuse(ReasonTooLarge, role, "%d bytes, %d are allowed", len(data), most)
	}
	if err := named.VerifyLengthHashes(data); err != nil {
		return r.refuse(ReasonHashMismatch, role, "%v", err)
	}
	return nil
}

// heldRoles are the roles of targets that are held, the top-level ones first, else by name.
func (r *Repository) heldRoles() []string {
	names := slices.Sorted(maps.Keys(r.targets))
	if at := slices.Index(names, metadata.TARGETS); at > 0 {
		names = append([]string{metadata.TARGETS}, slices.Delete(names, at, at+1)...)
	}
	return names
}
