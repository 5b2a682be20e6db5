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
	compactionSlack = 4 << 20 // bytes of no more use that a file may have before it is written anew
	recordOverhead  = 64      // bytes that a record takes in the file beside its content, about
)

// compact writes the file without what is no longer of use. Where that fails the old one goes on.
func (s *Store) compact() {
	out := s.encodeAll()
	s.compactAt = 2*max(s.liveSize, s.fileSize) + compactionSlack
	if int64(len(out)) > s.fileSize/2 {
		return
	}
	if err := renameio.WriteFile(s.path, out, 0o600, renameio.WithTempDir(filepath.Dir(s.path))); err != nil {
		s.log(s.path + ": not written anew: " + err.Error())
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

// encodeAll is a file with all that is kept, and measures liveSize.
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
	return appendRecord(out, countRequest(s.count)) // last: what is written anew does not count again
}

// sizeInFile is about what an instance takes in the file, in bytes.
func sizeInFile(l *replica.Log) int64 {
	return int64(l.Size() + recordOverhead*len(l.Entries) + recordOverhead)
}
