package metadataservice

import (
	"errors"
	"strings"
	"testing"

	"silvercove/internal/tufrepo"
)

// TestReload_NamesTheFixedDirective changes a directive that cannot change while the service runs. Reload must reject the changed
// file with the name of the directive, so that the caller knows that a restart is needed.
func TestReload_NamesTheFixedDirective(t *testing.T) {
	w := newTestService(t, 1, tufrepo.Lifetimes{})
	w.start()
	for _, c := range []struct{ old, replacement, directive string }{
		{"refresh 100ms", "refresh 50ms", "metadata.refresh"},
		{"root root.json", "root ./root.json", "metadata.repository.root"},
	} {
		text := string(w.readFile("cove.conf"))
		w.writeFile("cove.conf", []byte(strings.Replace(text, c.old, c.replacement, 1)))
		var fixed *FixedDirectiveError
		if err := w.service.Reload(); !errors.As(err, &fixed) || fixed.Directive != c.directive {
			t.Errorf("%s: %v", c.replacement, err)
		}
		w.writeFile("cove.conf", []byte(text))
	}
	w.must(w.service.Reload())
}
