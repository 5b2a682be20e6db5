// Command silvercove-relay runs one relay. The relay accepts clients' requests, and its balancer decides when and at
// which backend each request is attempted. The relay connects to backends, discovery and the release platform. The
// environment configures the relay; see package relay. "silvercove-relay check FILE" checks an operator's file.
package main

import (
	"fmt"
	"os"

	_ "silvercove/internal/fdtable" // when built with cgo, grows the descriptor table while the process has one thread
	"silvercove/internal/operatorconfig"
	"silvercove/internal/relay"
)

// Exit codes of the command.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(runSubcommand(os.Args[1:]))
	}
	if err := relay.Start(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, "silvercove-relay:", err)
		os.Exit(exitFailed)
	}
}

// runSubcommand runs the subcommand in args and returns the exit code. The only subcommand is "check FILE", which checks
// an operator's file.
func runSubcommand(args []string) (exitCode int) {
	if len(args) != 2 || args[0] != "check" {
		fmt.Fprintln(os.Stderr, "usage: silvercove-relay, or silvercove-relay check FILE")
		return exitUsage
	}
	if _, err := operatorconfig.OperatorTable.Read(args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println(args[1] + ": in order")
	return exitOK
}
