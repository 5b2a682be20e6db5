package testcluster

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"silvercove/internal/standin/faultproxy"
)

// Node is the configuration of one process.
type Node struct {
	Name, Role, Zone string
	Directives       []string // lines of the block fleet in addition to those that the cluster writes
	Diskless         bool     // the process runs without a data directory
	Platform         string   // address of the release platform for a relay; "" for none
	Command          []string // program and arguments, in which FILE stands for the configuration file's path; nil: FleetCommand
	Env              []string
}

// subCommands are the control program's subcommands by the role that a configuration file names.
var subCommands = map[string]string{"keeper": "controller", "edge": "node", "relay": "relay"}

// FleetCommand returns the command line for a role.
func FleetCommand(t Test, role string) []string {
	return []string{Binary(t, "silvercovectl"), "fleet", subCommands[role], "FILE"}
}

type process struct {
	Node
	address      string // the process's own loopback address
	file         string
	dataDir      string
	savedDir     string
	command      *exec.Cmd
	ended        chan struct{} // closed when the process has ended and all of its output is read
	mayEnd       bool          // the test itself ended the process, so the end is no fault
	stopped      bool
	otherOutput  []string                    // output lines that are not events
	requestLinks map[string]*faultproxy.Link // links over which requests reach the process, by sender
}

var addresses atomic.Uint32

// freeAddress returns a loopback address where fleetPort and requestPort are free. Each process of a cluster has an address of
// its own, so that its ports are free at each start and restart.
func freeAddress() (string, error) {
	for range 1000 {
		n := uint32(os.Getpid())*61 + addresses.Add(1)
		ip := net.IPv4(127, byte(64+n>>16%64), byte(n>>8), byte(1+n%250)).String()
		l, err := net.Listen("tcp", ip+":"+fleetPort)
		if err != nil {
			continue
		}
		_ = l.Close()
		if l, err = net.Listen("tcp", ip+":"+requestPort); err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", errors.New("testcluster: no free loopback address")
}

func (c *Cluster) node(name string) (*process, error) {
	for _, p := range c.nodes {
		if p.Name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("testcluster: no process named %s", name)
}

// Start starts the named processes, or all processes if none is named.
func (c *Cluster) Start(names ...string) {
	c.test.Helper()
	if len(names) == 0 {
		for _, p := range c.nodes {
			names = append(names, p.Name)
		}
	}
	for _, name := range names {
		if err := c.Do("start " + name); err != nil {
			c.test.Fatalf("%v", err)
		}
	}
}

func (c *Cluster) start(p *process) error {
	if p.command != nil {
		return fmt.Errorf("testcluster: %s is already running", p.Name)
	}
	args := slices.Clone(p.Command)
	for i, a := range args {
		if a == "FILE" {
			args[i] = p.file
		}
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills the process if the test binary is killed
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.command, p.ended, p.mayEnd, p.stopped = cmd, make(chan struct{}), false, false
	c.goroutines.Go(func() {
		c.readOutput(p, out)
		err := cmd.Wait()
		c.mu.Lock()
		if !p.mayEnd {
			c.faults = append(c.faults, fmt.Sprintf("%s ended by itself: %v", p.Name, err))
		}
		c.mu.Unlock()
		if !p.mayEnd {
			c.addEvent(Event{At: time.Now(), Node: p.Name, Name: "ends", Why: fmt.Sprint(err)})
		}
		close(p.ended)
	})
	return nil
}

// readOutput reads a process's output until it ends.
func (c *Cluster) readOutput(p *process, out io.Reader) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		if e, ok := parseEvent(in.Bytes(), time.Now()); ok {
			if e.Node != p.Name {
				c.addFault(fmt.Sprintf("%s logs as %q", p.Name, e.Node))
			}
			c.addEvent(e)
			continue
		}
		text := in.Text()
		c.mu.Lock()
		if p.otherOutput = append(p.otherOutput, text); len(p.otherOutput) > maxOutputLines {
			p.otherOutput = p.otherOutput[len(p.otherOutput)-maxOutputLines:]
		}
		c.mu.Unlock()
		if strings.Contains(text, "DATA RACE") || strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") {
			c.addFault(p.Name + ": " + text)
		}
	}
	_, _ = io.Copy(io.Discard, out) // discard the output after a line that is too long for the scanner
}
