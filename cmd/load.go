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

type loadCmd struct {
	entry     string
	upstreams string
	duration  time.Duration
	ramp      time.Duration
	timeout   time.Duration
	service   string
	bulk      string
	lookups   float64
	bookings  float64
	downloads float64
	resend    bool
	changes   load.Changes
	json      bool
}

func (c *loadCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", "127.0.0.1:8080", "caller `address` of any host")
	f.StringVar(&c.upstreams, "upstreams", "", "`addresses` of stand-in upstreams, to read their ledgers")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "how long requests arrive")
	f.DurationVar(&c.ramp, "ramp", 0, "how long the rates rise from nothing")
	f.DurationVar(&c.timeout, "timeout", 0, "deadline of each request; the service's own by default")
	f.StringVar(&c.service, "service", "planning", "`service` of lookups and bookings")
	f.StringVar(&c.bulk, "bulk-service", "documents", "`service` of downloads")
	f.Float64Var(&c.lookups, "lookups", 200, "lookups per second")
	f.Float64Var(&c.bookings, "bookings", 0, "bookings with tickets per second")
	f.Float64Var(&c.downloads, "downloads", 0, "downloads of 1 MB per second")
	f.BoolVar(&c.resend, "resend", true, "send each booking twice, by two hosts")
	f.Float64Var(&c.changes.Rate, "changes", 0, "configuration changes per second, beside the load")
	f.BoolVar(&c.changes.Everywhere, "everywhere", false, "time each change until it is in force in every zone")
	f.StringVar(&c.changes.Operator, "operator", "127.0.0.1:8081", "operator `address` of a host, for changes")
	f.StringVar(&c.changes.Token, "token", os.Getenv(envToken), "operator's `token`, for changes")
	f.StringVar(&c.changes.Rule, "rule", "documents-all", "`rule` that is changed, of the bulk service")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// run fails if the load found a violation.
func (c *loadCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	o := load.Options{Entry: c.entry, Duration: c.duration, Classes: c.classes()}
	if c.upstreams != "" {
		o.Upstreams = strings.Split(c.upstreams, ",")
	}
	if err := o.Check(); err != nil {
		return usageError("load: " + err.Error())
	}
	changed := c.startChanges(ctx)
	report, err := load.Run(ctx, o)
	if err != nil {
		return err
	}
	report.Changes = <-changed
	if c.json {
		_ = json.NewEncoder(os.Stdout).Encode(report) // fails only if the output is closed
	} else {
		report.Print(os.Stdout)
	}
	return violations(report)
}

// violations is the error of a printed report with any violation.
func violations(r load.Report) error {
	if r.HasViolations() {
		return errReported
	}
	return nil
}

// startChanges sends configuration changes for as long as requests arrive.
func (c *loadCmd) startChanges(ctx context.Context) <-chan *load.ChangeResult {
	out := make(chan *load.ChangeResult, 1)
	if c.changes.Rate == 0 {
		out <- nil
		return out
	}
	c.changes.Service = c.bulk
	go func() {
		ctx, cancel := context.WithTimeout(ctx, c.duration)
		defer cancel()
		result, err := load.RunChanges(ctx, c.changes)
		if err != nil {
			fmt.Fprintln(os.Stderr, "cairndock:", err)
		}
		out <- &result
	}()
	return out
}

func (c *loadCmd) classes() []load.Class {
	all := []load.Class{
		{Name: "lookups", Service: c.service, Method: http.MethodGet, Path: "/tracks/%d", Rate: c.lookups, Echo: true},
		{Name: "bookings", Service: c.service, Method: http.MethodPost, Path: "/bookings", Body: "{}", Rate: c.bookings, Ticket: true, Resend: c.resend},
		{Name: "downloads", Service: c.bulk, Method: http.MethodGet, Path: "/bytes/1000000", Rate: c.downloads},
	}
	var out []load.Class
	for _, class := range all {
		if class.Rate > 0 {
			class.Ramp, class.Timeout = c.ramp, c.timeout
			out = append(out, class)
		}
	}
	return out
}
