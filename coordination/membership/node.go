package membership

import "strconv"

// Role is what a process of the tier does.
type Role uint8

// The roles.
const (
	Proxy Role = iota + 1
	Control
	Store
)

var roleNames = [...]string{"unknown", "proxy", "control", "store"}

// String names the role.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "role " + strconv.Itoa(int(r))
}

// Valid tells whether r is one of the roles.
func (r Role) Valid() bool { return r >= Proxy && r <= Store }

// State is what is known of a node. For one incarnation it only rises.
type State uint8

// The states. Suspect is the opinion of one monitor and is never spread.
const (
	Alive State = iota
	Suspect
	Down
	Left
)

var stateNames = [...]string{"alive", "suspect", "down", "left"}

// String names the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "state " + strconv.Itoa(int(s))
}

// ID names a process: two roles of one machine are two nodes.
type ID string

// IDOf gives the id of the process of a role on the machine of that node name.
func IDOf(name string, role Role) ID { return ID(name + "/" + role.String()) }

// Node is one process of the tier.
type Node struct {
	Name        string // of the machine
	Role        Role
	Zone        string
	Region      string
	Address     string // where its internal protocol is served, ip:port
	Incarnation uint64 // a later start of the process and a refutation have a higher one
	State       State
}

// ID names the node's process.
func (n Node) ID() ID { return IDOf(n.Name, n.Role) }

// Live tells whether the node counts as running: a suspect one still does.
func (n Node) Live() bool { return n.State <= Suspect }
