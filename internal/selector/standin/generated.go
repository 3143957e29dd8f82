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

// Size is the size of a generated system.
type Size struct {
	// Blocks is how many blocks of client addresses there are.
	Blocks   int
	Services int
	Zones    int
	Regions  int
	// Hosts is how many hosts each zone's roster has.
	Hosts int
	// PerSite is how many upstreams a service has in a zone.
	PerSite int
}

// PlannedSize is what the users plan for: 260,000 blocks, 1,760 sites (22
// services in 80 zones) and 74 hosts in a zone.
func PlannedSize() Size {
	return Size{Blocks: 260_000, Services: 22, Zones: 80, Regions: 23, Hosts: 74, PerSite: 24}
}

// ZoneName is the name of zone z.
func ZoneName(z int) string { return fmt.Sprintf("zone-%02d", z) }

// Objects generates zones, and services with a rule and their upstreams.
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

func (s Size) addService(doc *config.Document, name string) {
	doc.Services = append(doc.Services, config.Service{
		Name: name, Class: config.Interactive, Repeat: config.RepeatSafe, Prefer: config.PreferLatency,
		Timeout: config.Duration(time.Second), MaxTimeout: config.Duration(2 * time.Second),
	})
	doc.Rules = append(doc.Rules, config.Rule{Name: name + "-all", Service: name, Selector: "tier=main", Share: 1})
	for z := range s.Zones {
		for u := range s.PerSite {
			n := fmt.Sprintf("%s-%02d-%02d", name, z, u)
			// Each has a loopback address of its own, where nothing listens.
			i := len(doc.Upstreams)
			addr := netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)})
			doc.Upstreams = append(doc.Upstreams, config.Upstream{
				Name: n, Service: name, Zone: ZoneName(z), Addr: netip.AddrPortFrom(addr, 1).String(), Slots: 6,
				Labels: map[string]string{"tier": "main"}, State: config.StateLive,
			})
		}
	}
}

// BlocksDocument generates the blocks of client addresses, one /24 each.
func (s Size) BlocksDocument() config.Document {
	var doc config.Document
	for b := range s.Blocks {
		doc.Blocks = append(doc.Blocks, config.Block{CIDR: s.BlockAddr(b, 0).String() + "/24", Zone: ZoneName(b % s.Zones)})
	}
	return doc
}

// BlockAddr is the address in a block that ends in last.
func (s Size) BlockAddr(block int, last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(1 + block>>16), byte(block >> 8), byte(block), last})
}

// Roster generates the roster of zone z at an epoch.
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

// partitionRoster is the table's partition of the rosters, as in package rosters.
const partitionRoster = "roster"

// Fill writes the generated configuration, a snapshot of it and the rosters.
func (s Size) Fill(ctx context.Context, m *store.Memory) error {
	log := config.NewLog(m, m)
	state := config.NewState()
	for _, part := range []struct {
		id  string
		doc config.Document
	}{{"objects", s.Objects()}, {"blocks", s.BlocksDocument()}} {
		change, err := part.doc.Change(part.id, state.Revision())
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
