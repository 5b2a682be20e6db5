// Command knownred runs test commands as CI does while KNOWN-RED.txt lists tests that are known to fail. It prints the output of
// go test, names each listed test that failed together with its entry, and exits with a failure unless exactly the listed tests
// have failed.
//
//	knownred DIRECTORY 'go test ./a ./b' 'go test -p 2 ./c'
//
// The commands run in the given directory, whose KNOWN-RED.txt is read. An entry of the list is a block of lines, and a blank line
// separates two entries:
//
//	test: silvercove/internal/edgenode.TestTakeover/late
//	command: go test -run TestTakeover ./internal/edgenode
//	seed: 7
//	seen: the replica serves 1.2 s after the lease has ended
//	issue: 7
//
// Files: list.go reads the list, runner.go runs the commands, events.go and results.go evaluate the events of go test.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitFailed = 1 // an unlisted test failed, a listed test did not fail, or a command or the list is invalid
	exitUsage  = 2
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred DIRECTORY 'go test ARGUMENTS'...")
		os.Exit(exitUsage)
	}
	if err := run(os.Args[1], os.Args[2:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run executes all test commands, even after one of them has failed. CI does the same if there is no list.
func run(directory string, commands []string, out io.Writer) error {
	text, err := os.ReadFile(filepath.Join(directory, listFile))
	if err != nil {
		return err
	}
	listed, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	r := newResults(listed, out)
	var problems []error
	for _, command := range commands {
		if err := runCommand(r, directory, command); err != nil {
			problems = append(problems, err)
		}
	}
	return errors.Join(append(problems, r.finish()...)...)
}
