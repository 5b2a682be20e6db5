package balancer

// random is Marsaglia's multiply-with-carry generator with a lag of one and 32-bit words. Equal seeds draw equal
// numbers on any machine and with any version of Go, which a generator of the standard library does not promise.
type random struct{ word, carry uint32 }

const (
	// carryMultiplier gives the generator a period of about 2^63.
	carryMultiplier = 4294957665
	// carryModulus is one below the multiplier. A carry ranges from 0 to carryModulus, and with a word of 0 and a carry
	// of 0 the generator would return only zeros. newRandom therefore starts with a carry of at least 1.
	carryModulus = carryMultiplier - 1
)

func newRandom(seed uint64) random {
	return random{word: uint32(seed), carry: uint32(seed>>32)%carryModulus + 1}
}

// intN returns a random number from 0 to n-1. An n below 1 counts as 1.
func (r *random) intN(n int) int {
	t := carryMultiplier*uint64(r.word) + uint64(r.carry)
	r.word, r.carry = uint32(t), uint32(t>>32)
	return int(uint64(r.word) * uint64(max(n, 1)) >> 32)
}
