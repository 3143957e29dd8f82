// Package roster decides which hosts of a zone share the slots of the zone's upstreams,
// and when a slot may pass from one host to another, so that no two hosts ever use the
// same slot. A Roster lists the hosts of a zone at one epoch. Package entry/rosters
// stores it as one row of the platform's table and sends it to other hosts. Rendezvous
// hashing assigns each slot to one host of a roster. A Holder determines the slots that
// one host may use while rosters change, hosts die and messages are late.
// docs/design/slots.md describes the rule, its proof and the alternatives.
//
// The package relies on the code that uses it to pass in the current time, to provide
// rosters from one source in the order of their epochs, and to acknowledge an epoch only
// when no request is outstanding beyond the slots that the host keeps under that epoch.
package roster

import (
	"slices"
	"strconv"
	"strings"
)

// State is the state of a member of a roster. It determines whether the member holds
// slots.
type State string

const (
	// Active members hold slots.
	Active State = "active"
	// Leaving members hold no slots once they have acknowledged the epoch.
	Leaving State = "leaving"
	// Dead members are dead according to the platform's host list. Their slots stay
	// unused until all requests that they may have sent are past their deadlines.
	Dead State = "gone"
)

// Member is one host of a zone. The tags define its encoding in the platform's table
// and in messages between hosts.
type Member struct {
	Host        string `msgpack:"h" json:"host"`
	Incarnation string `msgpack:"i" json:"incarnation"`
	PeerAddr    string `msgpack:"p" json:"peer_addr"`
	ClientAddr  string `msgpack:"c" json:"caller_addr"`
	State       State  `msgpack:"s" json:"state"`
}

// Roster contains the members of a zone at one epoch, sorted by host. It is immutable.
type Roster struct {
	Zone    string   `msgpack:"z" json:"zone"`
	Epoch   uint64   `msgpack:"e" json:"epoch"`
	Members []Member `msgpack:"m" json:"members"`
}

// Member returns the member of a host, and whether the host is a member.
func (r Roster) Member(host string) (Member, bool) {
	for _, m := range r.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// WithMember returns the roster of the next epoch, with the member added or replaced.
func (r Roster) WithMember(m Member) Roster {
	next := r.Without(m.Host)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return next
}

// WithState returns the roster of the next epoch, with the state of a member changed.
// If the host is not a member, it returns the roster unchanged.
func (r Roster) WithState(host string, state State) Roster {
	m, ok := r.Member(host)
	if !ok {
		return r
	}
	m.State = state
	return r.WithMember(m)
}

// Without returns the roster of the next epoch, with the member of a host removed.
func (r Roster) Without(host string) Roster {
	next := Roster{Zone: r.Zone, Epoch: r.Epoch + 1}
	for _, m := range r.Members {
		if m.Host != host {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// Active returns the names of the hosts that hold slots, sorted.
func (r Roster) Active() []string {
	var hosts []string
	for _, m := range r.Members {
		if m.State == Active {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// owned returns the slots of an upstream that the roster assigns to a host.
func (r Roster) owned(host, upstream string, slots int) SlotSet {
	var set SlotSet
	active := r.Active()
	for n := range slots {
		if owner(upstream+"#"+strconv.Itoa(n), active) == host {
			set = set.With(n)
		}
	}
	return set
}
