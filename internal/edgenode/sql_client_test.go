package edgenode

import (
	"fmt"
	"net"
	"testing"
	"time"

	"silvercove/internal/pgwire"
)

// sqlClient is a test client with one connection to a node, over which it sends requests.
type sqlClient struct {
	conn     net.Conn
	received []byte
}

// dialNode connects to a node. The connection is closed when the test ends.
func dialNode(tb testing.TB, address string) *sqlClient {
	tb.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	client := &sqlClient{conn: conn}
	if _, _, err := client.exchange(pgwire.StartupMessage()); err != nil {
		tb.Fatal(err)
	}
	return client
}

// exchange sends a message and returns the row's value and the SQLSTATE of the answer.
func (s *sqlClient) exchange(message []byte) (value, state string, err error) {
	_ = s.conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err = s.conn.Write(message); err != nil {
		return "", "", err
	}
	var response pgwire.Response
	chunk := make([]byte, 4<<10)
	for !response.Ready && !response.Fatal {
		n, err := s.conn.Read(chunk)
		if s.received = append(s.received, chunk[:n]...); err != nil {
			return "", "", err
		}
		if err := response.Read(s.received); err != nil {
			return "", "", err
		}
	}
	if len(response.RowMessages) == 3 {
		row, _ := pgwire.RowValue(response.RowMessages[1].Of(s.received))
		value = string(row)
	}
	s.received = nil
	return value, response.SQLState, nil
}

// write writes to an instance and returns the answer's value and SQLSTATE. If there was no answer, write returns the error's text
// and "".
func (s *sqlClient) write(id, instance string, body []byte) (string, string) {
	v, state, err := s.exchange(pgwire.SimpleQuery(fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x%x') RETURNING content /* id=%s,c=crop,t=x,d=5000 */", instance, body, id)))
	if err != nil {
		return err.Error(), ""
	}
	return v, state
}

// read reads the instance camera-7 and returns the answer's value and SQLSTATE. If there was no answer, read returns the error's
// text and "".
func (s *sqlClient) read() (string, string) {
	v, state, err := s.exchange(pgwire.SimpleQuery("SELECT content FROM kv WHERE name = 'camera-7' /* id=r,c=look,t=x,d=5000 */"))
	if err != nil {
		return err.Error(), ""
	}
	return v, state
}
