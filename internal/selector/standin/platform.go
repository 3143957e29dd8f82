// Package standin has small stand-ins for what surrounds the entry hosts, for
// the quick start, `cairndock standin` and tests: an Upstream that records what
// it ran and fails on request, a Platform that serves a store.Memory by the wire
// protocols of the real services, and a generated system of the planned Size.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/store"
)

const (
	// loopback is any free port of the own machine: a stand-in has no access
	// control.
	loopback = "127.0.0.1:0"
	// platformHeaderTimeout limits reading the headers of a request to the
	// platform stand-in.
	platformHeaderTimeout = time.Second
)

// Platform serves a store.Memory by the protocols that the store package's
// clients speak: the table by DynamoDB's JSON protocol, objects by the S3
// protocol and the host list as JSON. It knows only the operations that they
// use, and only the conditions that they set.
type Platform struct{ Memory *store.Memory }

// PlatformServers are the running servers of a Platform.
type PlatformServers struct {
	// Settings are a host's settings to reach them.
	Settings servesettings.Platform
	servers  []*http.Server
}

// Start serves the three services at free ports of loopback until Close.
func (p Platform) Start() (*PlatformServers, error) {
	var out PlatformServers
	var urls []string
	for _, h := range []http.HandlerFunc{p.serveTable, p.serveObjects, p.serveHosts} {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			out.Close()
			return nil, eris.Wrap(err, "listen")
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: platformHeaderTimeout}
		// Serve ends with Close; a loopback listener does not fail before.
		go func() { _ = s.Serve(l) }()
		out.servers = append(out.servers, s)
		urls = append(urls, "http://"+l.Addr().String())
	}
	out.Settings = servesettings.Platform{
		TableEndpoint: urls[0], ObjectEndpoint: urls[1], HostsURL: urls[2],
		Table: "cairndock", Bucket: "cairndock", Region: "local", AccessKey: "stand-in", SecretKey: "stand-in",
	}
	return &out, nil
}

// Close ends the servers at once.
func (s *PlatformServers) Close() {
	for _, srv := range s.servers {
		_ = srv.Close() // closes the listener in any case
	}
}

func (p Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Memory.Hosts(r.Context())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(hosts)
}
