package director

import (
	"crypto/sha256"
	"encoding/binary"

	"silvercove/internal/tufverify"
)

// issueRecord is what must outlive a restart of one issue: the build that it names and when it ends, and the build
// that the issue before named, if the server may still act on that, and until when.
type issueRecord struct {
	assigned, previous       uint16
	expiresAt, previousUntil tufverify.Tick
}

// digest puts it into the front of the issue's sum; the rest of the sum tells contents apart.
func (i issueRecord) digest(content []byte) (sum tufverify.Digest) {
	sum = sha256.Sum256(content)
	binary.BigEndian.PutUint16(sum[:], i.assigned)
	binary.BigEndian.PutUint64(sum[2:], uint64(i.expiresAt))
	binary.BigEndian.PutUint16(sum[10:], i.previous)
	binary.BigEndian.PutUint64(sum[12:], uint64(i.previousUntil))
	return sum
}

func decodeIssue(sum tufverify.Digest) issueRecord {
	return issueRecord{binary.BigEndian.Uint16(sum[:]), binary.BigEndian.Uint16(sum[10:]),
		tufverify.Tick(binary.BigEndian.Uint64(sum[2:])), tufverify.Tick(binary.BigEndian.Uint64(sum[12:]))}
}
