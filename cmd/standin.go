package cmd

import (
	"context"
	"flag"
	"os"
	"strings"

	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
	"cairndock/internal/telemetry"
)

// standinCmd runs the platform stand-in alone, with a generated system in
// it, so that one real host can be measured at that size.
type standinCmd struct{ size standin.Size }

func (c *standinCmd) SetFlags(f *flag.FlagSet) {
	c.size = standin.PlannedSize()
	f.IntVar(&c.size.Blocks, "blocks", c.size.Blocks, "blocks of client addresses")
	f.IntVar(&c.size.Services, "services", c.size.Services, "services, each with a site in every zone")
	f.IntVar(&c.size.Zones, "zones", c.size.Zones, "zones")
	f.IntVar(&c.size.Hosts, "hosts", c.size.Hosts, "hosts in a zone's roster")
}

// run runs until a signal.
func (c *standinCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	signals := notifySignals()
	log := telemetry.NewLogger(os.Stdout, "info")
	m := store.NewMemory()
	if err := c.size.Fill(ctx, m); err != nil {
		return err
	}
	p, err := standin.Platform{Memory: m}.Start()
	if err != nil {
		return err
	}
	defer p.Close()
	for role, url := range map[string]string{
		"table": p.Settings.TableEndpoint, "objects": p.Settings.ObjectEndpoint, "hosts": p.Settings.HostsURL,
	} {
		log.Info().Str("role", role).Str("addr", strings.TrimPrefix(url, "http://")).Msg("standin: listening")
	}
	<-signals
	return nil
}
