package director

import (
	"crypto/sha256"
	"encoding/binary"

	"silvercove/internal/tufverify"
)

// issueRecord is what must outlive a restart of one issue: the version that it assigns and its expiry; and the version that the
// issue before assigned, if the server may still act on that, and until when.
type issueRecord struct {
	assigned      uint16
	previous      uint16
	expiresAt     tufverify.Tick
	previousUntil tufverify.Tick
}

// Offsets of the fields in a recorded digest, big-endian. They are part of the stored form.
const (
	assignedOffset      = 0
	expiresAtOffset     = 2
	previousOffset      = 10
	previousUntilOffset = 12
)

// encode is the record in the front of a encode of the issue's content, whose rest tells contents apart.
func (r issueRecord) encode(content []byte) (digest tufverify.Digest) {
	digest = sha256.Sum256(content)
	binary.BigEndian.PutUint16(digest[assignedOffset:], r.assigned)
	binary.BigEndian.PutUint64(digest[expiresAtOffset:], uint64(r.expiresAt))
	binary.BigEndian.PutUint16(digest[previousOffset:], r.previous)
	binary.BigEndian.PutUint64(digest[previousUntilOffset:], uint64(r.previousUntil))
	return digest
}

// decodeIssue reads the record in the front of a recorded digest.
func decodeIssue(digest tufverify.Digest) issueRecord {
	return issueRecord{
		assigned:      binary.BigEndian.Uint16(digest[assignedOffset:]),
		previous:      binary.BigEndian.Uint16(digest[previousOffset:]),
		expiresAt:     tufverify.Tick(binary.BigEndian.Uint64(digest[expiresAtOffset:])),
		previousUntil: tufverify.Tick(binary.BigEndian.Uint64(digest[previousUntilOffset:])),
	}
}
