package gateway

import (
	"fmt"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"cairndock/internal/poison"
	"cairndock/platform"
)

// listen opens the host's listeners, except the listener for peers, which package fleet
// opens.
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

// metricsHandler serves the metrics at every path, memory and CPU profiles below
// /debug/pprof/, and the quarantined requests below quarantinePath.
func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { g.metrics.Write(w) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET "+quarantinePath, g.listQuarantined)
	mux.HandleFunc("DELETE "+quarantinePath+"/{fingerprint}", g.release)
	return mux
}

// quarantinePath is the path at which operators list and release quarantined requests.
const quarantinePath = "/quarantine"

// listQuarantined writes a line for each quarantined request: its fingerprint and the
// runs of upstreams that terminated under it. Write errors are ignored, because they
// mean that the operator disconnected.
func (g *Gateway) listQuarantined(w http.ResponseWriter, _ *http.Request) {
	for _, q := range g.suspicions.List() {
		_, _ = fmt.Fprintln(w, q.Fingerprint, strings.Join(q.Runs, " "))
	}
}

// release releases a quarantined request on all hosts. A request that is not quarantined
// is no error, because another operator may have released it already.
func (g *Gateway) release(w http.ResponseWriter, r *http.Request) {
	f, err := poison.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.suspicions.Release(f)
	w.WriteHeader(http.StatusNoContent)
}
