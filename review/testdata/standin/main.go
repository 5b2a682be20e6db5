// Command standin holds the stand-ins that the cases of the review start: a search for free ports, and clients that follow the
// protocol page.
package main

import (
	"fmt"
	"os"
)

func main() {
	commands := map[string]func([]string) error{
		"ports":    ports,
		"writers":  writers,
		"links":    links,
		"platform": runPlatform,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin ports|writers|links|platform ...")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
}
