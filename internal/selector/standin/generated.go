package standin

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/roster"
	"cairndock/internal/selector/store"
)

// Size is the size of a generated system. Each service has a site in every zone.
type Size struct {
	// Blocks is the number of blocks of client addresses.
	Blocks int
	// Services, Zones and Regions are the numbers of these objects.
	Services int
	Zones    int
	Regions  int
	// Hosts is the number of hosts in each zone's roster.
	Hosts int
	// PerSite is the number of upstreams of a service in a zone.
	PerSite int
}

// PlannedSize returns the size that users plan for: 260,000 blocks, 1,760 sites
// (22 services in 80 zones) and 74 hosts in a zone.
func PlannedSize() Size {
	return Size{Blocks: 260_000, Services: 22, Zones: 80, Regions: 23, Hosts: 74, PerSite: 24}
}

// ZoneName returns the name of zone z.
func ZoneName(z int) string { return fmt.Sprintf("zone-%02d", z) }

// Objects generates the zones, and the services with their rules and upstreams.
func (s Size) Objects() config.Document {
	var doc config.Document
	for z := range s.Zones {
		doc.Zones = append(doc.Zones, config.Zone{Name: ZoneName(z), Region: fmt.Sprintf("region-%02d", z%s.Regions)})
	}
	for i := range s.Services {
		s.addService(&doc, fmt.Sprintf("service-%d", i))
	}
	return doc
}

// addService adds a service, its rule and its upstreams in every zone to doc.
func (s Size) addService(doc *config.Document, name string) {
	doc.Services = append(doc.Services, config.Service{
		Name: name, Class: config.Interactive, Repeat: config.RepeatSafe, Prefer: config.PreferLatency,
		Timeout: config.Duration(time.Second), MaxTimeout: config.Duration(2 * time.Second),
	})
	doc.Rules = append(doc.Rules, config.Rule{Name: name + "-all", Service: name, Selector: "tier=main", Share: 1})
	for z := range s.Zones {
		for u := range s.PerSite {
			n := fmt.Sprintf("%s-%02d-%02d", name, z, u)
			// Each upstream has its own loopback address, on which nothing listens.
			i := len(doc.Upstreams)
			addr := netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)})
			doc.Upstreams = append(doc.Upstreams, config.Upstream{
				Name: n, Service: name, Zone: ZoneName(z), Addr: netip.AddrPortFrom(addr, 1).String(), Slots: 6,
				Labels: map[string]string{"tier": "main"}, State: config.StateLive,
			})
		}
	}
}

// BlocksDocument generates the blocks of client addresses. Each is a /24.
func (s Size) BlocksDocument() config.Document {
	var doc config.Document
	for b := range s.Blocks {
		doc.Blocks = append(doc.Blocks, config.Block{CIDR: s.BlockAddr(b, 0).String() + "/24", Zone: ZoneName(b % s.Zones)})
	}
	return doc
}

// BlockAddr returns the address in a block whose last byte is last.
func (s Size) BlockAddr(block int, last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(1 + block>>16), byte(block >> 8), byte(block), last})
}

// Roster generates the roster of zone z with the given number of hosts.
func (s Size) Roster(z, hosts int, epoch uint64) roster.Roster {
	r := roster.Roster{Zone: ZoneName(z), Epoch: epoch}
	for i := range hosts {
		r.Members = append(r.Members, roster.Member{
			Host: fmt.Sprintf("%s-%02d", ZoneName(z), i), Incarnation: "01JABCDEFGHJKMNPQRSTVWXYZ0",
			PeerAddr: "127.0.0.1:1", ClientAddr: "127.0.0.1:1", State: roster.Active,
		})
	}
	return r
}

// partitionRoster is the table partition of the rosters. It must match package
// rosters.
const partitionRoster = "roster"

// Fill writes the generated configuration, a snapshot of it and the rosters to m.
// It fails if the configuration is invalid or a write fails.
func (s Size) Fill(ctx context.Context, m *store.Memory) error {
	log := config.NewLog(m, m)
	state := config.NewState()
	for _, step := range []struct {
		id  string
		doc config.Document
	}{{"objects", s.Objects()}, {"blocks", s.BlocksDocument()}} {
		change, err := step.doc.Change(step.id, state.Revision())
		if err != nil {
			return err
		}
		if state, _, err = log.Append(ctx, state, change); err != nil {
			return err
		}
	}
	if err := log.SaveSnapshot(ctx, state); err != nil {
		return err
	}
	for z := range s.Zones {
		body, err := peer.Encode(s.Roster(z, s.Hosts, 1))
		if err != nil {
			return err
		}
		key := store.Key{Partition: partitionRoster, Sort: ZoneName(z)}
		if err := m.Transact(ctx, []store.Write{{Key: key, Body: body}}); err != nil {
			return err
		}
	}
	return nil
}
