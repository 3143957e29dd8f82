package cmd

import (
	"context"
	"flag"
	"fmt"

	"cairndock/internal/selector/entry"
)

// statusCmd prints the status of a host.
type statusCmd struct{ client }

func (c *statusCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	_, err := show(ctx, &c.client, "/v1/status", printStatus)
	return err
}

// printStatus prints the host's state, its zones and the shares of its services.
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
	t := newTable()
	fmt.Fprintln(t, "ZONE\tREGION\tREVISION\tFRESH\tHOSTS UP\tSLOTS\tUSABLE\tFREE")
	for _, z := range s.Zones {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d ms\t%d/%d\t%d\t%d\t%d\n", z.Zone, z.Region, z.Revision, z.FreshMillis, z.Up, z.Hosts, z.Slots, z.Held, z.Free)
	}
	_ = t.Flush() // fails only if standard output is closed
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
