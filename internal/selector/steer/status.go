package steer

// SiteStatus describes one zone under one rule, for the status page.
type SiteStatus struct {
	Rule string `json:"rule"`
	Zone string `json:"zone"`
	// Slots is the number of slots of the zone's upstreams in the configuration.
	Slots int `json:"slots"`
	// Use is the fraction of the slots that is in use according to this host's
	// data.
	Use       float64 `json:"use"`
	RTTMillis float64 `json:"rtt_ms"`
	Reachable bool    `json:"reachable"`
	// Score is the expected time of a request at the zone, in seconds.
	Score float64 `json:"score"`
}

// Status returns the status of the zones of all rules.
func (d *Decider) Status(now int64) []SiteStatus {
	var out []SiteStatus
	for _, r := range d.rules {
		for i := range r.sites {
			s := &r.sites[i]
			out = append(out, SiteStatus{
				Rule: r.name, Zone: s.zone, Slots: s.slots, Use: d.utilization(s, now),
				RTTMillis: s.state.rtt * 1e3, Reachable: s.state.reachable, Score: d.score(s, now),
			})
		}
	}
	return out
}
