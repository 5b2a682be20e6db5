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
	Length int64
	Sum    Digest
	Role   string // that vouches for it
	Custom Custom
}

// Custom is what our tools add to a target. Others' fields are left alone.
type Custom struct {
	Build  uint16            `json:"build,omitempty"`
	ECUs   map[string]string `json:"ecus,omitempty"`   // of a Director: servers and their kinds of hardware
	Kinds  []string          `json:"kinds,omitempty"`  // of an Image repository: kinds of hardware that it fits
	Piece  int64             `json:"piece,omitempty"`  // bytes that each of the sums is of
	Pieces []string          `json:"pieces,omitempty"` // their SHA-256, in hexadecimal
}

func newTarget(path, role string, is *metadata.TargetFiles) *Target {
	t := &Target{Path: path, Length: is.Length, Role: role}
	copy(t.Sum[:], is.Hashes["sha256"])
	if is.Custom != nil {
		_ = json.Unmarshal(*is.Custom, &t.Custom) // another's custom field leaves it empty
	}
	return t
}

// ParseStoredPath gives the path of a target as targets name it, and the sum that its stored name asks for. A name
// without one is plain itself.
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

// Assigned are all targets that the top-level role of a Director names, by path.
func (r *Repository) Assigned(now Tick) (all []*Target, refusal *RefusalError) {
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

// StoredName is the file name of a target in a repository with consistent snapshots (specification 3.1.2): HASH.NAME.
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
