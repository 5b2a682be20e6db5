// Package releaseapi is a client of the release platform, which rolls versions out in stages. The client follows the
// platform's stream of changes and casts votes, over HTTP/1.1.
//
// New creates a Client. Run follows the changes and passes them to a dispatcher. Vote queues a vote, which Run casts.
package releaseapi

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"silvercove/internal/dispatch"
	"silvercove/internal/transport"
)

// Config configures a Client.
type Config struct {
	Address *transport.Address // address of the platform
	Timeout time.Duration      // time limit of a vote, and of opening a connection
	Buffers *transport.BufferBudget
	// Log, if not nil, writes a log line for the operators: a constant message with fields.
	Log func(message string, fields ...slog.Attr)
}

// maxPendingVotes is the number of votes that may wait in the queue while an earlier vote is being cast.
const maxPendingVotes = 4

// Client is a client of the release platform. Vote may be called from any goroutine, also before Run; Run may be called once.
type Client struct {
	// New sets the fields from address to log, which do not change afterwards.
	address *transport.Address
	timeout time.Duration
	buffers *transport.BufferBudget
	log     func(message string, fields ...slog.Attr)

	dispatcher *dispatch.Dispatcher // set by Run before its goroutines start
	votes      chan dispatch.Vote   // queue of votes to cast

	// LinesRead counts the lines of the stream of changes. StreamsOpened counts how often the stream was opened.
	// VotesDropped counts the votes that were dropped because the queue was full.
	LinesRead, StreamsOpened, VotesDropped atomic.Int64
}

// New creates a client. It starts no goroutine.
func New(config Config) *Client {
	c := &Client{
		address: config.Address,
		timeout: config.Timeout,
		buffers: config.Buffers,
		log:     config.Log,
		votes:   make(chan dispatch.Vote, maxPendingVotes),
	}
	if c.log == nil {
		c.log = func(string, ...slog.Attr) {}
	}
	return c
}

// Vote queues a vote. Run casts one vote at a time, in the order of the queue. Vote does not block. If the queue is
// full, the vote is dropped; the balancer casts it again later.
func (c *Client) Vote(vote dispatch.Vote) {
	select {
	case c.votes <- vote:
	default:
		c.VotesDropped.Add(1)
	}
}

// Run follows the changes and casts the queued votes until the context ends. It waits for the two goroutines that it starts,
// and returns nil.
func (c *Client) Run(ctx context.Context, dispatcher *dispatch.Dispatcher) error {
	c.dispatcher = dispatcher
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		c.followChanges(ctx)
		return nil
	})
	group.Go(func() error {
		c.castVotes(ctx)
		return nil
	})
	return group.Wait()
}

// closedAfterSend returns the status of a call that ended for the given reason after its request was sent.
func closedAfterSend(reason transport.CloseReason) transport.CloseStatus {
	return transport.CloseStatus{Reason: reason, Flushed: true}
}
