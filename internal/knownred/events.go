package main

import (
	"slices"
	"strings"
)

// A testEvent is a line of go test -json (go doc cmd/test2json).
type testEvent struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// The actions that are looked at.
const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
)

// Lines of go test and of the testing package, by which their output is told apart.
const (
	linePassed     = "ok  \t"        // a package's last line, where it passed
	lineNoTests    = "?   \t"        // and where it has no test files
	lineFailed     = "FAIL\t"        // and where it failed
	lineTestsEnded = "FAIL\n"        // the testing package's own last line
	lineExitStatus = "exit status 1" // after it
	lineProgress   = "=== "          // a test starts, pauses or goes on
	lineTestFailed = "--- FAIL: "    // a test's result
)

// ended reports whether the event is the last one of a test or of a package.
func (e testEvent) ended() bool {
	return e.Action == actionPass || e.Action == actionFail || e.Action == actionSkip
}

// isResultLine reports whether the event is the line by which a package's failure is reported.
func (e testEvent) isResultLine() bool {
	return e.Test == "" && strings.HasPrefix(e.Output, lineFailed)
}

// A packageRun is one package's tests while they run. Their output is kept until it is known whether it is to
// be printed.
type packageRun struct {
	output []testEvent
	open   map[string]bool // tests that have started and not ended
	failed []string
}

func newPackageRun() *packageRun { return &packageRun{open: map[string]bool{}} }

// endTest records the end of one test. The output of one that did not fail is dropped: go test prints none.
func (p *packageRun) endTest(e testEvent) {
	delete(p.open, e.Test)
	if e.Action == actionFail {
		p.failed = append(p.failed, e.Test)
		return
	}
	p.output = slices.DeleteFunc(p.output, func(o testEvent) bool { return o.Test == e.Test })
}

// endedInOrder reports whether the testing package came to its own last line, with nothing printed after it. A
// panic, an exit or a time-out leaves that line out, so that the tests that had not run yet would count as
// passed.
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

// printedByItself reports whether a test printed anything but its result.
func (p *packageRun) printedByItself(test string) bool {
	return slices.ContainsFunc(p.output, func(o testEvent) bool {
		return o.Test == test && !strings.HasPrefix(o.Output, lineProgress) &&
			!strings.HasPrefix(o.Output, lineTestFailed)
	})
}
