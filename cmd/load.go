package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

type loadCmd struct{}

func (*loadCmd) Name() string             { return "load" }
func (*loadCmd) Synopsis() string         { return "send a bounded load" }
func (*loadCmd) Usage() string            { return "load\n" }
func (*loadCmd) SetFlags(_ *flag.FlagSet) {}

func (*loadCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return usage("load: not there yet")
}
