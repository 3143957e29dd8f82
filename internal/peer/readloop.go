package peer

import (
	"bufio"
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// Handler serves the streams that peers open.
type Handler interface {
	// ServePeer serves one stream, concurrently with others. It sends at most
	// one response and ends the stream with Responder.End, Send or Fail. If it
	// returns without ending the stream, the opener waits until its own
	// timeout. The context ends when the peer cancels the stream or the
	// connection breaks.
	ServePeer(ctx context.Context, from Hello, kind Kind, payload []byte, w *Responder)
}

// readLoop reads frames until the connection breaks or a frame is invalid.
func (c *conn) readLoop(ctx context.Context, reader *bufio.Reader) {
	defer c.wg.Done()
	for {
		f, err := readFrame(reader)
		if err == nil {
			err = c.receive(ctx, f)
		}
		if err != nil {
			if errors.Is(err, errInvalidFrame) {
				c.badInput(c.source(), err)
			}
			c.fail(err)
			return
		}
	}
}

// source names the peer and its address in log lines.
func (c *conn) source() string { return c.remote.Host + " at " + c.net.RemoteAddr().String() }

// receive dispatches a frame to its stream. A frame for a stream that has
// already ended at this end is ignored.
func (c *conn) receive(ctx context.Context, f frame) error {
	switch f.Type {
	case frameOpen:
		c.serve(ctx, f)
	case frameReply, frameBody, frameEnd, frameFail:
		c.mu.Lock()
		s := c.streams[f.ID]
		c.mu.Unlock()
		if s != nil {
			s.receive(f)
		}
	case frameCancel, frameCredit:
		c.mu.Lock()
		r := c.serving[f.ID]
		c.mu.Unlock()
		if r != nil {
			r.receive(f)
		}
	case framePing:
		c.pong()
	case framePong:
		c.observeClock(f.Offset)
	case frameGoAway:
		if c.keepAlive.role != dialed {
			return eris.Wrap(errInvalidFrame, "go-away frame from the dialing end")
		}
		c.handleGoAway(f.ID)
	default:
		return eris.Wrapf(errInvalidFrame, "unexpected frame type %d", f.Type)
	}
	return nil
}

// serve starts the handler for a stream that the peer opened. An open frame
// whose ID is not above all earlier IDs is a repetition and is ignored. An open
// frame after goAway is ignored too, because the peer learns from the go-away
// frame that the stream did not run.
func (c *conn) serve(ctx context.Context, f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || c.goingAway || f.ID <= c.lastPeerID {
		return
	}
	c.lastPeerID = f.ID
	if len(c.serving) >= maxServing || c.servingBytes+len(f.Data) > maxServingBytes {
		c.refuse(f.ID)
		return
	}
	r := newResponder(ctx, c, f.ID)
	if f.Offset > 0 && f.Offset <= maxReading {
		r.deadline = hostClock.timeAt(f.Offset)
	}
	c.serving[f.ID] = r
	c.servingBytes += len(f.Data)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer c.finish(r, len(f.Data))
		c.handler.ServePeer(r.ctx, c.remote, f.Kind, f.Data, r)
	}()
}

// finish ends a stream that the peer opened, whose request had the given size.
func (c *conn) finish(r *Responder, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.cancel()
	delete(c.serving, r.id)
	c.servingBytes -= size
}
