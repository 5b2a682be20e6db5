package tufverify

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
)

// TargetReader verifies the bytes of one target as they come, from any number of mirrors. Where the target
// has sums of pieces, a piece is passed on once it is whole and right; else all but the last bytes are
// passed on as they come and the last ones once the whole is right, so that a client never gets
// as many bytes as it was told of something that is not right.
type TargetReader struct {
	target       *Target
	repo         *Repository
	digest       hash.Hash // of what was passed on; nil where it can't be had
	buffered     []byte    // come, but not passed on yet
	passed       int64     // passed on
	holdBack     int64
	hasPieces    bool
	singleMirror bool // a piece may not be put together from several mirrors
	corrupt      bool
}

// holdBackSize are the bytes that are kept back to the end where there are no sums of pieces.
const holdBackSize = 16 << 10

// maxPieceSize bounds what is kept of a piece until it is whole.
const maxPieceSize = 4 << 20

// Open begins the body of a target.
func (r *Repository) Open(t *Target) *TargetReader {
	b := &TargetReader{target: t, repo: r, digest: sha256.New(), holdBack: min(holdBackSize, t.Length)}
	if p := t.Custom.Piece; p > 0 && p <= maxPieceSize && int64(len(t.Custom.Pieces)) == (t.Length+p-1)/p {
		b.hasPieces, b.holdBack = true, p
	}
	return b
}

// StartAt begins at a later byte, for a client that has the ones before: at the start of the piece that has
// it. Without sums of pieces it can't, as only the whole tells what is right.
func (b *TargetReader) StartAt(at int64) (start int64, ok bool) {
	if !b.hasPieces || at < 0 || at >= b.target.Length {
		return 0, at == 0
	}
	if b.passed = at / b.holdBack * b.holdBack; b.passed > 0 {
		b.digest = nil // the whole can't be summed up
	}
	return b.passed, true
}

// NextOffset is where the next byte is to come from: a mirror is asked from here on.
func (b *TargetReader) NextOffset() int64 { return b.passed + int64(len(b.buffered)) }

// Remaining is how many bytes are wanted yet.
func (b *TargetReader) Remaining() int64 { return b.target.Length - b.NextOffset() }

// Resume goes on at another mirror. What was kept of a piece stays, as it may be right; once a piece that was
// put together so was wrong, each must come from one mirror alone.
func (b *TargetReader) Resume() {
	if b.hasPieces && b.singleMirror {
		b.buffered = b.buffered[:0]
	}
}

// Write takes bytes and passes on what may be. A Refusal means that the mirror is wrong; where sums of
// pieces are there, another can be asked from Next on, else the body is spoilt.
func (b *TargetReader) Write(p []byte, pass func([]byte) error) error {
	if int64(len(p)) > b.Remaining() {
		if b.corrupt = !b.hasPieces; b.hasPieces {
			b.buffered = b.buffered[:0]
		}
		return b.repo.refuse(ReasonTooLarge, b.target.Path, "more than %d bytes", b.target.Length)
	}
	for len(p) > 0 {
		n := min(int64(len(p)), b.holdBack-int64(len(b.buffered)))
		if n == 0 { // only without pieces: the oldest goes on
			n = min(int64(len(p)), b.holdBack)
			if err := b.forward(b.buffered[:n], pass); err != nil {
				return err
			}
			b.buffered = append(b.buffered[:0], b.buffered[n:]...)
		}
		b.buffered = append(b.buffered, p[:n]...)
		p = p[n:]
		if b.hasPieces && (int64(len(b.buffered)) == b.holdBack || b.Remaining() == 0) {
			if err := b.verifyPiece(pass); err != nil {
				return err
			}
		}
	}
	if b.Remaining() > 0 || b.hasPieces {
		return nil
	}
	if err := b.verifyWhole(); err != nil {
		return err
	}
	err := b.forward(b.buffered, pass)
	b.buffered = nil
	return err
}

// verifyPiece verifies the piece that is whole now.
func (b *TargetReader) verifyPiece(pass func([]byte) error) error {
	sum := sha256.Sum256(b.buffered)
	if hex.EncodeToString(sum[:]) != b.target.Custom.Pieces[b.passed/b.holdBack] {
		b.buffered, b.singleMirror = b.buffered[:0], true
		return b.repo.refuse(ReasonHashMismatch, b.target.Path, "the piece from byte %d on has another SHA-256", b.passed)
	}
	if b.Remaining() == 0 && b.digest != nil { // pieces are only as good as the whole
		if err := b.verifyWhole(); err != nil {
			return err
		}
	}
	err := b.forward(b.buffered, pass)
	b.buffered = b.buffered[:0]
	return err
}

// verifyWhole holds the sum of everything against the target's, before its last bytes are passed on.
func (b *TargetReader) verifyWhole() error {
	b.digest.Write(b.buffered)
	if Digest(b.digest.Sum(nil)) != b.target.Sum {
		b.corrupt = true
		return b.repo.refuse(ReasonHashMismatch, b.target.Path, "its SHA-256 is another")
	}
	b.digest = nil
	return nil
}

func (b *TargetReader) forward(p []byte, to func([]byte) error) error {
	if b.digest != nil {
		b.digest.Write(p)
	}
	b.passed += int64(len(p))
	return to(p)
}

// Done tells that every byte was passed on.
func (b *TargetReader) Done() bool { return b.passed == b.target.Length && len(b.buffered) == 0 }

// Corrupt tells that what was passed on cannot become right any more.
func (b *TargetReader) Corrupt() bool { return b.corrupt }
