package cmd

import (
	"context"
	"flag"
	"os"

	"github.com/rs/zerolog"

	"cairndock/internal/selector/server"
	"cairndock/internal/telemetry"
)

// serveCmd runs one entry host.
type serveCmd struct{ settings string }

func (c *serveCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
}

// run runs the host until a signal, and then stops it gracefully.
func (c *serveCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	if c.settings == "" {
		return usageError("serve: --settings must be given")
	}
	set, err := loadSettings(c.settings)
	if err != nil {
		return err
	}
	limitMemory(set.Resources)
	signals := notifySignals()
	log := telemetry.NewLogger(os.Stderr, set.Telemetry.LogLevel)
	tp, err := telemetry.NewProvider(ctx, set.Telemetry, os.Stdout)
	if err != nil {
		return err
	}
	// The process is ending, so spans that the exporter can't deliver are lost.
	defer func() { _ = tp.Shutdown(context.WithoutCancel(ctx)) }()
	o, err := server.HostOptions(set, log, tp)
	if err != nil {
		return err
	}
	s, err := server.Start(ctx, o)
	if err != nil {
		return err
	}
	log.Info().Str("role", "caller").Str("addr", s.CallerAddr).Msg("serve: listening")
	log.Info().Str("role", "operator").Str("addr", s.OperatorAddr).Msg("serve: listening")
	select {
	case <-signals:
	case err := <-s.Failed():
		s.Close()
		return err
	}
	return stop(ctx, s, log, signals)
}

// stop stops the host gracefully, or immediately after another signal. It fails if
// requests were aborted.
func stop(ctx context.Context, s *server.Server, log zerolog.Logger, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		log.Warn().Msg("serve: second signal, stopping immediately")
		cancel()
	}()
	report := s.Stop(ctx)
	if report.Cut > 0 {
		log.Error().Int64("cut", report.Cut).Msg("serve: requests were aborted")
		return errReported
	}
	log.Info().Dur("waited", report.Waited).Msg("serve: stopped, no request was aborted")
	return nil
}
