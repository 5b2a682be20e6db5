package edgenode

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"silvercove/internal/pgwire"
)

// Limits of the connections for requests.
const (
	maxRequestConns  = 1024
	startupTimeout   = 5 * time.Second // for the first message to come whole
	idleTimeout      = 5 * time.Minute
	writeTimeout     = 5 * time.Second
	refusalTimeout   = time.Millisecond // to tell that there are too many connections
	acceptRetryDelay = 100 * time.Millisecond
)

// serveRequests takes connections for requests until the context ends, and waits for its sessions. Each has a goroutine and one
// request at a time.
func (n *Node) serveRequests(ctx context.Context) error {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	stop := context.AfterFunc(ctx, func() { _ = n.listener.Close() }) // closed twice is no fault
	defer stop()
	defer func() { _ = n.listener.Close() }() // now, not when the function above gets to it
	slots := make(chan struct{}, maxRequestConns)
	for {
		conn, err := n.listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close() // nothing was read
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // such as too many descriptors
			n.options.Log.Warn().Str("why", err.Error()).Msg("request connection not accepted")
			sleep(ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			refuseConn(conn)
			continue
		}
		sessions.Go(func() {
			defer func() { <-slots }()
			unblock := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) }) // else Close ends the read
			defer unblock()
			defer func() { _ = conn.Close() }() // what was answered was written
			session := &session{node: n, conn: conn, chunk: make([]byte, sessionChunkBytes)}
			session.run(ctx)
		})
	}
}

// refuseConn tells a client that there are too many connections, as far as it listens.
func refuseConn(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = conn.Write(pgwire.ErrorResponse("FATAL", pgwire.StateTooManyConnections, "too many connections", ""))
	_ = conn.Close()
}
