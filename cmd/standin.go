package cmd

import (
	"context"
	"flag"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"cairndock/internal/peer"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
	"cairndock/internal/telemetry"
)

// standinCmd runs the platform stand-in alone, with a generated system in
// it, so that one real host can be measured at that size.
type standinCmd struct{ size standin.Size }

func (*standinCmd) Name() string     { return "standin" }
func (*standinCmd) Synopsis() string { return "run a platform stand-in with a generated configuration" }
func (*standinCmd) Usage() string {
	return "standin [--blocks N] [--services N] [--zones N] [--hosts N]\n"
}

func (c *standinCmd) SetFlags(f *flag.FlagSet) {
	c.size = standin.PlannedSize()
	f.IntVar(&c.size.Blocks, "blocks", c.size.Blocks, "blocks of callers")
	f.IntVar(&c.size.Services, "services", c.size.Services, "services, each with a site in every zone")
	f.IntVar(&c.size.Zones, "zones", c.size.Zones, "zones")
	f.IntVar(&c.size.Hosts, "hosts", c.size.Hosts, "hosts in a zone's roster")
}

// Execute runs until a signal.
func (c *standinCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	log := telemetry.NewLogger(os.Stdout, "info")
	m := store.NewMemory()
	if err := c.fill(ctx, m); err != nil {
		return fail(err)
	}
	p := standin.Platform{Memory: m}
	for role, handler := range map[string]http.Handler{
		"table": p.TableHandler(), "objects": p.ObjectHandler(), "hosts": p.HostsHandler(),
	} {
		server, err := standin.Listen(handler)
		if err != nil {
			return fail(err)
		}
		defer server.Close()
		log.Info().Str("role", role).Str("addr", server.Addr).Msg("standin: listening")
	}
	<-signals
	return subcommands.ExitSuccess
}

// fill writes the configuration, a snapshot of it and the rosters.
func (c *standinCmd) fill(ctx context.Context, m *store.Memory) error {
	log := config.NewLog(m, m)
	s := config.NewState()
	for id, doc := range []config.Document{c.size.Objects(), c.size.BlocksDocument()} {
		change, err := doc.Change([]string{"objects", "blocks"}[id], s.Revision())
		if err != nil {
			return err
		}
		if s, _, err = log.Append(ctx, s, change); err != nil {
			return err
		}
	}
	if err := log.SaveSnapshot(ctx, s); err != nil {
		return err
	}
	for z := range c.size.Zones {
		body, err := peer.Encode(c.size.Roster(z, c.size.Hosts, 1))
		if err != nil {
			return err
		}
		key := store.Key{Partition: "roster", Sort: standin.ZoneName(z)}
		if err := m.Transact(ctx, []store.Write{{Key: key, Body: body}}); err != nil {
			return err
		}
	}
	return nil
}
