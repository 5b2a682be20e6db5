package recordlog

import (
	"errors"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// TestReadRecords_EndOfFile: the end of a file whose last record may have come in any part, and of one that is synced
// record by record.
func TestReadRecords_EndOfFile(t *testing.T) {
	for _, tornTail := range []bool{true, false} {
		f := Format{Magic: "testform", Version: 1, MaxPayload: 8, Checksum: xxhash.Sum64, WideChecksum: tornTail, TornTail: tornTail}
		add := func(b []byte, payload string) []byte {
			return f.SealRecord(append(f.BeginRecord(slices.Clip(b)), payload...), len(b))
		}
		one := add(f.Header(), "one")
		for _, c := range []struct {
			name                     string
			data                     []byte
			wholeFile, wantTruncated bool
		}{
			{"whole", add(one, "two"), true, false},
			{"zeros for what was never written", append(add(nil, ""), make([]byte, 40)...)[f.RecordHeaderSize():], false, tornTail},
			{"a changed last byte", append(add(one, "two")[:len(one)+f.RecordHeaderSize()+2], 'x')[len(one):], false, tornTail},
			{"and one more record", add(append(add(one, "two")[:len(one)+f.RecordHeaderSize()+2], 'x'), "three")[len(one):], false, false},
			{"a record too long", add(one, "123456789")[len(one):], false, false},
		} {
			data := c.data
			if !c.wholeFile {
				data = append(one[:len(one):len(one)], c.data...)
			}
			completeSize, err := f.ReadRecords(data, func([]byte) error { return nil })
			switch {
			case c.wholeFile:
				if completeSize != len(data) || err != nil {
					t.Errorf("%s: %d %v", c.name, completeSize, err)
				}
			case c.wantTruncated:
				if completeSize != len(one) || err != nil {
					t.Errorf("torn %v, %s: %d %v", tornTail, c.name, completeSize, err)
				}
			default:
				if !errors.Is(err, ErrCorrupt) {
					t.Errorf("torn %v, %s: %d %v", tornTail, c.name, completeSize, err)
				}
			}
		}
	}
}

func TestReadRecords_Header(t *testing.T) {
	f := Format{Magic: "testform", Version: 3, MaxPayload: 8, Checksum: xxhash.Sum64}
	earlier, later, other := f, f, f
	earlier.Version = 2
	later.Version = 4
	other.Magic = "otherone"
	changed := f.Header()
	changed[len(changed)-1]++
	for _, c := range []struct {
		name         string
		data         []byte
		completeSize int
		want         error
	}{
		{"empty", nil, 0, nil},
		{"cut short", f.Header()[:HeaderSize-1], 0, nil},
		{"whole", f.Header(), HeaderSize, nil},
		{"of an earlier version", earlier.Header(), HeaderSize, nil},
		{"of a later version", later.Header(), 0, ErrNewerVersion},
		{"of another file", other.Header(), 0, ErrCorrupt},
		{"of another file, cut short", other.Header()[:4], 0, ErrCorrupt},
		{"with a changed checksum", changed, 0, ErrCorrupt},
	} {
		if completeSize, err := f.ReadRecords(c.data, nil); completeSize != c.completeSize || !errors.Is(err, c.want) {
			t.Errorf("%s: %d bytes are whole, %v", c.name, completeSize, err)
		}
	}
}

func TestReadRecords_ReturnsCallbackError(t *testing.T) {
	f := Format{Magic: "testform", Version: 1, MaxPayload: 8, Checksum: xxhash.Sum64}
	start := len(f.Header())
	data := f.SealRecord(append(f.BeginRecord(f.Header()), "one"...), start)
	callbackErr := errors.New("refused")
	completeSize, err := f.ReadRecords(data, func(payload []byte) error {
		if string(payload) != "one" {
			t.Errorf("payload %q", payload)
		}
		return callbackErr
	})
	if completeSize != start || !errors.Is(err, callbackErr) {
		t.Errorf("%d bytes are whole, %v", completeSize, err)
	}
}
