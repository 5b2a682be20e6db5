// Command parties runs the stand-ins of the review's cases, each as a process of its own on loopback: clients of a relay,
// a slow link, a discovery agent, and a search for free ports.
package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

func main() {
	roles := map[string]func([]string) error{
		"ports": findPorts,
		"link":  runLink,
		"agent": runAgent,
		"retry": runRetryingWriters,
		"fill":  runFill,
		"check": runCheck,
	}
	if len(os.Args) < 2 || roles[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "parties: ports, link, agent, retry, fill or check")
		os.Exit(2)
	}
	if err := roles[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "parties", os.Args[1]+":", err)
		os.Exit(2)
	}
}

// findPorts prints a number BASE such that the ports BASE+1 to BASE+COUNT are free on loopback. They are below those that
// Linux gives to outgoing connections.
//
// Arguments: COUNT.
func findPorts(args []string) error {
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for base := 20000 + os.Getpid()%100*100; base+count < 32000; base += count {
		if allFree(base, count) {
			fmt.Println(base)
			return nil
		}
	}
	return fmt.Errorf("no %d free ports in a row", count)
}

func allFree(base, count int) bool {
	for port := base + 1; port <= base+count; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// parseMilliseconds parses a whole number of milliseconds.
func parseMilliseconds(text string) (time.Duration, error) {
	n, err := strconv.Atoi(text)
	return time.Duration(n) * time.Millisecond, err
}
