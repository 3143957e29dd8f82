package entry

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cairndock/internal/member"
	"cairndock/internal/roster"
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
	// entriesAge is how long an answer is used again.
	entriesAge = 250 * time.Millisecond
)

// entriesCache keeps answers ready: callers of one zone share a few.
type entriesCache struct {
	current atomic.Pointer[entriesPage]
}

type entriesPage struct {
	madeAt   int64
	revision uint64
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
	answer, err := json.Marshal(h.entriesNow(key))
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
	now := h.now()
	page := h.entries.current.Load()
	if page != nil && page.revision == revision && now-page.madeAt < int64(entriesAge) {
		return page
	}
	fresh := &entriesPage{madeAt: now, revision: revision}
	h.entries.current.Store(fresh)
	return fresh
}

// entriesNow works an answer out: hosts that answer and are not leaving,
// the caller's zone first, then its region, then the rest.
func (h *Host) entriesNow(key entriesKey) Entries {
	v := h.View()
	region := v.Region(key.zone)
	h.mu.Lock()
	var zones []string
	byZone := map[string][]member.Contact{}
	now := time.Now()
	for _, zone := range append(h.peers.Zones(), h.self.Zone) {
		if _, seen := byZone[zone]; !seen {
			byZone[zone] = h.peers.Contacts(zone, now, h.leaving.Load())
			zones = append(zones, zone)
		}
	}
	h.mu.Unlock()
	variant := strconv.Itoa(int(key.variant))
	zones = roster.Rank(variant, zones)
	slices.SortStableFunc(zones, func(a, b string) int {
		return distance(a, v.Region(a), key.zone, region) - distance(b, v.Region(b), key.zone, region)
	})
	out := Entries{Service: key.service, Revision: v.Revision(), TTLMillis: h.ttl().Milliseconds()}
	for _, zone := range zones {
		for _, c := range rankContacts(variant, byZone[zone]) {
			if len(out.Entries) < maxEntries {
				out.Entries = append(out.Entries, Entry{Host: c.Host, Zone: c.Zone, Addr: c.CallerAddr})
			}
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
