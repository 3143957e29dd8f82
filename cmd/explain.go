package cmd

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"cairndock/internal/selector/entry"
)

type explainCmd struct {
	client
	service string
	caller  string
}

func (*explainCmd) Name() string     { return "explain" }
func (*explainCmd) Synopsis() string { return "say how a caller's request would be steered, and why" }
func (*explainCmd) Usage() string    { return "explain --service S --caller IP [--json]\n" }
func (c *explainCmd) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.StringVar(&c.service, "service", "", "service `name`")
	f.StringVar(&c.caller, "caller", "127.0.0.1", "the caller's `IP` address")
}

// Execute prints each rule with the reason why it was or wasn't chosen.
func (c *explainCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.service == "" {
		return usage("explain: --service must be given")
	}
	query := url.Values{"service": {c.service}, "caller": {c.caller}}
	var e entry.Explanation
	body, err := c.get(ctx, "/v1/explain?"+query.Encode(), &e)
	if err != nil {
		return fail(err)
	}
	if c.json {
		printJSON(body)
		return subcommands.ExitSuccess
	}
	fmt.Printf("caller %s is in zone %q; revision %d\n", e.Caller, e.CallerZone, e.Revision)
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "RULE\tSELECTOR\tSHARE\tTARGET\tCAP\tWHY")
	for _, r := range e.Rules {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%s\n", r.Rule, r.Selector, r.Share, r.Target, r.Cap, r.Why)
	}
	_ = t.Flush()
	fmt.Fprintln(t, "RULE\tZONE\tSLOTS\tUSE\tRTT\tREACHABLE\tSCORE")
	for _, s := range e.Sites {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.0f%%\t%.2f ms\t%v\t%.5f\n", s.Rule, s.Zone, s.Slots, 100*s.Use, s.RTTMillis, s.Reachable, s.Score)
	}
	_ = t.Flush()
	return subcommands.ExitSuccess
}
