// Package roster decides which hosts of a zone share its upstreams' slots, and
// when a slot may pass from one host to another, so that no slot is ever used by
// two hosts. A Roster lists a zone's hosts at one epoch; package entry/rosters
// keeps it as one row of the platform's table, and sends it from host to host.
// Rendezvous hashing gives each slot to one host of a roster. A Holder is what
// one host may use while rosters change, hosts die and messages are late. The
// rule, its proof and what was weighed against it: docs/design/slots.md.
//
// The package relies on its caller for the time, for rosters in the order of
// their epochs from one source, and for acknowledging an epoch only when no
// request is outstanding beyond the slots that the host keeps by it.
package roster

import (
	"slices"
	"strconv"
	"strings"
)

// State is whether a member of a roster holds slots.
type State string

const (
	// Active members hold slots.
	Active State = "active"
	// Leaving members hold none once they have acknowledged the epoch.
	Leaving State = "leaving"
	// Gone members are dead by the platform's host list. Their slots stay
	// unused until every request they can have sent is past its deadline.
	Gone State = "gone"
)

// Member is one host of a zone. The tags are its form in the platform's
// table and between hosts.
type Member struct {
	Host        string `msgpack:"h" json:"host"`
	Incarnation string `msgpack:"i" json:"incarnation"`
	PeerAddr    string `msgpack:"p" json:"peer_addr"`
	ClientAddr  string `msgpack:"c" json:"caller_addr"`
	State       State  `msgpack:"s" json:"state"`
}

// Roster is a zone's members at one epoch, ordered by host. It is immutable.
type Roster struct {
	Zone    string   `msgpack:"z" json:"zone"`
	Epoch   uint64   `msgpack:"e" json:"epoch"`
	Members []Member `msgpack:"m" json:"members"`
}

// Member gives the member of a host.
func (r Roster) Member(host string) (Member, bool) {
	for _, m := range r.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

// WithMember gives the next epoch, with the member added or replaced.
func (r Roster) WithMember(m Member) Roster {
	next := r.Without(m.Host)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return next
}

// WithState gives the next epoch, with a member's state changed; without such a
// member, the same epoch.
func (r Roster) WithState(host string, state State) Roster {
	m, ok := r.Member(host)
	if !ok {
		return r
	}
	m.State = state
	return r.WithMember(m)
}

// Without gives the next epoch, with the host's member removed.
func (r Roster) Without(host string) Roster {
	next := Roster{Zone: r.Zone, Epoch: r.Epoch + 1}
	for _, m := range r.Members {
		if m.Host != host {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// Active gives the hosts that hold slots, by name.
func (r Roster) Active() []string {
	var hosts []string
	for _, m := range r.Members {
		if m.State == Active {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// owned gives the slots of an upstream that fall to a host.
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
