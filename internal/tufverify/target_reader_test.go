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
		name         string
		custom       tufverify.Custom
		flip         int // byte that is wrong, -1 for none
		maxForwarded int // bytes that may be passed on then
		corrupt      bool
	}{
		{"pieces, right", pieces(4096), -1, 0, false},
		{"pieces, wrong in the third", pieces(4096), 9000, 8192, false},
		{"no pieces, right", tufverify.Custom{}, -1, 0, false},
		{"no pieces, wrong", tufverify.Custom{}, 9000, len(whole) - 1, true},
		{"no pieces, wrong at the end", tufverify.Custom{}, len(whole) - 1, len(whole) - 1, true},
		{"pieces that are no hashes of it count for none", tufverify.Custom{PieceLength: 4096, PieceDigests: []string{"x"}}, -1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRepository(t)
			body := b.repo.OpenTarget(&tufverify.Target{Path: "p", Length: int64(len(whole)), Sum: sum, Custom: c.custom})
			sent := bytes.Clone(whole)
			if c.flip >= 0 {
				sent[c.flip] ^= 1
			}
			var got []byte
			deliver := func(p []byte) error { got = append(got, p...); return nil }
			var err error
			for at := 0; at < len(sent) && err == nil; at += 1000 {
				err = body.Write(sent[at:min(at+1000, len(sent))], deliver)
			}
			if c.flip < 0 {
				if err != nil || !body.Done() || !bytes.Equal(got, whole) {
					t.Errorf("%v, %d bytes", err, len(got))
				}
				return
			}
			if err == nil || len(got) > c.maxForwarded || body.Corrupt() != c.corrupt || !bytes.Equal(got, sent[:len(got)]) {
				t.Fatalf("%v, %d bytes passed on, spoilt %v", err, len(got), body.Corrupt())
			}
			if c.corrupt {
				return
			}
			body.SwitchMirror() // another mirror goes on
			if err := body.Write(whole[body.NextOffset():], deliver); err != nil || !bytes.Equal(got, whole) {
				t.Errorf("%v, %d bytes", err, len(got))
			}
		})
	}
	b := newTestRepository(t)
	// A mirror that gives the wrong start of a piece and breaks off spoils what another adds to it; from then on each
	// piece is one mirror's alone, and the good one gets through.
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
		t.Errorf("%d bytes", len(got))
	}
	body := b.repo.OpenTarget(&tufverify.Target{Length: int64(len(whole)), Sum: sum})
	if err := body.Write(append(whole, 'x'), func([]byte) error { return nil }); err == nil || !body.Corrupt() {
		t.Error("endless data are not refused")
	}
}
