package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/oklog/ulid/v2"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/operator"
)

type applyCmd struct {
	client
	file   string
	base   string
	change string
	wait   bool
}

func (*applyCmd) Name() string     { return "apply" }
func (*applyCmd) Synopsis() string { return "submit a configuration change" }
func (*applyCmd) Usage() string {
	return "apply --config FILE [--if-match REVISION] [--change ID] [--wait]\n"
}

func (c *applyCmd) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.StringVar(&c.file, "config", "", "configuration `file` (TOML)")
	f.StringVar(&c.base, "if-match", "", "`revision` that the file is based on")
	f.StringVar(&c.change, "change", "", "own `id` of the change, to send it again safely")
	f.BoolVar(&c.wait, "wait", false, "wait until it is in force in every zone, and show progress")
}

// Execute submits the change. An answer that is lost is asked for again by
// the same id, which never applies twice.
func (c *applyCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" {
		return usage("apply: --config must be given")
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return fail(err)
	}
	if _, err := config.ParseDocument(data); err != nil {
		return fail(err)
	}
	applied, code := c.submit(ctx, data)
	if code != subcommands.ExitSuccess || !c.wait {
		return code
	}
	return c.follow(ctx, applied)
}

const submitTries = 3

func (c *applyCmd) submit(ctx context.Context, data []byte) (configsync.Applied, subcommands.ExitStatus) {
	if c.change == "" {
		c.change = ulid.Make().String()
	}
	header := http.Header{operator.HeaderChange: {c.change}}
	if c.base != "" {
		header.Set("If-Match", c.base)
	}
	path := "/v1/config"
	if c.wait {
		path += "?wait=0s"
	}
	var a answer
	var err error
	for range submitTries {
		if a, err = c.do(ctx, http.MethodPut, path, header, data); err == nil && a.Status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(time.Second)
	}
	if err != nil {
		return configsync.Applied{}, fail(err)
	}
	return c.report(a)
}

func (c *applyCmd) report(a answer) (configsync.Applied, subcommands.ExitStatus) {
	var applied configsync.Applied
	switch a.Status {
	case http.StatusOK, http.StatusAccepted:
		if err := json.Unmarshal(a.Body, &applied); err != nil {
			return applied, fail(err)
		}
		c.print(a.Body, applied)
		return applied, subcommands.ExitSuccess
	case http.StatusConflict:
		var conflict config.Conflict
		if err := json.Unmarshal(a.Body, &conflict); err != nil {
			return applied, fail(err)
		}
		fmt.Fprintf(os.Stderr, "cairndock: conflict: %s was changed by %q at revision %d\n", conflict.Ref, conflict.WinnerID, conflict.Winner)
		return applied, exitConflict
	}
	fmt.Fprintf(os.Stderr, "cairndock: host answered %d: %s\n", a.Status, a.Body)
	return applied, subcommands.ExitFailure
}

func (c *applyCmd) print(body []byte, a configsync.Applied) {
	if c.json {
		printJSON(body)
		return
	}
	fmt.Printf("change %s %s at revision %d\n", a.Change, a.State, a.Revision)
	for _, z := range a.Zones {
		fmt.Printf("  %-16s %s\n", z.Zone, zoneWord(z))
	}
}

func zoneWord(z configsync.ZoneProgress) string {
	switch {
	case z.Confirmed:
		return "in force"
	case z.Lapsed:
		return "can't be asked; frozen if it has not the change"
	case len(z.Lagging) > 0:
		return "waits for " + strings.Join(z.Lagging, ", ")
	}
	return "waits"
}

const (
	followPause = 500 * time.Millisecond
	// followTries bounds the wait to a minute.
	followTries = 120
)

// follow shows the progress until every zone has the change in force.
func (c *applyCmd) follow(ctx context.Context, a configsync.Applied) subcommands.ExitStatus {
	began := time.Now()
	for range followTries {
		if a.State == configsync.StateAccepted || time.Since(began) > configsync.FreezeAfter+time.Second {
			return subcommands.ExitSuccess
		}
		time.Sleep(followPause)
		body, err := c.get(ctx, "/v1/changes/"+url.PathEscape(a.Change), &a)
		if err != nil {
			return fail(err)
		}
		c.print(body, a)
	}
	return subcommands.ExitFailure
}
