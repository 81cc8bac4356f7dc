package sim

// Kind is a kind of trouble.
type Kind int

// The kinds.
const (
	Kills Kind = iota
	Blinks
	PowerAtAck
	PowerAtGrant
	PowerAtRemoval
	Freezes
	Cuts
	BadNetwork
	Storms
	Races
	SlowHosts
	LostDisks
	Replacements
	SlowDisks
	StalledDisks
	FullDisks
	StuckMembers
	ClockSteps
	Islands
	SecondLosses
	Floods
	PlannedStops
	kindCount
)

var kindNames = [kindCount]string{
	"machines killed", "process blinks", "power lost at an acknowledgement", "power lost at a grant",
	"power lost at a removal", "process frozen", "network cut", "network loses, repeats, delays",
	"storm round one control node", "races over uneven links", "machine slow", "disk lost", "control node replaced",
	"disks slow", "disks stalled", "disks full", "one disk stuck, nothing else", "time of day stepped",
	"control node on an island", "second loss in a repair", "hundreds of changes while one is out",
	"control nodes stopped in turn",
}

func (k Kind) String() string { return kindNames[k] }

// Kinds lists all of them.
func Kinds() []Kind {
	var all []Kind
	for k := range kindCount {
		all = append(all, k)
	}
	return all
}
