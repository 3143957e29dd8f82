package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"cairndock/internal/selector/entry"
)

type statusCmd struct{ client }

func (*statusCmd) Name() string               { return "status" }
func (*statusCmd) Synopsis() string           { return "show zones, services and shifts as one host sees them" }
func (*statusCmd) Usage() string              { return "status [--json]\n" }
func (c *statusCmd) SetFlags(f *flag.FlagSet) { c.flags(f) }

// Execute prints a table, or JSON for automation.
func (c *statusCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var s entry.Status
	body, err := c.get(ctx, "/v1/status", &s)
	if err != nil {
		return fail(err)
	}
	if c.json {
		printJSON(body)
		return subcommands.ExitSuccess
	}
	printStatus(s)
	return subcommands.ExitSuccess
}

func printStatus(s entry.Status) {
	fmt.Printf("host %s in %s: revision %d, proved newest %d ms ago", s.Host, s.Zone, s.Revision, s.FreshMillis)
	if s.Frozen {
		fmt.Print(", FROZEN")
	}
	if s.Leaving {
		fmt.Print(", LEAVING")
	}
	if !s.Ready {
		fmt.Print(", NOT READY")
	}
	fmt.Println()
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ZONE\tREGION\tREVISION\tFRESH\tHOSTS UP\tSLOTS\tUSABLE\tFREE")
	for _, z := range s.Zones {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d ms\t%d/%d\t%d\t%d\t%d\n", z.Zone, z.Region, z.Revision, z.FreshMillis, z.Up, z.Hosts, z.Slots, z.Held, z.Free)
	}
	_ = t.Flush()
	fmt.Fprintln(t, "SERVICE\tRULE\tSHARE\tTARGET\tCAP\tPACE")
	for _, svc := range s.Services {
		for _, r := range svc.Shares {
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f\n", svc.Service, r.Rule, r.Share, r.Target, r.Cap, r.Pace)
		}
	}
	_ = t.Flush()
	for _, name := range s.Leavers {
		fmt.Println("leaving:", name)
	}
}
