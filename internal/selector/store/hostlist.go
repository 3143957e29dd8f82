package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/servesettings"
)

const (
	// hostListTimeout limits one read of the host list, from connecting to
	// the last byte: the list is read every 2 s.
	hostListTimeout = 3 * time.Second
	// maxHostListBytes limits the body that is read; a longer one fails to
	// decode: far above what the 5,900 hosts of docs/design/request.md
	// need.
	maxHostListBytes = 8 << 20
)

// HostList is a client of the platform's list of hosts.
type HostList struct {
	client *http.Client
	url    string
}

// NewHostList makes a client of the list in the settings.
func NewHostList(s servesettings.Platform) *HostList {
	return &HostList{client: &http.Client{Timeout: hostListTimeout}, url: s.HostsURL}
}

// Hosts reads the whole list.
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHostListBytes)).Decode(&hosts)
	return hosts, eris.Wrap(err, "decode host list")
}
