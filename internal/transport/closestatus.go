package transport

import (
	"context"
	"errors"
)

// CloseReason is the reason for which a connection ended.
type CloseReason uint8

// Reasons for which a connection can end.
const (
	StillOpen        CloseReason = iota // the connection has not ended
	Refused                             // the peer refused the connection, or this side had no slot or other resource to open it
	ConnectTimeout                      // the connection was not established within its time limit
	ClosedByPeer                        // the peer closed the connection
	ConnectionReset                     // the connection was reset or failed in another way
	DeadlineExceeded                    // the deadline of the connection has passed
	Canceled                            // this side canceled the connection
	Malformed                           // the peer sent malformed data
	TooLarge                            // the peer sent more bytes than are allowed
	ClosedLocally                       // this side closed the connection when it was no longer needed
	PeerBusy                            // the peer answered, but cannot serve the request at present
	CloseReasonCount                    // number of reasons
)

var closeReasonNames = [CloseReasonCount]string{
	StillOpen:        "still open",
	Refused:          "connection refused",
	ConnectTimeout:   "connect timeout",
	ClosedByPeer:     "closed by the peer",
	ConnectionReset:  "connection reset",
	DeadlineExceeded: "deadline exceeded",
	Canceled:         "canceled",
	Malformed:        "malformed",
	TooLarge:         "too large",
	ClosedLocally:    "closed locally",
	PeerBusy:         "peer busy",
}

// String returns the name of the reason for log lines and errors.
func (r CloseReason) String() string { return closeReasonNames[min(r, CloseReasonCount-1)] }

// CloseStatus describes how a connection ended. The zero value means that the connection is still open.
type CloseStatus struct {
	Reason CloseReason
	// Flushed reports whether the last byte of the latest Flush was written before the connection ended. If not, the peer
	// has not received all bytes of that Flush.
	Flushed bool
}

// Closed reports whether the connection has ended.
func (s CloseStatus) Closed() bool { return s.Reason != StillOpen }

// contextReason returns the reason for which a context has ended.
func contextReason(ctx context.Context) CloseReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return DeadlineExceeded
	}
	return Canceled
}
