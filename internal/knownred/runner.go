package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// exitTestsFailed is go test's exit code if a package failed.
const exitTestsFailed = 1

// runCommand runs one test command and records its events. It returns no error if go test failed because a package
// failed; results.finish decides whether the failure of that package is a known one.
func runCommand(r *results, directory, command string) error {
	words := strings.Fields(command)
	if !isGoTest(words) {
		return fmt.Errorf("%q is not a go test command", command)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, words[2:]...)...)
	cmd.Dir = directory
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	failedBefore := r.failedPackages
	readErr := readEvents(stdout, r)
	if readErr != nil {
		// Read the remaining output, because go test blocks while nobody reads its output.
		_, _ = io.Copy(io.Discard, stdout)
	}
	err = cmd.Wait()
	if cmd.ProcessState.ExitCode() == exitTestsFailed && r.failedPackages > failedBefore {
		err = nil
	}
	if err != nil {
		err = fmt.Errorf("go test failed without a failed package: %w", err)
	}
	return errors.Join(err, readErr)
}

// readEvents records each line of go test -json. A line that is not an event is printed unchanged.
func readEvents(from io.Reader, r *results) error {
	lines := bufio.NewReader(from)
	for {
		text, err := lines.ReadBytes('\n')
		if len(text) > 0 {
			var e testEvent
			if json.Unmarshal(text, &e) == nil {
				r.record(e)
			} else {
				_, _ = r.out.Write(text)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
