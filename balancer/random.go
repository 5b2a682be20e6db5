package balancer

// random is a multiply-with-carry generator (Marsaglia's, with a lag of one and words of 32 bits). Equal seeds draw equal
// numbers on any machine, which a generator of the standard library does not promise over its versions.
type random struct{ word, carry uint32 }

const (
	// carryMultiplier makes the period of the generator about 2^63.
	carryMultiplier = 4294957665
	// carryModulus is one below the multiplier: a carry is from 0 to it, and 0 with a word of 0 would stand still.
	carryModulus = carryMultiplier - 1
)

func newRandom(seed uint64) random {
	return random{word: uint32(seed), carry: uint32(seed>>32)%carryModulus + 1}
}

// intN draws from 0 to n-1; a number of values below 1 counts as 1.
func (r *random) intN(n int) int {
	t := carryMultiplier*uint64(r.word) + uint64(r.carry)
	r.word, r.carry = uint32(t), uint32(t>>32)
	return int(uint64(r.word) * uint64(max(n, 1)) >> 32)
}
