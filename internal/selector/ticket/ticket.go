// Package ticket lets requests that may not be repeated run at most once. A
// client asks for a ticket and sends it with its request, also when it sends the
// request again. Only the incarnation of the host that issued the ticket
// dispatches the request, once; a resend gets the kept response, or an error that
// says that the request still runs or that its outcome is in doubt.
// docs/design/tickets.md says what was weighed.
//
// A Ticket carries a MAC of its issuer, so that an unused one costs no memory.
// Store holds the records of the used ones; it has no lock, and its caller passes
// in the time; package entry/tickets has the lock, and runs the requests. A
// request is dispatched only where Store.Begin says so: the ticket is genuine, not
// expired, bound to no other request, not used, and the store is not sealed. A
// stopping host hands its store over to another one (Handover), and only one of
// them may go on dispatching.
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

// Why a ticket is not accepted.
var (
	// ErrMalformed says that the text is no ticket.
	ErrMalformed = eris.New("malformed ticket")
	// ErrForged says that this incarnation never issued the ticket.
	ErrForged = eris.New("ticket was not issued by this host")
	// ErrExpired says that the ticket is past its expiry and no record of it is
	// left: it may have been used.
	ErrExpired = eris.New("ticket has expired")
	// ErrOtherRequest says that the ticket is bound to another request.
	ErrOtherRequest = eris.New("ticket is bound to another request")
	// ErrSealed says that the store neither issues nor dispatches any more.
	ErrSealed = eris.New("host is stopping and has closed its tickets")
)

const (
	// Lifetime is how long a ticket may be used and its outcome is kept: what it
	// costs is in docs/CAPACITY.md.
	Lifetime = 10 * time.Minute
	// maxLength bounds the text of a ticket, in bytes, before it is decoded.
	maxLength = 256
	// keySize is the length of a key in bytes: that of the hash, as RFC 2104
	// advises.
	keySize = 32
	// macSize is the length of a MAC in bytes: half the hash, the least that RFC
	// 2104 advises.
	macSize = 16
)

// Key signs the tickets of one incarnation.
type Key []byte

// NewKey draws a key.
func NewKey() Key {
	k := make(Key, keySize)
	_, _ = rand.Read(k) // never fails (crypto/rand)
	return k
}

// Ticket is the right to have one request run at most once. It is sent as an
// array, so that the order of the fields is its form on the wire.
type Ticket struct {
	// Host issued the ticket.
	Host string
	// Zone is where that host is, for hosts that do not know it.
	Zone        string
	Incarnation string
	// Sequence is the ticket's number within the incarnation.
	Sequence uint64
	Expiry   int64 // Unix seconds
	// MAC is over all other fields.
	MAC []byte
}

// Parse reads a ticket's text. Its error is ErrMalformed without the cause: a
// client copies a ticket and can do nothing with more.
func Parse(text string) (Ticket, error) {
	var t Ticket
	if len(text) > maxLength {
		return t, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || msgpack.Unmarshal(raw, &t) != nil || len(t.MAC) != macSize {
		return t, ErrMalformed
	}
	return t, nil
}

// String gives the ticket's text.
func (t Ticket) String() string {
	var raw bytes.Buffer
	enc := msgpack.NewEncoder(&raw)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(t); err != nil {
		return "" // strings, numbers and bytes into memory: it can't fail
	}
	return base64.RawURLEncoding.EncodeToString(raw.Bytes())
}

// mac gives the MAC of a ticket, which shows that an owner of the key issued it.
func (t Ticket) mac(key Key) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(t.Host + "\x00" + t.Zone + "\x00" + t.Incarnation + "\x00"))
	var num [16]byte
	binary.BigEndian.PutUint64(num[:8], t.Sequence)
	binary.BigEndian.PutUint64(num[8:], uint64(t.Expiry))
	h.Write(num[:])
	return h.Sum(nil)[:macSize]
}

// Digest identifies a request, so that a ticket serves one request only.
type Digest [sha256.Size]byte

// DigestOf gives the digest of a request's service, method, target and body.
func DigestOf(service, method, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{service, method, target} {
		h.Write([]byte(part + "\x00"))
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}
