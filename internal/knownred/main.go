// Command knownred runs test commands as CI does while KNOWN-RED.txt lists tests that are known to fail: it
// prints what go test prints, names each listed test that failed with its cause, and fails unless just these
// have failed.
//
//	knownred DIRECTORY 'go test ./a ./b' 'go test -p 2 ./c'
//
// The commands run in the directory whose KNOWN-RED.txt is read.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred DIRECTORY 'go test ARGUMENTS'...")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run goes through the test commands, all of them even if one fails, as CI does without a list.
func run(dir string, commands []string, out io.Writer) error {
	text, err := os.ReadFile(filepath.Join(dir, "KNOWN-RED.txt"))
	if err != nil {
		return err
	}
	listed, err := parse(string(text))
	if err != nil {
		return fmt.Errorf("KNOWN-RED.txt: %w", err)
	}
	r := newResults(listed, out)
	var wrong []error
	for _, command := range commands {
		if err := r.play(dir, command); err != nil {
			wrong = append(wrong, err)
		}
	}
	return errors.Join(append(wrong, r.verdict()...)...)
}

// play runs one command and reads its events. A failure of go test is none here if a package explains it;
// whether that package's failure is a known one is up to the verdict.
func (r *results) play(dir, command string) error {
	words := strings.Fields(command)
	if len(words) < 2 || words[0] != "go" || words[1] != "test" {
		return fmt.Errorf("%q is not a go test command", command)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, words[2:]...)...)
	cmd.Dir = dir
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	before := r.failedPackages
	readErr := r.read(stdout)
	if readErr != nil {
		// Go on reading, or go test waits for ever to be read.
		_, _ = io.Copy(io.Discard, stdout)
	}
	err = cmd.Wait()
	if cmd.ProcessState.ExitCode() == 1 && r.failedPackages > before {
		err = nil
	}
	if err != nil {
		err = fmt.Errorf("go test, for a reason that no package tells: %w", err)
	}
	return errors.Join(err, readErr)
}

// An event is a line of go test -json (go doc cmd/test2json).
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

func (r *results) read(from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		text, err := lines.ReadBytes('\n')
		if len(text) > 0 {
			var e event
			if json.Unmarshal(text, &e) == nil {
				r.take(e)
			} else {
				_, _ = r.out.Write(text)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
