// Package releaseapi speaks with the platform that stages releases, over HTTP/1.1: it follows the stream of changes and casts
// votes.
//
// New makes a Client, Run follows the platform and hands what it hears to a dispatcher; Vote casts a vote meanwhile.
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

// Config is what a Client is made of.
type Config struct {
	Address *transport.Address // of the platform
	Timeout time.Duration      // of a vote, and of a connection that is opened
	Buffers *transport.BufferBudget
	// Log takes a line for the people on call: a constant message and what it is about. nil: nobody wants them.
	Log func(message string, fields ...slog.Attr)
}

// maxPendingVotes is how many votes may wait for those before them.
const maxPendingVotes = 4

// Client speaks with the platform. Vote may be called from any goroutine, also before Run; Run may be called once.
type Client struct {
	// Fixed by New.
	address *transport.Address
	timeout time.Duration
	buffers *transport.BufferBudget
	log     func(message string, fields ...slog.Attr)

	dispatcher *dispatch.Dispatcher // set by Run before it starts goroutines
	votes      chan dispatch.Vote   // that are to be cast

	// LinesRead counts the lines of the stream of changes, StreamsOpened how often it was opened, VotesDropped the votes that found no
	// place to wait.
	LinesRead, StreamsOpened, VotesDropped atomic.Int64
}

// New makes a client. It starts no goroutine.
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

// Vote casts a vote as soon as those before it have been answered. It does not block: one too many is dropped, as the
// balancer casts it again.
func (c *Client) Vote(vote dispatch.Vote) {
	select {
	case c.votes <- vote:
	default:
		c.VotesDropped.Add(1)
	}
}

// Run follows the changes and casts votes until the context ends. It waits for the two goroutines that it starts, and returns
// nil.
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

// closedAfterSend is the status of a call whose request was sent.
func closedAfterSend(reason transport.CloseReason) transport.CloseStatus {
	return transport.CloseStatus{Reason: reason, Flushed: true}
}
