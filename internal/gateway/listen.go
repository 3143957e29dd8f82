package gateway

import (
	"net/http"
	"net/http/pprof"
	"time"

	"cairndock/platform"
)

// listen opens the host's listeners. Peers have theirs in package fleet.
func (g *Gateway) listen() error {
	l := g.settings.Listen
	if _, err := g.server.ListenClients(l.Callers); err != nil {
		return err
	}
	if err := g.server.Listen(l.Readiness, platform.Readiness(g.proxy.Ready)); err != nil {
		return err
	}
	ttl := time.Duration(g.settings.Limits.DirectoryTTL)
	if err := g.server.Listen(l.Directory, platform.Directory(ttl, g.clientAddresses)); err != nil {
		return err
	}
	if l.Metrics == "" {
		return nil
	}
	return g.server.Listen(l.Metrics, g.metricsHandler())
}

// metricsHandler serves the metrics at every path, and profiles of memory and
// processor time below /debug/pprof/.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { g.metrics.Write(w) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}
