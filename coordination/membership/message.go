package membership

// Message is a message between nodes other than a heartbeat, which has no content. Its fields are independent.
type Message struct {
	Ping  *Ping
	Probe *Probe
	Ack   *Ack
}

// Ping requests an Ack from the receiver.
type Ping struct {
	Requester ID // the node that the Ack is forwarded to; empty if it is the sender
}

// Probe asks the receiver to ping another node on behalf of the sender.
type Probe struct {
	Target ID
}

// Ack reports that a node is running.
type Ack struct {
	Subject     ID
	Incarnation uint64
	Requester   ID
}

// Outgoing is a message with its recipient.
type Outgoing struct {
	To      ID
	Message Message
}

// Effects are the results of calls that the caller has to carry out.
type Effects struct {
	// Heartbeats holds the nodes to send a heartbeat to. Any message counts as one.
	Heartbeats []ID
	Messages   []Outgoing
	// Declared holds records to spread by gossip: nodes declared down, and this node when it refutes or leaves.
	Declared []Node
	// Changed holds the nodes whose record or suspicion here has changed.
	Changed []ID
}
