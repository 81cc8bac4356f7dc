package tierlab

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Ports, the same on all machines.
const (
	frontPort       = 8149
	readinessPort   = 8141
	controlPort     = 8144
	receiverPort    = 8080
	reservationPort = 7999
	internalFirst   = 7380
	internalLast    = 7395
)

// The blocks 127.firstBlock to 127.firstBlock+blocks-1 may be used; the emulator of the program in service uses others.
const (
	firstBlock = 120
	blocks     = 100
)

// firstReceiver is the number of the first receiver address in a block; machines use those below: 120 proxies, nine control
// planes on the same machines, twelve stores.
const firstReceiver = 200

// network is the part of the loopback range reserved for one run.
type network struct {
	block       int
	reservation net.Listener // while it listens, the block is in use
}

func newNetwork() (*network, error) {
	for i := range blocks {
		block := firstBlock + (os.Getpid()+i)%blocks
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:%d", block, reservationPort))
		if err == nil {
			return &network{block: block, reservation: l}, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free: 127.120.255.1 to 127.219.255.1 are all taken at port 7999")
}

func (n *network) close() { n.reservation.Close() }

// machine returns the address of a machine by its number, from 1.
func (n *network) machine(no int) string { return fmt.Sprintf("127.%d.%d.1", n.block, no) }

// receiver returns the listen address of the receiver at a place.
func (n *network) receiver(place int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", n.block, firstReceiver+place, receiverPort)
}

func joinHostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
