package evidence

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"
)

// Errors that Restore and ReadFile wrap if they refuse a snapshot.
var (
	ErrCorrupt      = errors.New("damaged")
	ErrNewerVersion = errors.New("written by a later version of this program")
)

// A snapshot is a header line with magic, format, checksum and size, followed by JSON.
const (
	snapshotMagic  = "silvercove-ledger"
	snapshotFormat = 1
	maxCount       = 1e15 // each count of outcomes in a valid snapshot is below this
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshot is the JSON part of a snapshot file.
type snapshot struct {
	Classes  []string   `json:"ops"`
	Versions []*Version `json:"builds"`
	Orphans  int64      `json:"orphans"`
}

// Snapshot encodes the store as a snapshot.
func (s *Store) Snapshot() []byte {
	body, _ := json.Marshal(snapshot{Classes: s.classes, Versions: s.versions, Orphans: s.Orphans}) // never fails: JSON can encode all fields
	header := fmt.Appendf(nil, "%s %d %08x %d\n", snapshotMagic, snapshotFormat, crc32.Checksum(body, castagnoli), len(body))
	return append(header, body...)
}

// Restore replaces the contents of the store by a snapshot. A snapshot that is corrupt, of a later format, or of other
// request classes is refused as a whole, with an error that wraps ErrCorrupt or ErrNewerVersion, and the store stays
// unchanged.
func (s *Store) Restore(text []byte) error {
	body, err := checkHeader(text)
	if err != nil {
		return err
	}
	var content snapshot
	if err := json.Unmarshal(body, &content); err != nil {
		return fmt.Errorf("evidence snapshot: JSON: %w", ErrCorrupt)
	}
	if !slices.Equal(content.Classes, s.classes) {
		return fmt.Errorf("evidence snapshot: of other request classes, %v: %w", content.Classes, ErrCorrupt)
	}
	if len(content.Versions) > maxVersions {
		return fmt.Errorf("evidence snapshot: too many versions, %d: %w", len(content.Versions), ErrCorrupt)
	}
	for _, v := range content.Versions {
		if err := v.validate(len(s.classes)); err != nil {
			return err
		}
	}
	s.versions, s.Orphans = content.Versions, content.Orphans
	return nil
}

// checkHeader checks the header of a snapshot and returns the JSON after it.
func checkHeader(text []byte) (body []byte, err error) {
	header, body, found := bytes.Cut(text, []byte("\n"))
	var format, size int
	var sum uint32
	n, err := fmt.Sscanf(string(header), snapshotMagic+" %d %08x %d", &format, &sum, &size)
	if !found || err != nil || n != 3 {
		return nil, fmt.Errorf("evidence snapshot: header: %w", ErrCorrupt)
	}
	if format > snapshotFormat {
		return nil, fmt.Errorf("evidence snapshot: format %d: %w", format, ErrNewerVersion)
	}
	if format < 1 || len(body) != size || crc32.Checksum(body, castagnoli) != sum {
		return nil, fmt.Errorf("evidence snapshot: format, size or checksum: %w", ErrCorrupt)
	}
	return body, nil
}

// validate checks a decoded version against the limits of the store and the number of request classes.
func (v *Version) validate(classes int) error {
	if v == nil || v.Counts == nil || len(v.Votes) > maxVotes || len(v.Counts) > maxClasses*maxStages*int(sourceCount) {
		return fmt.Errorf("evidence snapshot: version out of bounds: %w", ErrCorrupt)
	}
	for _, c := range v.Counts {
		if !c.valid(classes) {
			return fmt.Errorf("evidence snapshot: count out of range: %w", ErrCorrupt)
		}
	}
	return nil
}

// valid reports whether the fields of a decoded count are within their ranges. A count that is NaN is not valid.
func (c *Count) valid(classes int) bool {
	return c != nil && c.Class >= 0 && c.Class < classes && c.Source < sourceCount &&
		c.Outcomes >= 0 && c.Outcomes < maxCount && c.Failures >= 0 && c.Failures <= c.Outcomes
}

// Load reads a snapshot from a file; a missing file is not an error. If the snapshot cannot be read, LoadError holds
// the reason and the store stays unchanged, so a new store starts empty.
func (s *Store) Load(path string) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return
	}
	if err == nil {
		err = s.Restore(text)
	}
	if err != nil {
		s.LoadError = err.Error()
	}
}

// Save writes a snapshot to a file atomically.
func Save(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// ReadFile reads a snapshot from a file into a new store, which takes the request classes from the snapshot. It serves
// tools that explain a snapshot and do not know the request classes.
func ReadFile(path string) (*Store, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	_, body, _ := bytes.Cut(text, []byte("\n"))
	var content struct {
		Classes []string `json:"ops"`
	}
	_ = json.Unmarshal(body, &content) // an error is ignored here, because Restore reports damaged JSON
	s := New(content.Classes)
	return s, s.Restore(text)
}
