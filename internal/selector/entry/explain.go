package entry

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/directory"
	"cairndock/internal/selector/shift"
	"cairndock/internal/selector/steer"
)

// Explanation describes how a client's request to a service would be steered.
type Explanation struct {
	Service    string             `json:"service"`
	Caller     string             `json:"caller"`
	CallerZone string             `json:"caller_zone"`
	Revision   uint64             `json:"revision"`
	Frozen     bool               `json:"frozen"`
	Rules      []RuleExplanation  `json:"rules"`
	Sites      []steer.SiteStatus `json:"sites"`
	Entries    []directory.Entry  `json:"entries"`
}

// RuleExplanation describes why a rule would or would not be chosen.
type RuleExplanation struct {
	Rule     string  `json:"rule"`
	Selector string  `json:"selector"`
	Share    float64 `json:"share"`
	Target   float64 `json:"target"`
	Cap      float64 `json:"cap"`
	Why      string  `json:"why"`
}

// Explain returns how a client's request would be steered. It returns an error if
// the service is unknown.
func (h *Host) Explain(service string, client netip.Addr) (Explanation, error) {
	v := h.View()
	svc, ok := v.Service(service)
	if !ok {
		return Explanation{}, eris.Errorf("no service %q", service)
	}
	status := h.serviceStatus(service)
	e := Explanation{
		Service: service, Caller: client.String(), CallerZone: v.ClientZone(client), Revision: v.Revision(),
		Frozen: h.config.Frozen(), Sites: status.Sites, Entries: h.directory.Entries(service, client).Entries,
	}
	for i, r := range svc.Rules {
		if i < len(status.Shares) {
			e.Rules = append(e.Rules, explainRule(r, status.Shares[i], status.Sites))
		}
	}
	return e, nil
}

// explainRule returns why a rule would or would not be chosen, with the first
// reason that applies.
func explainRule(r config.RuleView, s shift.Status, sites []steer.SiteStatus) RuleExplanation {
	e := RuleExplanation{Rule: r.Name, Selector: r.Selector, Share: s.Share, Target: s.Target, Cap: s.Cap}
	reachable, free := 0, 0
	for _, site := range sites {
		if site.Rule != r.Name || !site.Reachable || site.Slots == 0 {
			continue
		}
		reachable++
		if site.Use < 1 {
			free++
		}
	}
	switch {
	case len(r.Sites) == 0:
		e.Why = "its selector matches no upstream"
	case reachable == 0:
		e.Why = "no zone with a matching upstream can be reached"
	case free == 0:
		e.Why = "every zone that it matches is full"
	case s.Share == 0 && s.Target == 0:
		e.Why = "its share is 0; it takes what the other rules can't, up to its cap"
	case s.Share != s.Target:
		e.Why = "its share is moving to its target"
	default:
		e.Why = "it is chosen for its share"
	}
	return e
}
