package cmd

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"cairndock/internal/gateway"
	"cairndock/internal/telemetry"
)

type gatewayCmd struct{ settings string }

func (*gatewayCmd) Name() string     { return "gateway" }
func (*gatewayCmd) Synopsis() string { return "run one gateway host on the users' platform" }
func (*gatewayCmd) Usage() string    { return "gateway --settings FILE\n" }
func (c *gatewayCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
}

// Execute runs the host until a signal stops it.
func (c *gatewayCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// Before anything else: an early SIGHUP must not end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	if c.settings == "" {
		return usage("gateway: --settings must be given")
	}
	set, err := gateway.LoadSettings(c.settings)
	if err != nil {
		return fail(err)
	}
	limitMemory()
	traces, err := telemetry.NewProvider(ctx, set.Telemetry, os.Stdout)
	if err != nil {
		return fail(err)
	}
	// The process ends; spans that the exporter can't deliver are lost.
	defer func() { _ = traces.Shutdown(context.WithoutCancel(ctx)) }()
	err = gateway.New(set, os.Stdout, telemetry.Tracer(traces)).Run(ctx, c.settings, signals)
	switch {
	case errors.Is(err, gateway.ErrAborted):
		return subcommands.ExitFailure // the log has said so
	case err != nil:
		return fail(err)
	}
	return subcommands.ExitSuccess
}
