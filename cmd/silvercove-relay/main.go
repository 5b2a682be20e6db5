// Command silvercove is one relay: it takes commands from clients, has the decision module choose
// what becomes of each, and speaks with units, the list of units and the platform. "silvercove-relay check FILE"
// checks an operator's file.
package main

import (
	"fmt"
	"os"

	_ "silvercove/internal/fdtable" // large before there are threads
	"silvercove/internal/operatorconfig"
	"silvercove/internal/relay"
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(other(os.Args[1:]))
	}
	if err := relay.Start(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, "silvercove:", err)
		os.Exit(1)
	}
}

// other is what the program does with arguments: check an operator's file. Without any it is a relay.
func other(args []string) (code int) {
	if len(args) != 2 || args[0] != "check" {
		fmt.Fprintln(os.Stderr, "usage: silvercove, or silvercove-relay check FILE")
		return 2
	}
	if _, err := operatorconfig.Operators.Read(args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Println(args[1] + ": in order")
	return 0
}
