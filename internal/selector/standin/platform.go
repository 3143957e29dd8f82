// Package standin contains small stand-ins for the systems around the entry hosts.
// The quick start, `cairndock standin` and tests use them. An Upstream records the
// requests that it ran and can be made to fail. A Platform serves a store.Memory
// over the wire protocols of the real services. A Size generates a system, for
// example of the planned size.
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
	// loopback is a loopback address with any free port. Stand-ins listen only on
	// loopback because they have no access control.
	loopback = "127.0.0.1:0"
	// platformHeaderTimeout limits reading the headers of a request to the
	// platform stand-in.
	platformHeaderTimeout = time.Second
)

// Platform serves a store.Memory over the protocols that the clients in package
// store use: the table over DynamoDB's JSON protocol, objects over the S3 protocol
// and the host list as JSON. It supports only the operations and conditions that
// these clients use.
type Platform struct{ Memory *store.Memory }

// PlatformServers are the running servers of a Platform.
type PlatformServers struct {
	// Settings are a host's settings for these servers.
	Settings servesettings.Platform
	servers  []*http.Server
}

// Start serves the three services on free loopback ports until Close. It fails if
// it can't listen.
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
		// Serve returns after Close. A loopback listener does not fail earlier.
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

// Close closes the servers immediately.
func (s *PlatformServers) Close() {
	for _, srv := range s.servers {
		_ = srv.Close() // the listener is closed even after an error
	}
}

// serveHosts serves the host list.
func (p Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Memory.Hosts(r.Context())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(hosts)
}
