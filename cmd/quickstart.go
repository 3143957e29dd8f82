package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"cairndock/internal/selector/quickstart"
	"cairndock/internal/telemetry"
)

// checkHint says how to try the check of a configuration.
const checkHint = "check a configuration: cairndock check --config platform/testdata/config.json"

// quickstartCmd runs a small system in one process.
type quickstartCmd struct {
	options  quickstart.Options
	once     bool
	logLevel string
}

func (c *quickstartCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.CallerAddr, "caller-addr", "127.0.0.1:8080", "`address` of the first host for clients")
	f.StringVar(&c.options.OperatorAddr, "operator-addr", "127.0.0.1:8081", "`address` of the first host for operators")
	f.DurationVar(&c.options.Latency, "latency", quickstart.PlanningLatency, "how long an upstream of the planning service takes for a request")
	f.BoolVar(&c.once, "once", false, "send a few hundred requests, print a table and exit")
	f.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
}

// run runs the system until a signal or, with --once, for one round of requests.
func (c *quickstartCmd) run(ctx context.Context, _ *flag.FlagSet) error {
	signals := notifySignals()
	c.options.Log = telemetry.NewLogger(os.Stdout, c.logLevel)
	if c.once {
		c.options.Log = telemetry.NewLogger(os.Stderr, "error")
	}
	s, err := quickstart.Start(ctx, c.options)
	if err != nil {
		return err
	}
	if c.once {
		defer s.Close()
		report, err := quickstart.Once(ctx, s)
		if err != nil {
			return err
		}
		report.Print(os.Stdout)
		fmt.Println(checkHint)
		return violationError(report)
	}
	printAddrs(c.options.Log, s)
	fmt.Fprintln(os.Stderr, checkHint) // standard output has log lines only
	<-signals
	s.Stop(ctx)
	return nil
}

// printAddrs logs the addresses of the system.
func printAddrs(log zerolog.Logger, s *quickstart.System) {
	for _, srv := range s.Servers {
		self := srv.Host.Self()
		log.Info().Str("role", "caller").Str("addr", srv.CallerAddr).Str("host", self.Host).Msg("quickstart: listening")
		log.Info().Str("role", "operator").Str("addr", srv.OperatorAddr).Str("host", self.Host).Str("token", s.Token).Msg("quickstart: listening")
		log.Info().Str("role", "peer").Str("addr", self.PeerAddr).Str("host", self.Host).Msg("quickstart: listening")
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
