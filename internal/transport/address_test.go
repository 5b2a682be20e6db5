package transport

import (
	"context"
	"testing"
)

func TestAddress_Update(t *testing.T) {
	a := NewAddress("a")
	address, current, release := a.Current(context.Background())
	defer release()
	if address != "a" || a.Update("a") || current.Err() != nil {
		t.Error("the address moved although it was not changed")
	}
	if !a.Update("b") {
		t.Error("the address did not move")
	}
	<-current.Done()
	address, current, again := a.Current(context.Background())
	if address != "b" || current.Err() != nil {
		t.Errorf("at %s: %v", address, current.Err())
	}
	again()
	if current.Err() == nil {
		t.Error("the context is not canceled by release")
	}
}
