package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"cairndock/internal/gateway/reqtrace"
)

type traceCmd struct{}

func (*traceCmd) Name() string           { return "trace" }
func (*traceCmd) Synopsis() string       { return "follow one request through logs to its cause" }
func (*traceCmd) Usage() string          { return "trace REQUEST-ID < LOGS\n" }
func (*traceCmd) SetFlags(*flag.FlagSet) {}

// Execute reads the logs of any number of hosts on standard input.
func (*traceCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("trace: give one request id")
	}
	t, err := reqtrace.Follow(os.Stdin, f.Arg(0))
	if err != nil {
		return fail(err)
	}
	fmt.Print(t)
	return subcommands.ExitSuccess
}
