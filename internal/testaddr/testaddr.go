// Package testaddr assigns loopback addresses to the hosts that tests start. Only tests
// import it.
package testaddr

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are below those of outgoing connections. Otherwise an outgoing connection could take
// the port of a host before the host listens, or while it is down.
const (
	// firstPort is the lowest port.
	firstPort = 20000
	// lastPort is above the highest port. Linux assigns outgoing connections ports from
	// 32768.
	lastPort = 32000
)

// assigned counts the assigned ports.
var assigned atomic.Int32

// Free returns an address on which no process listens and which no other test process is
// given. Each test process has an IP address of its own.
func Free(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + int(assigned.Add(1)-1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", processIP(os.Getpid()), port))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// processIP returns the loopback address of a process. Linux has process ids of up to 22 bits.
func processIP(pid int) net.IP {
	return net.IPv4(127, byte(64+pid>>16&0x3f), byte(pid>>8), byte(pid))
}
