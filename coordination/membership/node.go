package membership

import "strconv"

// Role is the function of a process of the tier.
type Role uint8

// Roles of processes.
const (
	Proxy Role = iota + 1
	Control
	Store
)

var roleNames = [...]string{"unknown", "proxy", "control", "store"}

// String returns the name of the role.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "role " + strconv.Itoa(int(r))
}

// Valid reports whether r is one of the roles.
func (r Role) Valid() bool { return r >= Proxy && r <= Store }

// State is the known state of a node. For one incarnation it only advances, except that a suspicion may be withdrawn.
type State uint8

// States of nodes. Suspect is local to one monitor and is never spread.
const (
	Alive State = iota
	Suspect
	Down
	Left
)

var stateNames = [...]string{"alive", "suspect", "down", "left"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "state " + strconv.Itoa(int(s))
}

// ID identifies a process. Two roles on one machine are two nodes.
type ID string

// IDOf returns the id of the process with a role on the machine with that name.
func IDOf(name string, role Role) ID { return ID(name + "/" + role.String()) }

// Node is one process of the tier.
type Node struct {
	Name        string // name of the machine
	Role        Role
	Zone        string
	Region      string
	Address     string // ip:port of its internal protocol
	Incarnation uint64 // increases with each start of the process and each refutation
	State       State
}

// ID returns the id of the node.
func (n Node) ID() ID { return IDOf(n.Name, n.Role) }

// Live reports whether the node counts as running, which includes suspect nodes.
func (n Node) Live() bool { return n.State <= Suspect }
