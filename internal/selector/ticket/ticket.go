// Package ticket makes requests that may not be repeated run at most once:
// a ticket is minted in memory, bound to the first request that uses it, and
// dispatched by its own minter only, once.
package ticket

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// The outcomes of looking at a ticket that callers are told apart.
var (
	// ErrMalformed says that the text is no ticket.
	ErrMalformed = eris.New("malformed ticket")
	// ErrForged says that this incarnation never minted the ticket.
	ErrForged = eris.New("ticket was not minted here")
	// ErrExpired says that the ticket can't be used any more.
	ErrExpired = eris.New("ticket has expired")
	// ErrOther says that the ticket is bound to another request.
	ErrOther = eris.New("ticket is bound to another request")
	// ErrSealed says that the store no longer dispatches.
	ErrSealed = eris.New("tickets are closed here")
)

const (
	// Lifetime is how long a ticket may be used and its outcome is kept.
	Lifetime = 10 * time.Minute
	// MaxLength bounds the text of a ticket.
	MaxLength = 256
	// MaxKept bounds the body of a kept answer; of a larger one only the
	// verdict is kept.
	MaxKept = 64 << 10
	keySize = 32
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

// Ticket is the right to have one request run at most once.
type Ticket struct {
	Host string
	// Zone is where the host is, for hosts that do not know it.
	Zone        string
	Incarnation string
	Sequence    uint64
	Expiry      int64 // Unix seconds
	MAC         []byte
}

// Parse reads a ticket's text.
func Parse(text string) (Ticket, error) {
	var t Ticket
	if len(text) > MaxLength {
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
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw.Bytes())
}

// mac proves that the holder of the key minted the ticket; nobody else can
// guess it.
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

// Phase is how far a ticket's request has come.
type Phase uint8

const (
	// Running requests were dispatched and have no outcome yet.
	Running Phase = iota + 1
	// Answered requests have an answer.
	Answered
	// Doubtful requests may have run and will never be known better.
	Doubtful
)

// Outcome is a kept answer.
type Outcome struct {
	Status   int         `msgpack:"s"`
	Header   http.Header `msgpack:"h"`
	Body     []byte      `msgpack:"b"`
	Upstream string      `msgpack:"u"`
	// Partial says that the body was too large to keep.
	Partial bool `msgpack:"p"`
}

// Record is what is known of a used ticket.
type Record struct {
	Digest  Digest  `msgpack:"d"`
	Phase   Phase   `msgpack:"p"`
	Outcome Outcome `msgpack:"o"`
	Expiry  int64   `msgpack:"e"`
}

// Store is the tickets of one incarnation. It is a plain state; the caller
// brings locks and time.
type Store struct {
	host        string
	zone        string
	incarnation string
	key         Key
	sequence    uint64
	records     map[uint64]Record
	// sealed stores answer from their records and dispatch nothing.
	sealed  bool
	sweptAt time.Time
}

// NewStore makes an empty store.
func NewStore(host, zone, incarnation string, key Key) *Store {
	return &Store{host: host, zone: zone, incarnation: incarnation, key: key, records: map[uint64]Record{}}
}

// Mint makes a ticket. Nothing is kept until it is used.
func (s *Store) Mint(now time.Time) (Ticket, error) {
	if s.sealed {
		return Ticket{}, ErrSealed
	}
	s.sequence++
	t := Ticket{Host: s.host, Zone: s.zone, Incarnation: s.incarnation, Sequence: s.sequence, Expiry: now.Add(Lifetime).Unix()}
	t.MAC = t.mac(s.key)
	return t, nil
}

// Begin asks to dispatch a ticket's request. With dispatch true the caller
// has to dispatch it and must then call Finish or Abandon. Else the record
// says what became of it.
func (s *Store) Begin(t Ticket, d Digest, now time.Time) (rec Record, dispatch bool, err error) {
	if t.Incarnation != s.incarnation || !hmac.Equal(t.MAC, t.mac(s.key)) {
		return Record{}, false, ErrForged
	}
	s.sweep(now)
	rec, used := s.records[t.Sequence]
	switch {
	case used && rec.Digest != d:
		return Record{}, false, ErrOther
	case used:
		return rec, false, nil
	case now.Unix() >= t.Expiry:
		return Record{}, false, ErrExpired
	case s.sealed:
		return Record{}, false, ErrSealed
	}
	rec = Record{Digest: d, Phase: Running, Expiry: t.Expiry}
	s.records[t.Sequence] = rec
	return rec, true, nil
}

// Finish keeps the answer of a dispatched request.
func (s *Store) Finish(t Ticket, o Outcome) {
	rec := s.records[t.Sequence]
	if len(o.Body) > MaxKept {
		o.Body, o.Partial = nil, true
	}
	rec.Phase, rec.Outcome = Answered, o
	s.records[t.Sequence] = rec
}

// Abandon ends a dispatched request that has no answer. One that provably
// did not run leaves the ticket usable, for the same request.
func (s *Store) Abandon(t Ticket, notRun bool) {
	if notRun {
		delete(s.records, t.Sequence)
		return
	}
	rec := s.records[t.Sequence]
	rec.Phase = Doubtful
	s.records[t.Sequence] = rec
}

// sweep forgets records past their expiry, once a minute at most. A ticket
// past its expiry is never dispatched, so that forgetting it is safe.
func (s *Store) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < time.Minute {
		return
	}
	s.sweptAt = now
	for seq, rec := range s.records {
		// A minute more, since a resend may be on its way.
		if rec.Phase != Running && now.Unix() > rec.Expiry+60 {
			delete(s.records, seq)
		}
	}
}

// Len is how many used tickets are kept.
func (s *Store) Len() int { return len(s.records) }

// Running is how many dispatched requests have no outcome yet.
func (s *Store) Running() int {
	n := 0
	for _, r := range s.records {
		if r.Phase == Running {
			n++
		}
	}
	return n
}

// Handover is a store on its way to another host.
type Handover struct {
	Host        string            `msgpack:"h"`
	Zone        string            `msgpack:"z"`
	Incarnation string            `msgpack:"i"`
	Key         []byte            `msgpack:"k"`
	Records     map[uint64]Record `msgpack:"r"`
	// Sealed says that another host may already hold the same tickets, so
	// that this copy must dispatch nothing.
	Sealed bool `msgpack:"s"`
}

// Seal ends minting and dispatching here for good.
func (s *Store) Seal() { s.sealed = true }

// Handover gives the sealed store's tickets for another host. Only the
// first host asked may get a copy that dispatches: whether it took it may
// never be known.
func (s *Store) Handover(first bool) Handover {
	s.sealed = true
	records := make(map[uint64]Record, len(s.records))
	for seq, rec := range s.records {
		if rec.Phase == Running {
			rec.Phase = Doubtful
		}
		records[seq] = rec
	}
	return Handover{Host: s.host, Zone: s.zone, Incarnation: s.incarnation, Key: slices.Clone(s.key), Records: records, Sealed: !first}
}

// FromHandover makes the store that goes on for another host. It mints no
// tickets of its own.
func FromHandover(h Handover) *Store {
	s := NewStore(h.Host, h.Zone, h.Incarnation, h.Key)
	s.sealed = h.Sealed
	if h.Records != nil {
		s.records = h.Records
	}
	return s
}
