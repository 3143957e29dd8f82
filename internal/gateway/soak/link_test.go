package soak

import (
	"io"
	"net"
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

// delayBy is how late a link with delay passes each piece on. Chosen, not
// measured: well below the hosts' timeouts.
const delayBy = 150 * time.Millisecond

// link is a TCP link with faults between two programs: a listener that connects
// to a target.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
	conns map[*net.TCPConn]struct{}
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{listener: l, target: target, conns: map[*net.TCPConn]struct{}{}}
	t.Cleanup(func() {
		_ = l.Close()
		k.set(refuse)
	})
	go k.accept()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

// set changes the link's mode. What a silence held up is lost with its
// connections when it ends.
func (k *link) set(m linkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	was := k.mode
	k.mode = m
	if m != refuse && was != silence && was != oneWay {
		return
	}
	for c := range k.conns {
		resetConn(c)
	}
	clear(k.conns)
}

// resetConn closes a connection with a reset. Errors mean that it has ended.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (k *link) currentMode() linkMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode
}

// keep adds a connection, or resets it if the link refuses connections.
func (k *link) keep(c *net.TCPConn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == refuse {
		resetConn(c)
		return false
	}
	k.conns[c] = struct{}{}
	return true
}

func (k *link) drop(c *net.TCPConn) {
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
	_ = c.Close()
}

// accept serves connections until the listener is closed.
func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if near := c.(*net.TCPConn); k.keep(near) {
			go k.join(near)
		}
	}
}

// join connects an accepted connection to the target.
func (k *link) join(near *net.TCPConn) {
	c, err := net.Dial("tcp", k.target)
	if err != nil {
		k.drop(near)
		return
	}
	far := c.(*net.TCPConn)
	if !k.keep(far) {
		k.drop(near)
		return
	}
	go k.copy(far, near, true)
	k.copy(near, far, false)
}

// copy passes bytes on until either side ends; forth is set if they come from
// the dialling side.
func (k *link) copy(to, from *net.TCPConn, forth bool) {
	defer k.drop(to)
	defer k.drop(from)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := k.currentMode(); {
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
			if err == io.EOF && k.currentMode() == pass {
				_ = to.CloseWrite()
			}
			return
		}
	}
}
