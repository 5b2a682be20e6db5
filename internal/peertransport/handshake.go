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

// Version is the version of the hello. Another one is refused.
const Version = 1

const (
	maxHello     = 512             // bytes
	helloTimeout = 2 * time.Second // for a hello and its answer to come whole
)

// hello goes first on each connection, as one line of JSON. It is answered by one line with a string: why the connection is
// refused, or "" where it is taken.
type hello struct {
	Version int    `json:"v"`
	Kind    Kind   `json:"kind"`
	Fleet   string `json:"fleet"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// ErrRefused is wrapped by what Dial returns where the other side does not take the connection, with its reason.
var ErrRefused = errors.New("refused")

// sendHello sends a hello and reads the answer. The connection has no deadline after it.
func (n *Network) sendHello(ctx context.Context, conn net.Conn, to string, kind Kind) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // it ends the reading below
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

// exchange writes a hello and reads why it is refused, "": it is not.
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

// accept reads a hello and hands the connection to the listener of its kind, or answers why not. One without a hello that can be
// read is closed.
func (n *Network) accept(ctx context.Context, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout)) // of a closed connection: the reading below fails
	var h hello
	text, err := readLine(conn)
	if err == nil {
		err = json.Unmarshal(text, &h)
	}
	if err != nil {
		_ = conn.Close() // nothing was read that counts
		return
	}
	accepted := &Conn{Conn: conn, From: h.From}
	refusal := n.checkHello(h)
	if refusal != "" {
		n.log.Warn().Str("from", h.From).Str("why", refusal).Msg("connection refused")
	} else if admit := n.listeners[h.Kind].admission(); admit != nil {
		accepted.release, refusal = admit(h.From) // not logged: a crowd would fill the log
	}
	answer, err := json.Marshal(refusal)
	if err == nil {
		_, err = conn.Write(append(answer, '\n'))
	}
	if err != nil || refusal != "" {
		_ = accepted.Close() // the other side was told, or is gone
		return
	}
	_ = conn.SetDeadline(time.Time{}) // of a closed connection: whoever accepts it sees that
	n.listeners[h.Kind].deliver(ctx, accepted)
}

// checkHello is why a hello is refused, "": it is not.
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
	if listener == nil || !listener.enabled.Load() { // where nobody accepts, it would wait and take the place of another hello
		return fmt.Sprintf("no connections of kind %q are taken", h.Kind)
	}
	return ""
}

// readLine reads up to a line's end, byte by byte, so that nothing behind it is taken.
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
