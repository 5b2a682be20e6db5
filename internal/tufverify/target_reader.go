package tufverify

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
)

// TargetReader verifies the bytes of a target as they arrive, from any number of mirrors, and forwards them to a client. If the
// target has piece digests, a piece is forwarded once it is complete and its digest matches. Otherwise bytes are forwarded as
// they arrive, except the last tailBufferSize bytes. These are forwarded once the digest of the whole target matches, so a
// client never receives wrong content of the full length. A TargetReader is not safe for concurrent use. Its refusals are
// counted in Repository.Refused.
type TargetReader struct {
	target       *Target
	repo         *Repository // repository that counts the refusals in Refused
	digest       hash.Hash   // digest of the forwarded bytes; nil if the digest is not needed any more or cannot be computed
	buffered     []byte      // bytes that were received and not forwarded yet
	forwarded    int64       // offset in the target up to which bytes were forwarded or skipped
	bufferLimit  int64       // maximum length of buffered in bytes: the piece length, or without piece digests at most tailBufferSize
	hasPieces    bool        // the target has a digest for each piece, and no piece is longer than maxPieceSize
	singleMirror bool        // a piece was invalid, so SwitchMirror drops an incomplete piece: no piece mixes bytes of two mirrors
	corrupt      bool        // the forwarded bytes cannot be completed to the valid target
}

// tailBufferSize is the number of bytes at the end of a target without piece digests that are withheld until the digest of the whole
// target has been verified.
const tailBufferSize = 16 << 10

// maxPieceSize is the maximum piece length in bytes. It bounds the memory in use, because a piece is buffered until it is
// complete. Piece digests of a target with longer pieces are not used.
const maxPieceSize = 4 << 20

// OpenTarget returns a TargetReader that begins at the start of a target.
func (r *Repository) OpenTarget(t *Target) *TargetReader {
	reader := &TargetReader{target: t, repo: r, digest: sha256.New(), bufferLimit: min(tailBufferSize, t.Length)}
	if p := t.Custom.PieceLength; p > 0 && p <= maxPieceSize && int64(len(t.Custom.PieceDigests)) == (t.Length+p-1)/p {
		reader.hasPieces, reader.bufferLimit = true, p
	}
	return reader
}

// SeekPiece skips to the piece that contains the byte at offset at, and returns the offset at which that piece starts. It serves
// a client that already has the earlier bytes. If the target has no piece digests, ok is false unless at is 0, because only the
// whole target can be verified.
func (t *TargetReader) SeekPiece(at int64) (start int64, ok bool) {
	if !t.hasPieces || at < 0 || at >= t.target.Length {
		return 0, at == 0
	}
	if t.forwarded = at / t.bufferLimit * t.bufferLimit; t.forwarded > 0 {
		t.digest = nil // the digest of the whole target cannot be computed without the skipped bytes
	}
	return t.forwarded, true
}

// NextOffset returns the offset in the target of the next byte that Write expects.
func (t *TargetReader) NextOffset() int64 { return t.forwarded + int64(len(t.buffered)) }

// Remaining returns the number of bytes that Write still expects.
func (t *TargetReader) Remaining() int64 { return t.target.Length - t.NextOffset() }

// SwitchMirror prepares for bytes from another mirror. The bytes of an incomplete piece are kept, because they may be valid.
// After any piece was invalid, the bytes of an incomplete piece are dropped, so that each piece comes from one mirror alone.
func (t *TargetReader) SwitchMirror() {
	if t.hasPieces && t.singleMirror {
		t.buffered = t.buffered[:0]
	}
}

// Write takes the next bytes of the target, and calls deliver with the bytes that can be forwarded (see TargetReader).
// A RefusalError means that the mirror sent wrong bytes. Another mirror can then continue from NextOffset unless
// Corrupt reports true. After a RefusalError, Corrupt reports true in two cases: the target has no piece digests, or
// every piece is valid and the digest of the whole target is not. Any other error comes from deliver.
func (t *TargetReader) Write(p []byte, deliver func([]byte) error) error {
	if int64(len(p)) > t.Remaining() {
		if t.corrupt = !t.hasPieces; t.hasPieces {
			t.buffered = t.buffered[:0]
		}
		return t.repo.refuse(ReasonTooLarge, t.target.Path, "more than %d bytes", t.target.Length)
	}
	for len(p) > 0 {
		n := min(int64(len(p)), t.bufferLimit-int64(len(t.buffered)))
		if n == 0 { // the buffer is full: forward its oldest bytes; with piece digests n is never 0, because verifyPiece empties a full buffer
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

// verifyPiece verifies the complete piece in t.buffered and forwards it.
func (t *TargetReader) verifyPiece(deliver func([]byte) error) error {
	sum := sha256.Sum256(t.buffered)
	if hex.EncodeToString(sum[:]) != t.target.Custom.PieceDigests[t.forwarded/t.bufferLimit] {
		t.buffered, t.singleMirror = t.buffered[:0], true
		return t.repo.refuse(ReasonHashMismatch, t.target.Path, "wrong SHA-256 of the piece at byte %d", t.forwarded)
	}
	if t.Remaining() == 0 && t.digest != nil { // this is the last piece: verify the digest of the whole target too before the piece is forwarded
		if err := t.verifyWhole(); err != nil {
			return err
		}
	}
	err := t.forward(t.buffered, deliver)
	t.buffered = t.buffered[:0]
	return err
}

// verifyWhole compares the digest of the forwarded and buffered bytes with the digest of the target. It is called before the
// last bytes are forwarded.
func (t *TargetReader) verifyWhole() error {
	t.digest.Write(t.buffered)
	if Digest(t.digest.Sum(nil)) != t.target.Sum {
		t.corrupt = true
		return t.repo.refuse(ReasonHashMismatch, t.target.Path, "wrong SHA-256")
	}
	t.digest = nil
	return nil
}

// forward passes bytes to deliver and adds them to the digest.
func (t *TargetReader) forward(data []byte, deliver func([]byte) error) error {
	if t.digest != nil {
		t.digest.Write(data)
	}
	t.forwarded += int64(len(data))
	return deliver(data)
}

// Done reports whether every byte was forwarded.
func (t *TargetReader) Done() bool { return t.forwarded == t.target.Length && len(t.buffered) == 0 }

// Corrupt reports whether the forwarded bytes can no longer be completed to the valid target.
func (t *TargetReader) Corrupt() bool { return t.corrupt }
