package admission

// PCG is a permuted congruential generator (O'Neill, PCG-XSH-RR with 64 bits of state and 32 of output).
type PCG struct{ state uint64 }

const (
	pcgMultiplier = 6364136223846793005
	pcgIncrement  = 1442695040888963407
)

// NewPCG returns a generator; the same seed gives the same numbers.
func NewPCG(seed uint64) PCG {
	g := PCG{seed + pcgIncrement}
	g.Uint32()
	return g
}

// Uint32 returns the next 32 bits.
func (g *PCG) Uint32() uint32 {
	old := g.state
	g.state = old*pcgMultiplier + pcgIncrement
	x, rotation := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return x>>rotation | x<<(-rotation&31)
}

// Float64 returns a number in [0, 1).
func (g *PCG) Float64() float64 { return float64(g.Uint32()) / (1 << 32) }

// IntN returns an integer in [0, n); n is at least 1.
func (g *PCG) IntN(n int) int { return int(uint64(g.Uint32()) * uint64(n) >> 32) }
