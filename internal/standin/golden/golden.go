// Package golden compares the recorded output of a test with a golden file below the test's testdata directory. A golden file may
// change only together with an intended change of behaviour. Only a run with -update writes the file:
//
//	go test ./internal/overload -run Golden -update
//
// File compares a text, and Seeds compares one line for each seed. Recorded returns the file's text, for tests that describe a
// difference better than File does. A long record is kept as a hash of its lines (Trace). The recorded text uses words of the
// test's own instead of the names of types and fields, so that renames do not change it.
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

// Updating reports whether golden files are to be written, for tests that write them in a format of their own. It must be called
// after the flags are parsed.
func Updating() bool { return *update }

// Recorded returns the text of testdata/name, for comparison with got. A run with -update first writes got to this file. If the
// file does not exist, the test fails at once.
func Recorded(tb testing.TB, name, got string) string {
	tb.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			tb.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			tb.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		tb.Fatalf("%s does not exist: run the test with -update and commit it", path)
	}
	if err != nil {
		tb.Fatal(err)
	}
	return string(text)
}

// File compares got with testdata/name. It fails the test, and names the first line that differs, if they are not equal. It
// also fails the test if the file does not exist.
func File(tb testing.TB, name, got string) {
	tb.Helper()
	if difference := firstDifference(got, Recorded(tb, name, got)); difference != "" {
		tb.Errorf("%s: %s", filepath.Join("testdata", name), difference)
	}
}

// Lines joins lines into a text, with a newline after each line, and compares the text with testdata/name (see File).
func Lines(tb testing.TB, name string, lines []string) {
	tb.Helper()
	File(tb, name, strings.Join(lines, "\n")+"\n")
}

// missing is shown in place of a line after the end of a text.
const missing = "(no line)"

// firstDifference describes the first line in which two texts differ, and returns "" if they are equal. If the line is indented
// by a tab, the description also names the nearest line above that is not indented.
func firstDifference(got, want string) string {
	if got == want {
		return ""
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	line := func(all []string, i int) string {
		if i >= len(all) {
			return missing
		}
		return all[i]
	}
	i := 0
	for i < len(gotLines) && i < len(wantLines) && gotLines[i] == wantLines[i] {
		i++
	}
	under := ""
	if strings.HasPrefix(line(gotLines, i), "\t") || strings.HasPrefix(line(wantLines, i), "\t") {
		for above := i - 1; above >= 0; above-- {
			if !strings.HasPrefix(wantLines[above], "\t") {
				under = fmt.Sprintf(", under %q", wantLines[above])
				break
			}
		}
	}
	return fmt.Sprintf("line %d%s:\ngot  %s\nwant %s\n%d lines, %d are recorded", i+1, under, line(gotLines, i), line(wantLines, i),
		len(gotLines), len(wantLines))
}

// Trace is a record of events that is kept as a hash. The zero value is an empty record. It is not safe for concurrent use.
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

// String returns the number of lines and their hash.
func (r *Trace) String() string { return fmt.Sprintf("%d lines, hash %016x", r.lines, r.hash.Sum64()) }

// Seeds records a trace for each seed from 0 to seeds-1, and compares all of them with testdata/name, which has one line a seed.
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
