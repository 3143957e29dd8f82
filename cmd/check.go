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

// checkCmd checks a settings file or a configuration file.
type checkCmd struct {
	settings string
	config   string
}

func (c *checkCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` (TOML)")
	f.StringVar(&c.config, "config", "", "configuration `file` (TOML)")
}

// run prints every fault of the file, one per line.
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

// check returns the faults of the file, joined in one error.
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

// loadSettings reads the settings of the command serve and applies the defaults.
// The returned error joins all faults.
func loadSettings(path string) (servesettings.Settings, error) {
	set, err := servesettings.Load(path)
	if err != nil {
		return set, err
	}
	err = server.Prepare(&set)
	return set, err
}
