package membership

// Message is what nodes ask each other besides heartbeats, which have no content. Its parts are independent.
type Message struct {
	Ping  *Ping
	Probe *Probe
	Ack   *Ack
}

// Ping asks for an Ack.
type Ping struct {
	Requester ID // the node that wants to know; the receiver of the Ack passes it on
}

// Probe asks a node to ping another.
type Probe struct {
	Target ID
}

// Ack tells that a node runs.
type Ack struct {
	Subject     ID
	Incarnation uint64
	Requester   ID
}

// Outgoing is a message and the node that it goes to.
type Outgoing struct {
	To      ID
	Message Message
}

// Effects is what a step asks of the caller.
type Effects struct {
	// Heartbeats are the nodes that a heartbeat goes to: any message does.
	Heartbeats []ID
	Messages   []Outgoing
	// Declared are records to be spread: others declared down, this node with a new incarnation.
	Declared []Node
	// Changed are the nodes whose view here has changed.
	Changed []ID
}
