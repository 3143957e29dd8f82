package cmd

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"cairndock/internal/selector/quickstart"
	"cairndock/internal/telemetry"
)

type quickstartCmd struct {
	callerAddr   string
	operatorAddr string
	latency      time.Duration
	once         bool
	logLevel     string
}

func (*quickstartCmd) Name() string     { return "quickstart" }
func (*quickstartCmd) Synopsis() string { return "run a whole small system in one process" }
func (*quickstartCmd) Usage() string {
	return "quickstart [--once] [--caller-addr ADDR] [--operator-addr ADDR] [--latency D]\n"
}

func (c *quickstartCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.callerAddr, "caller-addr", "127.0.0.1:8080", "`address` of the first host for callers")
	f.StringVar(&c.operatorAddr, "operator-addr", "127.0.0.1:8081", "`address` of the first host for operators")
	f.DurationVar(&c.latency, "latency", quickstart.PlanningLatency, "how long an upstream of the planning service takes for a request")
	f.BoolVar(&c.once, "once", false, "send a few hundred requests, print a table and exit")
	f.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
}

// Execute runs the system until a signal, or one round of requests.
func (c *quickstartCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	log := telemetry.NewLogger(os.Stdout, c.logLevel)
	if c.once {
		log = telemetry.NewLogger(os.Stderr, "error")
	}
	s, err := quickstart.Start(ctx, quickstart.Options{CallerAddr: c.callerAddr, OperatorAddr: c.operatorAddr, Latency: c.latency, Log: log})
	if err != nil {
		return fail(err)
	}
	if c.once {
		defer s.Close()
		return once(ctx, s)
	}
	printAddrs(log, s)
	<-signals
	s.Stop(ctx)
	return subcommands.ExitSuccess
}

func printAddrs(log zerolog.Logger, s *quickstart.System) {
	for _, srv := range s.Servers {
		name := srv.Host().Self().Host
		log.Info().Str("role", "caller").Str("addr", srv.CallerAddr()).Str("host", name).Msg("quickstart: listening")
		log.Info().Str("role", "operator").Str("addr", srv.OperatorAddr()).Str("host", name).Str("token", s.Token).Msg("quickstart: listening")
		log.Info().Str("role", "peer").Str("addr", srv.Host().Self().PeerAddr).Str("host", name).Msg("quickstart: listening")
	}
	for role, url := range map[string]string{
		"table": s.Platform.TableEndpoint, "objects": s.Platform.ObjectEndpoint, "hosts": s.Platform.HostsURL,
	} {
		log.Info().Str("role", role).Str("addr", url).Msg("quickstart: listening")
	}
	for i, u := range s.Upstreams {
		log.Info().Str("role", "upstream").Str("addr", s.UpstreamAddrs[i]).Str("upstream", u.Name).Msg("quickstart: listening")
	}
}

func once(ctx context.Context, s *quickstart.System) subcommands.ExitStatus {
	report, err := quickstart.Once(ctx, s)
	if err != nil {
		return fail(err)
	}
	report.Print(os.Stdout)
	if report.HasViolations() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
