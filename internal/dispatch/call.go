package dispatch

import (
	"time"

	"silvercove/balancer"
)

// Request is one request as a client sent it.
type Request struct {
	Class, Tenant, Key string
	ReceivedAt         time.Time     // time at which the last byte of the request was read
	Timeout            time.Duration // how long the client waits, counted from ReceivedAt
	EstimatedWork      time.Duration // the client's estimate of the work; 0 means that there is none
	Write              bool
	ClientRetry        bool // whether the client says that it has already sent this request

	// ClientClosed reports whether the client has closed the connection. It is called without the dispatcher's lock. If
	// ClientClosed is nil, the code that serves the client must call Abandon when the client leaves.
	ClientClosed func() bool
}

// Call is one accepted request. Only one goroutine at a time may use a Call, but any goroutine may call Abandon at any
// time.
type Call struct {
	request      balancer.Request
	class        int
	key          string
	tenant       string
	clientClosed func() bool
	submitted    bool      // the call was handed to the balancer, or the fleet policy shed it
	abandoned    bool      // the client left before the call was submitted; guarded by the dispatcher's lock
	steps        chan Step // holds at most one attempt and one final answer at any time, so a send never blocks
}

// stepBuffer is the capacity of Call.steps. At most two steps wait in the channel at any time: one attempt and one
// final answer.
const stepBuffer = 4

// Step is the next thing to do for a call: either an attempt or a final answer.
type Step struct {
	Attempt    *Attempt
	Answer     FinalAnswer
	RetryAfter time.Duration // how long a rejected client is told to wait; if 0, the answer names no time
}

// FinalAnswer is an answer that the relay itself gives and that ends a call.
type FinalAnswer uint8

// The final answers.
const (
	NoAnswer   FinalAnswer = iota // the step is an attempt
	Rejected                      // a retry by the client is harmless: nothing has run, or a second run does no harm
	Failed                        // the request may have run: the answer promises nothing about its effect
	ClientGone                    // the client has left: no answer is sent
)

// Accept makes a Call from a request. It returns false if the settings have no request class with the name r.Class.
func (d *Dispatcher) Accept(r Request) (*Call, bool) {
	class, ok := d.classes[r.Class]
	if !ok {
		return nil, false
	}
	call := &Call{
		class:        class,
		key:          r.Key,
		tenant:       r.Tenant,
		clientClosed: r.ClientClosed,
		steps:        make(chan Step, stepBuffer),
		request: balancer.Request{
			Class:         class,
			Tenant:        d.tenants.number(r.Tenant),
			Key:           hashKey(r.Key),
			Deadline:      d.clock.tickAt(r.ReceivedAt.Add(r.Timeout)),
			EstimatedWork: ticksOf(r.EstimatedWork + tickDuration - 1), // rounded up to a whole tick
			ClientRetry:   r.ClientRetry,
			Write:         r.Write,
		},
	}
	return call, true
}

// Next blocks until there is a next step for a call. The first Next hands the call to the balancer, unless the fleet
// policy sheds it. Next must not be called again after it has returned a final answer.
func (d *Dispatcher) Next(c *Call) Step {
	if !c.submitted {
		c.submitted = true
		if !d.submit(c) {
			return Step{Answer: ClientGone}
		}
	}
	return <-c.steps
}

// submit hands a call to the balancer, or rejects it if the fleet policy sheds it. It returns false if the client has
// already left.
func (d *Dispatcher) submit(c *Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.abandoned {
		return false
	}
	d.lastRequestID++
	c.request.ID = d.lastRequestID
	d.calls[&c.request] = c
	d.pin(c)
	d.counters.Classes[c.class].Accepted++
	if retryAfter, admitted := d.admit(c); admitted {
		d.balancer.OnRequest(d.clock.now(), &c.request)
	} else {
		d.finish(&c.request, Step{Answer: Rejected, RetryAfter: retryAfter})
	}
	return true
}

// admit asks the fleet policy whether to take a call that has just arrived. No attempt of the call has been sent yet,
// so the final answer Rejected is correct: nothing has run.
func (d *Dispatcher) admit(c *Call) (retryAfter time.Duration, ok bool) {
	if d.callbacks.FleetPolicy == nil {
		return 0, true
	}
	ok, retryAfter = d.callbacks.FleetPolicy.Admit(c.class, d.priorityWeight[c.class], c.tenant, c.request.ClientRetry)
	if !ok {
		d.counters.Shed++
	}
	return min(retryAfter, d.maxRetryAfter), ok
}

// finish gives a call its final answer. A call whose client has left gets none.
func (d *Dispatcher) finish(request *balancer.Request, step Step) {
	call := d.calls[request]
	if call == nil {
		return
	}
	delete(d.calls, request)
	d.unpin(call)
	if step.Answer == Rejected {
		d.counters.Classes[call.class].Rejected++
	} else {
		d.counters.Classes[call.class].Failed++
	}
	call.steps <- step
}

// Abandon records that the client of a call has left. Next then returns ClientGone, unless a final answer is already
// waiting. If an attempt is already waiting, Next returns the attempt first.
func (d *Dispatcher) Abandon(c *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[&c.request] == nil {
		c.abandoned = true
		return
	}
	delete(d.calls, &c.request)
	d.unpin(c)
	d.counters.Classes[c.class].Abandoned++
	d.balancer.OnClientGone(d.clock.now(), &c.request)
	c.steps <- Step{Answer: ClientGone}
}
