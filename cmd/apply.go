package cmd

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configsync"
)

const (
	// submitAttempts is the maximum number of times that a change is sent. It is
	// sent again after an error or the status 503.
	submitAttempts = 3
	// submitRetryDelay is the delay after each of these attempts that failed.
	submitRetryDelay = time.Second
	// progressInterval is the interval at which a change's progress is polled.
	progressInterval = 500 * time.Millisecond
	// maxProgressPolls limits the wait for a change to a minute.
	maxProgressPolls = 120
)

// applyCmd submits a configuration change.
type applyCmd struct {
	client
	file   string
	base   string
	change string
	wait   bool
}

func (c *applyCmd) SetFlags(f *flag.FlagSet) {
	c.client.SetFlags(f)
	f.StringVar(&c.file, "config", "", "configuration `file` (TOML)")
	f.StringVar(&c.base, "if-match", "", "`revision` that the file is based on")
	f.StringVar(&c.change, "change", "", "own `id` of the change, to send it again safely")
	f.BoolVar(&c.wait, "wait", false, "wait until it is in force in every zone, and show progress")
}

func (c *applyCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	if c.file == "" {
		return usageError("apply: --config must be given")
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return err
	}
	if _, err := config.ParseDocument(data); err != nil {
		return err
	}
	applied, err := c.submit(ctx, data)
	if err != nil || !c.wait {
		return err
	}
	return c.followProgress(ctx, applied)
}

// submit sends the change. If the response is lost, the change is sent again with
// the same id, which the log accepts only once.
func (c *applyCmd) submit(ctx context.Context, document []byte) (configsync.Applied, error) {
	if c.change == "" {
		c.change = ulid.Make().String()
	}
	query := ""
	if c.wait {
		query = "?wait=0s"
	}
	var status int
	var body []byte
	var err error
	for range submitAttempts {
		status, body, err = c.putConfig(ctx, query, c.change, c.base, document)
		if err == nil && status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(submitRetryDelay)
	}
	if err != nil {
		return configsync.Applied{}, err
	}
	return c.printChange(status, body)
}

// followProgress prints a change's progress until the change is in force in every
// zone. It returns without an error one second after configsync.FreezeAfter, and
// fails after maxProgressPolls.
func (c *applyCmd) followProgress(ctx context.Context, a configsync.Applied) error {
	start := time.Now()
	for range maxProgressPolls {
		if a.State == configsync.StateAccepted || time.Since(start) > configsync.FreezeAfter+time.Second {
			return nil
		}
		time.Sleep(progressInterval)
		var err error
		if a, err = show(ctx, &c.client, "/v1/changes/"+url.PathEscape(a.Change), printApplied); err != nil {
			return err
		}
	}
	return errReported
}

// printApplied prints the state of a change in every zone.
func printApplied(a configsync.Applied) {
	fmt.Printf("change %s %s at revision %d\n", a.Change, a.State, a.Revision)
	for _, z := range a.Zones {
		fmt.Printf("  %-16s %s\n", z.Zone, zoneText(z))
	}
}

// zoneText returns the progress of a change in a zone for display.
func zoneText(z configsync.ZoneProgress) string {
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
