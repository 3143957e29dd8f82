// Package cmd contains the commands of the command line, one per file.
package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"cairndock/internal/gateway"
	"cairndock/internal/resources"
	"cairndock/internal/selector/config"
	"cairndock/internal/telemetry"
)

// command is a command with its help texts.
type command struct {
	name, synopsis, usage string
	runner
}

// runner is the implementation of a command.
type runner interface {
	// SetFlags defines the command's flags.
	SetFlags(f *flag.FlagSet)
	// run executes the command. exitCode maps its error to an exit code.
	run(ctx context.Context, f *flag.FlagSet) error
}

var commands = []command{
	{"quickstart", "run a whole small system in one process",
		"quickstart [--once] [--caller-addr ADDR] [--operator-addr ADDR] [--latency D]", &quickstartCmd{}},
	{"serve", "run one entry host", "serve --settings FILE", &serveCmd{}},
	{"gateway", "run one gateway host on the users' platform", "gateway --settings FILE", &gatewayCmd{}},
	{"check", "check settings and configurations",
		"check --settings FILE | [--gateway-settings FILE] [--config FILE [--kind serve|platform] [--against FILE]] [--strict] [--format text|json]", &checkCmd{}},
	{"apply", "submit a configuration change",
		"apply --config FILE [--if-match REVISION] [--change ID] [--wait]", &applyCmd{}},
	{"status", "show zones, services and shares as one host sees them", "status [--json]", &statusCmd{}},
	{"explain", "show how a request would be placed, and why", "explain --service S --caller IP [--json]", &explainCmd{}},
	{"drain", "take upstreams out of service and wait until they are idle",
		"drain --selector SELECTOR [--service S] [--timeout D]", &drainCmd{}},
	{"load", "send a bounded open-loop load to a system on loopback",
		"load [--lookups N] [--bookings N] [--downloads N] [--duration D] [--upstreams ADDR,...]", &loadCmd{}},
	{"standin", "run a platform stand-in with a generated configuration",
		"standin [--blocks N] [--services N] [--zones N] [--hosts N]", &standinCmd{}},
	{"trace", "follow one request through logs to its cause", "trace REQUEST-ID < LOGS", &traceCmd{}},
	{"simulate", "play a load in virtual time, with variants of the policy", "simulate --scenario FILE [--seed N]", &simulateCmd{}},
	{"losses", "sum up why requests missed their objective", "losses [--way D] [--late-share P] [--weights W,...] < LOGS", &lossesCmd{}},
	{"version", "print the version", "version", &versionCmd{}},
}

// Name implements subcommands.Command.
func (c command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c command) Usage() string { return c.usage + "\n" }

// Execute implements subcommands.Command.
func (c command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitCode(c.run(ctx, f))
}

// Run runs the command named on the command line and returns its exit code. The options
// apply to the command gateway.
func Run(options ...gateway.Option) int {
	gatewayOptions = options
	telemetry.UseW3C()
	c := subcommands.NewCommander(flag.CommandLine, "cairndock")
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, command := range commands {
		c.Register(command, "")
	}
	flag.Parse()
	if flag.NArg() == 0 {
		c.Explain(os.Stderr)
		return int(subcommands.ExitUsageError)
	}
	return int(c.Execute(context.Background()))
}

// exitConflict is the exit code of a change that conflicts with another change.
const exitConflict subcommands.ExitStatus = 3

// usageError is the error of a command with invalid arguments.
type usageError string

// Error implements error.
func (e usageError) Error() string { return string(e) }

// errReported is the error of a command that has already printed the reason.
var errReported = eris.New("failed")

// exitCode prints an error, unless it is errReported, and returns the exit code:
// 0 for no error, 2 for a usageError, 3 for a config.Conflict and 1 for any other
// error.
func exitCode(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	if errors.Is(err, errReported) {
		return subcommands.ExitFailure
	}
	fmt.Fprintln(os.Stderr, "cairndock:", err)
	var usage usageError
	var conflict *config.Conflict
	switch {
	case errors.As(err, &usage):
		return subcommands.ExitUsageError
	case errors.As(err, &conflict):
		return exitConflict
	}
	return subcommands.ExitFailure
}

// notifySignals returns a channel that receives SIGINT, SIGTERM and the additional
// signals.
func notifySignals(additional ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 4) // several signals may arrive before one is read
	signal.Notify(signals, append(additional, syscall.SIGINT, syscall.SIGTERM)...)
	return signals
}

// gcPercent is the garbage collector's target (GOGC). It is below the default of
// 100 because hosts use little processor time, so more frequent collections are
// cheap and save memory. Together with other changes it reduced the memory of a
// host of the planned size from 176 MB to 63 MB.
const gcPercent = 40

// limitMemory sets the garbage collector's target to gcPercent, unless GOGC is
// set in the environment, and the limit of the heap.
func limitMemory(l resources.Limits) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	l.LimitHeap()
}
