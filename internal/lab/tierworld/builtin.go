package tierworld

// Default returns the world that `quaylab tier try` plays and `quaylab tier world` prints: about 20 s of traffic
// in which each kind of loss that the tier must tolerate occurs once.
func Default() *World {
	return &World{
		Seconds:   21,
		Tier:      Tier{ControlPlanes: 3, Stores: 3, Proxies: 2},
		Receivers: defaultReceivers(),
		Traffic: Traffic{PlainPerS: 30, Unsafe: 0.33, TextsPerS: 3, PromptTokens: []int{200, 600},
			OutTokens: []int{30, 117}, Clients: 12},
		Programs: Programs{PerS: 2, Turns: 3, Tools: 2, SubAgents: 2, SubTurns: 2, OutTokens: []int{24, 57},
			Budget: []int{180, 480}, Retained: true, Looping: 0.125, LoopingBudget: 240, FinishS: 12},
		Trouble: []Trouble{
			{Kind: AddRoute, AtS: 1},
			{Kind: Drain, AtS: 1.5, ForS: 2.2, Target: Alfa, Index: 0, Next: Beta},
			{Kind: MoveRoute, AtS: 2.5},
			{Kind: Race, AtS: 3},
			{Kind: Invalid, AtS: 3.5},
			{Kind: Repeat, AtS: 4},
			{Kind: Reload, AtS: 4.2, Target: Proxy, Index: 0},
			{Kind: Crash, AtS: 4.5, ForS: 2.2, Target: Model, Index: 1},
			{Kind: Kill, AtS: 5, ForS: 0.5, Target: ControlPlane, Index: 0},
			{Kind: Wipe, AtS: 7, ForS: 0.5, Target: Store, Index: 0},
			{Kind: Restart, AtS: 9.8, ForS: 0.5, Target: Proxy, Index: 1},
			{Kind: RemoveRoute, AtS: 10.5},
			{Kind: KillAll, AtS: 14, ForS: 0.5},
		},
	}
}

// Short returns a small world for tests.
func Short() *World {
	w := Default()
	w.Seconds = 7
	w.Traffic.PlainPerS, w.Traffic.TextsPerS, w.Programs.PerS = 15, 2, 2
	w.Trouble = []Trouble{
		{Kind: AddRoute, AtS: 0.5},
		{Kind: Drain, AtS: 0.8, ForS: 2.2, Target: Alfa, Index: 0, Next: Beta},
		{Kind: Race, AtS: 1.2},
		{Kind: Invalid, AtS: 1.5},
		{Kind: Kill, AtS: 2, ForS: 0.5, Target: ControlPlane, Index: 0},
		{Kind: Wipe, AtS: 3.5, ForS: 0.5, Target: Store, Index: 0},
		{Kind: RemoveRoute, AtS: 5},
	}
	return w
}

func defaultReceivers() Receivers {
	return Receivers{
		Alfa: PlainReceivers{Count: 3, Slots: 6, Queue: 12, WorkMs: []float64{3, 23}, Errors: 0.01},
		Beta: PlainReceivers{Count: 2, Slots: 6, Queue: 12, WorkMs: []float64{3, 23}, Errors: 0.01},
		Model: ModelReceivers{Count: 3, Slots: 8, Queue: 8, MemoryTokens: 24000, PassMs: 4, EachMs: 0.5,
			PrefillMs: 0.5, PrefillPiece: 512},
	}
}
