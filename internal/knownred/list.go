package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// most is how many tests may be listed: a longer list would be a place to put failures away.
const most = 3

// An entry is one line of KNOWN-RED.txt, "silvercove/internal/edge.TestTakeover/late: what fails, why; issue
// 7".
type entry struct {
	test  test
	cause string // with the issue, as it stands in the file
}

// A test is named by its package's import path and its own name, with "/" before a subtest's.
type test struct{ pkg, name string }

func (t test) String() string { return t.pkg + "." + t.name }

// The package ends at the first ".Test": a subtest's name may hold dots, an element of an import path that
// begins with an upper-case Test after a dot is not expected.
var line = regexp.MustCompile(`^(\S+?)\.((?:Test|Fuzz|Example)[^\s/]*(?:/\S+)?): (\S.*; issue \S.*)$`)

// parse reads the list. Blank lines count for nothing; everything else is an entry.
func parse(text string) ([]entry, error) {
	var entries []entry
	var wrong []error
	seen := map[test]bool{}
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if l == "" {
			continue
		}
		m := line.FindStringSubmatch(l)
		if m == nil {
			wrong = append(wrong, fmt.Errorf("line %d is not of the form PACKAGE.TEST: CAUSE; issue ISSUE",
				i+1))
			continue
		}
		e := entry{test{m[1], m[2]}, m[3]}
		if seen[e.test] {
			wrong = append(wrong, fmt.Errorf("line %d lists %s again", i+1, e.test))
		}
		seen[e.test] = true
		entries = append(entries, e)
	}
	if len(entries) > most {
		wrong = append(wrong, fmt.Errorf("%d tests are listed, %d may be", len(entries), most))
	}
	return entries, errors.Join(wrong...)
}
