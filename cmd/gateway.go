package cmd

import (
	"context"
	"errors"
	"flag"
	"os"
	"syscall"

	"cairndock/internal/gateway"
	"cairndock/internal/telemetry"
)

// gatewayOptions are the options of gateway hosts. Run sets them.
var gatewayOptions []gateway.Option

// gatewayCmd runs one gateway host.
type gatewayCmd struct{ settings string }

func (c *gatewayCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
}

// run runs the host until a signal stops it.
func (c *gatewayCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	// Register for signals first, because an early SIGHUP must not terminate the
	// process.
	signals := notifySignals(syscall.SIGHUP)
	if c.settings == "" {
		return usageError("gateway: --settings must be given")
	}
	set, err := gateway.LoadSettings(c.settings)
	if err != nil {
		return err
	}
	limitMemory(set.Resources.Limits())
	traces, err := telemetry.NewProvider(ctx, set.Telemetry, os.Stdout)
	if err != nil {
		return err
	}
	// The process is ending, so spans that the exporter can't deliver are lost.
	defer func() { _ = traces.Shutdown(context.WithoutCancel(ctx)) }()
	err = gateway.New(set, os.Stdout, telemetry.Tracer(traces), gatewayOptions...).Run(ctx, c.settings, signals)
	if errors.Is(err, gateway.ErrAborted) {
		return errReported // the reason is in the log
	}
	return err
}
