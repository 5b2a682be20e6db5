package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// results is what the test commands have told so far.
type results struct {
	listed         []entry
	out            io.Writer
	ended          map[test][]string // what each listed test ended as: pass, fail or skip, once for each run
	running        map[string]*pkgRun
	failedPackages int
	wrong          []error
}

// A pkgRun is one package's tests while they run. What they print is kept until it is known whether it is
// shown.
type pkgRun struct {
	output []event
	open   map[string]bool // tests that have started and not ended
	failed []string
}

func newResults(listed []entry, out io.Writer) *results {
	return &results{listed: listed, out: out, ended: map[test][]string{}, running: map[string]*pkgRun{}}
}

func (r *results) take(e event) {
	if e.Package == "" {
		// The compiler's words have no package.
		fmt.Fprint(r.out, e.Output)
		return
	}
	p := r.running[e.Package]
	if p == nil {
		p = &pkgRun{open: map[string]bool{}}
		r.running[e.Package] = p
	}
	switch {
	case e.Action == "output":
		p.output = append(p.output, e)
	case e.Test != "" && e.Action == "run":
		p.open[e.Test] = true
	case e.Test != "" && (e.Action == "pass" || e.Action == "fail" || e.Action == "skip"):
		delete(p.open, e.Test)
		t := test{e.Package, e.Test}
		if r.isListed(t) {
			r.ended[t] = append(r.ended[t], e.Action)
		}
		if e.Action == "fail" {
			p.failed = append(p.failed, e.Test)
			break
		}
		// What is not shown need not be kept; go test shows nothing of a test that did well.
		p.output = slices.DeleteFunc(p.output, func(o event) bool { return o.Test == e.Test })
	case e.Test == "" && (e.Action == "pass" || e.Action == "skip"):
		for _, o := range p.output {
			if strings.HasPrefix(o.Output, "ok  \t") || strings.HasPrefix(o.Output, "?   \t") {
				fmt.Fprint(r.out, o.Output)
			}
		}
		delete(r.running, e.Package)
	case e.Test == "" && e.Action == "fail":
		r.failPackage(e, p)
		delete(r.running, e.Package)
	}
}

// failPackage prints what a failed package has to say, and notes what of its failure the list does not
// explain.
func (r *results) failPackage(e event, p *pkgRun) {
	r.failedPackages++
	for _, o := range p.output {
		if o.Test != "" || !strings.HasPrefix(o.Output, "FAIL\t") {
			if !strings.HasPrefix(o.Output, "=== ") {
				fmt.Fprint(r.out, o.Output)
			}
		}
	}
	known := 0
	for _, l := range r.listed {
		if l.test.pkg == e.Package && slices.Contains(p.failed, l.test.name) {
			fmt.Fprintf(r.out, "known red: %s: %s\n", l.test, l.cause)
			known++
		}
	}
	for _, o := range p.output {
		if o.Test == "" && strings.HasPrefix(o.Output, "FAIL\t") {
			fmt.Fprint(r.out, o.Output)
		}
	}
	for _, name := range p.failed {
		if !r.explained(e.Package, name, p) {
			r.wrong = append(r.wrong, fmt.Errorf("%s.%s fails and is not listed", e.Package, name))
		}
	}
	switch {
	case e.FailedBuild != "":
		r.wrong = append(r.wrong, fmt.Errorf("%s does not build", e.Package))
	case len(p.open) > 0:
		r.wrong = append(r.wrong, fmt.Errorf("%s ended while %d of its tests were running", e.Package,
			len(p.open)))
	case !p.endedInOrder():
		r.wrong = append(r.wrong,
			fmt.Errorf("%s did not run to its end in order (panic, exit, time-out or a check "+
				"after the tests)", e.Package))
	case known == 0 && len(p.failed) == 0:
		r.wrong = append(r.wrong, fmt.Errorf("%s fails with no test that does", e.Package))
	}
}

// explained tells whether a test that failed is listed, or failed just because a listed subtest of its did:
// then it has printed nothing itself.
func (r *results) explained(pkg, name string, p *pkgRun) bool {
	if r.isListed(test{pkg, name}) {
		return true
	}
	below := slices.ContainsFunc(r.listed, func(l entry) bool {
		return l.test.pkg == pkg && strings.HasPrefix(l.test.name, name+"/") && slices.Contains(p.failed,
			l.test.name)
	})
	return below && !slices.ContainsFunc(p.output, func(o event) bool {
		return o.Test == name && !strings.HasPrefix(o.Output, "=== ") && !strings.HasPrefix(o.Output,
			"--- FAIL: ")
	})
}

// endedInOrder tells whether the testing package came to its own last line, and nothing was said after it. A
// panic, an exit or a time-out leaves that line out, so the tests that had not run yet would pass for good
// ones.
func (p *pkgRun) endedInOrder() bool {
	last := -1
	for i, o := range p.output {
		if o.Test == "" && o.Output == "FAIL\n" {
			last = i
		}
	}
	if last < 0 {
		return false
	}
	return !slices.ContainsFunc(p.output[last+1:], func(o event) bool {
		return !strings.HasPrefix(o.Output, "FAIL\t") && o.Output != "exit status 1\n"
	})
}

// verdict is called after the last command.
func (r *results) verdict() []error {
	wrong := r.wrong
	for pkg := range r.running {
		wrong = append(wrong, fmt.Errorf("%s has not ended", pkg))
	}
	for _, l := range r.listed {
		ended := r.ended[l.test]
		switch {
		case len(ended) == 0:
			wrong = append(wrong, fmt.Errorf("%s is listed, but no test of that name was run to its end",
				l.test))
		case slices.Contains(ended, "pass"):
			wrong = append(wrong, fmt.Errorf("%s is listed, but passes: take it off the list", l.test))
		case slices.Contains(ended, "skip"):
			wrong = append(wrong, fmt.Errorf("%s is listed, but is skipped", l.test))
		}
	}
	return wrong
}

func (r *results) isListed(t test) bool {
	return slices.ContainsFunc(r.listed, func(l entry) bool { return l.test == t })
}
