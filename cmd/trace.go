package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"cairndock/internal/gateway/reqtrace"
)

// traceCmd traces one request through the hosts' logs.
type traceCmd struct{}

func (*traceCmd) SetFlags(*flag.FlagSet) {}

// run reads the logs of any number of hosts from standard input.
func (*traceCmd) run(_ context.Context, f *flag.FlagSet) error {
	if f.NArg() != 1 {
		return usageError("trace: give one request id")
	}
	t, err := reqtrace.Follow(os.Stdin, f.Arg(0))
	if err != nil {
		return err
	}
	fmt.Print(t)
	return nil
}
