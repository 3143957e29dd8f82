package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"cairndock/internal/selector/load"
)

// loadCmd sends a load to a running system.
type loadCmd struct {
	options   load.Options
	upstreams string
	lookups   load.Class
	bookings  load.Class
	downloads load.Class
	ramp      time.Duration
	timeout   time.Duration
	changes   load.Changes
	json      bool
}

func (c *loadCmd) SetFlags(f *flag.FlagSet) {
	c.lookups, c.bookings = load.Lookups("", 0), load.Bookings("", 0)
	c.downloads = load.Class{Name: "downloads", Method: http.MethodGet, Path: "/bytes/1000000"}
	f.StringVar(&c.options.Entry, "entry", "127.0.0.1:8080", "client `address` of any host")
	f.StringVar(&c.upstreams, "upstreams", "", "`addresses` of stand-in upstreams, to read their ledgers")
	f.DurationVar(&c.options.Duration, "duration", 10*time.Second, "how long requests arrive")
	f.DurationVar(&c.ramp, "ramp", 0, "how long the rates rise from nothing")
	f.DurationVar(&c.timeout, "timeout", 0, "deadline of each request; the service's own by default")
	f.StringVar(&c.lookups.Service, "service", "planning", "`service` of lookups and bookings")
	f.StringVar(&c.downloads.Service, "bulk-service", "documents", "`service` of downloads")
	f.Float64Var(&c.lookups.Rate, "lookups", 200, "lookups per second")
	f.Float64Var(&c.bookings.Rate, "bookings", 0, "bookings with tickets per second")
	f.Float64Var(&c.downloads.Rate, "downloads", 0, "downloads of 1 MB per second")
	f.BoolVar(&c.bookings.Resend, "resend", true, "send each booking twice, by two hosts")
	f.Float64Var(&c.changes.Rate, "changes", 0, "configuration changes per second, beside the load")
	f.BoolVar(&c.changes.Everywhere, "everywhere", false, "time each change until it is in force in every zone")
	f.StringVar(&c.changes.Operator, "operator", "127.0.0.1:8081", "operator `address` of a host, for changes")
	f.StringVar(&c.changes.Token, "token", os.Getenv(envToken), "operator's `token`, for changes")
	f.StringVar(&c.changes.Rule, "rule", "documents-all", "`rule` that is changed, of the bulk service")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// run sends the load and prints the report. It fails if the load found a
// violation.
func (c *loadCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	o := c.options
	c.bookings.Service, c.changes.Service = c.lookups.Service, c.downloads.Service
	for _, class := range []load.Class{c.lookups, c.bookings, c.downloads} {
		if class.Rate > 0 {
			class.Ramp, class.Timeout = c.ramp, c.timeout
			o.Classes = append(o.Classes, class)
		}
	}
	if c.upstreams != "" {
		o.Upstreams = strings.Split(c.upstreams, ",")
	}
	if err := o.Check(); err != nil {
		return usageError("load: " + err.Error())
	}
	changeResult := c.startChanges(ctx)
	report, err := load.Run(ctx, o)
	if err != nil {
		return err
	}
	report.Changes = <-changeResult
	if c.json {
		_ = json.NewEncoder(os.Stdout).Encode(report) // fails only if standard output is closed
	} else {
		report.Print(os.Stdout)
	}
	return violationError(report)
}

// violationError returns an error if the printed report has any violation.
func violationError(r load.Report) error {
	if r.HasViolations() {
		return errReported
	}
	return nil
}

// startChanges sends configuration changes for the duration of the load. The
// returned channel receives the result, or nil if there are no changes to send.
func (c *loadCmd) startChanges(ctx context.Context) <-chan *load.ChangeResult {
	out := make(chan *load.ChangeResult, 1)
	if c.changes.Rate == 0 {
		out <- nil
		return out
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, c.options.Duration)
		defer cancel()
		result, err := load.RunChanges(ctx, c.changes)
		if err != nil {
			fmt.Fprintln(os.Stderr, "cairndock:", err)
		}
		out <- &result
	}()
	return out
}
