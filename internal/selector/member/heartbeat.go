package member

import (
	"github.com/cespare/xxhash/v2"
)

// Contact is how to reach an entry host.
type Contact struct {
	Host       string `msgpack:"h"`
	Zone       string `msgpack:"z"`
	PeerAddr   string `msgpack:"p"`
	CallerAddr string `msgpack:"c"`
}

// Free is a host's slots for one service: how many could be taken now, are
// held, and are trusted to the upstreams as warm as they are.
type Free struct {
	Service string `msgpack:"s"`
	Free    int    `msgpack:"f"`
	Held    int    `msgpack:"h"`
	Warm    int    `msgpack:"w"`
}

// Pack writes slots without the services' names: three numbers for each, in
// the order of the services at the heartbeat's revision.
func Pack(free []Free) []uint32 {
	out := make([]uint32, 0, 3*len(free))
	for _, f := range free {
		out = append(out, uint32(f.Free), uint32(f.Held), uint32(f.Warm))
	}
	return out
}

// Unpack reads what Pack wrote, for the services of the same revision.
func Unpack(packed []uint32, services []string) []Free {
	if len(packed) != 3*len(services) {
		return nil
	}
	out := make([]Free, 0, len(services))
	for i, name := range services {
		out = append(out, Free{Service: name, Free: int(packed[3*i]), Held: int(packed[3*i+1]), Warm: int(packed[3*i+2])})
	}
	return out
}

// Handover says that a host goes on for a stopped one's tickets.
type Handover struct {
	Incarnation string `msgpack:"i"`
	Host        string `msgpack:"h"`
}

// Sign is what a host knows of an upstream's instance.
type Sign struct {
	Upstream string `msgpack:"u"`
	Instance string `msgpack:"i"`
	// Leaving says that this instance wants no new work.
	Leaving bool `msgpack:"l"`
	// Seen says that the host itself probes the upstream and last saw this
	// instance.
	Seen bool `msgpack:"s"`
}

// Heartbeat is what hosts tell each other. Asking and answering are alike.
type Heartbeat struct {
	Contact     Contact `msgpack:"c"`
	Incarnation string  `msgpack:"i"`
	// Epoch is the newest roster epoch seen, and Acked the one beyond which
	// this host holds no slots. Both are of the host's own zone.
	Epoch uint64 `msgpack:"e"`
	Acked uint64 `msgpack:"a"`
	// Revision and Digest say which configuration is in force here.
	Revision uint64 `msgpack:"r"`
	Digest   uint64 `msgpack:"d"`
	// FreshAge is how long ago the platform's head is known to have been
	// Revision, in milliseconds; negative is never.
	FreshAge int64 `msgpack:"f"`
	Leaving  bool  `msgpack:"l,omitempty"`
	// Slots and ZoneSlots are this host's slots and its zone's, packed.
	// They are in answers only.
	Slots     []uint32 `msgpack:"s,omitempty"`
	ZoneSlots []uint32 `msgpack:"z,omitempty"`
	// Free and ZoneFree are the same unpacked; they do not travel.
	Free     []Free `msgpack:"-"`
	ZoneFree []Free `msgpack:"-"`
	// ZoneHosts is how many hosts of the zone hold slots.
	ZoneHosts int `msgpack:"n"`
	// Contacts are in an answer only when their hash is not the one that
	// the asker has.
	Contacts     []Contact `msgpack:"o,omitempty"`
	ContactsHash uint64    `msgpack:"q"`
	// Signs are told within the zone only.
	Signs     []Sign     `msgpack:"g,omitempty"`
	Handovers []Handover `msgpack:"t,omitempty"`
}

// HashContacts gives a hash of the hosts that a zone names.
func HashContacts(contacts []Contact) uint64 {
	h := xxhash.New()
	for _, c := range contacts {
		_, _ = h.WriteString(c.Host + "\x00" + c.PeerAddr + "\x00" + c.CallerAddr + "\x00")
	}
	return h.Sum64()
}
