// Package tierworld describes days of the serving tier on loopback: the number of processes and receivers,
// the arrivals, and the kind and time of each trouble. It does no I/O; internal/lab/tierlab plays the days.
//
//	world, err := tierworld.Read(raw) // strict; the error names the key
//	for _, trouble := range world.Schedule() { fmt.Println(trouble) }
//
// Times in a Schedule are durations since the start of traffic. A World accepted by Read or Check is bounded in
// time, processes and arrivals, and loses no more disks at once than the tier is designed to tolerate.
package tierworld
