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
	startupTimeout   = 5 * time.Second // limit of the time until the whole startup message has arrived
	idleTimeout      = 5 * time.Minute
	writeTimeout     = 5 * time.Second
	refusalTimeout   = time.Millisecond // limit of the time to write the error "too many connections"
	acceptRetryDelay = 100 * time.Millisecond
)

// serveRequests accepts connections for requests until the context ends, and then waits for its sessions. Each session has a goroutine
// of its own, and executes one request at a time.
func (n *Node) serveRequests(ctx context.Context) error {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	stop := context.AfterFunc(ctx, func() { _ = n.listener.Close() }) // the error of a second Close is ignored
	defer stop()
	defer func() { _ = n.listener.Close() }() // closes the listener before the return: the function above may not have run yet
	slots := make(chan struct{}, maxRequestConns)
	for {
		conn, err := n.listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close() // nothing was read from the connection
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // an error such as too many open file descriptors
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
			// The past deadline ends a pending read. If setting it fails, the connection is closed already.
			unblock := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
			defer unblock()
			defer func() { _ = conn.Close() }() // all answers have been written
			session := &session{node: n, conn: conn, chunk: make([]byte, sessionChunkBytes)}
			session.run(ctx)
		})
	}
}

// refuseConn closes a connection with the error that there are too many connections. A client that does not read the error within
// refusalTimeout does not get it.
func refuseConn(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = conn.Write(pgwire.ErrorResponse("FATAL", pgwire.StateTooManyConnections, "too many connections", ""))
	_ = conn.Close()
}
