package metadataproxy

import "testing"

func TestSpan(t *testing.T) {
	for _, c := range []struct {
		header      string
		from, to    int64
		whole, fits bool
	}{
		{"bytes=0-9", 0, 9, false, true}, {"bytes=5-", 5, 99, false, true}, {"bytes=-10", 90, 99, false, true},
		{"bytes=-1000", 0, 99, false, true}, {"bytes=90-1000", 90, 99, false, true}, {"bytes=100-", 100, 99, false, false},
		{"bytes=-0", 100, 99, false, false}, {"bytes=9-5", 0, 99, true, true}, {"bytes=a-b", 0, 99, true, true},
		{"lines=1-2", 0, 99, true, true}, {"bytes=1-2,5-6", 0, 99, true, true}, {"", 0, 99, true, true},
	} {
		from, to, whole, fits := span(c.header, 100)
		if whole != c.whole || fits != c.fits || fits && (from != c.from || to != c.to) {
			t.Errorf("%q: %d-%d whole %v fits %v", c.header, from, to, whole, fits)
		}
	}
}

func FuzzSpan(f *testing.F) {
	f.Add("bytes=0-9", int64(100))
	f.Add("bytes=-5", int64(0))
	f.Fuzz(func(t *testing.T, header string, length int64) {
		if length < 0 {
			return
		}
		from, to, whole, fits := span(header, length)
		if fits && !whole && (from < 0 || from > to || to >= length) || whole && (from != 0 || to != length-1) {
			t.Errorf("%q of %d: %d-%d", header, length, from, to)
		}
	})
}
