package peer

import (
	"bufio"
	"context"

	"github.com/rotisserie/eris"
)

// Handler serves the streams that peers open.
type Handler interface {
	// ServePeer serves one stream, concurrently with others. It sends one
	// response at most and ends the stream by Responder.End, Send or Fail; if it
	// returns without, the peer waits until its own time is up. The context ends
	// when the peer cancels the stream or the connection breaks.
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
			c.fail(err)
			return
		}
	}
}

// receive passes a frame to its stream. A frame of a stream that has ended here
// came late and is dropped.
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
	case framePong: // that it came was noted
	case frameGoAway:
		if c.keepAlive.role != dialed {
			return eris.Wrap(errFrame, "go-away from the end that dialed")
		}
		c.peerGoesAway(f.ID)
	default:
		return eris.Wrapf(errFrame, "type %d out of place", f.Type)
	}
	return nil
}

// serve starts the handler for a stream that the peer opened. An ID that is not
// above all earlier ones is of a repeated frame, which is dropped. So is one that
// comes after goAway, which says so to the peer.
func (c *conn) serve(ctx context.Context, f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil || c.goingAway || f.ID <= c.lastPeerID {
		return
	}
	c.lastPeerID = f.ID
	r := newResponder(ctx, c, f.ID)
	c.serving[f.ID] = r
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer c.finish(r)
		c.handler.ServePeer(r.ctx, c.remote, f.Kind, f.Data, r)
	}()
}

// finish ends a stream that the peer opened.
func (c *conn) finish(r *Responder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.cancel()
	delete(c.serving, r.id)
}
