package edgenode

import (
	"fmt"
	"net"
	"testing"
	"time"

	"silvercove/internal/pgwire"
)

// sqlClient is one connection for requests.
type sqlClient struct {
	conn     net.Conn
	received []byte
}

// dialNode connects to a node, until the test ends.
func dialNode(tb testing.TB, address string) *sqlClient {
	tb.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	k := &sqlClient{conn: conn}
	if _, _, err := k.exchange(pgwire.StartupMessage()); err != nil {
		tb.Fatal(err)
	}
	return k
}

// exchange sends a message and returns the row and the SQLSTATE of the answer.
func (k *sqlClient) exchange(message []byte) (value, state string, err error) {
	_ = k.conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err = k.conn.Write(message); err != nil {
		return "", "", err
	}
	var a pgwire.Response
	b := make([]byte, 4<<10)
	for !a.Ready && !a.Fatal {
		n, err := k.conn.Read(b)
		if k.received = append(k.received, b[:n]...); err != nil {
			return "", "", err
		}
		if err := a.Read(k.received); err != nil {
			return "", "", err
		}
	}
	if len(a.RowMessages) == 3 {
		v, _ := pgwire.RowValue(a.RowMessages[1].Of(k.received))
		value = string(v)
	}
	k.received = nil
	return value, a.SQLState, nil
}

// write writes to an instance.
func (k *sqlClient) write(id, name string, body []byte) (string, string) {
	v, state, err := k.exchange(pgwire.SimpleQuery(fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x%x') RETURNING content /* id=%s,c=crop,t=x,d=5000 */", name, body, id)))
	if err != nil {
		return err.Error(), ""
	}
	return v, state
}

// read reads the instance camera-7.
func (k *sqlClient) read() (string, string) {
	v, state, err := k.exchange(pgwire.SimpleQuery("SELECT content FROM kv WHERE name = 'camera-7' /* id=r,c=look,t=x,d=5000 */"))
	if err != nil {
		return err.Error(), ""
	}
	return v, state
}
