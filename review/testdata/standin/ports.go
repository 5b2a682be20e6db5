package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// ports prints a port P such that the given number of ports from P+1 on are free on 127.0.0.1. The ports lie below the range
// from which the kernel takes the ports of outgoing connections.
func ports(arguments []string) error {
	if len(arguments) != 1 {
		return errors.New("usage: standin ports NUMBER")
	}
	number, err := strconv.Atoi(arguments[0])
	if err != nil {
		return err
	}
	for range 1000 {
		base := 15000 + rand.IntN(15000)
		if allFree(base+1, number) {
			fmt.Println(base)
			return nil
		}
	}
	return errors.New("no free ports found")
}

func allFree(first, number int) bool {
	for port := first; port < first+number; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}
