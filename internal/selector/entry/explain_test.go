package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/shift"
	"cairndock/internal/selector/steer"
)

// The explanation of a rule must give the first reason that applies.
func TestExplainRule(t *testing.T) {
	site := func(rule string, reachable bool, use float64) steer.SiteStatus {
		return steer.SiteStatus{Rule: rule, Slots: 2, Reachable: reachable, Use: use}
	}
	matched := config.RuleView{Sites: []config.Site{{Zone: "costa-a", Slots: 2}}}
	matched.Name = "all"
	unmatched := config.RuleView{}
	unmatched.Name = "all"
	cases := []struct {
		name   string
		rule   config.RuleView
		status shift.Status
		sites  []steer.SiteStatus
		want   string
	}{
		{"no upstream", unmatched, shift.Status{Share: 1, Target: 1}, nil, "its selector matches no upstream"},
		{"not reached", matched, shift.Status{Share: 1, Target: 1}, []steer.SiteStatus{site("all", false, 0), site("other", true, 0)}, "no zone with a matching upstream can be reached"},
		{"full", matched, shift.Status{Share: 1, Target: 1}, []steer.SiteStatus{site("all", true, 1)}, "every zone that it matches is full"},
		{"without a share", matched, shift.Status{}, []steer.SiteStatus{site("all", true, 0.5)}, "its share is 0; it takes what the other rules can't, up to its cap"},
		{"on a ramp", matched, shift.Status{Share: 0.2, Target: 1}, []steer.SiteStatus{site("all", true, 0.5)}, "its share is moving to its target"},
		{"chosen", matched, shift.Status{Share: 1, Target: 1}, []steer.SiteStatus{site("all", true, 0.5), site("all", true, 1)}, "it is chosen for its share"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, explainRule(tc.rule, tc.status, tc.sites).Why)
		})
	}
}
