// Command second runs one case of the second review: it plays clients, servers, discovery and the platform on loopback, starts the
// project's own programs as separate processes, and checks one rule. It exits with 1 if the rule was broken, with 0 if it held, and
// with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scenario plays a case. It returns what broke the rule, one line each.
type scenario func(e *environment) (broken []string, err error)

var scenarios = map[string]scenario{
	"second-answer": secondAnswer,
	"repeat-late":   repeatLate,
	"list-late":     listLate,
	"pause-once":    pauseOnce,
	"drain-stall":   drainStall,
}

// environment is what a scenario gets.
type environment struct {
	root    string // the repository's root
	folder  string // temporary folder
	rec     *record
	trouble bool // whether the disruption is played
}

// mostTime is the longest time that a case may take.
const mostTime = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second SCENARIO ROOT FOLDER-OF-THE-CASE")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(folder) }()
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	time.AfterFunc(mostTime, func() {
		fmt.Fprintln(os.Stderr, "could not run: out of time")
		os.Exit(2) // the processes that the case has started end with it
	})
	broken, err := scenarios[os.Args[1]](&environment{root, folder, rec, os.Getenv("TROUBLE") != "0"})
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	for _, line := range broken {
		rec.line("BROKEN %s", line)
	}
	for _, line := range broken[:min(5, len(broken))] {
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		fmt.Printf("the rule was broken, %d times\n", len(broken))
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
