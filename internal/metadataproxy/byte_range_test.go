package metadataproxy

import "testing"

// TestParseRange checks the result of parseRange for a file of 100 bytes.
func TestParseRange(t *testing.T) {
	for _, c := range []struct {
		header      string
		first, last int64
		kind        rangeKind
	}{
		{"bytes=0-9", 0, 9, rangePartial}, {"bytes=5-", 5, 99, rangePartial}, {"bytes=-10", 90, 99, rangePartial},
		{"bytes=-1000", 0, 99, rangePartial}, {"bytes=90-1000", 90, 99, rangePartial}, {"bytes=100-", 100, 99, rangeUnsatisfiable},
		{"bytes=-0", 100, 99, rangeUnsatisfiable}, {"bytes=9-5", 0, 99, rangeIgnored}, {"bytes=a-b", 0, 99, rangeIgnored},
		{"lines=1-2", 0, 99, rangeIgnored}, {"bytes=1-2,5-6", 0, 99, rangeIgnored}, {"", 0, 99, rangeIgnored},
	} {
		got, kind := parseRange(c.header, 100)
		if kind != c.kind || kind != rangeUnsatisfiable && got != (byteRange{c.first, c.last}) {
			t.Errorf("%q: %d-%d, kind %d", c.header, got.first, got.last, kind)
		}
	}
}

// FuzzParseRange checks that a partial range lies within the file, and that an ignored range is the whole file.
func FuzzParseRange(f *testing.F) {
	f.Add("bytes=0-9", int64(100))
	f.Add("bytes=-5", int64(0))
	f.Fuzz(func(t *testing.T, header string, length int64) {
		if length < 0 {
			return
		}
		got, kind := parseRange(header, length)
		if kind == rangePartial && (got.first < 0 || got.first > got.last || got.last >= length) ||
			kind == rangeIgnored && got != wholeFile(length) {
			t.Errorf("%q of %d: %d-%d", header, length, got.first, got.last)
		}
	})
}
