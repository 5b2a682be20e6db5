package dispatch

import (
	"time"

	"silvercove/balancer"
)

// Request is one request as a client put it.
type Request struct {
	Class, Tenant, Key string
	ReceivedAt         time.Time     // when its last byte was read
	Timeout            time.Duration // how long its client waits from then on
	EstimatedWork      time.Duration // a guess, 0 for none
	Write              bool
	ClientRetry        bool // its client says that it has asked before

	// ClientClosed tells whether its client has closed the connection. It is asked without the dispatcher being locked.
	// nil: whoever serves the client calls Abandon in time.
	ClientClosed func() bool
}

// Call is one request that was accepted. One goroutine at a time may use it; Abandon may come from another.
type Call struct {
	request      balancer.Request
	class        int
	key          string
	tenant       string
	clientClosed func() bool
	submitted    bool      // the balancer or the load policy has it
	abandoned    bool      // its client went before that; guarded by the dispatcher's lock
	steps        chan Step // at most one attempt and one final answer are ever waiting, so that a send never blocks
}

// stepBuffer has room for more steps than can wait for a call.
const stepBuffer = 4

// Step is what is to be done for a call: an attempt, or else a final answer.
type Step struct {
	Attempt    *Attempt
	Answer     FinalAnswer
	RetryAfter time.Duration // of a rejection; 0: the client is told none
}

// FinalAnswer is a final answer of the relay's own.
type FinalAnswer uint8

// The final answers.
const (
	NoAnswer   FinalAnswer = iota
	Rejected               // nothing has run: another try is harmless
	Failed                 // no promise
	ClientGone             // the client has left, and nothing is owed
)

// Accept makes a call of a request. False: the settings name no such class.
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
			EstimatedWork: ticksOf(r.EstimatedWork + tickDuration - 1), // rounded up
			ClientRetry:   r.ClientRetry,
			Write:         r.Write,
		},
	}
	return call, true
}

// Next waits for the next thing to do for a call. The first call hands it to the balancer, unless the fleet sheds it. After
// a final answer it must not be called again.
func (d *Dispatcher) Next(c *Call) Step {
	if !c.submitted {
		c.submitted = true
		if !d.submit(c) {
			return Step{Answer: ClientGone}
		}
	}
	return <-c.steps
}

// submit hands a call to the balancer or has it shed. False: its client has gone before.
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

// admit asks the fleet about a call that has just come. Nothing of it has been sent, so a rejection keeps its promise.
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

// finish gives a call its final answer; one whose client has left gets none.
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

// Abandon tells that a call's client has gone. Next returns ClientGone then, unless an attempt or another final answer
// waits before it.
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
