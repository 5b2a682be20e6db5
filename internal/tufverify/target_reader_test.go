package tufverify_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"silvercove/internal/tufverify"
)

func TestTargetReader_CorruptBytes(t *testing.T) {
	whole := bytes.Repeat([]byte("0123456789abcdef"), 10_000)
	sum := sha256.Sum256(whole)
	pieces := func(size int) (c tufverify.Custom) {
		c.PieceLength = int64(size)
		for at := 0; at < len(whole); at += size {
			s := sha256.Sum256(whole[at:min(at+size, len(whole))])
			c.PieceDigests = append(c.PieceDigests, hex.EncodeToString(s[:]))
		}
		return c
	}
	for _, c := range []struct {
		name          string
		custom        tufverify.Custom
		corruptOffset int // offset of the wrong byte, -1 for none
		maxForwarded  int // maximum number of bytes that may be forwarded before the wrong byte is detected
		corrupt       bool
	}{
		{"pieces, valid", pieces(4096), -1, 0, false},
		{"pieces, wrong byte in the third", pieces(4096), 9000, 8192, false},
		{"no pieces, valid", tufverify.Custom{}, -1, 0, false},
		{"no pieces, wrong byte", tufverify.Custom{}, 9000, len(whole) - 1, true},
		{"no pieces, wrong last byte", tufverify.Custom{}, len(whole) - 1, len(whole) - 1, true},
		{"invalid piece digests are ignored", tufverify.Custom{PieceLength: 4096, PieceDigests: []string{"x"}}, -1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRepository(t)
			body := b.repo.OpenTarget(&tufverify.Target{Path: "p", Length: int64(len(whole)), Sum: sum, Custom: c.custom})
			sent := bytes.Clone(whole)
			if c.corruptOffset >= 0 {
				sent[c.corruptOffset] ^= 1
			}
			var got []byte
			deliver := func(p []byte) error { got = append(got, p...); return nil }
			var err error
			for at := 0; at < len(sent) && err == nil; at += 1000 {
				err = body.Write(sent[at:min(at+1000, len(sent))], deliver)
			}
			if c.corruptOffset < 0 {
				if err != nil || !body.Done() || !bytes.Equal(got, whole) {
					t.Errorf("valid target: error %v, %d bytes forwarded", err, len(got))
				}
				return
			}
			if err == nil || len(got) > c.maxForwarded || body.Corrupt() != c.corrupt || !bytes.Equal(got, sent[:len(got)]) {
				t.Fatalf("target with a wrong byte: error %v, %d bytes forwarded, corrupt %v", err, len(got), body.Corrupt())
			}
			if c.corrupt {
				return
			}
			body.SwitchMirror() // from here on, the bytes come from another mirror
			if err := body.Write(whole[body.NextOffset():], deliver); err != nil || !bytes.Equal(got, whole) {
				t.Errorf("after switching mirrors: error %v, %d bytes forwarded", err, len(got))
			}
		})
	}
	b := newTestRepository(t)
	// If one mirror sends a wrong start of a piece and stops, the piece is invalid although a second mirror completes
	// it with valid bytes. From then on, each piece must come from one mirror alone. On the second try, SwitchMirror
	// therefore drops the wrong start, and the second mirror sends the whole piece.
	spliced := b.repo.OpenTarget(&tufverify.Target{Path: "p", Length: int64(len(whole)), Sum: sum, Custom: pieces(4096)})
	var got []byte
	deliver := func(p []byte) error { got = append(got, p...); return nil }
	for try := range 2 {
		_ = spliced.Write([]byte("wrong"), deliver)
		spliced.SwitchMirror()
		if err := spliced.Write(whole[spliced.NextOffset():], deliver); (err == nil) != (try == 1) {
			t.Errorf("try %d: %v", try, err)
		}
	}
	if !bytes.Equal(got, whole) || !spliced.Done() {
		t.Errorf("%d bytes forwarded", len(got))
	}
	body := b.repo.OpenTarget(&tufverify.Target{Length: int64(len(whole)), Sum: sum})
	if err := body.Write(append(whole, 'x'), func([]byte) error { return nil }); err == nil || !body.Corrupt() {
		t.Error("data beyond the length of the target were not refused")
	}
}
