package transport

import (
	"context"
	"sync"
)

// Address is the address of a peer that may move while the program runs.
type Address struct {
	mu      sync.Mutex
	address string
	here    context.Context // ends when the peer moves
	leave   context.CancelFunc
}

// NewAddress makes the place of a peer at an address.
func NewAddress(address string) *Address {
	p := &Address{address: address}
	p.here, p.leave = context.WithCancel(context.Background())
	return p
}

// Update names another address. What was begun at the one before is called off.
func (p *Address) Update(address string) (moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address == p.address {
		return false
	}
	p.leave()
	p.address = address
	p.here, p.leave = context.WithCancel(context.Background())
	return true
}

// Current tells the address, and a context that ends with ctx or when the peer moves.
func (p *Address) Current(ctx context.Context) (address string, here context.Context, release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	both, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.here, cancel)
	return p.address, both, func() { stop(); cancel() }
}
