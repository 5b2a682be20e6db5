package choice

// chance draws from 0 to n-1 by multiply-with-carry.
func (r *Relay) chance(n int) int {
	t := 4294957665*uint64(r.x) + uint64(r.carry)
	r.x, r.carry = uint32(t), uint32(t>>32)
	return int(uint64(r.x) * uint64(max(n, 1)) >> 32)
}

// What follows picks one value of the settings; an absent one is zero.

func (r *Relay) num(name string) float64 { v, _ := r.set[name].(float64); return v }
func (r *Relay) first(name string) float64 {
	if l, _ := r.set[name].([]any); len(l) > 0 {
		f, _ := l[0].(float64)
		return f
	}
	return 0
}
func (r *Relay) word(name string) string { v, _ := r.set[name].(string); return v }
func (r *Relay) flag(name string) bool   { v, _ := r.set[name].(bool); return v }
func (r *Relay) span(name string) Tick   { return ticks(r.set[name]) }
func (r *Relay) word2(c *Command, name string) string {
	v, _ := r.opTypes[c.OpType][name].(string)
	return v
}
func (r *Relay) opSpan(c *Command, name string) Tick { return ticks(r.opTypes[c.OpType][name]) }

// ticks turns seconds into ticks.
func ticks(v any) Tick { f, _ := v.(float64); return Tick(f * float64(Second)) }

// recent drops the times before a moment.
func recent(times []Tick, from Tick) []Tick {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// mean is the mean of samples, 0 for none.
func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(max(1, len(x)))
}

// keep appends a sample and holds on to the last n.
func keep[T any](all []T, one T, n int) []T {
	all = append(all, one)
	return all[max(0, len(all)-n):]
}

// sample is the last outcomes at one build, 1 for a bad one: for each op type, then
// flags among answers, then slow ones among deliveries.
type sample struct {
	bad [][]float64
}

func newSample(opTypes int) *sample {
	return &sample{bad: make([][]float64, opTypes+2)}
}

func (s *sample) add(which int, bad float64, most int) {
	s.bad[which] = keep(s.bad[which], bad, most)
}

// count counts the bad ones and all of them, for all op types together with -1.
func (s *sample) count(which int) (bad, n float64) {
	for i, outcomes := range s.bad {
		if which == i || which < 0 && i < len(s.bad)-2 {
			bad += mean(outcomes) * float64(len(outcomes))
			n += float64(len(outcomes))
		}
	}
	return bad, n
}
