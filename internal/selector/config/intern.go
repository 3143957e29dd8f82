package config

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"unique"
)

// labelSets holds one map for each set of labels ever seen, by its text. They
// are few, and tens of thousands of upstreams share them; none is ever dropped.
var labelSets sync.Map

// intern makes the upstream share its strings and labels with others.
func (u *Upstream) intern() {
	u.Service = unique.Make(u.Service).Value()
	u.Zone = unique.Make(u.Zone).Value()
	u.State = UpstreamState(unique.Make(string(u.State)).Value())
	if len(u.Labels) == 0 {
		return
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(u.Labels)) {
		text.WriteString(name + "\x00" + u.Labels[name] + "\x00")
	}
	shared, _ := labelSets.LoadOrStore(text.String(), u.Labels)
	u.Labels = shared.(map[string]string)
}
