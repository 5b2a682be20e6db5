package edgenode

import (
	"context"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// note is what the store keeps beside the instances. It is stored data.
type note struct {
	Incarnation uint64                   `json:"run"` // the last one
	Lineage     controllerclient.Lineage `json:"line"`
	unknown     placement.UnknownFields  // what a later program added
}

// readNote decodes the note. An empty text, of a new disk, is the zero note.
func readNote(text []byte) (stored note, err error) {
	if len(text) > 0 {
		stored.unknown, err = placement.UnmarshalKeepingUnknown(text, &stored)
	}
	return stored, err
}

// writeNote stores this incarnation and a lineage, and waits until the disk has them, or the context ends.
func (n *Node) writeNote(ctx context.Context, lineage controllerclient.Lineage) error {
	text, err := placement.MarshalWithUnknown(note{Incarnation: n.incarnation, Lineage: lineage}, n.unknownNoteFields)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	n.store.SetNote(text, func(err error) { done <- err })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
