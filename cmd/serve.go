package cmd

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/server"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/telemetry"
)

type serveCmd struct{ settings string }

func (*serveCmd) Name() string     { return "serve" }
func (*serveCmd) Synopsis() string { return "run one entry host" }
func (*serveCmd) Usage() string    { return "serve --settings FILE\n" }
func (c *serveCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
}

// Execute runs the host until a signal, and then stops it as planned. A
// second signal ends the wait and says what it cut.
func (c *serveCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usage("serve: --settings must be given")
	}
	set, err := servesettings.Load(c.settings)
	if err == nil {
		err = server.Prepare(&set)
	}
	if err != nil {
		return fail(err)
	}
	limitMemory()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	log := telemetry.NewLogger(os.Stderr, set.Telemetry.LogLevel)
	return serve(ctx, set, log, signals)
}

func serve(ctx context.Context, set servesettings.Settings, log zerolog.Logger, signals <-chan os.Signal) subcommands.ExitStatus {
	tp, err := telemetry.NewProvider(ctx, set.Telemetry, os.Stdout)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = tp.Shutdown(context.Background()) }()
	o, err := server.Remote(set, log, tp)
	if err != nil {
		return fail(err)
	}
	s, err := server.Start(ctx, o, entry.TCP{})
	if err != nil {
		return fail(err)
	}
	log.Info().Str("role", "caller").Str("addr", s.CallerAddr()).Msg("serve: listening")
	log.Info().Str("role", "operator").Str("addr", s.OperatorAddr()).Msg("serve: listening")
	select {
	case <-signals:
	case err := <-s.Failed():
		s.Close()
		return fail(err)
	}
	return stop(ctx, s, log, signals)
}

func stop(ctx context.Context, s *server.Server, log zerolog.Logger, signals <-chan os.Signal) subcommands.ExitStatus {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		log.Warn().Msg("serve: second signal, stopping now")
		cancel()
	}()
	report := s.Stop(ctx)
	if report.Cut > 0 {
		log.Error().Int64("cut", report.Cut).Msg("serve: requests were cut")
		return subcommands.ExitFailure
	}
	log.Info().Dur("waited", report.Waited).Msg("serve: stopped, nothing was cut")
	return subcommands.ExitSuccess
}
