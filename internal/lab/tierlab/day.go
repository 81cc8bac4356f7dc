package tierlab

import (
	"time"

	"emberquay/internal/lab/tierworld"
)

// Scenario describes the traffic and the faults of a run.
type Scenario struct {
	Length            time.Duration // of the traffic
	PlainPerSecond    float64       // plain calls
	StreamsPerSecond  float64       // streams that are not agent turns
	ProgramsPerSecond float64       // started agent programs
	Faults            tierworld.Schedule

	// World has the numbers of processes and receivers and the properties of single calls and programs; nil: the
	// default world. Its length, rates and faults are ignored.
	World *tierworld.World
}

// ScenarioFor returns the scenario that a world describes.
func ScenarioFor(w *tierworld.World) Scenario {
	return Scenario{Length: w.TrafficDuration(), PlainPerSecond: w.Traffic.PlainPerS, StreamsPerSecond: w.Traffic.TextsPerS,
		ProgramsPerSecond: w.Programs.PerS, Faults: w.Schedule(), World: w}
}

// DefaultScenario returns the scenario of the default world: some 20 s of traffic.
func DefaultScenario() Scenario { return ScenarioFor(tierworld.Default()) }

// ShortScenario returns a small scenario for tests.
func ShortScenario() Scenario { return ScenarioFor(tierworld.Short()) }
