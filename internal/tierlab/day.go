package tierlab

import "time"

// Act is what happens at an instant of a day.
type Act struct {
	At   time.Duration // since traffic began
	What What
}

// What happens.
type What string

// All that can happen.
const (
	AddRoute       What = "a route is added"
	MoveRoute      What = "a route moves to another service"
	RemoveRoute    What = "a route is removed"
	RaceOperators  What = "two operators change the same version"
	SendInvalid    What = "an invalid configuration is sent"
	RepeatAccepted What = "the newest change is sent again"
	DrainReceiver  What = "a receiver drains, and another service takes its address"
	CrashReceiver  What = "a receiver crashes"
	KillCore       What = "a core node is killed"
	WipeStore      What = "a store loses its disk"
	StopProxy      What = "a proxy is stopped and started again"
	ReloadProxy    What = "a proxy's settings change"
	KillAll        What = "all processes are killed at once"
)

// Day is what is played.
type Day struct {
	Length   time.Duration // of the traffic
	Acts     []Act
	Plain    int     // calls a second, a third of them unsafe
	Texts    int     // streams a second that are no turns
	Programs float64 // that begin in a second
}

// Full is the whole day: some 20 s of traffic.
func Full() Day {
	s := time.Second
	return Day{
		Length: 21 * s, Plain: 30, Texts: 3, Programs: 2,
		Acts: []Act{
			{1 * s, AddRoute},
			{1500 * time.Millisecond, DrainReceiver},
			{2500 * time.Millisecond, MoveRoute},
			{3 * s, RaceOperators},
			{3500 * time.Millisecond, SendInvalid},
			{4 * s, RepeatAccepted},
			{4200 * time.Millisecond, ReloadProxy},
			{4500 * time.Millisecond, CrashReceiver},
			{5 * s, KillCore},
			{7 * s, WipeStore},
			{9800 * time.Millisecond, StopProxy},
			{10500 * time.Millisecond, RemoveRoute},
			{14 * s, KillAll},
		},
	}
}

// Short is a small one for tests.
func Short() Day {
	s := time.Second
	return Day{
		Length: 7 * s, Plain: 15, Texts: 2, Programs: 2,
		Acts: []Act{
			{500 * time.Millisecond, AddRoute},
			{800 * time.Millisecond, DrainReceiver},
			{1200 * time.Millisecond, RaceOperators},
			{1500 * time.Millisecond, SendInvalid},
			{2 * s, KillCore},
			{3500 * time.Millisecond, WipeStore},
			{5 * s, RemoveRoute},
		},
	}
}
