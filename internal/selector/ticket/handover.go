package ticket

import "slices"

// Handover is a store as it is sent to another host.
type Handover struct {
	Host        string            `msgpack:"h"`
	Zone        string            `msgpack:"z"`
	Incarnation string            `msgpack:"i"`
	Key         []byte            `msgpack:"k"`
	Records     map[uint64]Record `msgpack:"r"`
	// Sealed says that another host may already have the same tickets, so that
	// this copy must dispatch nothing.
	Sealed bool `msgpack:"s"`
}

// Seal ends issuing and dispatching here for good.
func (s *Store) Seal() { s.sealed = true }

// Handover seals the store and gives its tickets for another host. Only the first
// host that is asked to take them may get a copy that dispatches, as it may have
// taken it though its response was lost. The outcome of requests that still run
// here is in doubt there.
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

// FromHandover makes the store that goes on for the host that handed over. Its
// caller issues no tickets from it.
func FromHandover(h Handover) *Store {
	s := NewStore(h.Host, h.Zone, h.Incarnation, h.Key)
	s.sealed = h.Sealed
	if h.Records != nil {
		s.records = h.Records
	}
	return s
}
