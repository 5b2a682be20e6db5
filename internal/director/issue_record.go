package director

import (
	"crypto/sha256"
	"encoding/binary"

	"silvercove/internal/tufverify"
)

// issueRecord is the part of an issue (see package director) that must survive a restart. assigned is the version that the
// issue assigns, and expiresAt is the expiry of the issue. If the server can still install from an earlier issue, previous
// is the version that the earlier issue assigned, and previousUntil is the expiry of the earlier issue.
type issueRecord struct {
	assigned      uint16
	previous      uint16
	expiresAt     tufverify.Tick
	previousUntil tufverify.Tick
}

// Byte offsets of the fields of an issueRecord in a recorded digest. The fields are big-endian. The offsets are part of the
// stored format.
const (
	assignedOffset      = 0
	expiresAtOffset     = 2
	previousOffset      = 10
	previousUntilOffset = 12
)

// encode returns a digest that begins with the encoded record. The bytes after the record are those of the SHA-256 of
// content, the issue's timestamp file. Issues with different content therefore have different digests.
func (r issueRecord) encode(content []byte) (digest tufverify.Digest) {
	digest = sha256.Sum256(content)
	binary.BigEndian.PutUint16(digest[assignedOffset:], r.assigned)
	binary.BigEndian.PutUint64(digest[expiresAtOffset:], uint64(r.expiresAt))
	binary.BigEndian.PutUint16(digest[previousOffset:], r.previous)
	binary.BigEndian.PutUint64(digest[previousUntilOffset:], uint64(r.previousUntil))
	return digest
}

// decodeIssue reads the record at the start of a recorded digest.
func decodeIssue(digest tufverify.Digest) issueRecord {
	return issueRecord{
		assigned:      binary.BigEndian.Uint16(digest[assignedOffset:]),
		previous:      binary.BigEndian.Uint16(digest[previousOffset:]),
		expiresAt:     tufverify.Tick(binary.BigEndian.Uint64(digest[expiresAtOffset:])),
		previousUntil: tufverify.Tick(binary.BigEndian.Uint64(digest[previousUntilOffset:])),
	}
}
