// Package ticket ensures that requests that must not be repeated run at most once. A
// client requests a ticket and sends it with its request, including each resend of
// the request. Only the incarnation of the host that issued the ticket dispatches
// the request, and only once. A resend is answered with the kept response, or with
// an error if the request still runs or its outcome is in doubt.
// docs/design/tickets.md describes the alternatives.
//
// A Ticket carries a MAC of its issuer, so that unused tickets need no memory. Store
// holds the records of used tickets. It has no lock, and the current time is passed
// to its methods; package entry/tickets adds the lock and runs the requests. A
// request is dispatched only if Store.Begin permits it: the ticket is genuine,
// unexpired, unused and not bound to another request, and the store is not sealed. A
// stopping host hands its store over to another host (Handover), and only one of the
// hosts that receive the store may dispatch requests.
package ticket

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Reasons for which a ticket is not accepted.
var (
	// ErrMalformed means that the text is not a ticket.
	ErrMalformed = eris.New("malformed ticket")
	// ErrForged means that the ticket was not issued by this incarnation.
	ErrForged = eris.New("ticket was not issued by this host")
	// ErrExpired means that the ticket has expired and the store has no record of
	// it. The ticket may have been used.
	ErrExpired = eris.New("ticket has expired")
	// ErrOtherRequest means that the ticket is bound to another request.
	ErrOtherRequest = eris.New("ticket is bound to another request")
	// ErrSealed means that the store no longer issues or dispatches tickets.
	ErrSealed = eris.New("host is stopping and has closed its tickets")
)

const (
	// Lifetime is how long a ticket may be used and its outcome is kept.
	// docs/CAPACITY.md states the memory use.
	Lifetime = 10 * time.Minute
	// maxTextBytes is the maximum length of a ticket's text, in bytes. It is checked
	// before the text is decoded.
	maxTextBytes = 256
	// keySize is the length of a key in bytes. It equals the length of the hash, as
	// recommended by RFC 2104.
	keySize = 32
	// macSize is the length of a MAC in bytes. It is half the length of the hash,
	// the minimum recommended by RFC 2104.
	macSize = 16
)

// Key signs the tickets of one incarnation.
type Key []byte

// NewKey returns a random key.
func NewKey() Key {
	k := make(Key, keySize)
	_, _ = rand.Read(k) // never fails (crypto/rand)
	return k
}

// Ticket is the right to have one request run at most once. It is encoded as an array,
// so the order of the fields is part of the wire format.
type Ticket struct {
	// Host is the name of the host that issued the ticket.
	Host string
	// Zone is the zone of that host, for hosts that do not know the host.
	Zone        string
	Incarnation string
	// Sequence is the ticket's number within the incarnation.
	Sequence uint64
	Expiry   int64 // Unix seconds
	// MAC covers all other fields.
	MAC []byte
}

// Parse parses a ticket's text. The error is ErrMalformed without a cause, because
// clients treat tickets as opaque and could not use the cause.
func Parse(text string) (Ticket, error) {
	var t Ticket
	if len(text) > maxTextBytes {
		return t, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || msgpack.Unmarshal(raw, &t) != nil || len(t.MAC) != macSize {
		return t, ErrMalformed
	}
	return t, nil
}

// String returns the ticket's text.
func (t Ticket) String() string {
	var raw bytes.Buffer
	enc := msgpack.NewEncoder(&raw)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(t); err != nil {
		return "" // cannot fail: only strings, numbers and bytes are encoded, into memory
	}
	return base64.RawURLEncoding.EncodeToString(raw.Bytes())
}

// mac returns the MAC of a ticket. It proves that a holder of the key issued the
// ticket.
func (t Ticket) mac(key Key) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(t.Host + "\x00" + t.Zone + "\x00" + t.Incarnation + "\x00"))
	var num [16]byte
	binary.BigEndian.PutUint64(num[:8], t.Sequence)
	binary.BigEndian.PutUint64(num[8:], uint64(t.Expiry))
	h.Write(num[:])
	return h.Sum(nil)[:macSize]
}

// Digest identifies a request, so that a ticket can be used for one request only.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request's service, method, target and body.
func DigestOf(service, method, target string, body []byte) Digest {
	h := sha256.New()
	for _, field := range []string{service, method, target} {
		h.Write([]byte(field + "\x00"))
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}
