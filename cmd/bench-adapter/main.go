// Command bench-adapter runs the balancer on the bench's wire: batches of events come in on standard input, replies go out
// on standard output. It ends with the input, or with an error if that makes no sense.
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
