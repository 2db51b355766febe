package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// given has the ports that this process has got already.
var given sync.Map

// Ports lie below those that the system gives to outgoing connections, which could
// otherwise take a port between its choice and its use.
const (
	firstPort = 15_000
	lastPort  = 30_000
)

// FreeAddress returns a loopback address that nothing listens on, for a server that
// is started later. It gives no address twice.
func FreeAddress() (string, error) {
	var err error
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := given.LoadOrStore(address, true); taken {
			continue
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	if err == nil {
		err = errors.New("no free port was found")
	}
	return "", err
}
