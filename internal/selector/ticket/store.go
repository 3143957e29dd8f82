package ticket

import (
	"crypto/hmac"
	"net/http"
	"time"
)

const (
	// maxKept bounds the body of a kept response, in bytes; of a larger one only
	// the verdict is kept: what it costs is in docs/CAPACITY.md.
	maxKept = 64 << 10
	// sweepInterval is the least time between two looks for records to forget.
	sweepInterval = time.Minute
	// resendGrace is how long after a ticket's expiry its record is kept, in
	// seconds, for a resend on its way.
	resendGrace = 60
)

// Phase is how far a ticket's request has come. Its numbers are sent to other
// hosts.
type Phase uint8

const (
	// Running requests were dispatched and have no outcome yet.
	Running Phase = iota + 1
	// Completed requests have a response.
	Completed
	// InDoubt requests may have run; their outcome will never be known.
	InDoubt
)

// Outcome is a kept response.
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

// Store is the tickets of one incarnation.
type Store struct {
	host        string
	zone        string
	incarnation string
	key         Key
	// sequence is the number of the last ticket issued.
	sequence uint64
	// records are the used tickets, by number.
	records map[uint64]Record
	// sealed stores give what their records say and dispatch nothing.
	sealed  bool
	sweptAt time.Time
}

// NewStore makes an empty store.
func NewStore(host, zone, incarnation string, key Key) *Store {
	return &Store{host: host, zone: zone, incarnation: incarnation, key: key, records: map[uint64]Record{}}
}

// Issue issues a ticket. Nothing is kept until it is used.
func (s *Store) Issue(now time.Time) (Ticket, error) {
	if s.sealed {
		return Ticket{}, ErrSealed
	}
	s.sequence++
	t := Ticket{
		Host:        s.host,
		Zone:        s.zone,
		Incarnation: s.incarnation,
		Sequence:    s.sequence,
		Expiry:      now.Add(Lifetime).Unix(),
	}
	t.MAC = t.mac(s.key)
	return t, nil
}

// Begin decides whether to dispatch a ticket's request. With dispatch true the
// caller has to dispatch it and must then call Finish or Abandon; else rec says
// what became of it. A used ticket gives its record also past its expiry and at a
// sealed store, since its request must not run again.
func (s *Store) Begin(t Ticket, d Digest, now time.Time) (rec Record, dispatch bool, err error) {
	if t.Incarnation != s.incarnation || !hmac.Equal(t.MAC, t.mac(s.key)) {
		return Record{}, false, ErrForged
	}
	s.sweep(now)
	rec, used := s.records[t.Sequence]
	switch {
	case used && rec.Digest != d:
		return Record{}, false, ErrOtherRequest
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

// Finish keeps the response to a dispatched request.
func (s *Store) Finish(t Ticket, o Outcome) {
	rec := s.records[t.Sequence]
	if len(o.Body) > maxKept {
		o.Body, o.Partial = nil, true
	}
	rec.Phase, rec.Outcome = Completed, o
	s.records[t.Sequence] = rec
}

// Abandon ends a dispatched request that got no response. One that certainly did
// not run leaves the ticket unused; else its outcome is in doubt for good.
func (s *Store) Abandon(t Ticket, notRun bool) {
	if notRun {
		delete(s.records, t.Sequence)
		return
	}
	rec := s.records[t.Sequence]
	rec.Phase = InDoubt
	s.records[t.Sequence] = rec
}

// sweep forgets records some time past their expiry. A ticket past its expiry is
// never dispatched, so that forgetting it is safe.
func (s *Store) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for seq, rec := range s.records {
		if rec.Phase != Running && now.Unix() > rec.Expiry+resendGrace {
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
