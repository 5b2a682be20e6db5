package recordlog

import (
	"errors"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// The end of a file whose last record may have come in any part, and of one that is synced record by record.
func TestTheEndOfAFile(t *testing.T) {
	for _, torn := range []bool{true, false} {
		f := Format{Magic: "testform", Version: 1, MaxPayload: 8, Checksum: xxhash.Sum64, WideChecksum: torn, TornTail: torn}
		add := func(b []byte, payload string) []byte {
			return f.SealRecord(append(f.BeginRecord(slices.Clip(b)), payload...), len(b))
		}
		one := add(f.Header(), "one")
		for _, c := range []struct {
			name       string
			text       []byte
			whole, cut bool
		}{
			{"whole", add(one, "two"), true, false},
			{"zeros for what was never written", append(add(nil, ""), make([]byte, 40)...)[f.RecordHeaderSize():], false, torn},
			{"a changed last byte", append(add(one, "two")[:len(one)+f.RecordHeaderSize()+2], 'x')[len(one):], false, torn},
			{"and one more record", add(append(add(one, "two")[:len(one)+f.RecordHeaderSize()+2], 'x'), "three")[len(one):], false, false},
			{"a record too long", add(one, "123456789")[len(one):], false, false},
		} {
			text := c.text
			if !c.whole {
				text = append(one[:len(one):len(one)], c.text...)
			}
			n, err := f.ReadRecords(text, func([]byte) error { return nil })
			switch {
			case c.whole:
				if n != len(text) || err != nil {
					t.Errorf("%s: %d %v", c.name, n, err)
				}
			case c.cut:
				if n != len(one) || err != nil {
					t.Errorf("torn %v, %s: %d %v", torn, c.name, n, err)
				}
			default:
				if !errors.Is(err, ErrCorrupt) {
					t.Errorf("torn %v, %s: %d %v", torn, c.name, n, err)
				}
			}
		}
	}
}
