package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// maxFrame is the largest frame in bytes, without its length. A larger one is
// not sent, and closes the connection if received.
const maxFrame = 1 << 20

// errFrame reports that a peer sent an invalid frame.
var errFrame = eris.New("bad frame")

// frameType is on the wire.
type frameType uint8

const (
	// frameHello is the first frame each way; Data is a Hello.
	frameHello frameType = iota + 1
	// frameOpen opens a stream with a request: Kind, Data.
	frameOpen
	// frameReply is a stream's one response: Data.
	frameReply
	// frameBody is a part of the body: Data, and Offset, where it begins.
	frameBody
	// frameEnd ends the body; Offset is its length.
	frameEnd
	// frameFail ends the stream without a response or with half a body.
	frameFail
	// frameCancel reports that the opener no longer reads the stream.
	frameCancel
	// frameCredit permits Offset more bytes of body.
	frameCredit
	// framePing asks for a framePong at once. Both are of no stream.
	framePing
	framePong
	// frameGoAway reports that of the streams that the peer opened, none above ID
	// is or will be served. Only the accepting end sends it, to peers whose Hello
	// says that they know it.
	frameGoAway
)

// frame is the unit on the wire, an array of its fields in this order.
type frame struct {
	Type frameType
	// ID is the stream's. Each end numbers the streams that it opens upwards
	// from 1; a frame's type says whose stream it is.
	ID     uint64
	Kind   Kind
	Offset int64
	Data   []byte
}

// appendFrame appends a frame with its length to a buffer.
func appendFrame(buf []byte, f *frame) ([]byte, error) {
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(f); err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if body.Len() > maxFrame {
		return nil, eris.Wrapf(errFrame, "%d bytes are too many", body.Len())
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(body.Len()))
	return append(buf, body.Bytes()...), nil
}

func readFrame(r *bufio.Reader) (frame, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n == 0 || n > maxFrame {
		return frame{}, eris.Wrapf(errFrame, "length %d", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return frame{}, err
	}
	return decodeFrame(body)
}

func decodeFrame(body []byte) (frame, error) {
	var f frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return f, eris.Wrap(errFrame, err.Error())
	}
	if f.Type < frameHello || f.Type > frameGoAway {
		return f, eris.Wrapf(errFrame, "type %d", f.Type)
	}
	if f.Offset < 0 {
		return f, eris.Wrapf(errFrame, "offset %d", f.Offset)
	}
	return f, nil
}
