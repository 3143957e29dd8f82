package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/readlimit"
	"cairndock/internal/selector/servesettings"
)

const (
	// hostListTimeout limits one read of the host list, from the start of the
	// connection to the last byte. The list is read every 2 s.
	hostListTimeout = 3 * time.Second
	// maxHostListBytes limits the bytes that are read of the body; a longer body
	// is an error. The limit is far above the size of a list of the 5,900
	// hosts in docs/design/request.md.
	maxHostListBytes = 8 << 20
)

// HostList is a client for the platform's list of hosts.
type HostList struct {
	client *http.Client
	url    string
}

// NewHostList returns a client for the list in the settings.
func NewHostList(s servesettings.Platform) *HostList {
	return &HostList{client: &http.Client{Timeout: hostListTimeout}, url: s.HostsURL}
}

// Hosts reads the whole list. Any error means that the list was not read.
func (l *HostList) Hosts(ctx context.Context) ([]HostState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read host list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("host list: status %d", resp.StatusCode)
	}
	var hosts []HostState
	err = json.NewDecoder(readlimit.New(resp.Body, maxHostListBytes, "the host list at "+l.url)).Decode(&hosts)
	return hosts, eris.Wrap(err, "decode host list")
}
