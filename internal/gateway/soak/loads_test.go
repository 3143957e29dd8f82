package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/stretchr/testify/require"
)

// sharingLoads returns the hosts that share load reports: all hosts if SOAK_EVEN_LOAD is 1,
// every second host of each zone if it is 2, otherwise none.
func (w *world) sharingLoads() []*host {
	every := number("SOAK_EVEN_LOAD", 0)
	var sharing []*host
	for i, h := range w.hosts {
		if every > 0 && i/len(zones)%every == 0 {
			sharing = append(sharing, h)
		}
	}
	return sharing
}

// balanceByVariables turns balance.even_load on at these hosts, and balance.zone_copies at all
// hosts if SOAK_ZONE_COPIES is 1. It is called before the hosts start.
func (w *world) balanceByVariables() {
	sharing, copies := w.sharingLoads(), number("SOAK_ZONE_COPIES", 0) == 1
	for _, h := range w.hosts {
		f, err := os.OpenFile(h.settings, os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(w.t, err)
		_, err = fmt.Fprintf(f, "[balance]\neven_load = %t\nzone_copies = %t\nzone_copies_above = 0\n", slices.Contains(sharing, h), copies)
		require.NoError(w.t, err)
		require.NoError(w.t, f.Close())
	}
}

// checkLoads records a violation if a host that shares load reports with another host of its
// zone received none since the start of its process, or dropped some because of a bound.
func (w *world) checkLoads() {
	sharing := w.sharingLoads()
	perZone := map[string]int{}
	for _, h := range sharing {
		perZone[h.zone.name]++
	}
	for _, h := range sharing {
		sent, received := h.metric(w.t, "cairndock_load_reports_sent_total"), h.metric(w.t, "cairndock_load_reports_received_total")
		w.t.Logf("%s: sent %.0f load reports and received %.0f", h.name, sent, received)
		if perZone[h.zone.name] > 1 && received == 0 {
			w.violation("loads: %s received no load reports", h.name)
		}
		if strings.Contains(h.log.String(), `"event":"load-reports-dropped"`) {
			w.violation("loads: %s dropped load reports because of a bound", h.name)
		}
	}
}
