package member

import (
	"github.com/cespare/xxhash/v2"

	"cairndock/internal/poison"
)

// Contact is how to reach a host: PeerAddr for other hosts, ClientAddr for
// clients.
type Contact struct {
	Host       string `msgpack:"h"`
	Zone       string `msgpack:"z"`
	PeerAddr   string `msgpack:"p"`
	ClientAddr string `msgpack:"c"`
}

// ServiceSlots is a host's slots for one service, as in slot.Load.
type ServiceSlots struct {
	Service string `msgpack:"s"`
	// Free is how many could be taken now, Held how many the host holds, Warm
	// how many of these the upstreams' concurrency limits allow.
	Free int `msgpack:"f"`
	Held int `msgpack:"h"`
	Warm int `msgpack:"w"`
}

// numbersPerService is how many numbers Pack writes for each service.
const numbersPerService = 3

// Pack writes slots without the services' names, in the order of the services at
// the heartbeat's revision.
func Pack(slots []ServiceSlots) []uint32 {
	out := make([]uint32, 0, numbersPerService*len(slots))
	for _, s := range slots {
		out = append(out, uint32(s.Free), uint32(s.Held), uint32(s.Warm))
	}
	return out
}

// Unpack reads what Pack wrote, for the services of the same revision. Slots of
// another number of services are of another revision, and give none.
func Unpack(packed []uint32, services []string) []ServiceSlots {
	if len(packed) != numbersPerService*len(services) {
		return nil
	}
	out := make([]ServiceSlots, 0, len(services))
	for i, name := range services {
		n := packed[numbersPerService*i:]
		out = append(out, ServiceSlots{Service: name, Free: int(n[0]), Held: int(n[1]), Warm: int(n[2])})
	}
	return out
}

// Successor says that a host serves the tickets of a stopped incarnation.
type Successor struct {
	Incarnation string `msgpack:"i"`
	Host        string `msgpack:"h"`
}

// UpstreamStatus is what a host knows of one incarnation of an upstream, from
// the headers that upstream.Status holds, for the zone's other hosts.
type UpstreamStatus struct {
	Upstream string `msgpack:"u"`
	Instance string `msgpack:"i"`
	// Leaving says that this instance takes no new requests.
	Leaving bool `msgpack:"l"`
	// Seen says that the host itself probes the upstream, and that this instance
	// responded last.
	Seen bool `msgpack:"s"`
}

// Heartbeat is what hosts send each other about themselves. The request and the
// response have the same form.
type Heartbeat struct {
	Contact     Contact `msgpack:"c"`
	Incarnation string  `msgpack:"i"`
	// Epoch is the newest roster epoch seen, and Acked the one that this host has
	// acknowledged. Both are of the host's own zone.
	Epoch uint64 `msgpack:"e"`
	Acked uint64 `msgpack:"a"`
	// Revision and Digest say which configuration is in force here.
	Revision uint64 `msgpack:"r"`
	Digest   uint64 `msgpack:"d"`
	// FreshAge is how long ago, in milliseconds, Revision was known to be the
	// newest one on the platform; negative is never.
	FreshAge int64 `msgpack:"f"`
	Leaving  bool  `msgpack:"l,omitempty"`
	// Slots and ZoneSlots are this host's slots and its zone's, as Pack writes
	// them. They are in responses only.
	Slots     []uint32 `msgpack:"s,omitempty"`
	ZoneSlots []uint32 `msgpack:"z,omitempty"`
	// ServiceSlots and ZoneServiceSlots are the same, as Unpack reads them; they are not sent.
	ServiceSlots     []ServiceSlots `msgpack:"-"`
	ZoneServiceSlots []ServiceSlots `msgpack:"-"`
	// ZoneHosts is how many hosts of the zone hold slots.
	ZoneHosts int `msgpack:"n"`
	// Contacts are hosts of the own zone. They are in a response only when their
	// hash is not the one in the request.
	Contacts     []Contact `msgpack:"o,omitempty"`
	ContactsHash uint64    `msgpack:"q"`
	// UpstreamStatuses are sent within the zone only.
	UpstreamStatuses []UpstreamStatus `msgpack:"g,omitempty"`
	Successors       []Successor      `msgpack:"t,omitempty"`
	// Suspicions are the sender's that the receiver does not have yet.
	Suspicions poison.Update `msgpack:"x,omitempty"`
}

// HashContacts gives a hash of the hosts that a zone names. Hosts of all versions
// must agree on it.
func HashContacts(contacts []Contact) uint64 {
	h := xxhash.New()
	for _, c := range contacts {
		_, _ = h.WriteString(c.Host + "\x00" + c.PeerAddr + "\x00" + c.ClientAddr + "\x00") // never fails
	}
	return h.Sum64()
}
