package transport

import "testing"

func TestBufferBudget_Reserve(t *testing.T) {
	budget := NewBufferBudget(10)
	if !budget.Reserve(6) || budget.Reserve(5) || !budget.Reserve(4) {
		t.Error("a budget of ten bytes must allow six and four, but not six and five")
	}
	budget.Release(6)
	if reserved, _ := budget.InUse(); reserved != 4 || !budget.Reserve(6) {
		t.Errorf("%d bytes are reserved", reserved)
	}
}
