package main

import (
	"slices"
	"strings"
)

// testEvent is a line of the output of go test -json (go doc cmd/test2json).
type testEvent struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// The actions of test events that the program handles.
const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
)

// Lines, or prefixes of lines, that go test and the testing package print.
const (
	linePassed     = "ok  \t"        // the last line of a package that passed
	lineNoTests    = "?   \t"        // the last line of a package without test files
	lineFailed     = "FAIL\t"        // the last line of a package that failed
	lineTestsEnded = "FAIL\n"        // the last line that the testing package prints after a failure
	lineExitStatus = "exit status 1" // the line after lineTestsEnded
	lineProgress   = "=== "          // printed if a test starts, pauses or continues
	lineTestFailed = "--- FAIL: "    // the result of a failed test
)

// ended reports whether the event is the last one of a test or of a package.
func (e testEvent) ended() bool {
	return e.Action == actionPass || e.Action == actionFail || e.Action == actionSkip
}

// isResultLine reports whether the event is the line that reports a package's failure.
func (e testEvent) isResultLine() bool {
	return e.Test == "" && strings.HasPrefix(e.Output, lineFailed)
}

// packageRun tracks one package's tests while they run. It keeps the tests' output until the program knows whether to print it.
type packageRun struct {
	output     []testEvent
	unfinished map[string]bool // tests that have started but not ended
	failed     []string
}

func newPackageRun() *packageRun { return &packageRun{unfinished: map[string]bool{}} }

// endTest records the end of one test. It drops the output of a test that did not fail, because go test does not print
// that output either.
func (p *packageRun) endTest(e testEvent) {
	delete(p.unfinished, e.Test)
	if e.Action == actionFail {
		p.failed = append(p.failed, e.Test)
		return
	}
	p.output = slices.DeleteFunc(p.output, func(o testEvent) bool { return o.Test == e.Test })
}

// endedInOrder reports whether the testing package printed lineTestsEnded, with nothing after it but the lines that go
// test adds (lineFailed and lineExitStatus). After a panic, an exit or a timeout, lineTestsEnded is missing. The tests
// that had not run yet would count as passed without this check.
func (p *packageRun) endedInOrder() bool {
	last := -1
	for i, o := range p.output {
		if o.Test == "" && o.Output == lineTestsEnded {
			last = i
		}
	}
	if last < 0 {
		return false
	}
	return !slices.ContainsFunc(p.output[last+1:], func(o testEvent) bool {
		return !strings.HasPrefix(o.Output, lineFailed) && o.Output != lineExitStatus+"\n"
	})
}

// printedByItself reports whether a test printed anything besides its progress lines and its result line.
func (p *packageRun) printedByItself(test string) bool {
	return slices.ContainsFunc(p.output, func(o testEvent) bool {
		return o.Test == test && !strings.HasPrefix(o.Output, lineProgress) &&
			!strings.HasPrefix(o.Output, lineTestFailed)
	})
}
