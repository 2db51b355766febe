package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// issuedAddresses contains the addresses that FreeAddress has returned in this process.
var issuedAddresses sync.Map

// The ports are below the operating system's ephemeral port range. Otherwise an outgoing
// connection could take a port after FreeAddress has returned it.
const (
	minPort = 15_000
	maxPort = 30_000
)

// FreeAddress returns a loopback address on which nothing listens, for a server that is
// started later. It never returns an address twice.
func FreeAddress() (string, error) {
	var err error
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		if _, taken := issuedAddresses.LoadOrStore(address, true); taken {
			continue
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	if err == nil {
		err = errors.New("find a free port: all candidates were issued before")
	}
	return "", err
}
