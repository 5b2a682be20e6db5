package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"silvercove/internal/pgwire"
)

// process is a process that the case has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// startProcess starts a shell command from the repository's root, with its own standard error in a file of the temporary folder.
func startProcess(root, folder, name, command string, env []string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name, cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// relayProcess is a relay with the agent and the platform that it reaches.
type relayProcess struct {
	*process
	address string
}

// startRelay starts a relay by the command of deploy/balancer.toml and waits until it answers an empty query.
func startRelay(root, folder, name string, w *world, limits, settings map[string]any) (*relayProcess, error) {
	agent, err := serveHTTP(w.agent(name))
	if err != nil {
		return nil, err
	}
	platform, err := serveHTTP(w.platform(name))
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	known, _ := w.page(name, 0, true)
	news := w.stage.text()
	w.mu.Unlock()
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": address, "discovery": agent, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":      limits,
		"release_api": map[string]any{"address": platform, "news": json.RawMessage(news)},
		"known":       json.RawMessage(known),
		"settings":    settings,
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	p, err := startProcess(root, folder, name, "exec bin/silvercove-relay",
		[]string{"NODE_NAME=" + name, "NODE_LISTEN=" + address, "NODE_DISCOVERY=" + agent, "NODE_CONFIG=" + path})
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && !p.hasEnded(); time.Sleep(50 * time.Millisecond) {
		if answersEmptyQuery(address) {
			return &relayProcess{p, address}, nil
		}
	}
	p.kill()
	return nil, fmt.Errorf("%s was not ready", name)
}

// answersEmptyQuery reports whether a relay answers an empty query.
func answersEmptyQuery(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(append(pgwire.StartupMessage(), pgwire.SimpleQuery("")...)); err != nil {
		return false
	}
	var buf []byte
	for chunk := make([]byte, 4096); ; {
		n, err := conn.Read(chunk)
		buf = append(buf, chunk[:n]...)
		var greeting, answer pgwire.Response
		if greeting.Read(buf) == nil && greeting.Ready && answer.Read(buf[greeting.Consumed:]) == nil && answer.Ready {
			return true
		}
		if err != nil {
			return false
		}
	}
}
