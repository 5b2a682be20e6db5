package peertransport

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// Version is the version of the handshake. A hello with another version is refused.
const Version = 1

const (
	maxHello     = 512             // largest size of a hello in bytes
	helloTimeout = 2 * time.Second // time limit for Dial, for reading and answering a hello, and then for Accept to take the connection
)

// hello is the first line on each connection, as JSON. The answer is one line with a JSON string: the reason for which
// the connection is refused, or "" if it is accepted.
type hello struct {
	Version int    `json:"v"`
	Kind    Kind   `json:"kind"`
	Fleet   string `json:"fleet"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// ErrRefused is wrapped by the error that Dial returns if the other process refuses the connection. That error contains
// the reason.
var ErrRefused = errors.New("refused")

// sendHello sends a hello and reads the answer. Afterwards the connection has no deadline.
func (n *Network) sendHello(ctx context.Context, conn net.Conn, to string, kind Kind) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // if ctx ends, a deadline in the past interrupts the function exchange
	refusal, err := exchange(conn, hello{Version, kind, n.fleet, n.self.Name, to})
	if err == nil && refusal != "" {
		err = fmt.Errorf("%s: %w: %s", to, ErrRefused, refusal)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// exchange writes a hello and reads the answer. refusal is the reason why the connection is refused, or "" if it is
// accepted.
func exchange(conn net.Conn, h hello) (refusal string, err error) {
	text, err := json.Marshal(h)
	if err != nil {
		return "", err
	}
	if _, err := conn.Write(append(text, '\n')); err != nil {
		return "", err
	}
	answer, err := readLine(conn)
	if err != nil {
		return "", err
	}
	err = json.Unmarshal(answer, &refusal)
	return refusal, err
}

// accept reads a hello and hands the connection to the listener of its kind, or answers with the reason for a refusal.
// A connection without a readable hello is closed.
func (n *Network) accept(ctx context.Context, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout)) // an error means that the connection is closed; readLine then fails too
	var h hello
	text, err := readLine(conn)
	if err == nil {
		err = json.Unmarshal(text, &h)
	}
	if err != nil {
		_ = conn.Close() // an error is ignored: the connection is not used
		return
	}
	accepted := &Conn{Conn: conn, From: h.From}
	refusal := n.checkHello(h)
	if refusal != "" {
		n.log.Warn().Str("from", h.From).Str("why", refusal).Msg("connection refused")
	} else if admit := n.listeners[h.Kind].admission(); admit != nil {
		accepted.release, refusal = admit(h.From) // a refusal by admit is not logged, because many refused connections would fill the log
	}
	answer, err := json.Marshal(refusal)
	if err == nil {
		_, err = conn.Write(append(answer, '\n'))
	}
	if err != nil || refusal != "" {
		_ = accepted.Close() // the other process has received the reason for the refusal, or has disconnected
		return
	}
	_ = conn.SetDeadline(time.Time{}) // an error means that the connection is closed; the first read after Accept then fails
	n.listeners[h.Kind].deliver(ctx, accepted)
}

// checkHello returns the reason for which a hello is refused, or "" if it is accepted.
func (n *Network) checkHello(h hello) (refusal string) {
	if h.Version != Version {
		return fmt.Sprintf("version %d is not spoken here, %d is", h.Version, Version)
	}
	if h.Fleet != n.fleet {
		return fmt.Sprintf("this is fleet %s, not %s", n.fleet, h.Fleet)
	}
	if h.To != n.self.Name {
		return fmt.Sprintf("this is %s, not %s", n.self.Name, h.To)
	}
	if _, known := n.Peer(h.From); !known {
		return fmt.Sprintf("no process named %s is in the file of %s", h.From, n.self.Name)
	}
	listener := n.listeners[h.Kind]
	if listener == nil || !listener.enabled.Load() { // refuse: nothing calls Accept for this kind, so the connection would occupy a place in Network.pending for helloTimeout
		return fmt.Sprintf("no connections of kind %q are taken", h.Kind)
	}
	return ""
}

// readLine reads up to the end of a line, byte by byte, so that no byte after the line is consumed.
func readLine(conn net.Conn) (text []byte, err error) {
	var next [1]byte
	for len(text) < maxHello {
		if _, err = conn.Read(next[:]); err != nil {
			return nil, err
		}
		if next[0] == '\n' {
			return text, nil
		}
		text = append(text, next[0])
	}
	return nil, bufio.ErrTooLong
}
