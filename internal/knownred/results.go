package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// results collects what the test commands have reported so far. It is not safe for concurrent use.
type results struct {
	listed         []knownFailure
	out            io.Writer
	outcomes       map[testID][]string    // for each listed test, the action of the last event of each run (see testEvent.ended)
	running        map[string]*packageRun // packages that have started and not ended, by import path
	failedPackages int
	problems       []error
}

func newResults(listed []knownFailure, out io.Writer) *results {
	return &results{listed: listed, out: out, outcomes: map[testID][]string{}, running: map[string]*packageRun{}}
}

// record handles one event, and prints a package's output once the package has ended.
func (r *results) record(e testEvent) {
	if e.Package == "" {
		// An event without a package is output of the compiler.
		r.print(e.Output)
		return
	}
	p := r.running[e.Package]
	if p == nil {
		p = newPackageRun()
		r.running[e.Package] = p
	}
	switch {
	case e.Action == actionOutput:
		p.output = append(p.output, e)
	case e.Test != "" && e.Action == actionRun:
		p.unfinished[e.Test] = true
	case e.Test != "" && e.ended():
		test := testID{importPath: e.Package, name: e.Test}
		if r.isListed(test) {
			r.outcomes[test] = append(r.outcomes[test], e.Action)
		}
		p.endTest(e)
	case e.Test == "" && e.ended():
		r.endPackage(e, p)
		delete(r.running, e.Package)
	}
}

// endPackage prints what go test prints for a package that has ended. For a package that did not fail, this is only its
// last line. For a failed package, it is all output except that of tests that did not fail. endPackage also records
// each failure of the package that is not a known one.
func (r *results) endPackage(e testEvent, p *packageRun) {
	if e.Action != actionFail {
		for _, o := range p.output {
			if strings.HasPrefix(o.Output, linePassed) || strings.HasPrefix(o.Output, lineNoTests) {
				r.print(o.Output)
			}
		}
		return
	}
	r.failedPackages++
	known := r.printFailedPackage(e.Package, p)
	for _, name := range p.failed {
		if !r.isExplained(e.Package, name, p) {
			r.problem("%s.%s fails and is not listed", e.Package, name)
		}
	}
	r.checkPackageEnd(e, p, known)
}

// printFailedPackage prints a failed package's output, with the entries of its known failures before the last line. It returns the
// number of these entries.
func (r *results) printFailedPackage(importPath string, p *packageRun) (known int) {
	for _, o := range p.output {
		if !o.isResultLine() && !strings.HasPrefix(o.Output, lineProgress) {
			r.print(o.Output)
		}
	}
	for _, f := range r.listed {
		if f.test.importPath == importPath && slices.Contains(p.failed, f.test.name) {
			r.print("known red: " + f.String() + "\n")
			known++
		}
	}
	for _, o := range p.output {
		if o.isResultLine() {
			r.print(o.Output)
		}
	}
	return known
}

// checkPackageEnd records a package failure that no failed test explains.
func (r *results) checkPackageEnd(e testEvent, p *packageRun, known int) {
	switch {
	case e.FailedBuild != "":
		r.problem("%s does not build", e.Package)
	case len(p.unfinished) > 0:
		r.problem("%s ended while %d of its tests were running", e.Package, len(p.unfinished))
	case !p.endedInOrder():
		r.problem("%s did not run to its end (panic, exit, timeout or a check after the tests)", e.Package)
	case known == 0 && len(p.failed) == 0:
		r.problem("%s fails, but none of its tests does", e.Package)
	}
}

// isExplained reports whether a failed test is listed, or failed only because a listed subtest of it failed. In the second case
// the test itself must have printed nothing but its result.
func (r *results) isExplained(importPath, name string, p *packageRun) bool {
	if r.isListed(testID{importPath: importPath, name: name}) {
		return true
	}
	listedBelow := slices.ContainsFunc(r.listed, func(f knownFailure) bool {
		return f.test.importPath == importPath && strings.HasPrefix(f.test.name, name+"/") &&
			slices.Contains(p.failed, f.test.name)
	})
	return listedBelow && !p.printedByItself(name)
}

// finish returns all problems for which CI must fail. It is called after the last command.
func (r *results) finish() []error {
	for importPath := range r.running {
		r.problem("%s has not ended", importPath)
	}
	for _, f := range r.listed {
		outcomes := r.outcomes[f.test]
		switch {
		case len(outcomes) == 0:
			r.problem("%s is listed, but no test of that name was run to its end", f.test)
		case slices.Contains(outcomes, actionPass):
			r.problem("%s is listed, but passes: remove it from the list", f.test)
		case slices.Contains(outcomes, actionSkip):
			r.problem("%s is listed, but is skipped", f.test)
		}
	}
	return r.problems
}

func (r *results) isListed(test testID) bool {
	return slices.ContainsFunc(r.listed, func(f knownFailure) bool { return f.test == test })
}

func (r *results) problem(format string, args ...any) {
	r.problems = append(r.problems, fmt.Errorf(format, args...))
}

// print writes to CI's log. A write error is ignored, because there is no other place to report it.
func (r *results) print(text string) { _, _ = io.WriteString(r.out, text) }
