package soak

import (
	"os"
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

// shareLoads turns balance.even_load on at these hosts. It is called before they start.
func (w *world) shareLoads() {
	for _, h := range w.sharingLoads() {
		f, err := os.OpenFile(h.settings, os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(w.t, err)
		_, err = f.WriteString("[balance]\neven_load = true\n")
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
