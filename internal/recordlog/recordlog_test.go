package recordlog

import (
	"errors"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// TestReadRecords_EndOfFile reads files with intact and damaged ends, both in a format where a crash may leave any part
// of the last record (TornTail) and in one where each record is synced before the next.
func TestReadRecords_EndOfFile(t *testing.T) {
	for _, tornTail := range []bool{true, false} {
		f := Format{Magic: "testform", Version: 1, MaxPayload: 8, Checksum: xxhash.Sum64, WideChecksum: tornTail, TornTail: tornTail}
		add := func(b []byte, payload string) []byte {
			return f.SealRecord(append(f.BeginRecord(slices.Clip(b)), payload...), len(b))
		}
		oneRecord := add(f.Header(), "one")
		for _, c := range []struct {
			name                     string
			data                     []byte
			wholeFile, wantTruncated bool
		}{
			{"complete file", add(oneRecord, "two"), true, false},
			{"zeros in allocated space", append(add(nil, ""), make([]byte, 40)...)[f.RecordHeaderSize():], false, tornTail},
			{"changed last byte", append(add(oneRecord, "two")[:len(oneRecord)+f.RecordHeaderSize()+2], 'x')[len(oneRecord):], false, tornTail},
			{"corrupt middle record", add(append(add(oneRecord, "two")[:len(oneRecord)+f.RecordHeaderSize()+2], 'x'), "three")[len(oneRecord):], false, false},
			{"payload too long", add(oneRecord, "123456789")[len(oneRecord):], false, false},
		} {
			data := c.data
			if !c.wholeFile {
				data = append(oneRecord[:len(oneRecord):len(oneRecord)], c.data...)
			}
			completeSize, err := f.ReadRecords(data, func([]byte) error { return nil })
			switch {
			case c.wholeFile:
				if completeSize != len(data) || err != nil {
					t.Errorf("%s: %d complete bytes, error %v", c.name, completeSize, err)
				}
			case c.wantTruncated:
				if completeSize != len(oneRecord) || err != nil {
					t.Errorf("TornTail %v, %s: %d complete bytes, error %v", tornTail, c.name, completeSize, err)
				}
			default:
				if !errors.Is(err, ErrCorrupt) {
					t.Errorf("TornTail %v, %s: %d complete bytes, error %v, want ErrCorrupt", tornTail, c.name, completeSize, err)
				}
			}
		}
	}
}

func TestReadRecords_Header(t *testing.T) {
	f := Format{Magic: "testform", Version: 3, MaxPayload: 8, Checksum: xxhash.Sum64}
	earlier, later, otherMagic := f, f, f
	earlier.Version = 2
	later.Version = 4
	otherMagic.Magic = "otherone"
	changed := f.Header()
	changed[len(changed)-1]++
	for _, c := range []struct {
		name         string
		data         []byte
		completeSize int
		want         error
	}{
		{"empty", nil, 0, nil},
		{"incomplete", f.Header()[:HeaderSize-1], 0, nil},
		{"complete", f.Header(), HeaderSize, nil},
		{"earlier version", earlier.Header(), HeaderSize, nil},
		{"later version", later.Header(), 0, ErrNewerVersion},
		{"other magic", otherMagic.Header(), 0, ErrCorrupt},
		{"other magic, incomplete", otherMagic.Header()[:4], 0, ErrCorrupt},
		{"changed checksum", changed, 0, ErrCorrupt},
	} {
		if completeSize, err := f.ReadRecords(c.data, nil); completeSize != c.completeSize || !errors.Is(err, c.want) {
			t.Errorf("%s: %d complete bytes, error %v", c.name, completeSize, err)
		}
	}
}

func TestReadRecords_ReturnsCallbackError(t *testing.T) {
	f := Format{Magic: "testform", Version: 1, MaxPayload: 8, Checksum: xxhash.Sum64}
	start := len(f.Header())
	data := f.SealRecord(append(f.BeginRecord(f.Header()), "one"...), start)
	callbackErr := errors.New("rejected")
	completeSize, err := f.ReadRecords(data, func(payload []byte) error {
		if string(payload) != "one" {
			t.Errorf("payload %q", payload)
		}
		return callbackErr
	})
	if completeSize != start || !errors.Is(err, callbackErr) {
		t.Errorf("%d complete bytes, error %v", completeSize, err)
	}
}
