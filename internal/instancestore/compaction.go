package instancestore

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"

	"silvercove/internal/replica"
)

const (
	compactionSlack = 4 << 20 // a file is compacted once it exceeds twice its live content by this number of bytes
	recordOverhead  = 64      // approximate size of a record in the file, in bytes, not counting the size of its log entry
)

// compact replaces the file by one without obsolete records if the new file is at most half as large as the old one. If
// the new file cannot be written, the old one stays in use. If the new file cannot be opened, all later requests fail.
func (s *Store) compact() {
	out := s.encodeAll()
	s.compactAt = 2*max(s.liveSize, s.fileSize) + compactionSlack
	if int64(len(out)) > s.fileSize/2 {
		return
	}
	if err := renameio.WriteFile(s.path, out, 0o600, renameio.WithTempDir(filepath.Dir(s.path))); err != nil {
		s.logf(s.path + ": compaction failed: " + err.Error())
		return
	}
	file, err := os.OpenFile(s.path, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		s.writeFailed = fmt.Errorf("%w: %w", ErrWriteFailed, err)
		return
	}
	_ = s.file.Close()
	s.file, s.fileSize = file, int64(len(out))
	s.compactAt = 2*s.liveSize + compactionSlack
}

// encodeAll returns the content of a file that holds only the current state. It also recomputes s.liveSize.
func (s *Store) encodeAll() []byte {
	out := format.Header()
	if s.note != nil {
		out = appendRecord(out, request{kind: kindNote, note: s.note})
	}
	s.liveSize = 0
	for _, name := range slices.Sorted(maps.Keys(s.logs)) {
		l := s.logs[name]
		s.liveSize += sizeInFile(l)
		out = appendRecord(out, request{kind: kindReset, instance: name, number: l.BaseIndex, sum: l.BaseChecksum})
		for _, e := range l.Entries {
			out = appendRecord(out, request{kind: kindEntry, instance: name, entry: e})
		}
	}
	return appendRecord(out, countRequest(s.count)) // the count comes last: if counting is enabled, a reader adds 1 to the count for each record that follows it
}

// sizeInFile returns the approximate size of an instance's log in the file, in bytes.
func sizeInFile(l *replica.Log) int64 {
	return int64(l.Size() + recordOverhead*len(l.Entries) + recordOverhead)
}
