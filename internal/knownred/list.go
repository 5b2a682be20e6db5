package main

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// listFile is the name of the file that lists the known failures, in the directory where the test commands run.
const listFile = "KNOWN-RED.txt"

// knownFailure is one entry of the list: a test that fails because of a real fault. The entry stays until the issue of
// that fault is closed.
type knownFailure struct {
	test    testID
	command string // the go test command that shows the failure
	seed    string // the seed of the test run, "none" if the test uses no random numbers
	seen    string // the observed failure
	issue   int    // the number of the open issue
}

// String returns the entry as one line for CI's log.
func (f knownFailure) String() string {
	return fmt.Sprintf("%s: %s; command %s; seed %s; issue %d", f.test, f.seen, f.command, f.seed, f.issue)
}

// testID identifies a test by its package's import path and its name. The name of a subtest is the name of its parent,
// a "/" and the subtest's own name.
type testID struct {
	importPath string
	name       string
}

func (t testID) String() string { return t.importPath + "." + t.name }

// The fields of an entry. Each field appears exactly once in an entry, on a line of its own. Their order does not matter.
const (
	fieldTest    = "test"
	fieldCommand = "command"
	fieldSeed    = "seed"
	fieldSeen    = "seen"
	fieldIssue   = "issue"
)

var fieldNames = []string{fieldTest, fieldCommand, fieldSeed, fieldSeen, fieldIssue}

// testPattern splits a test's full name into the import path and the name. The import path ends at the first ".Test",
// ".Fuzz" or ".Example". Only the first match counts, because the name of a subtest may contain these strings as well.
// An import path contains none of them.
var testPattern = regexp.MustCompile(`^(\S+?)\.((?:Test|Fuzz|Example)[^\s/]*(?:/\S+)?)$`)

// block holds the lines of one entry before their values are checked.
type block struct {
	firstLine int               // number of the entry's first line in the file, counted from 1
	values    map[string]string // value of each field, keyed by the name of the field
}

// parseList reads the list: blocks of "field: value" lines, separated by blank lines. It returns all errors joined; each names
// its line.
func parseList(text string) ([]knownFailure, error) {
	blocks, err := splitBlocks(text)
	problems := []error{err}
	var listed []knownFailure
	lineOf := map[testID]int{}
	for _, b := range blocks {
		f, err := b.knownFailure()
		if err != nil {
			problems = append(problems, err)
			continue
		}
		if first, repeated := lineOf[f.test]; repeated {
			problems = append(problems, fmt.Errorf("line %d lists %s again, after line %d", b.firstLine, f.test,
				first))
			continue
		}
		lineOf[f.test] = b.firstLine
		listed = append(listed, f)
	}
	return listed, errors.Join(problems...)
}

// splitBlocks splits the list at its blank lines into the blocks of the entries. A line that is not a field of an entry
// is an error, and so is a field that appears twice in one entry.
func splitBlocks(text string) ([]block, error) {
	var blocks []block
	var problems []error
	inBlock := false
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			inBlock = false
			continue
		}
		if !inBlock {
			blocks = append(blocks, block{firstLine: i + 1, values: map[string]string{}})
			inBlock = true
		}
		if err := blocks[len(blocks)-1].add(line); err != nil {
			problems = append(problems, fmt.Errorf("line %d: %w", i+1, err))
		}
	}
	return blocks, errors.Join(problems...)
}

func (b block) add(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found {
		return fmt.Errorf("%q is not of the form FIELD: VALUE", line)
	}
	if !isField(name) {
		return fmt.Errorf("unknown field %q; the fields are %s", name, strings.Join(fieldNames, ", "))
	}
	if _, repeated := b.values[name]; repeated {
		return fmt.Errorf("field %q appears twice in one entry", name)
	}
	b.values[name] = strings.TrimSpace(value)
	return nil
}

func isField(name string) bool {
	for _, known := range fieldNames {
		if name == known {
			return true
		}
	}
	return false
}

// knownFailure checks a block's values and converts them to an entry.
func (b block) knownFailure() (knownFailure, error) {
	var problems []error
	problem := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf("entry of line %d: "+format, append([]any{b.firstLine}, args...)...))
	}
	for _, name := range fieldNames {
		if b.values[name] == "" {
			problem("field %q is missing or empty", name)
		}
	}
	if len(problems) > 0 {
		return knownFailure{}, errors.Join(problems...)
	}
	name := testPattern.FindStringSubmatch(b.values[fieldTest])
	if name == nil {
		problem("test %q is not of the form IMPORT/PATH.TestName", b.values[fieldTest])
	}
	if !isGoTest(strings.Fields(b.values[fieldCommand])) {
		problem("%q is not a go test command", b.values[fieldCommand])
	}
	issue, err := strconv.Atoi(b.values[fieldIssue])
	if err != nil || issue <= 0 {
		problem("issue %q is not the number of an issue", b.values[fieldIssue])
	}
	if len(problems) > 0 {
		return knownFailure{}, errors.Join(problems...)
	}
	return knownFailure{
		test:    testID{importPath: name[1], name: name[2]},
		command: b.values[fieldCommand],
		seed:    b.values[fieldSeed],
		seen:    b.values[fieldSeen],
		issue:   issue,
	}, nil
}

// isGoTest reports whether the words of a command begin with "go test".
func isGoTest(words []string) bool {
	return len(words) >= 2 && words[0] == "go" && words[1] == "test"
}
