package peer

import (
	"bufio"
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// protocolVersion must be the same at both ends of a connection.
	protocolVersion = "cairndock/1"
	// handshakeTimeout limits the exchange of Hellos.
	handshakeTimeout = 3 * time.Second
)

// Hello is the first message in each direction of a connection. It identifies
// the sender.
type Hello struct {
	// Version is set by this package.
	Version     string `msgpack:"v"`
	Host        string `msgpack:"h"`
	Zone        string `msgpack:"z"`
	Incarnation string `msgpack:"i"`
	// KeepAlive reports whether the sender responds to pings. This package sets
	// it. Hosts of an older version do not send it.
	KeepAlive bool `msgpack:"k,omitempty"`
	// GoAway reports whether the sender understands a go-away frame. This
	// package sets it. Hosts of an older version do not send it.
	GoAway bool `msgpack:"g,omitempty"`
	// Clock is the reading of the sender's clock. This package sets it. Hosts of an older
	// version do not send it.
	Clock int64 `msgpack:"c,omitempty"`
}

// handshake exchanges Hellos and sets c.remote. It sends its own Hello while it
// reads that of the peer, because both ends send first and a write may block
// until the peer reads.
func (c *conn) handshake(ctx context.Context, self Hello, reader *bufio.Reader) error {
	if err := c.net.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	// The request that waits for the connection may have less time than the
	// handshake.
	stop := context.AfterFunc(ctx, func() { _ = c.net.Close() })
	defer stop()
	self.Version, self.KeepAlive, self.GoAway = protocolVersion, true, true
	self.Clock = hostClock.reading(time.Now())
	hello, err := Encode(self)
	if err != nil {
		return err
	}
	sent := make(chan error, 1)
	go func() { sent <- c.write(&frame{Type: frameHello, Data: hello}) }()
	f, err := readFrameOf(reader, maxHelloFrame)
	if err != nil {
		return err
	}
	if err := <-sent; err != nil {
		return err
	}
	if f.Type != frameHello {
		return eris.Wrap(errInvalidFrame, "no hello")
	}
	if c.remote, err = Decode[Hello](f.Data); err != nil {
		return err
	}
	if c.remote.Version != protocolVersion {
		return eris.Wrapf(errInvalidFrame, "version %q", c.remote.Version)
	}
	c.observeClock(c.remote.Clock)
	if !stop() { // the connection is being closed
		return context.Cause(ctx)
	}
	return c.net.SetDeadline(time.Time{})
}
