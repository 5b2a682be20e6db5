// Package golden compares what a test records with a file below the test's testdata folder. The file is
// written only by a run with -update, which a change of behaviour that is meant goes with:
//
//	go test ./internal/overload -run Golden -update
//
// A long record is kept as the hash of its lines. Its text is made of words of the test's own, never of the
// names of types and fields, so that it outlives their renames.
package golden

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

var update = flag.Bool("update", false, "write the golden files below testdata anew")

// Updating reports whether golden files are to be written, for tests that write them in a form of their own. It is to be
// called once flags are parsed.
func Updating() bool { return *update }

// File compares got with testdata/name, and fails the test where they differ or the file is not there.
func File(tb testing.TB, name, got string) {
	tb.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			tb.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		tb.Fatalf("%s is not there: run the test with -update and commit it", path)
	}
	if err != nil {
		tb.Fatal(err)
	}
	if got != string(want) {
		tb.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// Trace is a record of events that is kept as a hash. The zero value is an empty record. It is not safe for
// concurrent use.
type Trace struct {
	hash  xxhash.Digest
	lines int
}

// Logf adds one line.
func (r *Trace) Logf(format string, args ...any) {
	if r.lines == 0 {
		r.hash.Reset()
	}
	r.lines++
	_, _ = fmt.Fprintf(&r.hash, format+"\n", args...)
}

// String is the number of lines and their hash.
func (r *Trace) String() string { return fmt.Sprintf("%d lines, hash %016x", r.lines, r.hash.Sum64()) }

// Seeds records a trace for each seed from 0 to seeds-1, and compares all of them with testdata/name, which has
// one line a seed.
func Seeds(tb testing.TB, name string, seeds int, record func(seed uint64, r *Trace)) {
	tb.Helper()
	var text strings.Builder
	for seed := range uint64(seeds) {
		var r Trace
		record(seed, &r)
		fmt.Fprintf(&text, "seed %2d: %s\n", seed, &r)
	}
	File(tb, name, text.String())
}
