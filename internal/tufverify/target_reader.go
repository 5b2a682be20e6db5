package tufverify

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
)

// TargetReader verifies the bytes of one target as they come, from any number of mirrors. Where the target has digests of
// pieces, a piece is passed on once it is complete and right. Else all but the last bytes are passed on as they come, and
// the last ones once the digest of the whole is right: a client never gets as many bytes as the target has of something
// else. It is not safe for concurrent use; its refusals are counted at the Repository.
type TargetReader struct {
	target       *Target
	repo         *Repository // counts the refusals
	digest       hash.Hash   // of what was passed on; nil where it can't be computed
	buffered     []byte      // came, and was not passed on yet
	forwarded    int64       // bytes passed on, from the target's start
	bufferLimit  int64       // bytes that are buffered at most: a piece, or the last bytes
	hasPieces    bool        // the target has digests of pieces
	singleMirror bool        // a piece may not come from several mirrors
	corrupt      bool        // what was passed on can't become right any more
}

// tailBufferSize are the bytes that are kept back to the end where there are no sums of pieces.
const tailBufferSize = 16 << 10

// maxPieceSize bounds what is kept of a piece until it is whole.
const maxPieceSize = 4 << 20

// OpenTarget begins to read a target.
func (r *Repository) OpenTarget(t *Target) *TargetReader {
	b := &TargetReader{target: t, repo: r, digest: sha256.New(), bufferLimit: min(tailBufferSize, t.Length)}
	if p := t.Custom.PieceLength; p > 0 && p <= maxPieceSize && int64(len(t.Custom.PieceDigests)) == (t.Length+p-1)/p {
		b.hasPieces, b.bufferLimit = true, p
	}
	return b
}

// SeekPiece begins at the start of the piece that a later byte is in, for a client that has the ones before. Without digests
// of pieces ok is false, as only the whole can be verified.
func (t *TargetReader) SeekPiece(at int64) (start int64, ok bool) {
	if !t.hasPieces || at < 0 || at >= t.target.Length {
		return 0, at == 0
	}
	if t.forwarded = at / t.bufferLimit * t.bufferLimit; t.forwarded > 0 {
		t.digest = nil // the whole can't be summed up
	}
	return t.forwarded, true
}

// NextOffset is the offset of the next byte that Write expects.
func (t *TargetReader) NextOffset() int64 { return t.forwarded + int64(len(t.buffered)) }

// Remaining is how many bytes Write expects yet.
func (t *TargetReader) Remaining() int64 { return t.target.Length - t.NextOffset() }

// SwitchMirror goes on with another mirror. The bytes of an incomplete piece are kept, as they may be right; once a piece that came
// from several mirrors was wrong, each must come from one alone.
func (t *TargetReader) SwitchMirror() {
	if t.hasPieces && t.singleMirror {
		t.buffered = t.buffered[:0]
	}
}

// Write takes the next bytes and passes on those that may be. A RefusalError means that the mirror's bytes are wrong: with
// digests of pieces another mirror can be asked from NextOffset on, else the body is corrupt. Other errors are pass's.
func (t *TargetReader) Write(p []byte, deliver func([]byte) error) error {
	if int64(len(p)) > t.Remaining() {
		if t.corrupt = !t.hasPieces; t.hasPieces {
			t.buffered = t.buffered[:0]
		}
		return t.repo.refuse(ReasonTooLarge, t.target.Path, "more than %d bytes", t.target.Length)
	}
	for len(p) > 0 {
		n := min(int64(len(p)), t.bufferLimit-int64(len(t.buffered)))
		if n == 0 { // only without pieces: the oldest goes on
			n = min(int64(len(p)), t.bufferLimit)
			if err := t.forward(t.buffered[:n], deliver); err != nil {
				return err
			}
			t.buffered = append(t.buffered[:0], t.buffered[n:]...)
		}
		t.buffered = append(t.buffered, p[:n]...)
		p = p[n:]
		if t.hasPieces && (int64(len(t.buffered)) == t.bufferLimit || t.Remaining() == 0) {
			if err := t.verifyPiece(deliver); err != nil {
				return err
			}
		}
	}
	if t.Remaining() > 0 || t.hasPieces {
		return nil
	}
	if err := t.verifyWhole(); err != nil {
		return err
	}
	err := t.forward(t.buffered, deliver)
	t.buffered = nil
	return err
}

// verifyPiece verifies the piece that is complete now, and passes it on.
func (t *TargetReader) verifyPiece(deliver func([]byte) error) error {
	sum := sha256.Sum256(t.buffered)
	if hex.EncodeToString(sum[:]) != t.target.Custom.PieceDigests[t.forwarded/t.bufferLimit] {
		t.buffered, t.singleMirror = t.buffered[:0], true
		return t.repo.refuse(ReasonHashMismatch, t.target.Path, "the piece from byte %d on has another SHA-256", t.forwarded)
	}
	if t.Remaining() == 0 && t.digest != nil { // the last piece, too, waits for the digest of the whole
		if err := t.verifyWhole(); err != nil {
			return err
		}
	}
	err := t.forward(t.buffered, deliver)
	t.buffered = t.buffered[:0]
	return err
}

// verifyWhole compares the digest of everything with the target's, before its last bytes are passed on.
func (t *TargetReader) verifyWhole() error {
	t.digest.Write(t.buffered)
	if Digest(t.digest.Sum(nil)) != t.target.Sum {
		t.corrupt = true
		return t.repo.refuse(ReasonHashMismatch, t.target.Path, "its SHA-256 is another")
	}
	t.digest = nil
	return nil
}

// forward passes verified bytes on.
func (t *TargetReader) forward(data []byte, deliver func([]byte) error) error {
	if t.digest != nil {
		t.digest.Write(data)
	}
	t.forwarded += int64(len(data))
	return deliver(data)
}

// Done tells that every byte was passed on.
func (t *TargetReader) Done() bool { return t.forwarded == t.target.Length && len(t.buffered) == 0 }

// Corrupt tells that what was passed on cannot become right any more.
func (t *TargetReader) Corrupt() bool { return t.corrupt }
