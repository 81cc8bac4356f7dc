package control

// pcg is a permuted congruential generator (XSH-RR, 64 bits of state).
type pcg struct{ state uint64 }

func newPCG(seed uint64) pcg {
	g := pcg{seed + 1442695040888963407}
	g.next()
	return g
}

func (g *pcg) next() uint32 {
	old := g.state
	g.state = old*6364136223846793005 + 1442695040888963407
	x, rot := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return x>>rot | x<<(-rot&31)
}

// unit gives a number in [0, 1).
func (g *pcg) unit() float64 { return float64(g.next()) / (1 << 32) }
