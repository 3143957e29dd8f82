package standin

import (
	"encoding/json"
	"net/http"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/store"
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
	servers  []*Server
}

// Start serves the three services on loopback until Close.
func (p Platform) Start() (*PlatformServers, error) {
	var out PlatformServers
	var urls []string
	for _, h := range []http.Handler{p.TableHandler(), p.ObjectHandler(), p.HostsHandler()} {
		s, err := Listen(h)
		if err != nil {
			out.Close()
			return nil, err
		}
		out.servers = append(out.servers, s)
		urls = append(urls, "http://"+s.Addr)
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
		srv.Close()
	}
}

// HostsHandler serves the host list.
func (p Platform) HostsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hosts, err := p.Memory.Hosts(r.Context())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(hosts)
	})
}
