package placement

import (
	"bytes"

	"silvercove/internal/migration"
)

// Of is a table of these places, sorted by name, as where placement is rebuilt; an error says which of them makes no
// sense.
func Of(places []migration.Place) (*Table, error) {
	var buf bytes.Buffer
	_ = write(&buf, head{V: migration.Version, Version: uint64(len(places)), Places: len(places)}, nil)
	for i, p := range places {
		_ = write(&buf, line{At: uint64(i + 1), Place: p}, nil)
	}
	t := New()
	return t, t.Restore(buf.Bytes())
}
