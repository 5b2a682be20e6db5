package tufverify

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Target is one file that a repository's targets name.
type Target struct {
	Path   string
	Length int64  // bytes
	Sum    Digest // SHA-256 of its bytes
	Role   string // whose targets name it
	Custom Custom
}

// Custom is the custom field of a target as this project's tools write it. That of others is read as the zero value.
type Custom struct {
	Build         uint16            `json:"build,omitempty"`  // version of the software
	ECUs          map[string]string `json:"ecus,omitempty"`   // of a Director: hardware kinds by server
	HardwareKinds []string          `json:"kinds,omitempty"`  // of an image repository: hardware kinds that it fits, all without any
	PieceLength   int64             `json:"piece,omitempty"`  // length of a piece in bytes
	PieceDigests  []string          `json:"pieces,omitempty"` // SHA-256 of each piece, hexadecimal
}

// newTarget is the target that a role's targets name by a path.
func newTarget(path, role string, file *metadata.TargetFiles) *Target {
	t := &Target{Path: path, Length: file.Length, Role: role}
	copy(t.Sum[:], file.Hashes["sha256"])
	if file.Custom != nil {
		_ = json.Unmarshal(*file.Custom, &t.Custom) // another's custom field leaves it empty
	}
	return t
}

// ParseStoredPath gives the path of a target as targets name it, and the digest in its file name (section 3.1.2). Without one
// hashed is false and path is the name itself.
func (r *Repository) ParseStoredPath(stored string) (path string, sum Digest, hashed bool) {
	dir, name := "", stored
	if at := strings.LastIndexByte(stored, '/'); at >= 0 {
		dir, name = stored[:at+1], stored[at+1:]
	}
	digits, rest, cut := strings.Cut(name, ".")
	text, err := hex.DecodeString(digits)
	if !r.root.Signed.ConsistentSnapshot || !cut || rest == "" || err != nil || len(text) != len(sum) {
		return stored, sum, false
	}
	copy(sum[:], text)
	return dir + rest, sum, true
}

// AssignedTargets are the targets that the top-level role of a Director names, by path.
func (r *Repository) AssignedTargets(now Tick) (all []*Target, refusal *RefusalError) {
	r.advance(now)
	if refusal = r.checkComplete(); refusal != nil {
		return nil, refusal
	}
	for path, is := range r.targets[metadata.TARGETS].Signed.Targets {
		all = append(all, newTarget(path, metadata.TARGETS, is))
	}
	slices.SortFunc(all, func(a, b *Target) int { return strings.Compare(a.Path, b.Path) })
	return all, nil
}

// StoredName is the file name of a target in a repository with consistent snapshots (section 3.1.2): DIGEST.NAME.
func (r *Repository) StoredName(t *Target) string {
	if !r.root.Signed.ConsistentSnapshot {
		return t.Path
	}
	dir, name := "", t.Path
	if at := strings.LastIndexByte(t.Path, '/'); at >= 0 {
		dir, name = t.Path[:at+1], t.Path[at+1:]
	}
	return dir + hex.EncodeToString(t.Sum[:]) + "." + name
}
