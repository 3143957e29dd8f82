// Package cmd holds the commands of the command line, one to a file.
package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"cairndock/internal/telemetry"
)

// The exit codes besides those of subcommands: 0 done, 1 failed, 2 usage.
const exitConflict subcommands.ExitStatus = 3

// Run runs the command that the arguments name and gives its exit code.
func Run() int {
	telemetry.UseW3C()
	c := subcommands.NewCommander(flag.CommandLine, "cairndock")
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, command := range []subcommands.Command{
		&quickstartCmd{}, &serveCmd{}, &gatewayCmd{}, &checkCmd{}, &applyCmd{}, &statusCmd{}, &explainCmd{}, &drainCmd{}, &loadCmd{}, &standinCmd{}, &traceCmd{}, &versionCmd{},
	} {
		c.Register(command, "")
	}
	flag.Parse()
	if flag.NArg() == 0 {
		c.Explain(os.Stderr)
		return int(subcommands.ExitUsageError)
	}
	return int(c.Execute(context.Background()))
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

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "cairndock:", err)
	return subcommands.ExitFailure
}

func usage(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "cairndock:", text)
	return subcommands.ExitUsageError
}
