package ticket

import "slices"

// Handover is the form in which a store is sent to another host.
type Handover struct {
	Host        string            `msgpack:"h"`
	Zone        string            `msgpack:"z"`
	Incarnation string            `msgpack:"i"`
	Key         []byte            `msgpack:"k"`
	Records     map[uint64]Record `msgpack:"r"`
	// Sealed is true if another host may already have received the same tickets.
	// This copy must then dispatch nothing.
	Sealed bool `msgpack:"s"`
}

// Seal permanently stops the store from issuing and dispatching tickets.
func (s *Store) Seal() { s.sealed = true }

// Handover seals the store and returns its tickets for transfer to another host.
// first must be true only for the first host to which the tickets are sent. Only
// that host receives a copy that may dispatch, because it may have accepted the
// tickets even if its response was lost. Requests that still run are InDoubt in the
// copy.
func (s *Store) Handover(first bool) Handover {
	s.sealed = true
	records := make(map[uint64]Record, len(s.records))
	for seq, rec := range s.records {
		if rec.Phase == Running {
			rec.Phase = InDoubt
		}
		records[seq] = rec
	}
	return Handover{
		Host:        s.host,
		Zone:        s.zone,
		Incarnation: s.incarnation,
		Key:         slices.Clone(s.key),
		Records:     records,
		Sealed:      !first,
	}
}

// FromHandover returns a store that serves the tickets of the host that sent the
// handover. No tickets may be issued from this store.
func FromHandover(h Handover) *Store {
	s := NewStore(h.Host, h.Zone, h.Incarnation, h.Key)
	s.sealed = h.Sealed
	if h.Records != nil {
		s.records = h.Records
	}
	return s
}
