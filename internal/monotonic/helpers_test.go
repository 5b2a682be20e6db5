package monotonic

import (
	"crypto/sha256"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"silvercove/internal/tufverify"
)

func discardLogs(slog.Level, string, ...slog.Attr) {}

func openStore(tb testing.TB, paths ...string) *Store {
	tb.Helper()
	store, err := Open(paths, 1<<20, discardLogs)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = store.Close() })
	return store
}

func sum(s string) tufverify.Digest { return sha256.Sum256([]byte(s)) }

func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// encodedStore returns the content of a file that holds n versions of up to three keys and the recorded times 1 to n-1.
func encodedStore(tb testing.TB, n int) []byte {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), "versions")
	store := openStore(tb, path)
	for i := range n {
		must(tb, store.Record(fmt.Sprintf("key/%d", i%3), int64(i+1), sum(fmt.Sprint(i))))
		must(tb, store.AdvanceTime(tufverify.Tick(i)))
	}
	must(tb, store.Close())
	content, err := os.ReadFile(path)
	must(tb, err)
	return content
}
