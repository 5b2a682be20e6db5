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
	startupTimeout   = 5 * time.Second // time limit for each read until the startup message is complete
	idleTimeout      = 5 * time.Minute
	writeTimeout     = 5 * time.Second
	refusalTimeout   = time.Millisecond // time limit for writing the error "too many connections"
	acceptRetryDelay = 100 * time.Millisecond
)

// serveRequests accepts connections for requests until the context ends, and then waits until all sessions have ended. Each
// session has a goroutine of its own, and executes one request at a time.
func (n *Node) serveRequests(ctx context.Context) error {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	// The listener may be closed twice. The error of the second Close is ignored.
	stop := context.AfterFunc(ctx, func() { _ = n.listener.Close() })
	defer stop()
	// If serveRequests returns before ctx ends, this call closes the listener.
	defer func() { _ = n.listener.Close() }()
	slots := make(chan struct{}, maxRequestConns)
	for {
		conn, err := n.listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close() // the error does not matter: nothing was read from the connection
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil: // Accept failed, for example because too many file descriptors are open
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
			// A deadline in the past ends a pending Read. Setting the deadline fails only if the connection is closed already.
			unblock := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
			defer unblock()
			defer func() { _ = conn.Close() }() // the error does not matter: all answers have been written
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
