package placement

import (
	"bytes"
)

// FromAssignments is a table of these places, sorted by name, as where placement is rebuilt; an error says which of them makes no
// sense.
func FromAssignments(places []Assignment) (*Table, error) {
	var buf bytes.Buffer
	_ = write(&buf, head{V: FormatVersion, Version: uint64(len(places)), Places: len(places)}, nil)
	for i, p := range places {
		_ = write(&buf, line{At: uint64(i + 1), Assignment: p}, nil)
	}
	t := New()
	return t, t.Restore(buf.Bytes())
}
