package controllerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"silvercove/internal/tick"
)

// maxResponseBytes is the maximum size of a response body. The assignments of more than 100,000 instances fit into it.
const maxResponseBytes = 256 << 20

// call calls one controller after another until one gives a final answer or the context ends. A final answer is a success or a
// refusal with a status other than 421 and 503. sentAt is the time, by Now, at which the request with the final answer was
// sent. A call whose timeout exceeds ProposalTimeout is treated as a poll, which endCall may cancel.
func (c *Client) call(ctx context.Context, method, path string, request, response any, timeout tick.Tick) (sentAt tick.Tick, err error) {
	if len(c.controllers) == 0 {
		return 0, errNoControllerConfigured
	}
	pause, maxPause := c.timings.RetryDelayMin, c.timings.RetryDelayMax
	if method == http.MethodGet { // calls that only read are retried with longer pauses than lease requests
		maxPause *= 4
	}
	var lastErr error
	for attempt := 0; ; attempt++ {
		callContext, cancel := context.WithCancel(ctx)
		active := c.beginCall(cancel, timeout > c.timings.ProposalTimeout)
		sentAt, err = c.callOnce(callContext, active.controller, method, path, request, response, timeout)
		cancel()
		var refusal *RefusalError
		isRefusal := errors.As(err, &refusal)
		final := err == nil || isRefusal && refusal.Code != http.StatusMisdirectedRequest && refusal.Code != http.StatusServiceUnavailable
		c.endCall(active, final)
		if final {
			return sentAt, err
		}
		if ctx.Err() != nil {
			if lastErr == nil {
				lastErr = err
			}
			return 0, fmt.Errorf("%w: %w (%w)", ErrNoController, lastErr, ctx.Err())
		}
		lastErr = err
		redirected := c.chooseNext(active.controller, refusal)
		// An attempt that follows a redirect begins without a pause. The exception is that a pause follows every
		// (len(c.controllers)+1)th attempt. Without the exception, controllers that redirect to each other would
		// be called in a loop without pauses.
		if redirected && attempt%(len(c.controllers)+1) < len(c.controllers) {
			continue
		}
		if err := c.pause(ctx, pause); err != nil {
			return 0, fmt.Errorf("%w: %w (%w)", ErrNoController, lastErr, err)
		}
		pause = min(2*pause, maxPause)
	}
}

// activeCall is a call in progress. cancel ends the call.
type activeCall struct {
	controller string
	cancel     context.CancelFunc
}

// beginCall returns a call to the controller that was last known to lead. If isPoll is set, the call is registered, so that
// endCall can cancel it.
func (c *Client) beginCall(cancel context.CancelFunc, isPoll bool) *activeCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := &activeCall{c.leader, cancel}
	if isPoll {
		c.polls[active] = struct{}{}
	}
	return active
}

// endCall removes a call that has ended. If final is set, the call's controller gave a final answer, and endCall cancels the
// polls at all other controllers.
//
// The cancellation guards against a former leader that hangs with its connections open. A poll at such a controller would last
// for the poll's whole timeout. Meanwhile, the next leader already grants leases, and the client would miss all changes that
// are agreed. If a former leader gives a late answer, endCall may also cancel a poll at the current leader; the client then
// polls again.
func (c *Client) endCall(ended *activeCall, final bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.polls, ended)
	if !final {
		return
	}
	for poll := range c.polls {
		if poll.controller != ended.controller {
			poll.cancel()
		}
	}
}

// chooseNext selects the controller for the next call, after the given controller gave no final answer. If another call has
// selected a controller since, chooseNext keeps that selection. redirected reports whether the refusal names another
// controller of the configuration file as the leader.
func (c *Client) chooseNext(controller string, refusal *RefusalError) (redirected bool) {
	next := ""
	if refusal != nil && refusal.Code == http.StatusMisdirectedRequest && slices.Contains(c.controllers, refusal.Leader) &&
		refusal.Leader != controller {
		next = refusal.Leader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == controller {
		c.leader = next
		if next == "" {
			c.leader = c.controllers[(slices.Index(c.controllers, controller)+1)%len(c.controllers)]
		}
	}
	return next != ""
}

// pause waits for a random time between half of maxDelay and maxDelay.
func (c *Client) pause(ctx context.Context, maxDelay tick.Tick) error {
	c.mu.Lock()
	fraction := 0.5 + c.random.Float64()/2
	c.mu.Unlock()
	timer := time.NewTimer(time.Duration(float64(maxDelay.Duration()) * fraction))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// callOnce calls one process once. sentAt is the time at which the request was sent. If the answer has a status other than 200
// and its body is an ErrorBody, the error is a *RefusalError.
func (c *Client) callOnce(ctx context.Context, process, method, path string, request, response any, timeout tick.Tick) (sentAt tick.Tick, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var body io.Reader
	if request != nil {
		text, err := json.Marshal(request)
		if err != nil {
			return 0, &RefusalError{http.StatusBadRequest, ErrorBody{Error: err.Error()}}
		}
		body = bytes.NewReader(text)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+process+path, body)
	if err != nil {
		return 0, err
	}
	sentAt = Now()
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return 0, err
	}
	defer func() { _ = httpResponse.Body.Close() }() // an error does not matter: the needed part of the body has been read
	decoder := json.NewDecoder(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if httpResponse.StatusCode == http.StatusOK {
		if err := decoder.Decode(response); err != nil {
			return 0, fmt.Errorf("%s: %w", process, err)
		}
		return sentAt, nil
	}
	refusal := &RefusalError{Code: httpResponse.StatusCode}
	if err := decoder.Decode(&refusal.ErrorBody); err != nil {
		return 0, fmt.Errorf("%s: %s", process, httpResponse.Status)
	}
	if refusal.ErrorBody.Error == "" {
		refusal.ErrorBody.Error = process + ": " + httpResponse.Status
	}
	return 0, refusal
}
