package procs

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	// firstPort and lastPort lie below the system's range for outgoing connections, so that a process finds its port free
	// after a restart.
	firstPort = 12000
	lastPort  = 32000
	portTries = 200
)

// ports holds the ports that this test binary has assigned.
var ports struct {
	mut   sync.Mutex
	taken map[int]bool
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (address string, err error) {
	ports.mut.Lock()
	defer ports.mut.Unlock()
	if ports.taken == nil {
		ports.taken = make(map[int]bool)
	}
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if ports.taken[port] {
			continue
		}
		address = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		lsn, err := net.Listen("tcp", address) //nolint:noctx // closed at once
		if err != nil {
			continue
		}
		_ = lsn.Close()
		ports.taken[port] = true
		return address, nil
	}
	return "", errors.New("no free port")
}
