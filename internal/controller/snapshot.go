package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// snapshotHeader is the first line of a snapshot, in JSON. The lines of the assignment table follow the header. Snapshots are
// kept on disk, so the header's JSON names must not change.
type snapshotHeader struct {
	FormatVersion int                         `json:"v"`
	Applied       uint64                      `json:"applied"` // index of the last applied entry
	Generation    uint64                      `json:"generation"`
	Origin        *controllerclient.LogOrigin `json:"birth,omitempty"`
	StoreIDs      map[string]string           `json:"stores,omitempty"` // by controller: the identity of the controller's disk
	Incarnations  map[string]uint64           `json:"runs,omitempty"`   // by edge node: the newest incarnation
	RecordCounts  map[string]uint64           `json:"kept,omitempty"`   // by edge node: the greatest record count
	unknown       placement.UnknownFields     // fields that a later version of the program added; kept in later snapshots
}

// frozenState is an immutable copy of the state machine's state. It implements raft.FSMSnapshot.
type frozenState struct {
	header snapshotHeader
	table  *placement.FrozenTable
}

// WriteTo writes the state in the snapshot format.
func (f *frozenState) WriteTo(w io.Writer) (int64, error) {
	text, err := placement.MarshalWithUnknown(f.header, f.header.unknown)
	if err != nil {
		return 0, err
	}
	n, err := w.Write(append(text, '\n'))
	if err != nil {
		return int64(n), err
	}
	rest, err := f.table.WriteTo(w)
	return int64(n) + rest, err
}

// Persist writes the state to raft's sink, and cancels the sink if that fails.
func (f *frozenState) Persist(sink raft.SnapshotSink) error {
	if _, err := f.WriteTo(sink); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release does nothing, because a frozenState holds no resources but memory.
func (f *frozenState) Release() {}

// readSnapshot reads a whole snapshot. It fails with ErrNewerVersion if a later version of the program wrote it.
func readSnapshot(from io.Reader) (snapshotHeader, *placement.Table, error) {
	header, err := readSnapshotHeader(from)
	if err != nil {
		return header, nil, err
	}
	text, err := io.ReadAll(from)
	if err != nil {
		return header, nil, err
	}
	table := placement.New()
	if err := table.Restore(text); errors.Is(err, placement.ErrUnsupportedVersion) {
		return header, nil, fmt.Errorf("%w: %w", ErrNewerVersion, err)
	} else if err != nil {
		return header, nil, err
	}
	if header.StoreIDs == nil {
		header.StoreIDs = map[string]string{}
	}
	if header.Incarnations == nil {
		header.Incarnations = map[string]uint64{}
	}
	if header.RecordCounts == nil {
		header.RecordCounts = map[string]uint64{}
	}
	return header, table, nil
}

// readSnapshotHeader reads the first line of a snapshot. It fails with ErrNewerVersion for a later version, whatever the form of
// the line's other fields.
func readSnapshotHeader(r io.Reader) (header snapshotHeader, err error) {
	text, err := readLine(r)
	if err != nil {
		return header, err
	}
	if version := versionOf(text); version > storeVersion {
		return header, fmt.Errorf("%w: version %d, this program reads %d", ErrNewerVersion, version, storeVersion)
	}
	header.unknown, err = placement.UnmarshalKeepingUnknown(text, &header)
	return header, err
}

// checkTableVersion reads the second line of a snapshot, which is the assignment table's header. It fails with ErrNewerVersion
// if the table has a later version.
func checkTableVersion(r io.Reader) error {
	text, err := readLine(r)
	if err != nil {
		return err
	}
	if version := versionOf(text); version > placement.FormatVersion {
		return fmt.Errorf("%w: assignments of version %d, this program reads %d", ErrNewerVersion, version, placement.FormatVersion)
	}
	return nil
}

// versionOf returns the format version of a JSON text, or 0 if none can be decoded. It decodes no other field, because the
// other fields of a later version may have any form.
func versionOf(text []byte) int {
	var versioned struct {
		FormatVersion int `json:"v"`
	}
	_ = json.Unmarshal(text, &versioned) // an error leaves the version 0
	return versioned.FormatVersion
}

// readLine reads a line byte by byte, so that the following lines are left unread.
func readLine(r io.Reader) (text []byte, err error) {
	var next [1]byte
	for {
		if _, err := io.ReadFull(r, next[:]); err != nil {
			return nil, err
		}
		if next[0] == '\n' {
			return text, nil
		}
		text = append(text, next[0])
	}
}
