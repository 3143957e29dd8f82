package soak

import (
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkMode is how a link treats its connections.
type linkMode int

const (
	// pass is a sound link.
	pass linkMode = iota
	// silence passes nothing on and closes nothing.
	silence
	// oneWay passes on only what the dialling side sends.
	oneWay
	// refuse resets connections.
	refuse
	// delay passes everything on after delayBy.
	delay
)

// delayBy is how late a link with delay passes each piece on: well below
// the hosts' timeouts.
const delayBy = 150 * time.Millisecond

// link is a TCP link with faults between two programs: a listener that connects
// to a target.
type link struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	mode linkMode
	// conns are the sides of open connections; true are those of one that is
	// silent for good.
	conns map[*net.TCPConn]bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{listener: l, target: target, conns: map[*net.TCPConn]bool{}}
	t.Cleanup(k.close)
	go k.accept()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

// close ends the link and all its connections.
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

// set changes the link's mode. What a silence held up is lost with its
// connections when it ends; connections that are silent for good stay so.
func (k *link) set(m linkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	was := k.mode
	k.mode = m
	if m != refuse && was != silence && was != oneWay {
		return
	}
	for c, silent := range k.conns {
		if !silent {
			resetConn(c)
			delete(k.conns, c)
		}
	}
}

// silenceOpen makes the open connections silent for good: nothing passes on them
// any more, nor does either side hear that the other closed. New ones are sound.
// It gives how many sides it silenced.
func (k *link) silenceOpen() int {
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

// resetConn closes a connection with a reset. Errors mean that it has ended.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// modeOf gives how a connection is treated, by one of its sides.
func (k *link) modeOf(c *net.TCPConn) linkMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conns[c] {
		return silence
	}
	return k.mode
}

// keep adds a side of a connection, or resets it if the link refuses connections.
// It is silent if the other side is, which is nil for the first one.
func (k *link) keep(c, other *net.TCPConn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == refuse {
		resetConn(c)
		return false
	}
	k.conns[c] = k.conns[other]
	return true
}

// drop closes a side, and the other one with it unless they are silent.
func (k *link) drop(c, other *net.TCPConn) {
	k.mu.Lock()
	silent := k.conns[c]
	delete(k.conns, c)
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
		if near := c.(*net.TCPConn); k.keep(near, nil) {
			go k.join(near)
		}
	}
}

// join connects an accepted connection to the target.
func (k *link) join(near *net.TCPConn) {
	c, err := net.Dial("tcp", k.target)
	if err != nil {
		k.drop(near, nil)
		return
	}
	far := c.(*net.TCPConn)
	if !k.keep(far, near) {
		k.drop(near, nil)
		return
	}
	go k.copy(far, near, true)
	k.copy(near, far, false)
}

// copy passes bytes on until either side ends; forth is set if they come from
// the dialling side.
func (k *link) copy(to, from *net.TCPConn, forth bool) {
	defer k.drop(from, to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := k.modeOf(from); {
			case m == silence, m == oneWay && !forth:
				continue
			case m == delay:
				time.Sleep(delayBy)
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
	require.Equal(t, 2, k.silenceOpen())
	require.False(t, passes(near, far))
	require.False(t, passes(far, near))
	k.set(refuse)
	k.set(pass)
	require.False(t, passes(near, far), "it stays silent")
	require.NoError(t, near.Close())
	require.False(t, passes(far, far), "nobody hears of the close")

	near, far = open()
	require.True(t, passes(near, far))
	require.True(t, passes(far, near))
	require.NoError(t, near.Close())
	_, err = far.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
