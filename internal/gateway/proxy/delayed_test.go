package proxy_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/indirect"
	"cairndock/internal/gateway/route"
)

// delayedLink forwards connections to a target. While it is held, bytes and the ends of
// connections wait, as at a host whose process stands still.
type delayedLink struct {
	listener net.Listener
	// held is locked while the link is held, and read-locked while bytes are forwarded.
	held sync.RWMutex
}

func newDelayedLink(t *testing.T, target string) *delayedLink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	k := &delayedLink{listener: l}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go k.forward(near, far)
			go k.forward(far, near)
		}
	}()
	return k
}

func (k *delayedLink) forward(from, to net.Conn) {
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		k.held.RLock()
		if n > 0 {
			_, _ = to.Write(buf[:n]) // an error ends the other direction
		}
		if err != nil {
			_ = to.Close()
		}
		k.held.RUnlock()
		if err != nil {
			return
		}
	}
}

// through returns a host as one that is reached over the link.
func (k *delayedLink) through(h indirect.Host) indirect.Host {
	h.Address = k.listener.Addr().String()
	return h
}

// A host that stood still got a request of another host seconds later, after the client had
// got 504, and sent it to an upstream, with as much time left as when it was sent.
func TestARequestThatReachesAnotherHostTooLateDoesNotRun(t *testing.T) {
	isolated, other, requests := newIsolated(t, testRoute(route.Once), healthy)
	h := other.host("other")
	link := newDelayedLink(t, h.Address)
	isolated.peers.set(link.through(h))
	require.Equal(t, http.StatusOK, isolated.getKey(1))
	require.EqualValues(t, 1, requests.Load())

	link.held.Lock()
	require.Equal(t, http.StatusGatewayTimeout, isolated.getKey(2))
	time.Sleep(100 * time.Millisecond)
	link.held.Unlock()

	require.Equal(t, http.StatusOK, isolated.getKey(3), "the link works again")
	require.Eventually(t, func() bool { return other.log.has(`"request":"2","direction":"received-from"`) }, time.Second, time.Millisecond)
	require.EqualValues(t, 2, requests.Load(), "requests 1 and 3")
	require.True(t, other.log.has(`"detail":"no time left"`))
}
