package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// session is one connection of a client to a relay.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a session. An error means that no query was sent.
func dial(address string, limit time.Duration) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	s := &session{conn, bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(limit))
	parameters := "user\x00backend\x00database\x00store\x00\x00"
	startup := binary.BigEndian.AppendUint32(nil, uint32(8+len(parameters)))
	startup = binary.BigEndian.AppendUint32(startup, 3<<16)
	if _, err = conn.Write(append(startup, parameters...)); err == nil {
		_, err = s.readAnswer()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// answer is the answer to one query. State is the SQLSTATE of an error, or "" for a row.
type answer struct {
	value      string
	state      string
	retryAfter time.Duration // the field D of an error, 0 if absent
}

// readAnswer reads messages up to ReadyForQuery, or up to a fatal error.
func (s *session) readAnswer() (a answer, err error) {
	for {
		var header [5]byte
		if _, err = io.ReadFull(s.reader, header[:]); err != nil {
			return a, err
		}
		body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
		if _, err = io.ReadFull(s.reader, body); err != nil {
			return a, err
		}
		switch header[0] {
		case 'Z':
			return a, nil
		case 'D':
			a.value = string(body[6:])
		case 'E':
			severity := ""
			for len(body) > 1 {
				end := 1
				for body[end] != 0 {
					end++
				}
				switch text := string(body[1:end]); body[0] {
				case 'C':
					a.state = text
				case 'D':
					ms, _ := strconv.Atoi(text)
					a.retryAfter = time.Duration(ms) * time.Millisecond
				case 'V':
					severity = text
				}
				body = body[end+1:]
			}
			if severity == "FATAL" {
				return a, nil
			}
		}
	}
}

// query sends one statement and reads its answer. The client waits a second longer than it has said.
func (s *session) query(text string, wait time.Duration) (answer, error) {
	s.conn.SetDeadline(time.Now().Add(wait + time.Second))
	message := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(4+len(text)+1))
	if _, err := s.conn.Write(append(append(message, text...), 0)); err != nil {
		return answer{}, err
	}
	return s.readAnswer()
}

// newID returns a new request ID.
func newID() string {
	var id [8]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func insert(key, value, id, class string, wait time.Duration) string {
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x%s') RETURNING content /* id=%s,c=%s,t=acme,d=%d */",
		key, hex.EncodeToString([]byte(value)), id, class, wait.Milliseconds())
}
