package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// linkSet is a set of one-way links: whoever connects to a link's address reaches its target. While the set is cut, open
// connections stay open and silent and new ones are accepted and stay silent. Once it is whole again, the connections from before
// are reset, and new ones pass.
type linkSet struct {
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

// links runs the links of a file, one "LISTEN TARGET DELAY" a line, until the process is killed. Bytes take the delay in each
// direction. SIGUSR1 cuts the links, SIGUSR2 makes them whole.
func links(arguments []string) error {
	if len(arguments) != 1 {
		return errors.New("usage: standin links FILE")
	}
	file, err := os.Open(arguments[0])
	if err != nil {
		return err
	}
	set := &linkSet{conns: map[net.Conn]struct{}{}}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 {
			return errors.New("a line of the file has not three fields")
		}
		delay, err := time.ParseDuration(fields[2])
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp", fields[0])
		if err != nil {
			return err
		}
		go set.serve(listener, fields[1], delay)
	}
	fmt.Println("ready")
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	for s := range signals {
		set.set(s == syscall.SIGUSR1)
	}
	return nil
}

func (s *linkSet) serve(listener net.Listener, target string, delay time.Duration) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.forward(conn, target, delay)
	}
}

func (s *linkSet) set(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut && !cut {
		for conn := range s.conns {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		clear(s.conns)
	}
	s.cut = cut
}

// add keeps a connection for a reset, and reports whether the links are cut.
func (s *linkSet) add(conn net.Conn) (cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
	return s.cut
}

func (s *linkSet) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *linkSet) forward(conn net.Conn, target string, delay time.Duration) {
	if s.add(conn) {
		return
	}
	other, err := net.Dial("tcp", target)
	if err != nil {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	}
	s.add(other)
	go s.copy(conn, other, delay)
	s.copy(other, conn, delay)
}

// piece is what arrived at one end of a connection: bytes, or its end.
type piece struct {
	bytes []byte
	ended error
	due   time.Time // when it comes out at the other end
}

// copy passes bytes and the end of the connection on, each after the delay. Bytes that arrive while the links are cut are lost,
// and with them the connection.
func (s *linkSet) copy(to, from net.Conn, delay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if s.isCut() {
				return
			}
			if n > 0 {
				pieces <- piece{bytes: buffer[:n], due: time.Now().Add(delay)}
			}
			if err != nil {
				pieces <- piece{ended: err, due: time.Now().Add(delay)}
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		switch {
		case s.isCut():
		case p.ended == io.EOF:
			to.(*net.TCPConn).CloseWrite()
		case p.ended != nil:
			to.Close()
		default:
			if _, err := to.Write(p.bytes); err != nil {
				from.Close()
			}
		}
	}
}
