package main

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// client is one client connection to a relay.
type client struct {
	conn net.Conn
}

// Outcomes of a request, as the protocol's page names them.
const (
	served  = "served"
	refused = "refused" // codes 53300 and 57P03: trying again is harmless
	failed  = "failed"  // any other error
	lost    = "lost"    // no whole answer
)

// answer is what came back for one request.
type answer struct {
	outcome string
	code    string        // SQLSTATE, if an error came
	after   time.Duration // after which time a refused client is told to come again, if it is
	value   string
}

// connect opens a connection and waits until the relay is ready.
func connect(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn}
	parameters := "user\x00backend\x00database\x00store\x00\x00"
	startup := binary.BigEndian.AppendUint32(nil, uint32(8+len(parameters)))
	startup = append(binary.BigEndian.AppendUint32(startup, 196608), parameters...)
	if _, err := conn.Write(startup); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if a := c.read(); a.outcome == lost {
		return nil, fmt.Errorf("no greeting")
	}
	return c, nil
}

// newID returns the ID of a request. Each try has its own.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return fmt.Sprintf("%x", b)
}

// write asks for one more effect on an instance.
func (c *client) write(id, instance string, wait time.Duration) answer {
	return c.ask(fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x00') RETURNING content /* id=%s,c=crop,t=review,d=%d */",
		instance, id, wait.Milliseconds()), wait)
}

// readLast asks for the last effect on an instance.
func (c *client) readLast(id, instance string, wait time.Duration) answer {
	return c.ask(fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%s,c=look,t=review,d=%d */", instance, id, wait.Milliseconds()),
		wait)
}

// ask sends a query and waits for its answer, a second longer than it says.
func (c *client) ask(text string, wait time.Duration) answer {
	message := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, uint32(5+len(text)))...)
	message = append(append(message, text...), 0)
	_ = c.conn.SetDeadline(time.Now().Add(wait + time.Second))
	if _, err := c.conn.Write(message); err != nil {
		return answer{outcome: lost}
	}
	return c.read()
}

// read reads messages up to ReadyForQuery.
func (c *client) read() answer {
	a := answer{outcome: served}
	for {
		var header [5]byte
		if _, err := io.ReadFull(c.conn, header[:]); err != nil {
			return answer{outcome: lost}
		}
		size := binary.BigEndian.Uint32(header[1:])
		if size < 4 || size > 1<<20 {
			return answer{outcome: lost}
		}
		body := make([]byte, size-4)
		if _, err := io.ReadFull(c.conn, body); err != nil {
			return answer{outcome: lost}
		}
		switch header[0] {
		case 'Z':
			return a
		case 'D':
			if len(body) >= 6 {
				a.value = string(body[6:])
			}
		case 'E':
			a.code = errorField(body, 'C')
			if ms, err := strconv.Atoi(errorField(body, 'D')); err == nil {
				a.after = time.Duration(ms) * time.Millisecond
			}
			a.outcome = failed
			if a.code == "53300" || a.code == "57P03" {
				a.outcome = refused
			}
		}
	}
}

// errorField returns a field of an ErrorResponse, or "" if it has none of that kind.
func errorField(body []byte, kind byte) string {
	for len(body) > 1 {
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if body[0] == kind {
			return string(body[1:end])
		}
		body = body[min(end+1, len(body)):]
	}
	return ""
}

// close ends the connection.
func (c *client) close() { c.conn.Close() }
