package member

import (
	"github.com/cespare/xxhash/v2"

	"cairndock/internal/poison"
)

// Contact describes how to reach a host. PeerAddr is its address for other hosts and
// ClientAddr its address for clients.
type Contact struct {
	Host       string `msgpack:"h"`
	Zone       string `msgpack:"z"`
	PeerAddr   string `msgpack:"p"`
	ClientAddr string `msgpack:"c"`
}

// ServiceSlots is the number of a host's slots for one service, as in slot.Load.
type ServiceSlots struct {
	Service string `msgpack:"s"`
	// Held is the number of slots that the host holds, Warm is the number of them
	// that the upstreams' concurrency limits allow, and Free is the number of slots
	// that are currently available.
	Free int `msgpack:"f"`
	Held int `msgpack:"h"`
	Warm int `msgpack:"w"`
}

// numbersPerService is the number of integers that Pack writes for each service.
const numbersPerService = 3

// Pack encodes slots without the names of the services. The order is that of the
// services in the configuration of the heartbeat's revision.
func Pack(slots []ServiceSlots) []uint32 {
	out := make([]uint32, 0, numbersPerService*len(slots))
	for _, s := range slots {
		out = append(out, uint32(s.Free), uint32(s.Held), uint32(s.Warm))
	}
	return out
}

// Unpack decodes the output of Pack for the services of the same revision. It returns
// nil if the number of services differs, because the slots then belong to another
// revision.
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

// Successor names the host that serves the tickets of a stopped incarnation.
type Successor struct {
	Incarnation string `msgpack:"i"`
	Host        string `msgpack:"h"`
}

// UpstreamStatus is the state of one incarnation of an upstream as seen by one host.
// It is derived from the headers that upstream.Status contains, and is sent to the
// other hosts of the zone.
type UpstreamStatus struct {
	Upstream string `msgpack:"u"`
	Instance string `msgpack:"i"`
	// Leaving is true if this instance accepts no new requests.
	Leaving bool `msgpack:"l"`
	// Seen is true if the sending host itself probes the upstream and this instance
	// sent the last response.
	Seen bool `msgpack:"s"`
}

// Heartbeat is the state that a host sends to other hosts. Requests and responses have
// the same form.
type Heartbeat struct {
	Contact     Contact `msgpack:"c"`
	Incarnation string  `msgpack:"i"`
	// Epoch is the newest roster epoch that the host has seen, and Acked is the epoch
	// that it has acknowledged. Both belong to the host's own zone.
	Epoch uint64 `msgpack:"e"`
	Acked uint64 `msgpack:"a"`
	// Revision and Digest identify the configuration that is in force at the host.
	Revision uint64 `msgpack:"r"`
	Digest   uint64 `msgpack:"d"`
	// FreshAge is the time in milliseconds since Revision was last known to be the
	// newest revision on the platform; a negative value means never.
	FreshAge int64 `msgpack:"f"`
	Leaving  bool  `msgpack:"l,omitempty"`
	// Slots and ZoneSlots are the slots of the host and of its zone, encoded by Pack.
	// They are in responses only.
	Slots     []uint32 `msgpack:"s,omitempty"`
	ZoneSlots []uint32 `msgpack:"z,omitempty"`
	// ServiceSlots and ZoneServiceSlots are Slots and ZoneSlots, decoded by Unpack.
	// They are not sent.
	ServiceSlots     []ServiceSlots `msgpack:"-"`
	ZoneServiceSlots []ServiceSlots `msgpack:"-"`
	// ZoneHosts is the number of hosts of the zone that hold slots.
	ZoneHosts int `msgpack:"n"`
	// Contacts are hosts of the sender's zone. A response contains them only if their
	// hash differs from the hash in the request.
	Contacts     []Contact `msgpack:"o,omitempty"`
	ContactsHash uint64    `msgpack:"q"`
	// UpstreamStatuses are sent within the zone only.
	UpstreamStatuses []UpstreamStatus `msgpack:"g,omitempty"`
	Successors       []Successor      `msgpack:"t,omitempty"`
	// Suspicions contains the sender's suspicions that the receiver does not have yet.
	Suspicions poison.Update `msgpack:"x,omitempty"`
}

// HashContacts returns a hash of contacts. Hosts of all versions must compute the same
// hash.
func HashContacts(contacts []Contact) uint64 {
	h := xxhash.New()
	for _, c := range contacts {
		_, _ = h.WriteString(c.Host + "\x00" + c.PeerAddr + "\x00" + c.ClientAddr + "\x00") // never fails
	}
	return h.Sum64()
}
