// Command drill runs the decision module on the bench's wire: batches come in on
// standard input, replies go out on standard output.
package main

import (
	"fmt"
	"os"

	"silvercove/internal/benchadapter"
)

func main() {
	if err := benchadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
