package tierworld

import "slices"

// TroubleKind names what a trouble does.
type TroubleKind string

// The kinds of trouble.
const (
	Kill             TroubleKind = "kill"
	Wipe             TroubleKind = "wipe"
	Freeze           TroubleKind = "freeze"
	Restart          TroubleKind = "restart"
	RestartMachine   TroubleKind = "restart_machine"
	Reload           TroubleKind = "reload"
	Rewrite          TroubleKind = "rewrite"
	KillAll          TroubleKind = "kill_all"
	LosePower        TroubleKind = "lose_power"
	LosePowerEarly   TroubleKind = "lose_power_early"
	LoseAcknowledger TroubleKind = "lose_acknowledger"
	Retire           TroubleKind = "retire"
	Drain            TroubleKind = "drain"
	Crash            TroubleKind = "crash"
	LoseAnswers      TroubleKind = "lose_answers"
	Errors           TroubleKind = "errors"
	Hang             TroubleKind = "hang"
	Slow             TroubleKind = "slow"
	Burst            TroubleKind = "burst"
	AddRoute         TroubleKind = "add_route"
	MoveRoute        TroubleKind = "move_route"
	RemoveRoute      TroubleKind = "remove_route"
	ChangeIdle       TroubleKind = "change_idle"
	ChangeTimeout    TroubleKind = "change_timeout"
	Race             TroubleKind = "race"
	Invalid          TroubleKind = "invalid"
	Repeat           TroubleKind = "repeat"
)

// The roles of processes.
const (
	ControlPlane = "control-plane"
	Store        = "store"
	Proxy        = "proxy"
)

// strength tells which key sets the strength of a trouble.
type strength int

const (
	noStrength strength = iota
	byShare             // above 0, at most 1
	byFactor            // above 1
)

// kindSpec describes the keys that a kind of trouble accepts.
type kindSpec struct {
	kind           TroubleKind
	targets        []string // allowed values of on; empty: on is not allowed
	defaultsToAll  bool     // on may be omitted and then means all of them
	optionalTarget bool     // on may be omitted and then means none of them
	hasDuration    bool
	strength       strength
	takesSuccessor bool // next may name the service that takes over the address
	help           string
}

var (
	processRoles = []string{ControlPlane, Store, Proxy}
	diskRoles    = []string{ControlPlane, Store}
	arrivalKinds = []string{PlainCalls, TextCalls, AgentRuns}
)

// kindSpecs lists all kinds of trouble in the order in which Print describes them.
var kindSpecs = []kindSpec{
	{kind: Kill, targets: processRoles, hasDuration: true, help: "SIGKILL; started again after for_s"},
	{kind: Wipe, targets: diskRoles, hasDuration: true,
		help: "SIGKILL and the data folder is emptied; started again after for_s"},
	{kind: Freeze, targets: processRoles, hasDuration: true, help: "SIGSTOP, and SIGCONT after for_s"},
	{kind: Restart, targets: processRoles, hasDuration: true, help: "SIGTERM; started again for_s after it has ended"},
	{kind: RestartMachine, targets: []string{Proxy}, hasDuration: true,
		help: "SIGTERM to all processes of the proxy's machine; each started again for_s after it has ended"},
	{kind: Rewrite, targets: processRoles, help: "the settings file is written anew with the same meaning, and no signal tells of it"},
	{kind: Reload, targets: processRoles, help: "the settings file is written anew with the same meaning, and SIGHUP"},
	{kind: KillAll, hasDuration: true,
		help: "SIGKILL to every process; all started again after for_s; the last trouble of processes"},
	{kind: LosePower, targets: diskRoles, optionalTarget: true, hasDuration: true,
		help: "at the acknowledgement of a change, SIGKILL to every process; the disk of on, if given, is emptied; started again one by one within for_s"},
	{kind: LosePowerEarly, targets: diskRoles, optionalTarget: true, hasDuration: true,
		help: "the same while a change is under way"},
	{kind: LoseAcknowledger, hasDuration: true,
		help: "at the acknowledgement of a change, SIGKILL to the control plane that gave it, and its disk is emptied; started again after for_s"},
	{kind: Retire, targets: []string{Store},
		help: "the store is emptied as its operator does it, then stopped for good"},
	{kind: Drain, targets: services, hasDuration: true, takesSuccessor: true,
		help: "drains, leaves and ends; for_s later one of the service next (its own without) has its address"},
	{kind: Crash, targets: services, hasDuration: true, takesSuccessor: true,
		help: "connections are reset; for_s later one of the service next (its own without) has its address"},
	{kind: LoseAnswers, targets: services, hasDuration: true, strength: byShare,
		help: "share of its answers: the work is done, the connection breaks"},
	{kind: Errors, targets: services, hasDuration: true, strength: byShare,
		help: "share of its requests are answered with a 500 of its own"},
	{kind: Hang, targets: services, hasDuration: true, strength: byShare,
		help: "share of its requests are not answered before it is over"},
	{kind: Slow, targets: services, hasDuration: true, strength: byFactor, help: "its work takes factor times as long"},
	{kind: Burst, targets: arrivalKinds, defaultsToAll: true, hasDuration: true, strength: byFactor,
		help: "factor times as much arrives; all kinds without on"},
	{kind: AddRoute, help: "the configuration gets one more route, to beta"},
	{kind: MoveRoute, help: "the route of orders goes to beta from then on"},
	{kind: RemoveRoute, help: "the added route is taken away"},
	{kind: ChangeIdle, help: "the idle timeout of clients' connections becomes the other of two"},
	{kind: ChangeTimeout, help: "the time-out of streams becomes the other of two"},
	{kind: Race, help: "two operators change the same version at the same moment"},
	{kind: Invalid, help: "four configurations that have to be refused"},
	{kind: Repeat, help: "the newest change that was taken is sent once more"},
}

// kindSpecOf returns the description of a kind.
func kindSpecOf(what TroubleKind) (kindSpec, bool) {
	at := slices.IndexFunc(kindSpecs, func(k kindSpec) bool { return k.kind == what })
	if at < 0 {
		return kindSpec{}, false
	}
	return kindSpecs[at], true
}

// causesOutage reports whether processes do not serve while the trouble lasts.
func (w TroubleKind) causesOutage() bool {
	return w == Kill || w == Wipe || w == Freeze || w == Restart || w == RestartMachine || w == KillAll || w.losesAllPower()
}

// losesAllPower reports whether all processes lose power at the same moment, which may happen more than once in a day.
func (w TroubleKind) losesAllPower() bool { return w == LosePower || w == LosePowerEarly }

// LosesAllProcesses reports whether the trouble ends all processes at the same moment.
func (w TroubleKind) LosesAllProcesses() bool { return w == KillAll || w.losesAllPower() }

// kindNames returns the names of all kinds of trouble.
func kindNames() []string {
	names := make([]string, 0, len(kindSpecs))
	for _, k := range kindSpecs {
		names = append(names, string(k.kind))
	}
	return names
}
