package steer

// SiteStatus is what a decider knows of one zone under one rule, for the status
// page.
type SiteStatus struct {
	Rule string `json:"rule"`
	Zone string `json:"zone"`
	// Slots is how many the zone's upstreams have by the configuration.
	Slots int `json:"slots"`
	// Use is the part of them that is taken, as far as this host knows.
	Use       float64 `json:"use"`
	RTTMillis float64 `json:"rtt_ms"`
	Reachable bool    `json:"reachable"`
	// Score is the expected time there, in seconds.
	Score float64 `json:"score"`
}

// Status gives what is known of every rule's zones.
func (d *Decider) Status(now int64) []SiteStatus {
	var out []SiteStatus
	for _, r := range d.rules {
		for i := range r.sites {
			s := &r.sites[i]
			out = append(out, SiteStatus{
				Rule: r.name, Zone: s.zone, Slots: s.slots, Use: d.use(s, now),
				RTTMillis: s.state.rtt * 1e3, Reachable: s.state.reachable, Score: d.score(s, now),
			})
		}
	}
	return out
}
