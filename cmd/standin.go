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

// standinCmd runs only the platform stand-in, with the data of a generated system,
// so that a single real host can be measured at the size of that system.
type standinCmd struct{ size standin.Size }

func (c *standinCmd) SetFlags(f *flag.FlagSet) {
	c.size = standin.PlannedSize()
	f.IntVar(&c.size.Blocks, "blocks", c.size.Blocks, "blocks of client addresses")
	f.IntVar(&c.size.Services, "services", c.size.Services, "services, each with a site in every zone")
	f.IntVar(&c.size.Zones, "zones", c.size.Zones, "zones")
	f.IntVar(&c.size.Hosts, "hosts", c.size.Hosts, "hosts in a zone's roster")
}

// run runs the platform stand-in until a signal.
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
