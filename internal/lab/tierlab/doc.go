// Package tierlab runs a scenario against the real processes of the serving tier on loopback: control planes, stores and
// proxies. It simulates the receivers, agent programs, other clients and the operator, as internal/lab/tierworld describes
// them, and records what they observe on their sockets for internal/lab/referee/tierrules to judge.
//
//	result, err := tierlab.Run(ctx, tierlab.Options{Program: "bin/emberquay", Scenario: tierlab.ScenarioFor(world)})
//	fmt.Print(result.Verdict)
//
// Each machine has its own address in 127.0.0.0/8; all machines use the same ports. A run is bounded in time by the scenario
// and in calls by its load. When Run returns, also after its context ended, every process that it started has ended.
//
// Three stores are the minimum that tolerates the loss of one while budgets are still granted: a reservation counts once
// max(N-t, N/2+1) of N stores have it, which is both of two.
package tierlab
