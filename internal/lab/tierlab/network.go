package tierlab

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Ports, alike on all machines.
const (
	frontPort     = 8149
	readinessPort = 8141
	controlPort   = 8144
	receiverPort  = 8080
	holdPort      = 7999
	internalFirst = 7380
	internalLast  = 7395
)

// The blocks 127.firstBlock to 127.firstBlock+blocks-1 may be taken; the emulator of the program in service has others.
const (
	firstBlock = 120
	blocks     = 100
)

// firstReceiver is the number of the first address of receivers in a block; machines have those below: 120 proxies, nine
// control planes on the same machines, twelve stores.
const firstReceiver = 200

// network is the part of the loopback range that one day has to itself.
type network struct {
	block int
	hold  net.Listener // while it listens, the block is taken
}

func newNetwork() (*network, error) {
	for i := range blocks {
		block := firstBlock + (os.Getpid()+i)%blocks
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:%d", block, holdPort))
		if err == nil {
			return &network{block: block, hold: l}, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free: 127.120.255.1 to 127.219.255.1 are all taken at port 7999")
}

func (n *network) close() { n.hold.Close() }

// machine is the address of the machine of a number, from 1.
func (n *network) machine(no int) string { return fmt.Sprintf("127.%d.%d.1", n.block, no) }

// receiver is where the receiver at a place listens.
func (n *network) receiver(place int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", n.block, firstReceiver+place, receiverPort)
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
