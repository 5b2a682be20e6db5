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

// parse parses a metadata file and checks its size, its type, its canonical form, its version and its specification version. It
// does not verify the signatures.
func parse[T metadata.Roles](r *Repository, role string, data []byte, maxSize int) (*verified[T], *RefusalError) {
	if len(data) > maxSize {
		return nil, r.refuse(ReasonTooLarge, role, "%d bytes, the limit is %d", len(data), maxSize)
	}
	digest, err := canonicalDigest(data)
	if err != nil {
		return nil, r.refuse(ReasonMalformed, role, "%v", err)
	}
	m, err := (&metadata.Metadata[T]{}).FromBytes(data)
	if err != nil {
		return nil, r.refuse(ReasonMalformed, role, "%v", err)
	}
	parsed := &verified[T]{Metadata: m, raw: bytes.Clone(data), digest: digest}
	specVersion := ""
	switch s := any(&m.Signed).(type) {
	case *metadata.RootType:
		parsed.version, parsed.expires, specVersion = s.Version, FromTime(s.Expires), s.SpecVersion
	case *metadata.TimestampType:
		parsed.version, parsed.expires, specVersion = s.Version, FromTime(s.Expires), s.SpecVersion
	case *metadata.SnapshotType:
		parsed.version, parsed.expires, specVersion = s.Version, FromTime(s.Expires), s.SpecVersion
	case *metadata.TargetsType:
		parsed.version, parsed.expires, specVersion = s.Version, FromTime(s.Expires), s.SpecVersion
	}
	signed, err := cjson.EncodeCanonical(m.Signed)
	switch {
	case err != nil:
		return nil, r.refuse(ReasonMalformed, role, "%v", err)
	case sha256.Sum256(signed) != digest:
		return nil, r.refuse(ReasonMalformed, role, "the signed part is ambiguous")
	case parsed.version < 1:
		return nil, r.refuse(ReasonMalformed, role, "version %d", parsed.version)
	case !strings.HasPrefix(specVersion, "1."):
		return nil, r.refuse(ReasonMalformed, role, "specification version %q, only 1.x is supported", specVersion)
	}
	return parsed, nil
}

// canonicalDigest returns the digest of the canonical form of the signed part of a file. It decodes the bytes into
// generic JSON values, because clients may do so instead of using the metadata types of go-tuf. An object with a
// duplicate member is an error, because parsers differ in which of the two values they use.
func canonicalDigest(data []byte) (digest Digest, err error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := checkUniqueMembers(dec, 0); err != nil {
		return digest, err
	}
	if _, err := dec.Token(); err != io.EOF {
		return digest, fmt.Errorf("data after the end of the JSON value")
	}
	var outer map[string]json.RawMessage
	if err := json.Unmarshal(data, &outer); err != nil {
		return digest, err
	}
	var signed any
	dec = json.NewDecoder(bytes.NewReader(outer["signed"]))
	dec.UseNumber()
	if err := dec.Decode(&signed); err != nil {
		return digest, err
	}
	text, err := cjson.EncodeCanonical(signed)
	return sha256.Sum256(text), err
}

// maxNestingDepth is the maximum nesting depth of objects and arrays in a metadata file.
const maxNestingDepth = 32

// checkUniqueMembers reads one JSON value and returns an error if an object in it has a duplicate member. It does not
// detect names that differ in case alone, which the JSON decoder of go-tuf treats as equal. parse refuses a file with
// such names: the canonical form of what go-tuf decoded then differs from that of the received bytes.
func checkUniqueMembers(dec *json.Decoder, depth int) error {
	t, err := dec.Token()
	if err != nil {
		return err
	}
	d, ok := t.(json.Delim)
	if !ok {
		return nil
	}
	if depth >= maxNestingDepth {
		return fmt.Errorf("nested more than %d levels deep", maxNestingDepth)
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
				return fmt.Errorf("duplicate member %q", name)
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

// checkMetaFile checks the size of a file, and its length and hashes if entry has them. entry is the entry for the file in the
// timestamp or snapshot that lists it (sections 5.5.2 and 5.6.2).
func (r *Repository) checkMetaFile(role string, entry *metadata.MetaFiles, data []byte, maxSize int) *RefusalError {
	if len(data) > maxSize {
		return r.refuse(ReasonTooLarge, role, "%d bytes, the limit is %d", len(data), maxSize)
	}
	if err := entry.VerifyLengthHashes(data); err != nil {
		return r.refuse(ReasonHashMismatch, role, "%v", err)
	}
	return nil
}

// heldRoles returns the targets roles whose metadata are held: the top-level role first, then the delegated roles sorted by
// name.
func (r *Repository) heldRoles() []string {
	names := slices.Sorted(maps.Keys(r.targets))
	if at := slices.Index(names, metadata.TARGETS); at > 0 {
		names = append([]string{metadata.TARGETS}, slices.Delete(names, at, at+1)...)
	}
	return names
}

// NewMetaFile returns the entry of a metadata file for the timestamp or snapshot that lists the file, with the version, the
// length and the digest of the file (section 4.4).
func NewMetaFile(version int64, data []byte) *metadata.MetaFiles {
	digest := sha256.Sum256(data)
	return &metadata.MetaFiles{Version: version, Length: int64(len(data)), Hashes: metadata.Hashes{"sha256": digest[:]}}
}
