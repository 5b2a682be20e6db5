package transport

import (
	"context"
	"errors"
)

// CloseReason tells why a connection ended.
type CloseReason uint8

// The ways in which a connection can end.
const (
	StillOpen        CloseReason = iota // it has not
	Refused                             // it was refused, or there was nothing to open it with
	ConnectTimeout                      // it was not up in its time
	ClosedByPeer                        // the other side closed it
	ConnectionReset                     // it was reset or failed otherwise
	DeadlineExceeded                    // its time limit has passed
	Canceled                            // this side gave it up
	Malformed                           // what came makes no sense
	TooLarge                            // what came is longer than is allowed
	ClosedLocally                       // this side was through with it
	PeerBusy                            // the other side is there and takes no more now
	CloseReasonCount                    // how many there are
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

// String names the reason for log lines and errors.
func (r CloseReason) String() string { return closeReasonNames[min(r, CloseReasonCount-1)] }

// CloseStatus is one way in which a connection ended. The zero value: it has not.
type CloseStatus struct {
	Reason CloseReason
	// Flushed tells whether the last byte of what was last to be written had been written by then. If not, the other side
	// has not got it whole.
	Flushed bool
}

// Closed tells whether the connection has ended at all.
func (s CloseStatus) Closed() bool { return s.Reason != StillOpen }

// contextReason tells why a context that has ended did.
func contextReason(ctx context.Context) CloseReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return DeadlineExceeded
	}
	return Canceled
}
