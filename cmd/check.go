package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/server"
	"cairndock/internal/selector/servesettings"
)

type checkCmd struct {
	settings string
	config   string
}

func (*checkCmd) Name() string     { return "check" }
func (*checkCmd) Synopsis() string { return "check a settings or a configuration file" }
func (*checkCmd) Usage() string    { return "check --settings FILE | --config FILE\n" }
func (c *checkCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
	f.StringVar(&c.config, "config", "", "configuration `file` (TOML)")
}

// Execute says every fault at once, each with its key.
func (c *checkCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if (c.settings == "") == (c.config == "") {
		return usage("check: give either --settings or --config")
	}
	err := c.check()
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, line)
		}
		return subcommands.ExitFailure
	}
	fmt.Println("ok")
	return subcommands.ExitSuccess
}

func (c *checkCmd) check() error {
	if c.settings != "" {
		set, err := servesettings.Load(c.settings)
		if err != nil {
			return err
		}
		return server.Prepare(&set)
	}
	data, err := os.ReadFile(c.config)
	if err != nil {
		return err
	}
	_, err = config.ParseDocument(data)
	return err
}
