package quickstart

import (
	"time"

	"cairndock/internal/selector/config"
)

// Values of the configuration. They are chosen so that the effects of a share, of
// its cap and of a link's limit can be observed.
const (
	// planningShare is the target share of each of the planning service's rules.
	planningShare = 0.5
	// costaCap is the maximum share of the region costa.
	costaCap = 0.6
	// linkBytesPerSecond is the limit of each link between two regions.
	linkBytesPerSecond = 20_000_000
)

// document returns the initial configuration of the quick start.
func (s *System) document() config.Document {
	shareCap := costaCap
	doc := config.Document{
		Zones: zones,
		Services: []config.Service{
			{
				Name: planning, Class: config.Interactive, Repeat: config.RepeatSafe, Prefer: config.PreferHeadroom,
				Timeout: config.Duration(2 * time.Second), MaxTimeout: config.Duration(5 * time.Second),
			},
			{
				Name: documents, Class: config.Bulk, Repeat: config.RepeatSafe, Prefer: config.PreferHeadroom,
				Timeout: config.Duration(20 * time.Second), MaxTimeout: config.Duration(time.Minute),
			},
		},
		Upstreams: s.configured,
		Rules: []config.Rule{
			{Name: "planning-costa", Service: planning, Selector: "region=costa", Share: planningShare, Cap: &shareCap},
			{Name: "planning-rest", Service: planning, Selector: "region!=costa", Share: planningShare},
			{Name: "documents-all", Service: documents, Selector: "tier=main", Share: 1},
		},
		Blocks: []config.Block{{CIDR: "127.0.0.0/8", Zone: "costa-a"}, {CIDR: "10.2.0.0/16", Zone: "sierra-a"}},
	}
	for _, from := range regions {
		for _, to := range regions {
			if from != to {
				doc.Links = append(doc.Links, config.Link{From: from, To: to, BytesPerSecond: linkBytesPerSecond})
			}
		}
	}
	return doc
}
