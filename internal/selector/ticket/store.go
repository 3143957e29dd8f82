package ticket

import (
	"crypto/hmac"
	"net/http"
	"time"
)

const (
	// maxBodyBytes is the maximum size of the body of a kept response, in bytes. If
	// the body is larger, only the verdict is kept. docs/CAPACITY.md states the
	// memory use.
	maxBodyBytes = 64 << 10
	// minSweepInterval is the minimum time between two sweeps for expired records.
	minSweepInterval = time.Minute
	// resendGraceSeconds is how long a record is kept after its ticket's expiry, in
	// seconds, for a resend that is already in transit.
	resendGraceSeconds = 60
)

// Phase is the state of a ticket's request. Its numeric values are sent to other
// hosts.
type Phase uint8

const (
	// Running requests have been dispatched and have no outcome yet.
	Running Phase = iota + 1
	// Completed requests have a response.
	Completed
	// InDoubt requests may have run. Their outcome can no longer be determined.
	InDoubt
)

// Outcome is the kept response to a request.
type Outcome struct {
	Status   int         `msgpack:"s"`
	Header   http.Header `msgpack:"h"`
	Body     []byte      `msgpack:"b"`
	Upstream string      `msgpack:"u"`
	// Partial is true if the body was too large to be kept.
	Partial bool `msgpack:"p"`
}

// Record is the state of a used ticket.
type Record struct {
	Digest  Digest  `msgpack:"d"`
	Phase   Phase   `msgpack:"p"`
	Outcome Outcome `msgpack:"o"`
	Expiry  int64   `msgpack:"e"` // Unix seconds
}

// Store holds the tickets of one incarnation. It is not safe for concurrent use.
type Store struct {
	host        string
	zone        string
	incarnation string
	key         Key
	// sequence is the number of the last ticket issued.
	sequence uint64
	// records are the used tickets, by number.
	records map[uint64]Record
	// sealed is true if the store issues and dispatches no more tickets. Its records
	// remain available.
	sealed  bool
	sweptAt time.Time
}

// NewStore returns an empty store.
func NewStore(host, zone, incarnation string, key Key) *Store {
	return &Store{host: host, zone: zone, incarnation: incarnation, key: key, records: map[uint64]Record{}}
}

// Issue issues a ticket. Nothing is stored until the ticket is used. It returns
// ErrSealed if the store is sealed.
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

// Begin decides whether to dispatch a ticket's request. If dispatch is true, the
// request must be dispatched, followed by a call of Finish or Abandon. Otherwise rec
// is the record of the request. The record of a used ticket is returned even after
// the ticket's expiry and by a sealed store, because the request must not run again.
//
// The error is ErrForged, ErrOtherRequest, ErrExpired or ErrSealed.
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

// Finish records the response to a dispatched request.
func (s *Store) Finish(t Ticket, o Outcome) {
	rec := s.records[t.Sequence]
	if len(o.Body) > maxBodyBytes {
		o.Body, o.Partial = nil, true
	}
	rec.Phase, rec.Outcome = Completed, o
	s.records[t.Sequence] = rec
}

// Abandon records the end of a dispatched request without a response. If the request
// certainly did not run, the ticket becomes unused again. Otherwise the request
// remains InDoubt.
func (s *Store) Abandon(t Ticket, notRun bool) {
	if notRun {
		delete(s.records, t.Sequence)
		return
	}
	rec := s.records[t.Sequence]
	rec.Phase = InDoubt
	s.records[t.Sequence] = rec
}

// sweep deletes records whose tickets expired more than resendGraceSeconds ago. This
// is safe because an expired ticket is never dispatched.
func (s *Store) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < minSweepInterval {
		return
	}
	s.sweptAt = now
	for seq, rec := range s.records {
		if rec.Phase != Running && now.Unix() > rec.Expiry+resendGraceSeconds {
			delete(s.records, seq)
		}
	}
}

// Len returns the number of used tickets in the store.
func (s *Store) Len() int { return len(s.records) }

// Running returns the number of dispatched requests that have no outcome yet.
func (s *Store) Running() int {
	n := 0
	for _, r := range s.records {
		if r.Phase == Running {
			n++
		}
	}
	return n
}
