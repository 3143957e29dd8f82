package cmd

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
)

// versionCmd prints the version of the program.
type versionCmd struct{}

func (*versionCmd) SetFlags(*flag.FlagSet) {}

func (*versionCmd) run(context.Context, *flag.FlagSet) error {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	fmt.Println("cairndock", version)
	return nil
}
