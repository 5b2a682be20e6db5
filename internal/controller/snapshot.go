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

// snapshotHeader is the first line of a snapshot; the table's own lines follow.
type snapshotHeader struct {
	FormatVersion int                         `json:"v"`
	Applied       uint64                      `json:"applied"`
	Generation    uint64                      `json:"generation"`
	Origin        *controllerclient.LogOrigin `json:"birth,omitempty"`
	StoreIDs      map[string]string           `json:"stores,omitempty"`
	Incarnations  map[string]uint64           `json:"runs,omitempty"`
	RecordCounts  map[string]uint64           `json:"kept,omitempty"`
	unknown       placement.UnknownFields     // what a later version added
}

type frozenState struct {
	header snapshotHeader
	table  *placement.FrozenTable
}

// WriteTo writes a snapshot.
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

// Persist writes it to where raft wants it.
func (f *frozenState) Persist(to raft.SnapshotSink) error {
	if _, err := f.WriteTo(to); err != nil {
		_ = to.Cancel()
		return err
	}
	return to.Close()
}

// Release is of no need.
func (f *frozenState) Release() {}

func readSnapshot(from io.Reader) (h snapshotHeader, t *placement.Table, err error) {
	if h, err = readSnapshotHeader(from); err != nil {
		return h, nil, err
	}
	text, err := io.ReadAll(from)
	if err != nil {
		return h, nil, err
	}
	t = placement.New()
	if err = t.Restore(text); errors.Is(err, placement.ErrUnsupportedVersion) {
		return h, nil, fmt.Errorf("%w: %w", ErrNewerVersion, err)
	} else if err != nil {
		return h, nil, err
	}
	if h.StoreIDs == nil {
		h.StoreIDs = map[string]string{}
	}
	if h.Incarnations == nil {
		h.Incarnations = map[string]uint64{}
	}
	if h.RecordCounts == nil {
		h.RecordCounts = map[string]uint64{}
	}
	return h, t, nil
}

// readSnapshotHeader reads the first line of a snapshot. A later version is told as such, whatever else the line says.
func readSnapshotHeader(r io.Reader) (h snapshotHeader, err error) {
	text, err := readLine(r)
	if err != nil {
		return h, err
	}
	var v struct{ V int }
	if _ = json.Unmarshal(text, &v); v.V > storeVersion {
		return h, fmt.Errorf("%w: version %d, this program reads %d", ErrNewerVersion, v.V, storeVersion)
	}
	h.unknown, err = placement.UnmarshalKeepingUnknown(text, &h)
	return h, err
}

// checkTableVersion reads the next line, which is the table's head, and tells whether the table is of a later version.
func checkTableVersion(r io.Reader) error {
	text, err := readLine(r)
	if err != nil {
		return err
	}
	var v struct{ V int }
	if _ = json.Unmarshal(text, &v); v.V > placement.FormatVersion {
		return fmt.Errorf("%w: places of version %d, this program reads %d", ErrNewerVersion, v.V, placement.FormatVersion)
	}
	return nil
}

func readLine(r io.Reader) (text []byte, err error) {
	for b := [1]byte{}; ; text = append(text, b[0]) {
		if _, err := io.ReadFull(r, b[:]); err != nil {
			return nil, err
		}
		if b[0] == '\n' {
			return text, nil
		}
	}
}
