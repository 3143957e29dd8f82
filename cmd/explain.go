package cmd

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"os"
	"text/tabwriter"

	"cairndock/internal/selector/entry"
)

// explainCmd prints how a request would be routed.
type explainCmd struct {
	client
	service string
	caller  string
}

func (c *explainCmd) SetFlags(f *flag.FlagSet) {
	c.client.SetFlags(f)
	f.StringVar(&c.service, "service", "", "service `name`")
	f.StringVar(&c.caller, "caller", "127.0.0.1", "the client's `IP` address")
}

func (c *explainCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	if c.service == "" {
		return usageError("explain: --service must be given")
	}
	query := url.Values{"service": {c.service}, "caller": {c.caller}}
	_, err := show(ctx, &c.client, "/v1/explain?"+query.Encode(), printExplanation)
	return err
}

// printExplanation prints the rules and sites that apply to a client's request.
func printExplanation(e entry.Explanation) {
	fmt.Printf("caller %s is in zone %q; revision %d\n", e.Caller, e.CallerZone, e.Revision)
	t := newTable()
	fmt.Fprintln(t, "RULE\tSELECTOR\tSHARE\tTARGET\tCAP\tWHY")
	for _, r := range e.Rules {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%s\n", r.Rule, r.Selector, r.Share, r.Target, r.Cap, r.Why)
	}
	_ = t.Flush() // fails only if standard output is closed
	fmt.Fprintln(t, "RULE\tZONE\tSLOTS\tUSE\tRTT\tREACHABLE\tSCORE")
	for _, s := range e.Sites {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.0f%%\t%.2f ms\t%v\t%.5f\n", s.Rule, s.Zone, s.Slots, 100*s.Use, s.RTTMillis, s.Reachable, s.Score)
	}
	_ = t.Flush()
}

// newTable returns a writer that aligns tab-separated columns on standard output.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0) }
