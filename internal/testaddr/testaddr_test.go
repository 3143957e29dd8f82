package testaddr

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against hosts whose port was taken by an outgoing connection or given to another test.
func TestFreeAddressesAreNotSharedWithConnectionsOrOtherProcesses(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		address := Free(t)
		require.False(t, seen[address], "%s was assigned before", address)
		seen[address] = true
		parsed, err := net.ResolveTCPAddr("tcp", address)
		require.NoError(t, err)
		assert.Less(t, parsed.Port, lastPort)
		assert.True(t, parsed.IP.IsLoopback())
		assert.NotEqual(t, "127.0.0.1", parsed.IP.String(), "outgoing connections have this address")
	}
	ips := map[string]bool{}
	for pid := 1; pid < 1<<22; pid += 641 {
		ips[processIP(pid).String()] = true
	}
	assert.Len(t, ips, (1<<22-2)/641+1)
}
