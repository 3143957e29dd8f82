package cmd

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/oklog/ulid/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"k8s.io/apimachinery/pkg/labels"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/drain"
	"cairndock/internal/selector/operator"
)

type drainCmd struct {
	client
	selector string
	service  string
	timeout  time.Duration
}

func (*drainCmd) Name() string { return "drain" }
func (*drainCmd) Synopsis() string {
	return "take upstreams out of service and wait until they are idle"
}
func (*drainCmd) Usage() string {
	return "drain --selector SELECTOR [--service S] [--timeout D]\n"
}

func (c *drainCmd) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.StringVar(&c.selector, "selector", "", "label `selector` of the upstreams")
	f.StringVar(&c.service, "service", "", "only upstreams of this `service`")
	f.DurationVar(&c.timeout, "timeout", 2*time.Minute, "longest wait")
}

// Execute marks the upstreams as leaving and waits until nothing runs there.
func (c *drainCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	selector, err := labels.Parse(c.selector)
	if err != nil || c.selector == "" {
		return usage("drain: --selector must be a label selector")
	}
	names, code := c.markLeaving(ctx, selector)
	if code != subcommands.ExitSuccess {
		return code
	}
	return c.await(ctx, names)
}

// markLeaving changes the state of the matching upstreams, each only if
// nobody changed it in the meantime.
func (c *drainCmd) markLeaving(ctx context.Context, selector labels.Selector) ([]string, subcommands.ExitStatus) {
	doc, err := c.document(ctx)
	if err != nil {
		return nil, fail(err)
	}
	change := config.Document{Versions: map[string]uint64{}}
	var names []string
	regions := map[string]string{}
	for _, z := range doc.Zones {
		regions[z.Name] = z.Region
	}
	for _, u := range doc.Upstreams {
		if (c.service != "" && u.Service != c.service) || !selector.Matches(config.Labels(u, regions[u.Zone])) {
			continue
		}
		names = append(names, u.Name)
		u.State = config.StateLeaving
		change.Upstreams = append(change.Upstreams, u)
		key := config.Ref{Kind: config.KindUpstream, Name: u.Name}.String()
		change.Versions[key] = doc.Versions[key]
	}
	if len(names) == 0 {
		return nil, fail(eris.Errorf("no upstream matches %q", c.selector))
	}
	body, err := toml.Marshal(change)
	if err != nil {
		return nil, fail(err)
	}
	header := http.Header{operator.HeaderChange: {"drain-" + ulid.Make().String()}}
	a, err := c.do(ctx, http.MethodPut, "/v1/config", header, body)
	if err != nil {
		return nil, fail(err)
	}
	_, code := (&applyCmd{client: c.client}).report(a)
	return names, code
}

func (c *drainCmd) document(ctx context.Context) (config.Document, error) {
	a, err := c.do(ctx, http.MethodGet, "/v1/config", nil, nil)
	if err != nil {
		return config.Document{}, err
	}
	return config.ParseDocument(a.Body)
}

const drainPause = 200 * time.Millisecond

func (c *drainCmd) await(ctx context.Context, names []string) subcommands.ExitStatus {
	began := time.Now()
	path := "/v1/drain?upstreams=" + url.QueryEscape(strings.Join(names, ","))
	var d drain.Drained
	for time.Since(began) < c.timeout {
		if _, err := c.get(ctx, path, &d); err != nil {
			return fail(err)
		}
		if d.Outstanding == 0 && d.Taking == 0 && len(d.Unknown) == 0 {
			fmt.Printf("drained %d upstreams in %s\n", len(names), time.Since(began).Round(time.Millisecond))
			return subcommands.ExitSuccess
		}
		time.Sleep(drainPause)
	}
	return fail(eris.Errorf("not drained in %s: %d outstanding, %d hosts still take work, not known: %v",
		c.timeout, d.Outstanding, d.Taking, d.Unknown))
}
