// Package peer carries requests and control messages between entry hosts:
// framed msgpack over TCP, many streams on one connection.
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the largest frame in bytes. A larger one closes its connection.
const MaxFrame = 1 << 20

// Version is the protocol version that both ends of a connection must name.
const Version = "cairndock/1"

// Kind says what a stream asks for.
type Kind uint8

// The kinds of stream.
const (
	// KindForward asks for a request to be admitted to an upstream.
	KindForward Kind = iota + 1
	// KindTicket asks a ticket's minter to serve it.
	KindTicket
	// KindHeartbeat exchanges liveness, revisions and free slots.
	KindHeartbeat
	// KindRoster asks for the zone's roster.
	KindRoster
	// KindChanges asks for configuration changes after a revision.
	KindChanges
	// KindPush brings a new configuration change.
	KindPush
	// KindConfirm asks whether a zone has a revision in force.
	KindConfirm
	// KindHandover gives a leaving host's tickets to another.
	KindHandover
	// KindLend asks for a part of a link.
	KindLend
	// KindDrain asks what is still outstanding at leaving upstreams.
	KindDrain
)

type frameType uint8

const (
	frameHello  frameType = iota + 1
	frameOpen             // starts a stream: Kind, Data
	frameReply            // the stream's one reply: Data
	frameBody             // a part of the body: Data, Offset
	frameEnd              // the body's end: Offset is its total length
	frameFail             // the stream broke off after its reply
	frameCancel           // the opener no longer wants the stream
	frameCredit           // Offset more bytes of body may be sent
)

// frame is the unit on the wire. A stream's ID is never used again on its
// connection.
type frame struct {
	Type   frameType
	ID     uint64
	Kind   Kind
	Offset int64
	Data   []byte
}

// Hello is the first message in each direction of a connection.
type Hello struct {
	Version     string `msgpack:"v"`
	Host        string `msgpack:"h"`
	Zone        string `msgpack:"z"`
	Incarnation string `msgpack:"i"`
}

// ErrFrame says that a peer sent what is no valid frame.
var ErrFrame = eris.New("bad frame")

func appendFrame(buf []byte, f *frame) ([]byte, error) {
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(f); err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if body.Len() > MaxFrame {
		return nil, eris.Wrapf(ErrFrame, "%d bytes are too many", body.Len())
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(body.Len()))
	return append(buf, body.Bytes()...), nil
}

func readFrame(r *bufio.Reader) (frame, error) {
	var f frame
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n == 0 || n > MaxFrame {
		return f, eris.Wrapf(ErrFrame, "length %d", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return f, err
	}
	return decodeFrame(body)
}

func decodeFrame(body []byte) (frame, error) {
	var f frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return f, eris.Wrap(ErrFrame, err.Error())
	}
	if f.Type < frameHello || f.Type > frameCredit {
		return f, eris.Wrapf(ErrFrame, "type %d", f.Type)
	}
	if f.Offset < 0 {
		return f, eris.Wrapf(ErrFrame, "offset %d", f.Offset)
	}
	return f, nil
}

// Encode writes a message's payload.
func Encode(v any) ([]byte, error) {
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return body.Bytes(), eris.Wrap(err, "encode message")
}

// Decode reads a message's payload.
func Decode[T any](b []byte) (T, error) {
	var v T
	err := msgpack.Unmarshal(b, &v)
	return v, eris.Wrap(err, "decode message")
}
