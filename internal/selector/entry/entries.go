package entry

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

	"cairndock/internal/selector/member"
	"cairndock/internal/selector/roster"
	"cairndock/internal/verdict"
)

// Entry is one host that a caller may use.
type Entry struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Entries is the answer to which hosts a caller may use, best first.
type Entries struct {
	Service   string  `json:"service"`
	Revision  uint64  `json:"revision"`
	TTLMillis int64   `json:"ttl_ms"`
	Entries   []Entry `json:"entries"`
}

// maxEntries bounds the hosts named to a caller, and variants the orders
// that callers of one zone are spread over.
const (
	maxEntries = 16
	variants   = 16
)

// entriesCache keeps answers ready: callers of one zone share a few. They
// hold until the configuration changes, or the hosts that answer do.
type entriesCache struct {
	current atomic.Pointer[entriesPage]
}

type entriesPage struct {
	revision uint64
	// contacts are the hosts that answer, by zone.
	contacts map[string][]member.Contact
	answers  sync.Map // entriesKey to []byte
}

type entriesKey struct {
	service string
	zone    string
	variant uint8
}

// EntriesFor gives the answer for a caller, as JSON.
func (h *Host) EntriesFor(service string, caller netip.Addr) ([]byte, error) {
	v := h.View()
	if _, ok := v.Service(service); !ok {
		return nil, verdict.New(verdict.NotRun, verdict.UnknownService, "no service %q", service)
	}
	zone := v.CallerZone(caller)
	if zone == "" {
		zone = h.self.Zone
	}
	key := entriesKey{service, zone, variantOf(caller)}
	page := h.entriesPage(v.Revision())
	if a, ok := page.answers.Load(key); ok {
		return a.([]byte), nil
	}
	answer, err := json.Marshal(h.entriesOf(page, key))
	if err != nil {
		return nil, err
	}
	page.answers.Store(key, answer)
	return answer, nil
}

// variantOf spreads callers by their network, so that one network's callers
// share connections.
func variantOf(caller netip.Addr) uint8 {
	b := caller.As16()
	return uint8(xxhash.Sum64(b[:15]) % variants)
}

func (h *Host) entriesPage(revision uint64) *entriesPage {
	page := h.entries.current.Load()
	if page != nil && page.revision == revision {
		return page
	}
	return h.newEntriesPage(revision)
}

func (h *Host) newEntriesPage(revision uint64) *entriesPage {
	page := &entriesPage{revision: revision, contacts: h.peers.ContactsByZone(h.leaving.Load())}
	h.entries.current.Store(page)
	return page
}

// refreshEntries drops the answers kept when the hosts that answer changed.
func (h *Host) refreshEntries() {
	page := h.entries.current.Load()
	if page == nil {
		return
	}
	if now := h.peers.ContactsByZone(h.leaving.Load()); !maps.EqualFunc(now, page.contacts, slices.Equal[[]member.Contact]) {
		h.entries.current.Store(&entriesPage{revision: page.revision, contacts: now})
	}
}

// entriesNow works an answer out from what is known at this moment.
func (h *Host) entriesNow(key entriesKey) Entries {
	return h.entriesOf(&entriesPage{contacts: h.peers.ContactsByZone(h.leaving.Load())}, key)
}

// entriesOf orders a page's hosts for callers: their zone first, then its
// region, then the rest.
func (h *Host) entriesOf(page *entriesPage, key entriesKey) Entries {
	v := h.View()
	region := v.Region(key.zone)
	variant := strconv.Itoa(int(key.variant))
	zones := roster.Rank(variant, slices.Sorted(maps.Keys(page.contacts)))
	slices.SortStableFunc(zones, func(a, b string) int {
		return distance(a, v.Region(a), key.zone, region) - distance(b, v.Region(b), key.zone, region)
	})
	out := Entries{Service: key.service, Revision: v.Revision(), TTLMillis: h.ttl().Milliseconds()}
	for _, zone := range zones {
		for _, c := range rankContacts(variant, page.contacts[zone]) {
			if len(out.Entries) == maxEntries {
				return out
			}
			out.Entries = append(out.Entries, Entry{Host: c.Host, Zone: c.Zone, Addr: c.CallerAddr})
		}
	}
	return out
}

func rankContacts(key string, contacts []member.Contact) []member.Contact {
	var names []string
	for _, c := range contacts {
		names = append(names, c.Host)
	}
	order := roster.Rank(key, names)
	out := slices.Clone(contacts)
	slices.SortFunc(out, func(a, b member.Contact) int {
		return slices.Index(order, a.Host) - slices.Index(order, b.Host)
	})
	return out
}

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

func (h *Host) ttl() time.Duration { return time.Duration(h.opts.Settings.Callers.TTL) }
