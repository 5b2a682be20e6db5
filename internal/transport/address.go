package transport

import (
	"context"
	"sync"
)

// Address holds the address of a peer that may move while the program runs. It may be used from any goroutine.
type Address struct {
	mu      sync.Mutex
	address string
	current context.Context // context that is canceled when Update changes the address
	cancel  context.CancelFunc
}

// NewAddress returns an Address with an initial address.
func NewAddress(address string) *Address {
	a := &Address{}
	a.set(address)
	return a
}

func (a *Address) set(address string) {
	a.address = address
	a.current, a.cancel = context.WithCancel(context.Background())
}

// Update sets the address and reports whether it has changed. If it has changed, Update cancels the contexts that
// Current returned with the previous address.
func (a *Address) Update(address string) (moved bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if address == a.address {
		return false
	}
	a.cancel()
	a.set(address)
	return true
}

// Current returns the address, and a context that ends when ctx ends or the peer moves. The caller must call release
// when it no longer needs the context.
func (a *Address) Current(ctx context.Context) (address string, current context.Context, release func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	current, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(a.current, cancel)
	return a.address, current, func() {
		stop()
		cancel()
	}
}
