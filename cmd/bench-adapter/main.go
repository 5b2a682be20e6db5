// Command bench-adapter connects the balancer to the bench by the bench's wire protocol. It reads batches of events from
// standard input and writes replies to standard output. It exits at the end of the input, or with status 1 if the input
// is malformed, a read or a write fails, or the balancer panics.
package main

import (
	"fmt"
	"os"

	"silvercove/internal/benchadapter"
)

func main() {
	if err := benchadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bench-adapter:", err)
		os.Exit(1)
	}
}
