package tierworld

import "slices"

// What happens.
type What string

// All that can happen.
const (
	Kill           What = "kill"
	Wipe           What = "wipe"
	Freeze         What = "freeze"
	Restart        What = "restart"
	RestartMachine What = "restart_machine"
	Reload         What = "reload"
	Rewrite        What = "rewrite"
	KillAll        What = "kill_all"
	Retire         What = "retire"
	Drain          What = "drain"
	Crash          What = "crash"
	LoseAnswers    What = "lose_answers"
	Errors         What = "errors"
	Hang           What = "hang"
	Slow           What = "slow"
	Burst          What = "burst"
	AddRoute       What = "add_route"
	MoveRoute      What = "move_route"
	RemoveRoute    What = "remove_route"
	ChangeIdle     What = "change_idle"
	ChangeTimeout  What = "change_timeout"
	Race           What = "race"
	Invalid        What = "invalid"
	Repeat         What = "repeat"
)

// The roles of processes.
const (
	ControlPlane = "control-plane"
	Store        = "store"
	Proxy        = "proxy"
)

// strength is what the strength of a trouble is told by.
type strength int

const (
	noStrength strength = iota
	byShare             // above 0, at most 1
	byFactor            // above 1
)

// kind is what a trouble of a sort takes.
type kind struct {
	what     What
	on       []string // what it may strike; empty: it strikes no single thing
	all      bool     // on may be left out and then means all of them
	lasts    bool
	strength strength
	next     bool // next may name the service that takes the address
	help     string
}

var (
	processes    = []string{ControlPlane, Store, Proxy}
	keepingDisks = []string{ControlPlane, Store}
	arrivals     = []string{PlainCalls, TextCalls, AgentRuns}
)

// kinds are all sorts of trouble, in the order in which they are explained.
var kinds = []kind{
	{what: Kill, on: processes, lasts: true, help: "SIGKILL; started again after for_s"},
	{what: Wipe, on: keepingDisks, lasts: true,
		help: "SIGKILL and the data folder is emptied; started again after for_s"},
	{what: Freeze, on: processes, lasts: true, help: "SIGSTOP, and SIGCONT after for_s"},
	{what: Restart, on: processes, lasts: true, help: "SIGTERM; started again for_s after it has ended"},
	{what: RestartMachine, on: []string{Proxy}, lasts: true,
		help: "SIGTERM to all processes of the proxy's machine; each started again for_s after it has ended"},
	{what: Rewrite, on: processes, help: "the settings file is written anew with the same meaning, and no signal tells of it"},
	{what: Reload, on: processes, help: "the settings file is written anew with the same meaning, and SIGHUP"},
	{what: KillAll, lasts: true,
		help: "SIGKILL to every process; all started again after for_s; the last trouble of processes"},
	{what: Retire, on: []string{Store},
		help: "the store is emptied as its operator does it, then stopped for good"},
	{what: Drain, on: services, lasts: true, next: true,
		help: "drains, leaves and ends; for_s later one of the service next (its own without) has its address"},
	{what: Crash, on: services, lasts: true, next: true,
		help: "connections are reset; for_s later one of the service next (its own without) has its address"},
	{what: LoseAnswers, on: services, lasts: true, strength: byShare,
		help: "share of its answers: the work is done, the connection breaks"},
	{what: Errors, on: services, lasts: true, strength: byShare,
		help: "share of its requests are answered with a 500 of its own"},
	{what: Hang, on: services, lasts: true, strength: byShare,
		help: "share of its requests are not answered before it is over"},
	{what: Slow, on: services, lasts: true, strength: byFactor, help: "its work takes factor times as long"},
	{what: Burst, on: arrivals, all: true, lasts: true, strength: byFactor,
		help: "factor times as much arrives; all kinds without on"},
	{what: AddRoute, help: "the configuration gets one more route, to beta"},
	{what: MoveRoute, help: "the route of orders goes to beta from then on"},
	{what: RemoveRoute, help: "the added route is taken away"},
	{what: ChangeIdle, help: "the idle timeout of clients' connections becomes the other of two"},
	{what: ChangeTimeout, help: "the time-out of streams becomes the other of two"},
	{what: Race, help: "two operators change the same version at the same moment"},
	{what: Invalid, help: "four configurations that have to be refused"},
	{what: Repeat, help: "the newest change that was taken is sent once more"},
}

// kindOf finds a sort by its name.
func kindOf(what What) (kind, bool) {
	at := slices.IndexFunc(kinds, func(k kind) bool { return k.what == what })
	if at < 0 {
		return kind{}, false
	}
	return kinds[at], true
}

// down says whether a process does not serve while the trouble lasts.
func (w What) down() bool {
	return w == Kill || w == Wipe || w == Freeze || w == Restart || w == RestartMachine || w == KillAll
}

// sorts are the names of all sorts of trouble.
func sorts() []string {
	names := make([]string, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, string(k.what))
	}
	return names
}
