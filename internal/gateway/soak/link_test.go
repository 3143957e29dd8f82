package soak

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkMode is how a link treats its connections.
type linkMode int

const (
	// pass forwards everything.
	pass linkMode = iota
	// silence forwards nothing and closes no connection.
	silence
	// oneWay forwards only the bytes of the dialing side.
	oneWay
	// refuse resets connections.
	refuse
	// delay forwards everything after linkDelay.
	delay
	// hold forwards nothing until the mode ends, and then everything. What exceeds the
	// window of the link waits in the kernel of the sender.
	hold
)

// linkDelay is the delay of each piece on a link in mode delay. It is well below the
// hosts' timeouts.
const linkDelay = 150 * time.Millisecond

// holdPollInterval is how often a connection on a link in mode hold checks whether it ended.
const holdPollInterval = 5 * time.Millisecond

// link is a TCP proxy with faults: a listener that connects to a target.
type link struct {
	listener net.Listener
	target   string
	// window is the receive buffer of accepted connections in bytes; zero for the default
	// of the system.
	window atomic.Int32

	mu   sync.Mutex
	mode linkMode
	// modes are the modes of connections from some source addresses, which precede mode.
	modes map[string]linkMode
	// sources has the source address of the connection that each side belongs to.
	sources map[*net.TCPConn]string
	// conns holds both sides of each open connection. The value is true if the
	// connection is permanently silent.
	conns map[*net.TCPConn]bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{listener: l, target: target, conns: map[*net.TCPConn]bool{}, modes: map[string]linkMode{}, sources: map[*net.TCPConn]string{}}
	t.Cleanup(k.close)
	go k.accept()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

// close closes the link and resets its connections.
func (k *link) close() {
	_ = k.listener.Close() // the test is over
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = refuse
	for c := range k.conns {
		resetConn(c)
	}
	clear(k.conns)
}

// set changes the link's mode. Bytes held back by mode silence or oneWay are lost,
// because the connections are reset when the mode ends. Permanently silent connections
// stay silent.
func (k *link) set(m linkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	previous := k.mode
	k.mode = m
	if m != refuse && previous != silence && previous != oneWay {
		return
	}
	for c, silent := range k.conns {
		if !silent {
			resetConn(c)
			delete(k.conns, c)
		}
	}
}

// setFor changes the mode of connections from a source address. The mode of the link applies
// to them while theirs is pass. As with set, bytes that were held back are lost.
func (k *link) setFor(source string, m linkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	previous := k.modes[source]
	if m == previous {
		return
	}
	k.modes[source] = m
	if m != refuse && previous != silence {
		return
	}
	for c, silent := range k.conns {
		if !silent && k.sources[c] == source {
			resetConn(c)
			delete(k.conns, c)
		}
	}
}

// silenceOpenConns makes the open connections permanently silent: no bytes pass, and
// neither side is notified when the other one closes. New connections are not affected.
// It returns the number of silenced sides.
func (k *link) silenceOpenConns() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for c, silent := range k.conns {
		if !silent {
			k.conns[c] = true
			n++
		}
	}
	return n
}

// resetConn closes a connection with a reset. Errors are ignored, because they mean that
// the connection has ended.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// modeOf returns how a connection is treated, by one of its sides.
func (k *link) modeOf(c *net.TCPConn) linkMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conns[c] {
		return silence
	}
	if m := k.modes[k.sources[c]]; m != pass {
		return m
	}
	return k.mode
}

// add adds a side of a connection, or resets it if the link refuses connections. The
// side is silent if the other side is. For the first side, other is nil.
func (k *link) add(c, other *net.TCPConn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == refuse || k.modes[sourceOf(c)] == refuse {
		resetConn(c)
		return false
	}
	k.conns[c] = k.conns[other]
	k.sources[c] = sourceOf(c)
	if other != nil {
		k.sources[c] = k.sources[other]
	}
	return true
}

// sourceOf returns the IP address at the other end of a connection.
func sourceOf(c *net.TCPConn) string {
	address, _, _ := net.SplitHostPort(c.RemoteAddr().String()) // empty if it is malformed
	return address
}

// drop closes a side, and also the other side unless the connection is silent.
func (k *link) drop(c, other *net.TCPConn) {
	k.mu.Lock()
	silent := k.conns[c]
	delete(k.conns, c)
	delete(k.sources, c)
	if !silent {
		delete(k.conns, other)
	}
	k.mu.Unlock()
	_ = c.Close()
	if !silent && other != nil {
		_ = other.Close()
	}
}

// accept serves connections until the listener is closed.
func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		near := c.(*net.TCPConn)
		if n := k.window.Load(); n > 0 {
			_ = near.SetReadBuffer(int(n)) // an error means that the connection has ended
		}
		if k.add(near, nil) {
			go k.connect(near)
		}
	}
}

// connect connects an accepted connection to the target.
func (k *link) connect(near *net.TCPConn) {
	c, err := net.Dial("tcp", k.target)
	if err != nil {
		k.drop(near, nil)
		return
	}
	far := c.(*net.TCPConn)
	if !k.add(far, near) {
		k.drop(near, nil)
		return
	}
	go k.copy(far, near, true)
	k.copy(near, far, false)
}

// copy forwards bytes until either side ends. The parameter fromDialer is set if from is
// the dialing side.
func (k *link) copy(to, from *net.TCPConn, fromDialer bool) {
	defer k.drop(from, to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for k.modeOf(from) == hold {
			time.Sleep(holdPollInterval)
		}
		if n > 0 {
			switch m := k.modeOf(from); {
			case m == silence, m == oneWay && !fromDialer:
				continue
			case m == delay:
				time.Sleep(linkDelay)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && k.modeOf(from) == pass {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

func TestALinkSilencesOnlyConnectionsThatAreOpen(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	k := newLink(t, target.Addr().String())
	open := func() (near, far net.Conn) {
		near, err := net.Dial("tcp", k.address())
		require.NoError(t, err)
		far, err = target.Accept()
		require.NoError(t, err)
		return near, far
	}
	passes := func(from, to net.Conn) bool {
		_, err := from.Write([]byte{'x'})
		require.NoError(t, err)
		require.NoError(t, to.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		_, err = to.Read(make([]byte, 1))
		if err != nil {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a silent connection is not closed")
		}
		return err == nil
	}
	near, far := open()
	require.True(t, passes(near, far))
	require.Equal(t, 2, k.silenceOpenConns())
	require.False(t, passes(near, far))
	require.False(t, passes(far, near))
	k.set(refuse)
	k.set(pass)
	require.False(t, passes(near, far), "the connection stays silent")
	require.NoError(t, near.Close())
	require.False(t, passes(far, far), "the other side is not notified of the close")

	near, far = open()
	require.True(t, passes(near, far))
	require.True(t, passes(far, near))
	require.NoError(t, near.Close())
	_, err = far.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
