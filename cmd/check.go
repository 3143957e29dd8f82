package cmd

import (
	"context"
	"flag"
	"os"

	"cairndock/internal/gateway/configcheck"
	"cairndock/internal/selector/server"
	"cairndock/internal/selector/servesettings"
)

// checkCmd checks settings and configurations of serve and of a gateway.
type checkCmd struct {
	settings        string
	gatewaySettings string
	config          string
	kind            string
	strict          bool
}

func (c *checkCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` of serve (TOML)")
	f.StringVar(&c.gatewaySettings, "gateway-settings", "", "settings `file` of a gateway (TOML)")
	f.StringVar(&c.config, "config", "", "configuration `file` (TOML of serve or JSON of the platform), - for standard input")
	f.StringVar(&c.kind, "kind", "", "kind of the configuration, serve or platform; told by its content if not set")
	f.BoolVar(&c.strict, "strict", false, "fail on warnings too")
}

// run prints every finding, one per line.
func (c *checkCmd) run(context.Context, *flag.FlagSet) error {
	if err := c.usage(); err != nil {
		return err
	}
	report, err := c.check()
	if err != nil {
		return err
	}
	report.print(os.Stdout)
	if report.failed(c.strict) {
		return errReported
	}
	return nil
}

// usage returns an error if the flags contradict each other.
func (c *checkCmd) usage() error {
	switch {
	case c.settings == "" && c.config == "" && c.gatewaySettings == "":
		return usageError("check: give --settings, --config or --gateway-settings")
	case c.settings != "" && (c.config != "" || c.gatewaySettings != ""):
		return usageError("check: --settings stands alone")
	case c.kind != "" && c.kind != kindServe && c.kind != kindPlatform:
		return usageError("check: --kind must be serve or platform")
	}
	return nil
}

// check checks all files. The error is that of a file that can't be read.
func (c *checkCmd) check() (checkReport, error) {
	var r checkReport
	var regions []string
	if c.settings != "" {
		_, err := loadSettings(c.settings)
		r.add(c.settings, "settings of serve", faultFindings(err))
	}
	if c.gatewaySettings != "" {
		var findings []configcheck.Finding
		findings, regions = gatewayFindings(c.gatewaySettings)
		r.add(c.gatewaySettings, "settings of a gateway", findings)
	}
	if c.config == "" {
		return r, nil
	}
	value, err := readInput(c.config)
	if err != nil {
		return r, err
	}
	kind := c.kind
	if kind == "" {
		kind = kindOf(value)
	}
	var findings []configcheck.Finding
	if kind == kindPlatform {
		findings = platformFindings(value, regions)
	} else {
		findings = serveFindings(value)
	}
	r.add(c.config, "configuration of "+kind, findings)
	return r, nil
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
