package cmd

import (
	"context"
	"flag"
	"os"

	"cairndock/internal/gateway/configcheck"
	"cairndock/internal/selector/server"
	"cairndock/internal/selector/servesettings"
	"cairndock/platform"
)

// checkCmd checks settings and configurations of serve and of a gateway.
type checkCmd struct {
	settings        string
	gatewaySettings string
	config          string
	kind            string
	against         string
	format          string
	strict          bool
}

func (c *checkCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `file` of serve (TOML)")
	f.StringVar(&c.gatewaySettings, "gateway-settings", "", "settings `file` of a gateway (TOML)")
	f.StringVar(&c.config, "config", "", "configuration `file` (TOML of serve or JSON of the platform), - for standard input")
	f.StringVar(&c.kind, "kind", "", "kind of the configuration, serve or platform; told by its content if not set")
	f.StringVar(&c.against, "against", "", "configuration `file` in force (JSON of the platform), to report what differs")
	f.StringVar(&c.format, "format", formatText, "text or json")
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
	if err := report.write(os.Stdout, c.format); err != nil {
		return err
	}
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
	case c.format != "" && c.format != formatText && c.format != formatJSON:
		return usageError("check: --format must be text or json")
	case c.against == "store":
		return usageError("check: --against store is not supported; give a file")
	case c.against != "" && c.config == "":
		return usageError("check: --against needs --config")
	case c.against == "-" && c.config == "-":
		return usageError("check: only one file can be standard input")
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
	switch {
	case kind == kindPlatform:
		return r, c.checkPlatform(&r, value, regions)
	case c.against != "":
		return r, usageError("check: --against needs a configuration of the platform")
	}
	r.add(c.config, "configuration of serve", serveFindings(value))
	return r, nil
}

// checkPlatform checks a configuration of the platform and compares it with the one in force.
// Warnings and differences are found only in configurations without errors.
func (c *checkCmd) checkPlatform(r *checkReport, value []byte, regions []string) error {
	const kind = "configuration of platform"
	next, findings := platform.ReadConfig(value)
	sound := len(findings) == 0
	if sound {
		findings = configcheck.Warnings(next, regions)
	}
	if c.against == "" {
		r.add(c.config, kind, findings)
		return nil
	}
	value, err := readInput(c.against)
	if err != nil {
		return err
	}
	inForce, errs := platform.ReadConfig(value)
	if len(errs) > 0 {
		r.add(c.against, kind, errs)
	} else if sound {
		findings = append(findings, configcheck.Differences(inForce, next)...)
	}
	r.add(c.config, kind, findings)
	return nil
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
