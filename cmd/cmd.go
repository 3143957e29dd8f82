// Package cmd holds the commands of the command line, one to a file.
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

	"cairndock/internal/selector/config"
	"cairndock/internal/telemetry"
)

// command is one command with its help texts.
type command struct {
	name, synopsis, usage string
	runner
}

// runner is what differs from command to command.
type runner interface {
	// SetFlags defines the command's flags.
	SetFlags(f *flag.FlagSet)
	// run executes the command; exitCode says what its error means.
	run(ctx context.Context, f *flag.FlagSet) error
}

var commands = []command{
	{"quickstart", "run a whole small system in one process",
		"quickstart [--once] [--caller-addr ADDR] [--operator-addr ADDR] [--latency D]", &quickstartCmd{}},
	{"serve", "run one entry host", "serve --settings FILE", &serveCmd{}},
	{"gateway", "run one gateway host on the users' platform", "gateway --settings FILE", &gatewayCmd{}},
	{"check", "check a settings or a configuration file", "check --settings FILE | --config FILE", &checkCmd{}},
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

// Run runs the command that the arguments name and returns its exit code.
func Run() int {
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

// exitConflict is the exit code of a change that lost to another one.
const exitConflict subcommands.ExitStatus = 3

// usageError is the error of a command that was called wrongly.
type usageError string

// Error implements error.
func (e usageError) Error() string { return string(e) }

// errReported is the error of a command whose output has the reason already.
var errReported = eris.New("failed")

// exitCode prints an error and returns its exit code: 0 for none, 2 for a
// usageError, 3 for a config.Conflict, 1 for any other.
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

// notifySignals returns the signals that stop a command, and more if given.
func notifySignals(more ...os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 4) // several may come before one is read
	signal.Notify(signals, append(more, syscall.SIGINT, syscall.SIGTERM)...)
	return signals
}

// gcPercent trades processor time, of which hosts use little, for memory: one of
// the changes that together brought a host of the planned size from 176 MB to
// 63 MB (commit "Hold the planned configuration in little memory"). Its own
// part was not measured.
const gcPercent = 40

// limitMemory sets the garbage collector's target, unless the environment does.
func limitMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
