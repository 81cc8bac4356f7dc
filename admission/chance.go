package admission

// PCG is a permuted congruential generator (O'Neill, PCG-XSH-RR with 64 bits of state and 32 of output).
type PCG struct{ state uint64 }

const (
	pcgMultiplier = 6364136223846793005
	pcgIncrement  = 1442695040888963407
)

// NewPCG makes a generator; the same seed gives the same numbers.
func NewPCG(seed uint64) PCG {
	g := PCG{seed + pcgIncrement}
	g.Next()
	return g
}

// Next gives the next 32 bits.
func (g *PCG) Next() uint32 {
	old := g.state
	g.state = old*pcgMultiplier + pcgIncrement
	x, rotation := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return x>>rotation | x<<(-rotation&31)
}

// Unit gives a number in [0, 1).
func (g *PCG) Unit() float64 { return float64(g.Next()) / (1 << 32) }

// Below gives a whole number in [0, n); n is at least 1.
func (g *PCG) Below(n int) int { return int(uint64(g.Next()) * uint64(n) >> 32) }
