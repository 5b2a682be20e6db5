package main

import (
	"net"
	"strings"
	"time"
)

// chunk is what was read from one side of a connection, and when it is due at the other side. Empty data mark the end.
type chunk struct {
	due  time.Time
	data []byte
}

// runLink is a link with a constant one-way delay: it accepts connections and passes on their bytes in both directions,
// each after the delay. It loses and changes nothing.
//
// Arguments: DELAY_MS, then LISTEN=TARGET for each address.
func runLink(args []string) error {
	delay, err := parseMilliseconds(args[0])
	if err != nil {
		return err
	}
	for _, pair := range args[1:] {
		from, to, _ := strings.Cut(pair, "=")
		l, err := net.Listen("tcp", from)
		if err != nil {
			return err
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go join(conn, to, delay)
			}
		}()
	}
	select {}
}

// join connects to an address and passes bytes both ways. If the address refuses, the connection is closed.
func join(near net.Conn, address string, delay time.Duration) {
	far, err := net.Dial("tcp", address)
	if err != nil {
		near.Close()
		return
	}
	go pass(near, far, delay)
	pass(far, near, delay)
}

// pass reads from one side and writes to the other. At the end of the input it closes the output.
func pass(from, to net.Conn, delay time.Duration) {
	queue := make(chan chunk, 4096)
	go func() {
		for c := range queue {
			time.Sleep(time.Until(c.due))
			if len(c.data) == 0 {
				break
			}
			if _, err := to.Write(c.data); err != nil {
				break
			}
		}
		to.Close()
		from.Close()
		for range queue { // lets the reader end
		}
	}()
	for {
		data := make([]byte, 32<<10)
		n, err := from.Read(data)
		if n > 0 {
			queue <- chunk{time.Now().Add(delay), data[:n]}
		}
		if err != nil {
			queue <- chunk{due: time.Now().Add(delay)}
			close(queue)
			return
		}
	}
}
