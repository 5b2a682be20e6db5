// Command silvercove-relay is one relay: it accepts clients' requests, has the balancer decide where and when each is
// attempted, and speaks with backends, discovery and the release platform. Its configuration comes from the environment, see
// package relay. "silvercove-relay check FILE" checks an operator's file.
package main

import (
	"fmt"
	"os"

	_ "silvercove/internal/fdtable" // grows the descriptor table before there are threads
	"silvercove/internal/operatorconfig"
	"silvercove/internal/relay"
)

// Exit codes.
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

// runSubcommand does what the arguments ask for: it checks an operator's file. Without any the program is a relay.
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
