// Package directory lists the entry hosts that a client may use, in order of
// preference.
//
// The package owns a cache of encoded responses; the clients of one zone share a
// few of them. It depends on the configuration for the zones of clients, and on
// the peers for the responsive hosts.
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

// Entries is the list of hosts that a client may use, in order of preference.
type Entries struct {
	Service   string  `json:"service"`
	Revision  uint64  `json:"revision"`
	TTLMillis int64   `json:"ttl_ms"`
	Entries   []Entry `json:"entries"`
}

const (
	// maxEntries is the maximum number of hosts in a response.
	maxEntries = 16
	// variants is the number of different host orders that are used for the
	// clients of one zone.
	variants = 16
)

// Options configures a Directory.
type Options struct {
	// Zone is the zone assumed for clients without a zone in the configuration.
	Zone string
	// TTL is how long clients may use a response.
	TTL   time.Duration
	View  func() *config.View
	Peers *peers.Table
	// Leaving reports whether this host is stopping.
	Leaving func() bool
}

// Directory computes and caches the lists of hosts for clients.
type Directory struct {
	Options
	current atomic.Pointer[page]
}

// New returns a Directory with the given options.
func New(o Options) *Directory { return &Directory{Options: o} }

// page caches the responses for one revision and one set of responsive hosts.
type page struct {
	revision uint64
	// contacts holds the responsive hosts, by zone.
	contacts  map[string][]member.Contact
	responses sync.Map // maps audience to []byte
}

// audience identifies the clients that receive the same response.
type audience struct {
	service string
	zone    string
	variant uint8
}

// audienceOf returns the audience that a client belongs to.
func (d *Directory) audienceOf(v *config.View, service string, client netip.Addr) audience {
	zone := v.ClientZone(client)
	if zone == "" {
		zone = d.Zone
	}
	return audience{service, zone, variantOf(client)}
}

// variantOf returns the variant for a client's network. Clients of one network get
// the same order of hosts, so that they share connections.
func variantOf(client netip.Addr) uint8 {
	b := client.As16()
	return uint8(xxhash.Sum64(b[:15]) % variants)
}

// JSON returns the encoded response for a client, from the cache if possible. If
// the service is unknown, the error is a *verdict.Error.
func (d *Directory) JSON(service string, client netip.Addr) ([]byte, error) {
	v := d.View()
	if _, ok := v.Service(service); !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", service)
	}
	to := d.audienceOf(v, service, client)
	p := d.pageAt(v.Revision())
	if cached, ok := p.responses.Load(to); ok {
		return cached.([]byte), nil
	}
	response, err := json.Marshal(d.entries(p.contacts, to))
	if err != nil {
		return nil, err
	}
	p.responses.Store(to, response)
	return response, nil
}

// Entries computes the response for a client from the current state, without the
// cache.
func (d *Directory) Entries(service string, client netip.Addr) Entries {
	return d.entries(d.contacts(), d.audienceOf(d.View(), service, client))
}

// Refresh drops the cached responses if the set of responsive hosts has changed.
func (d *Directory) Refresh() {
	cached := d.current.Load()
	if cached == nil {
		return
	}
	if contacts := d.contacts(); !maps.EqualFunc(contacts, cached.contacts, slices.Equal[[]member.Contact]) {
		d.current.Store(&page{revision: cached.revision, contacts: contacts})
	}
}

// contacts returns the responsive hosts that are not leaving, by zone.
func (d *Directory) contacts() map[string][]member.Contact {
	return d.Peers.ContactsByZone(d.Leaving())
}

// pageAt returns the cached page of a revision, or a new one if there is none.
func (d *Directory) pageAt(revision uint64) *page {
	cached := d.current.Load()
	if cached != nil && cached.revision == revision {
		return cached
	}
	fresh := &page{revision: revision, contacts: d.contacts()}
	d.current.Store(fresh)
	return fresh
}

// entries orders hosts for an audience: those of its zone first, then those of its
// region, then all others.
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

// rank orders hosts by rendezvous hashing with the variant as the key.
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

// distance returns 0 for ownZone, 1 for another zone of ownRegion, and 2 for other
// regions.
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
