// Package directory gives clients the entry hosts that they may use, best
// first.
//
// It owns the responses that it keeps ready: clients of one zone share a few.
// It relies on the configuration for the zones of clients, and on the peers for
// the hosts that answer.
package directory

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/peers"
	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/verdict"
)

// Entry is one host that a client may use.
type Entry struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Entries is the response to which hosts a client may use, best first.
type Entries struct {
	Service   string  `json:"service"`
	Revision  uint64  `json:"revision"`
	TTLMillis int64   `json:"ttl_ms"`
	Entries   []Entry `json:"entries"`
}

const (
	// maxEntries bounds the hosts named to a client.
	maxEntries = 16
	// variants is how many orders the clients of one zone are spread over.
	variants = 16
)

// Options are what a Directory is made of.
type Options struct {
	// Zone is the zone of clients that the configuration does not place.
	Zone string
	// TTL is how long clients may use a response.
	TTL     time.Duration
	View    func() *config.View
	Peers   *peers.Table
	Leaving func() bool
}

// Directory gives clients the hosts that they may use.
type Directory struct {
	Options
	current atomic.Pointer[page]
}

// New makes a Directory.
func New(o Options) *Directory { return &Directory{Options: o} }

// page holds the responses at one revision, while the same hosts answer.
type page struct {
	revision uint64
	// contacts are the hosts that answer, by zone.
	contacts  map[string][]member.Contact
	responses sync.Map // audience to []byte
}

// audience is the clients that get the same response.
type audience struct {
	service string
	zone    string
	variant uint8
}

// audienceOf gives the audience that a client belongs to.
func (d *Directory) audienceOf(v *config.View, service string, client netip.Addr) audience {
	zone := v.ClientZone(client)
	if zone == "" {
		zone = d.Zone
	}
	return audience{service, zone, variantOf(client)}
}

// variantOf spreads clients by their network, so that one network's clients
// share connections.
func variantOf(client netip.Addr) uint8 {
	b := client.As16()
	return uint8(xxhash.Sum64(b[:15]) % variants)
}

// JSON gives the response to a client, as JSON. When the service is not known
// its error is a *verdict.Error.
func (d *Directory) JSON(service string, client netip.Addr) ([]byte, error) {
	v := d.View()
	if _, ok := v.Service(service); !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", service)
	}
	to := d.audienceOf(v, service, client)
	p := d.pageAt(v.Revision())
	if kept, ok := p.responses.Load(to); ok {
		return kept.([]byte), nil
	}
	response, err := json.Marshal(d.entries(p.contacts, to))
	if err != nil {
		return nil, err
	}
	p.responses.Store(to, response)
	return response, nil
}

// Entries works the response to a client out from what is known now.
func (d *Directory) Entries(service string, client netip.Addr) Entries {
	return d.entries(d.contacts(), d.audienceOf(d.View(), service, client))
}

// Refresh drops the responses kept when the hosts that answer have changed.
func (d *Directory) Refresh() {
	kept := d.current.Load()
	if kept == nil {
		return
	}
	if now := d.contacts(); !maps.EqualFunc(now, kept.contacts, slices.Equal[[]member.Contact]) {
		d.current.Store(&page{revision: kept.revision, contacts: now})
	}
}

// contacts gives the hosts that answer and are not leaving, by zone.
func (d *Directory) contacts() map[string][]member.Contact {
	return d.Peers.ContactsByZone(d.Leaving())
}

// pageAt gives the page of a revision, making it when there is none.
func (d *Directory) pageAt(revision uint64) *page {
	kept := d.current.Load()
	if kept != nil && kept.revision == revision {
		return kept
	}
	made := &page{revision: revision, contacts: d.contacts()}
	d.current.Store(made)
	return made
}

// entries orders hosts for an audience: its zone first, then its region, then
// the rest.
func (d *Directory) entries(contacts map[string][]member.Contact, to audience) Entries {
	v := d.View()
	region := v.Region(to.zone)
	variant := strconv.Itoa(int(to.variant))
	zones := roster.Rank(variant, slices.Sorted(maps.Keys(contacts)))
	slices.SortStableFunc(zones, func(a, b string) int {
		return distance(a, v.Region(a), to.zone, region) - distance(b, v.Region(b), to.zone, region)
	})
	out := Entries{Service: to.service, Revision: v.Revision(), TTLMillis: d.TTL.Milliseconds()}
	for _, zone := range zones {
		for _, c := range rank(variant, contacts[zone]) {
			if len(out.Entries) == maxEntries {
				return out
			}
			out.Entries = append(out.Entries, Entry{Host: c.Host, Zone: c.Zone, Addr: c.ClientAddr})
		}
	}
	return out
}

// rank orders hosts by rendezvous hashing on a variant.
func rank(variant string, contacts []member.Contact) []member.Contact {
	var names []string
	for _, c := range contacts {
		names = append(names, c.Host)
	}
	order := roster.Rank(variant, names)
	out := slices.Clone(contacts)
	slices.SortFunc(out, func(a, b member.Contact) int {
		return slices.Index(order, a.Host) - slices.Index(order, b.Host)
	})
	return out
}

// distance is 0 within a zone, 1 within a region and 2 beyond.
func distance(zone, region, ownZone, ownRegion string) int {
	switch {
	case strings.EqualFold(zone, ownZone):
		return 0
	case region == ownRegion:
		return 1
	default:
		return 2
	}
}
