package edgenode

import (
	"context"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// note is the record that the node stores about itself, beside the instances' logs. It holds the incarnation of the last start
// and the lineage of the controllers' assignments (see controllerclient.Lineage). Its JSON names are those of the stored
// format.
type note struct {
	Incarnation uint64                   `json:"run"` // incarnation of the last start
	Lineage     controllerclient.Lineage `json:"line"`
	unknown     placement.UnknownFields  // fields added by a later version of the program
}

// readNote decodes the note. An empty text, as on a new disk, gives the zero note.
func readNote(text []byte) (stored note, err error) {
	if len(text) > 0 {
		stored.unknown, err = placement.UnmarshalKeepingUnknown(text, &stored)
	}
	return stored, err
}

// writeNote stores a note with the node's incarnation and a lineage. It waits until the note is durable or the context ends.
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
