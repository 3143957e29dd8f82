package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mode is how a proxy treats its connections.
type mode int

const (
	pass    mode = iota
	silence      // nothing passes, and nothing is closed
	oneWay       // only what the dialling side sends passes
	refuse       // connections are reset
	delay        // everything passes late
)

const delayBy = 150 * time.Millisecond

// proxy is a link between two programs that can be harmed.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.set(refuse)
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the link's state. What a silence held up is lost with its
// connections when it ends.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.mode
	p.mode = m
	if m != refuse && was != silence && was != oneWay {
		return
	}
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.conns = map[net.Conn]struct{}{}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == refuse {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.keep(c) {
			go p.join(c)
		}
	}
}

func (p *proxy) join(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil || !p.keep(far) {
		p.drop(near)
		return
	}
	go p.copy(far, near, true)
	p.copy(near, far, false)
}

// copy passes bytes on; forth says that they come from the dialling side.
func (p *proxy) copy(to, from net.Conn, forth bool) {
	defer p.drop(to)
	defer p.drop(from)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := p.now(); {
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
			if c, ok := to.(*net.TCPConn); ok && err == io.EOF && p.now() == pass {
				_ = c.CloseWrite()
			}
			return
		}
	}
}
