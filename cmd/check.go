package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/server"
	"cairndock/internal/selector/servesettings"
)

type checkCmd struct {
	settings string
	config   string
}

func (c *checkCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
	f.StringVar(&c.config, "config", "", "configuration `file` (TOML)")
}

// run prints every fault of the file, one line each.
func (c *checkCmd) run(context.Context, *flag.FlagSet) error {
	if (c.settings == "") == (c.config == "") {
		return usageError("check: give either --settings or --config")
	}
	if err := c.check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return errReported
	}
	fmt.Println("ok")
	return nil
}

func (c *checkCmd) check() error {
	if c.settings != "" {
		_, err := loadSettings(c.settings)
		return err
	}
	data, err := os.ReadFile(c.config)
	if err != nil {
		return err
	}
	_, err = config.ParseDocument(data)
	return err
}

// loadSettings reads the settings of serve and applies defaults. Its error
// joins every fault.
func loadSettings(path string) (servesettings.Settings, error) {
	set, err := servesettings.Load(path)
	if err != nil {
		return set, err
	}
	err = server.Prepare(&set)
	return set, err
}
