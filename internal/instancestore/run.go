package instancestore

import "silvercove/internal/replica"

// enqueue adds a request to the queue. If the queue is full, the request is queued as kindRefused, and Run rejects it.
// Its done function is thus still called in the order of the requests.
func (s *Store) enqueue(r request) {
	s.mu.Lock()
	if len(s.queue) >= maxQueue {
		r.kind = kindRefused
		r.entry, r.note = replica.LogEntry{}, nil
	}
	s.queue = append(s.queue, r)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run executes queued requests until stop is closed. It then executes the requests that are still queued, and closes the
// file.
func (s *Store) Run(stop <-chan struct{}) {
	for stopped := false; !stopped; {
		select {
		case <-s.wake:
		case <-stop:
			stopped = true
		}
		for s.runQueued() {
		}
	}
	if s.path != "" {
		_ = s.file.Close()
		_ = s.lock.Close()
	}
}

// runQueued makes all queued requests durable with one write, calls their done functions, and reports whether there were
// any requests.
func (s *Store) runQueued() bool {
	s.mu.Lock()
	requests := s.queue
	s.queue = nil
	s.mu.Unlock()
	if len(requests) == 0 {
		return false
	}
	errs := make([]error, len(requests))
	if s.path != "" {
		s.write(requests, errs)
	}
	for i, r := range requests {
		if r.kind == kindRefused {
			errs[i] = ErrQueueFull
		}
		if r.done != nil {
			r.done(errs[i])
		}
	}
	return true
}
