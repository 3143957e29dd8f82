package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/readlimit"
)

// discover requests the list of hosts to use from the nearest known host, as
// clients do.
func (r *run) discover(ctx context.Context) error {
	host := r.options.Entry
	if known := r.hosts.Load(); known != nil {
		host = (*known)[0]
	}
	var out struct {
		Entries []struct {
			Addr string `json:"addr"`
		} `json:"entries"`
	}
	if err := r.request(ctx, http.MethodGet, "http://"+host+"/v1/entries?service="+r.options.Classes[0].Service, &out); err != nil {
		return err
	}
	var hosts []string
	for _, e := range out.Entries {
		if checkLoopback(e.Addr) == nil {
			hosts = append(hosts, e.Addr)
		}
	}
	if len(hosts) == 0 {
		return eris.New("host list contains no loopback address")
	}
	r.hosts.Store(&hosts)
	return nil
}

// maxEntriesBytes limits the response of the directory of hosts.
const maxEntriesBytes = 8 << 20

// roundTrip sends a request and decodes the JSON response into out, unless out is
// nil. It fails if the status is 300 or above.
func roundTrip(client *http.Client, req *http.Request, out any) error {
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("host responded with status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(readlimit.New(resp.Body, maxEntriesBytes, "the response of "+req.URL.Host)).Decode(out), "decode response")
}

// request sends a request without a body and decodes the response into out.
func (r *run) request(ctx context.Context, method, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	return roundTrip(r.client, req, out)
}

// refreshHosts updates the hosts to use every refreshInterval until ctx is done.
func (r *run) refreshHosts(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = r.discover(ctx) // after an error the current hosts stay in use
		}
	}
}
