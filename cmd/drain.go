package cmd

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"k8s.io/apimachinery/pkg/labels"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/drain"
)

const (
	// drainTimeout is the default of --timeout.
	drainTimeout = 2 * time.Minute
	// drainInterval is the interval at which the drain's progress is polled.
	drainInterval = 200 * time.Millisecond
)

// drainCmd takes upstreams out of service.
type drainCmd struct {
	client
	selector string
	service  string
	timeout  time.Duration
}

func (c *drainCmd) SetFlags(f *flag.FlagSet) {
	c.client.SetFlags(f)
	f.StringVar(&c.selector, "selector", "", "label `selector` of the upstreams")
	f.StringVar(&c.service, "service", "", "only upstreams of this `service`")
	f.DurationVar(&c.timeout, "timeout", drainTimeout, "longest wait")
}

func (c *drainCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	selector, err := labels.Parse(c.selector)
	if err != nil || c.selector == "" {
		return usageError("drain: --selector must be a label selector")
	}
	change, err := c.change(ctx, selector)
	if err != nil {
		return err
	}
	body, err := toml.Marshal(change)
	if err != nil {
		return err
	}
	status, body, err := c.putConfig(ctx, "", "drain-"+ulid.Make().String(), "", body)
	if err != nil {
		return err
	}
	if _, err := c.printChange(status, body); err != nil {
		return err
	}
	return c.await(ctx, change.Upstreams)
}

// change returns a change that sets the state of the matching upstreams to
// leaving. It includes the version of each upstream, so that the change conflicts
// if an upstream is changed in the meantime. It fails if no upstream matches.
func (c *drainCmd) change(ctx context.Context, selector labels.Selector) (config.Document, error) {
	change := config.Document{Versions: map[string]uint64{}}
	body, err := c.get(ctx, "/v1/config")
	if err != nil {
		return change, err
	}
	doc, err := config.ParseDocument(body)
	if err != nil {
		return change, err
	}
	regions := map[string]string{}
	for _, z := range doc.Zones {
		regions[z.Name] = z.Region
	}
	for _, u := range doc.Upstreams {
		if (c.service != "" && u.Service != c.service) || !selector.Matches(config.Labels(u, regions[u.Zone])) {
			continue
		}
		u.State = config.StateLeaving
		change.Upstreams = append(change.Upstreams, u)
		key := config.Ref{Kind: config.KindUpstream, Name: u.Name}.String()
		change.Versions[key] = doc.Versions[key]
	}
	if len(change.Upstreams) == 0 {
		return change, eris.Errorf("no upstream matches %q", c.selector)
	}
	return change, nil
}

// await waits until the upstreams have no outstanding requests and no host sends
// requests to them. It fails if this takes longer than --timeout.
func (c *drainCmd) await(ctx context.Context, upstreams []config.Upstream) error {
	start := time.Now()
	names := make([]string, len(upstreams))
	for i, u := range upstreams {
		names[i] = u.Name
	}
	path := "/v1/drain?upstreams=" + url.QueryEscape(strings.Join(names, ","))
	var progress drain.Drained
	for time.Since(start) < c.timeout {
		var err error
		if progress, _, err = getJSON[drain.Drained](ctx, &c.client, path); err != nil {
			return err
		}
		if progress.Outstanding == 0 && progress.Taking == 0 && len(progress.Unknown) == 0 {
			fmt.Printf("drained %d upstreams in %s\n", len(names), time.Since(start).Round(time.Millisecond))
			return nil
		}
		time.Sleep(drainInterval)
	}
	return eris.Errorf("not drained in %s: %d outstanding, %d hosts still send requests, unknown upstreams: %v",
		c.timeout, progress.Outstanding, progress.Taking, progress.Unknown)
}
