package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// maxFrame is the maximum size of a frame in bytes, without its length prefix.
// A larger frame is not sent, and closes the connection if it is received.
const maxFrame = 1 << 20

// maxHelloFrame is the maximum size of the first frame, whose sender is not known yet. A Hello has
// about 100 bytes.
const maxHelloFrame = 4 << 10

// errInvalidFrame reports that a peer sent an invalid frame.
var errInvalidFrame = eris.New("invalid frame")

// frameType is the type of a frame. Its values are part of the peer protocol.
type frameType uint8

const (
	// frameHello is the first frame in each direction. Data is a Hello.
	frameHello frameType = iota + 1
	// frameOpen opens a stream with a request in Kind and Data. Offset is the opener's deadline
	// by the clock of the peer, or zero.
	frameOpen
	// frameReply carries the only response of a stream in Data.
	frameReply
	// frameBody carries a chunk of the body in Data. Offset is the position of
	// the chunk in the body.
	frameBody
	// frameEnd ends the body. Offset is the total length of the body.
	frameEnd
	// frameFail ends the stream without a response or with an incomplete body.
	frameFail
	// frameCancel reports that the opener no longer reads the stream.
	frameCancel
	// frameCredit permits the peer to send Offset more bytes of the body.
	frameCredit
	// framePing requests a framePong at once. Neither belongs to a stream. Offset of a pong is
	// the reading of the sender's clock; hosts of an older version send zero.
	framePing
	framePong
	// frameGoAway reports that, of the streams opened by the peer, none with an
	// ID above this ID is or will be served. Only the accepting end sends it,
	// and only to peers whose Hello announces support for it.
	frameGoAway
)

// frame is the unit of the peer protocol. It is encoded as an array of its
// fields in this order.
type frame struct {
	Type frameType
	// ID is the ID of the stream. Each end numbers the streams that it opens in
	// ascending order from 1. The type of a frame shows which end opened the
	// stream.
	ID     uint64
	Kind   Kind
	Offset int64
	Data   []byte
}

// appendFrame appends the length prefix and the encoded frame to buf. It fails
// if the frame is larger than maxFrame.
func appendFrame(buf []byte, f *frame) ([]byte, error) {
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(f); err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if body.Len() > maxFrame {
		return nil, eris.Wrapf(errInvalidFrame, "%d bytes exceed the maximum frame size", body.Len())
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(body.Len()))
	return append(buf, body.Bytes()...), nil
}

// readFrame reads and decodes one frame.
func readFrame(r *bufio.Reader) (frame, error) { return readFrameOf(r, maxFrame) }

// readFrameOf is readFrame for a frame of at most limit bytes.
func readFrameOf(r *bufio.Reader, limit uint32) (frame, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n == 0 || n > limit {
		return frame{}, eris.Wrapf(errInvalidFrame, "length %d, the limit is %d bytes", n, limit)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return frame{}, err
	}
	return decodeFrame(body)
}

// decodeFrame decodes a frame without its length prefix and validates it.
func decodeFrame(body []byte) (frame, error) {
	var f frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return f, eris.Wrap(errInvalidFrame, err.Error())
	}
	if f.Type < frameHello || f.Type > frameGoAway {
		return f, eris.Wrapf(errInvalidFrame, "type %d", f.Type)
	}
	if f.Offset < 0 {
		return f, eris.Wrapf(errInvalidFrame, "offset %d", f.Offset)
	}
	return f, nil
}
