package tufverify

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Target is a file that the targets metadata of a repository list.
type Target struct {
	Path   string
	Length int64  // length in bytes
	Sum    Digest // SHA-256 of the file
	Role   string // role whose targets metadata list the file
	Custom Custom
}

// Custom is the custom field of a target, as the tools of this project write it. Members that only other tools write are
// ignored.
type Custom struct {
	Build         uint16            `json:"build,omitempty"`  // software version
	ECUs          map[string]string `json:"ecus,omitempty"`   // set by a Director: hardware kind of each server, keyed by server name
	HardwareKinds []string          `json:"kinds,omitempty"`  // set by an image repository: supported hardware kinds; empty for all kinds
	PieceLength   int64             `json:"piece,omitempty"`  // length of a piece in bytes; the last piece may be shorter
	PieceDigests  []string          `json:"pieces,omitempty"` // SHA-256 of each piece, hexadecimal
}

// newTarget returns the target that file describes. The targets metadata of role list file under path.
func newTarget(path, role string, file *metadata.TargetFiles) *Target {
	t := &Target{Path: path, Length: file.Length, Role: role}
	copy(t.Sum[:], file.Hashes["sha256"])
	if file.Custom != nil {
		_ = json.Unmarshal(*file.Custom, &t.Custom) // an error is ignored: another tool may have written a field of Custom in another format
	}
	return t
}

// ParseStoredPath splits the path of a stored target into the path in the targets metadata and the digest in the file name
// (section 3.1.2). If the file name has no digest, hashed is false and path equals stored.
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

// AssignedTargets returns the targets that the top-level targets metadata of a Director list, sorted by path.
func (r *Repository) AssignedTargets(now Tick) (all []*Target, refusal *RefusalError) {
	r.advance(now)
	if refusal = r.checkComplete(); refusal != nil {
		return nil, refusal
	}
	for path, file := range r.targets[metadata.TARGETS].Signed.Targets {
		all = append(all, newTarget(path, metadata.TARGETS, file))
	}
	slices.SortFunc(all, func(a, b *Target) int { return strings.Compare(a.Path, b.Path) })
	return all, nil
}

// StoredName returns the path under which a repository stores a target. With consistent snapshots the file name is DIGEST.NAME
// (section 3.1.2).
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
